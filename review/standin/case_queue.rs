//! Users whose requests come at the same time: the last ones wait in their target's queue for over 200 ms.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Beat;
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
const LENGTH: Duration = Duration::from_secs(92);
/// Users of each of the three services whose requests come in step, their interval, and how far apart the requests are.
const IN_STEP: usize = 15;
const INTERVAL: Duration = Duration::from_millis(2_500);
const APART: Duration = Duration::from_millis(90);
/// Users of each service whose requests come at any time.
const OTHERS: usize = 6;

pub fn run(daemon: &str, record: &Record, trouble: bool) -> Result<u64, String> {
    let net = Net::new()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    let edits = [1, 3, 4].map(|last| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, last), 443));
    let feed = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);
    let spec = |name: &str, id: u64| Spec {
        name: name.to_owned(),
        id,
        slots: 3,
        queue: 12,
        max_conns: 2_000,
        work: Duration::from_millis(if name.starts_with("edit") { 72 } else { 5 }),
        spread: 0.5,
        max_work: Duration::from_millis(if name.starts_with("edit") { 430 } else { 30 }),
        idle: IDLE,
        is_recorded: name.starts_with("edit"),
        client_port: net.packets,
    };
    let mut layout = vec![("edit-1".to_owned(), "edit-1", "zone-a"), ("edit-2".to_owned(), "edit-2", "zone-b"), ("edit-3".to_owned(), "edit-3", "zone-a")];
    layout.extend((1..=10).map(|number| (format!("feed-{number}"), "feed", if number % 2 == 0 { "zone-a" } else { "zone-b" })));
    let mut targets = Vec::new();
    for (index, (name, service, zone)) in layout.iter().enumerate() {
        let id = 0x5a10_7c3e_00 + 0x1_0001 * (index as u64 + 1);
        let address = SocketAddrV4::new(net.ip(3, index as u8 + 1), 0);
        let target = Target::start(spec(name, id), address, record.clone()).map_err(|error| error.to_string())?;
        store.put("servers", &format!("i-{id:010x}"), &format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1796000000000}}",
            target.address,
        ));
        targets.push(Arc::new(target));
    }
    let route = |name: &str, address: SocketAddrV4, service: &str| format!(
        "{{\"name\":\"{name}\",\"host\":\"{}\",\"path_prefix\":\"/{}/\",\"type\":\"non_idempotent\",\"timeout_ms\":5000,\"slo_ms\":300,\"priority\":1,\"attempts\":1,\"service\":\"{service}\"}}",
        address.ip(), address.port(),
    );
    let service = |name: &str| format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":2000,\"cold_start_s\":2.0,\"cold_per_s\":0.0}}");
    store.put("config", "main", &format!(
        "{{\"version\":7,\"routes\":[{},{},{},{}],\"services\":[{},{},{},{}],\"limits\":{{\"idle_timeout_ms\":{}}}}}",
        route("r-edit-1", edits[0], "edit-1"), route("r-edit-2", edits[1], "edit-2"), route("r-edit-3", edits[2], "edit-3"), route("r-feed", feed, "feed"), service("edit-1"), service("edit-2"), service("edit-3"), service("feed"), IDLE.as_millis(),
    ));
    let mut instances = Vec::new();
    for (number, zone) in [(1, "zone-a"), (2, "zone-b"), (3, "zone-a"), (4, "zone-b"), (5, "zone-a"), (6, "zone-b")] {
        instances.push(Instance::start(&net, daemon, store.address, zone, number, false)?);
    }
    for instance in &instances {
        instance.wait_ready()?;
    }
    std::thread::sleep(Duration::from_secs(4));
    let world = World {
        router: Router::start(&instances),
        record: record.clone(),
        targets: Arc::new(targets),
        outcome: Arc::default(),
        start: Instant::now(),
        ended: Arc::default(),
        max_flow: Duration::from_secs(60),
        idle: IDLE,
    };
    record.line("traffic starts");
    for (host, zone) in [(1_u8, "zone-a"), (2, "zone-b")] {
        let user = |name: String, route, begin, pause| User {
            name,
            route,
            begin,
            pause,
            limit: Duration::from_secs(5),
            attempts: 3,
            end: LENGTH,
            beat: None,
            is_fresh: false,
            is_recorded: true,
        };
        let mut users = Vec::new();
        for number in 0..40 {
            let feed = user(format!("feed-{zone}-{number}"), feed, Duration::from_millis(20 * number), Duration::from_millis(30));
            users.push(User { is_recorded: false, ..feed });
        }
        let feeds = std::mem::take(&mut users);
        client::start_host(&world, net.ip(2, host + 2), net.packets, zone, feeds, 99 + u64::from(host)).map_err(|error| error.to_string())?;
        let of_zone = |number: &usize| number % 2 == usize::from(host) % 2;
        for (index, edits) in edits.into_iter().enumerate() {
            let beat = Beat { interval: INTERVAL, phase: Duration::from_millis(800 * index as u64), within: APART };
            for number in (0..OTHERS).filter(of_zone) {
                let name = format!("other-{}-{number}", index + 1);
                users.push(user(name, edits, Duration::from_millis(1_000 + 200 * number as u64), Duration::from_secs(2)));
            }
            for number in (0..IN_STEP).filter(of_zone) {
                let begin = Duration::from_millis(1_000 + 200 * number as u64);
                let step = user(format!("step-{}-{number}", index + 1), edits, begin, INTERVAL);
                users.push(User { beat: trouble.then_some(beat), ..step });
            }
        }
        client::start_host(&world, net.ip(2, host), net.packets, zone, users, 77 + u64::from(host)).map_err(|error| error.to_string())?;
    }
    std::thread::sleep(LENGTH + Duration::from_secs(2));
    world.ended.store(true, Ordering::Relaxed);
    world.router.end();
    let Outcome { opened, refused, unanswered_openings, answered, rejected, timed_out, broken_flows, lost_requests, lost_ids, target_resets, wrong } = &*world.outcome.lock().unwrap();
    record.line(&format!(
        "clients: {opened} flows opened, {refused} openings reset, {unanswered_openings} unanswered, {answered} requests answered, {rejected} rejected, {timed_out} timed out, {wrong} wrong, {target_resets} resets by targets"
    ));
    record.line(&format!("FLOW: {broken_flows} open flows of a living target reset by the system, {lost_requests} of them with a request under way"));
    let has_run = |id: &&String| world.targets.iter().any(|target| target.seen.lock().unwrap().runs.contains_key(*id));
    record.line(&format!("of these requests, {} were run by their target and never answered: {lost_ids:?}", lost_ids.iter().filter(has_run).count()));
    let folder = net.folder.clone();
    for instance in &instances {
        let log = std::fs::read_to_string(folder.join(format!("{}.log", instance.number))).unwrap_or_default();
        for line in log.lines().filter(|line| line.contains("taken for dead")).take(3) {
            record.line(&format!("log of entry-{}: {line}", instance.number));
        }
    }
    drop(instances);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(folder);
    }
    if *answered == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(*broken_flows)
}
