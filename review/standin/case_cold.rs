//! A zone is emptied and taken back; its targets are cold then. An instance starts again at that time.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Outcome;
use crate::client::User;
use crate::client::World;
use crate::process::Instance;
use crate::process::Net;
use crate::process::Router;
use crate::record::Record;
use crate::store::Store;
use crate::target::Spec;
use crate::target::Target;

const IDLE: Duration = Duration::from_secs(15);
const LENGTH: Duration = Duration::from_secs(50);
const COLD_PER_S: f64 = 4.0;
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
const COLD_START: Duration = Duration::from_secs(6);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn run(daemon: &str, record: &Record, trouble: bool) -> Result<u64, String> {
    let net = Net::new()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    let spec = |number: u64| Spec {
        name: format!("board-{number}"),
        id: 0x5a10_7c3e_00 + number,
        slots: 2,
        queue: 12,
        max_conns: 2_000,
        work: Duration::from_millis(5),
        spread: 0.0,
        max_work: Duration::from_secs(1),
        idle: IDLE,
        is_recorded: true,
        client_port: net.packets,
    };
    let entry = |number: u64, address: SocketAddrV4, zone: &str, cold: u128, seq: u64| {
        store.put("servers", &format!("i-{:010x}", spec(number).id), &format!(
            "{{\"service\":\"board\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"cold_left_ms\":{cold},\"seq\":{seq},\"born\":1796000000000}}"
        ));
    };
    let zones = ["zone-a", "zone-a", "zone-b", "zone-b"];
    let mut targets = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let number = index as u64 + 1;
        let target = Target::start(spec(number), SocketAddrV4::new(net.ip(3, number as u8), 0), record.clone()).map_err(|error| error.to_string())?;
        entry(number, target.address, zone, 0, 1);
        targets.push(Arc::new(target));
    }
    store.put("config", "main", &format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-board\",\"host\":\"{}\",\"path_prefix\":\"/443/\",\"type\":\"idempotent\",\"timeout_ms\":4000,\"slo_ms\":600,\"priority\":1,\"attempts\":1,\"service\":\"board\"}}],\"services\":[{{\"name\":\"board\",\"health_path\":\"/healthz\",\"max_conns\":2000,\"cold_start_s\":{},\"cold_per_s\":{COLD_PER_S}}}],\"limits\":{{\"idle_timeout_ms\":15000}}}}",
        route.ip(), COLD_START.as_secs(),
    ));
    let mut instances = Vec::new();
    for (number, zone) in [(1, "zone-a"), (2, "zone-b"), (3, "zone-a"), (4, "zone-b")] {
        instances.push(Instance::start(&net, daemon, store.address, zone, number, true)?);
    }
    for instance in &instances {
        instance.wait_ready()?;
    }
    std::thread::sleep(Duration::from_secs(4));
    let world = World {
        router: Router::start(&instances),
        record: record.clone(),
        targets: Arc::new(targets.clone()),
        outcome: Arc::default(),
        start: Instant::now(),
        ended: Arc::default(),
        max_flow: Duration::from_secs(60),
        idle: IDLE,
    };
    record.line("traffic starts");
    for (host, zone) in [(1_u8, "zone-a"), (2, "zone-b")] {
        let users = (0..20).map(|number| User {
            name: format!("user-{zone}-{number}"),
            route,
            begin: Duration::from_millis(20 * number),
            pause: Duration::from_millis(200),
            limit: Duration::from_secs(4),
            attempts: 3,
            end: LENGTH,
            beat: None,
            is_fresh: true,
            is_recorded: true,
        });
        client::start_host(&world, net.ip(2, host), net.packets, zone, users.collect(), 77 + u64::from(host)).map_err(|error| error.to_string())?;
    }
    std::thread::sleep(Duration::from_secs(14));
    store.put("evacuations", "zone-a", "{}");
    record.line("operators ask for zone-a to be emptied");
    std::thread::sleep(Duration::from_secs(11));
    if trouble {
        record.line("entry-1 is stopped (SIGTERM), as in a rolling restart");
        instances[0].signal("TERM");
        let until = Instant::now() + Duration::from_secs(7);
        while instances[0].child.try_wait().ok().flatten().is_none() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    store.delete("evacuations", "zone-a");
    let taken_back = Instant::now();
    record.line("operators take it back; the targets of zone-a are cold");
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        let again = Instance::start(&net, daemon, store.address, "zone-a", 1, true)?;
        again.wait_ready()?;
        record.line("entry-1 is ready again");
        instances[0] = again;
    }
    std::thread::sleep((taken_back + HEARTBEAT).saturating_duration_since(Instant::now()));
    for number in 1..=2 {
        let left = COLD_START.saturating_sub(taken_back.elapsed()).as_millis();
        entry(number, targets[number as usize - 1].address, "zone-a", left, 9);
    }
    record.line("the targets of zone-a report that they are cold");
    std::thread::sleep((taken_back + COLD_START).saturating_duration_since(Instant::now()));
    let mut breaks = 0;
    for target in &targets[..2] {
        let openings = target.seen.lock().unwrap().openings.clone();
        let cold: Vec<Duration> = openings.iter().filter_map(|at| at.checked_duration_since(taken_back)).filter(|after| *after < COLD_START).collect();
        let most = cold.iter().map(|from| cold.iter().filter(|at| *at >= from && **at < *from + Duration::from_secs(1)).count()).max().unwrap_or(0);
        record.line(&format!("FAILBACK: {} openings while cold, at most {most} in one second, bound {BOUND}", cold.len()));
        breaks += u64::from(most as f64 > BOUND);
    }
    world.ended.store(true, Ordering::Relaxed);
    world.router.end();
    let Outcome { opened, refused, answered, .. } = &*world.outcome.lock().unwrap();
    record.line(&format!("clients: {opened} opened, {refused} reset, {answered} answered"));
    let folder = net.folder.clone();
    drop(instances);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(folder);
    }
    Ok(breaks)
}
