//! A target starts again under its id while its machine's clock jumps back. Later it reports that it is draining.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

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
const LENGTH: Duration = Duration::from_secs(42);
/// How far the clock of the target's machine is ahead until it jumps back.
const CLOCK_STEP_MS: u64 = 2_000;
const DRAIN: Duration = Duration::from_millis(5_000);
/// How much longer than `drain_ms` the target goes on.
const LINGERING: Duration = Duration::from_secs(9);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

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
        work: Duration::from_millis(50),
        spread: 0.0,
        max_work: Duration::from_secs(1),
        idle: IDLE,
        is_recorded: true,
        client_port: net.packets,
    };
    let entry = |number: u64, address: SocketAddrV4, zone: &str, state: &str, born: u64, seq: u64| {
        let body = format!(
            "{{\"service\":\"board\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":2,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        let rev = store.put("servers", &format!("i-{:010x}", spec(number).id), &body);
        record.line(&format!("store: revision {rev}, entry of board-{number}: {body}"));
    };
    let zones = ["zone-a", "zone-a", "zone-b", "zone-b"];
    let mut targets = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let number = index as u64 + 1;
        let address = SocketAddrV4::new(net.ip(3, number as u8), 0);
        let target = Target::start(spec(number), address, record.clone()).map_err(|error| error.to_string())?;
        if number > 1 {
            entry(number, target.address, zone, "ready", unix_ms(), 1);
        }
        targets.push(Arc::new(target));
    }
    store.put("config", "main", &format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-board\",\"host\":\"{}\",\"path_prefix\":\"/443/\",\"type\":\"non_idempotent\",\"timeout_ms\":4000,\"slo_ms\":300,\"priority\":1,\"attempts\":1,\"service\":\"board\"}}],\"services\":[{{\"name\":\"board\",\"health_path\":\"/healthz\",\"max_conns\":2000,\"cold_start_s\":2.0,\"cold_per_s\":0.0}}],\"limits\":{{\"idle_timeout_ms\":15000}}}}",
        route.ip(),
    ));
    let mut instances = Vec::new();
    for (number, zone) in [(1, "zone-a"), (2, "zone-b"), (3, "zone-a"), (4, "zone-b")] {
        instances.push(Instance::start(&net, daemon, store.address, zone, number, false)?);
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
        let users = (0..16).map(|number| User {
            name: format!("user-{zone}-{number}"),
            route,
            begin: Duration::from_millis(20 * number),
            pause: Duration::from_millis(200),
            limit: Duration::from_secs(4),
            attempts: 3,
            end: LENGTH - Duration::from_secs(5),
            beat: None,
            is_fresh: true,
            is_recorded: true,
        });
        client::start_host(&world, net.ip(2, host), net.packets, zone, users.collect(), 77 + u64::from(host)).map_err(|error| error.to_string())?;
    }
    // The target's first start, while its machine's clock is ahead.
    let ahead = if trouble { CLOCK_STEP_MS } else { 0 };
    let address = targets[0].address;
    let first_born = unix_ms() + ahead;
    entry(1, address, "zone-a", "ready", first_born, 1);
    std::thread::sleep(Duration::from_millis(1_000));
    record.line("board-1 crashes; the clock of its machine jumps back to the true time");
    targets[0].crash();
    std::thread::sleep(Duration::from_millis(400));
    let again = Target::start(spec(1), address, record.clone()).map_err(|error| error.to_string())?;
    let second_born = unix_ms();
    entry(1, address, "zone-a", "ready", second_born, 1);
    record.line(&format!("board-1 has started again under its id, {} ms later by its own account", second_born as i64 - first_born as i64));
    std::thread::sleep(Duration::from_secs(12));
    entry(1, address, "zone-a", "draining", second_born, 11);
    let acknowledged = Instant::now();
    record.line("board-1 reports that it is draining, and the store has acknowledged it");
    std::thread::sleep(DRAIN + LINGERING);
    let openings = again.seen.lock().unwrap().openings.clone();
    let late: Vec<Duration> = openings.iter().map(|at| at.saturating_duration_since(acknowledged)).filter(|after| *after > DRAIN).collect();
    let early = openings.iter().filter(|at| **at <= acknowledged + DRAIN).count();
    record.line("board-1 ends, and its entry is removed");
    let under_way = again.unanswered();
    again.crash();
    record.line(&format!("requests that board-1 had taken and not answered: {under_way}"));
    store.delete("servers", &format!("i-{:010x}", spec(1).id));
    std::thread::sleep((world.start + LENGTH).saturating_duration_since(Instant::now()));
    world.ended.store(true, Ordering::Relaxed);
    world.router.end();
    let Outcome { opened, refused, unanswered_openings, answered, timed_out, .. } = &*world.outcome.lock().unwrap();
    record.line(&format!("clients: {opened} flows opened, {refused} openings reset, {unanswered_openings} unanswered, {answered} requests answered, {timed_out} timed out"));
    record.line(&format!(
        "DRAIN: {early} opening packets taken by board-1 up to {} ms after the acknowledgement, {} later, the last {:.1} s after it",
        DRAIN.as_millis(), late.len(), late.last().copied().unwrap_or_default().as_secs_f64(),
    ));
    let folder = net.folder.clone();
    drop(instances);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(folder);
    }
    if early == 0 || *answered == 0 {
        return Err("board-1 got no flow before it was draining".to_owned());
    }
    Ok(late.len() as u64)
}
