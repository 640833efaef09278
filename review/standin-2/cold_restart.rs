//! A zone is emptied and taken back while an instance is restarted; the zone's targets are cold then. Rule FAILBACK.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Outcome;
use crate::deployment::Deployment;
use crate::record::Record;
use crate::store::Store;
use crate::target::Run;
use crate::target::Target;

const HOST: Ipv4Addr = Ipv4Addr::new(127, 198, 18, 1);
const PORT: u16 = 8_443;
const SERVICE: &str = "dele69a";
/// The zone that is emptied, and the index of the instance there that is restarted.
const ZONE: &str = "zone-a";
const RESTARTED: usize = 1;
/// What the service's targets bear while they are cold, and for how long they are.
const COLD_PER_S: f64 = 4.0;
const COLD_START: Duration = Duration::from_secs(6);
/// The bound by `cold_excess` and `cold_slack`.
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
/// From one request of a client to the next. There is one client for each instance.
const PAUSE: Duration = Duration::from_millis(15);
/// From the start of one target to that of the next.
const STAGGER: Duration = Duration::from_millis(290);
/// How long the zone stays empty.
const EMPTY: Duration = Duration::from_secs(8);
/// From the end of the emptying to the ready instance, at the most.
const SLOWEST_START: Duration = Duration::from_secs(5);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/{PORT}/\",\
         \"type\":\"idempotent\",\"timeout_ms\":4000,\"slo_ms\":600,\"priority\":2,\"service\":\"{SERVICE}\",\
         \"attempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":2000,\
         \"cold_start_s\":{},\"cold_per_s\":{COLD_PER_S}}}],\"limits\":{{\"idle_timeout_ms\":12000}}}}",
        COLD_START.as_secs()
    )
}

pub fn run(jayquayd: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::create(record)?);
    record.line(&format!("case   cold-restart, trouble={trouble}"));
    let mut deployment = Deployment::new(jayquayd)?;
    let store = Store::start(&deployment.host(4, 1).to_string())?;
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    let (reported, _unread) = mpsc::channel();
    let mut targets = Vec::new();
    for (number, zone) in (1..).zip([ZONE, ZONE, "zone-b", "zone-b", "zone-c", "zone-c"]) {
        let id = 0x31_b174_c200 + u64::from(number);
        let ip = deployment.host(3, number);
        let target = Target::start(id, SERVICE, zone, ip, deployment.packets, Arc::clone(&runs))?;
        let target = Arc::new(target);
        target.register(store.clone(), Arc::clone(&record), reported.clone());
        targets.push(target);
        // Targets don't report all at the same moment.
        thread::sleep(STAGGER);
    }
    store.put("config", "main", &config());
    deployment.start(store.address, true)?;
    record.line("ready  all instances");

    let is_over = Arc::new(AtomicBool::new(false));
    let (asked, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let routed: Vec<Arc<AtomicBool>> = deployment.instances.iter().map(|_| Arc::new(AtomicBool::new(true))).collect();
    let mut clients = Vec::new();
    for (index, routed) in routed.iter().enumerate() {
        let mut client = Client::new(deployment.host(2, index as u8 + 1), deployment.packets)?;
        let instance = &deployment.instances[index];
        let (name, through) = (instance.name.clone(), deployment.packets_of(instance));
        let (record, is_over, routed) = (Arc::clone(&record), Arc::clone(&is_over), Arc::clone(routed));
        let (asked, answered) = (Arc::clone(&asked), Arc::clone(&answered));
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(PAUSE);
                if !routed.load(Ordering::Relaxed) {
                    continue;
                }
                let request = format!("q{:05}", asked.fetch_add(1, Ordering::Relaxed) + 1);
                let text = match client.ask((HOST, PORT), through, &request) {
                    Outcome::Answer(_) => {
                        answered.fetch_add(1, Ordering::Relaxed);
                        "200"
                    }
                    Outcome::Reset => "reset",
                    Outcome::Nothing => "nothing",
                };
                record.line(&format!("client {request} through {name}: {text}"));
            }
        }));
    }

    // An instance starts to send to cold targets 10 s after its own start at the earliest.
    thread::sleep(Duration::from_secs(13));
    store.put("evacuations", ZONE, "{}");
    record.line(&format!("store  operators ask for {ZONE} to be emptied"));
    thread::sleep(EMPTY - Duration::from_secs(6));
    if trouble {
        deployment.terminate(RESTARTED)?;
        record.line(&format!("stop   SIGTERM to {}", deployment.instances[RESTARTED].name));
        // The routers take it out of rotation after two missed probes.
        thread::sleep(Duration::from_secs(1));
        routed[RESTARTED].store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(5));
        if !deployment.has_ended(RESTARTED) {
            return Err("the instance did not end".into());
        }
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    // The targets of the zone have become cold. They say so in their next reports.
    for target in targets.iter().filter(|target| target.zone == ZONE) {
        target.life.lock().unwrap().cold_until = Some(Instant::now() + COLD_START);
    }
    store.delete("evacuations", ZONE);
    let taken_back = Instant::now();
    record.line(&format!("store  operators take {ZONE} back; its targets are cold"));
    if trouble {
        thread::sleep(Duration::from_millis(200));
        deployment.start_again(RESTARTED)?;
        while !deployment.is_ready(&deployment.instances[RESTARTED]) {
            if taken_back.elapsed() > SLOWEST_START {
                return Err("the restarted instance is not ready".into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        routed[RESTARTED].store(true, Ordering::Relaxed);
        record.line(&format!("start  {} is ready again", deployment.instances[RESTARTED].name));
    }
    thread::sleep((taken_back + COLD_START).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ended = client.join();
    }

    let mut broken = 0;
    for target in targets.iter().filter(|target| target.zone == ZONE) {
        let openings = target.life.lock().unwrap().openings.clone();
        let cold: Vec<Duration> = openings
            .iter()
            .filter_map(|at| at.checked_duration_since(taken_back))
            .filter(|since| *since < COLD_START)
            .collect();
        let second = Duration::from_secs(1);
        let within = |from: &Duration| cold.iter().filter(|at| *at >= from && **at < *from + second).count();
        let most = cold.iter().map(within).max().unwrap_or(0);
        let is_broken = most as f64 > BOUND;
        broken += usize::from(is_broken);
        record.line(&format!(
            "{} {} took {} flows while cold, at most {most} in one second, bound {BOUND}",
            if is_broken { "FAILBACK" } else { "held  " },
            target.name,
            cold.len()
        ));
        println!("{}: at most {most} flows in one second, bound {BOUND}", target.name);
    }
    let (asked, answered) = (asked.load(Ordering::Relaxed), answered.load(Ordering::Relaxed));
    record.line(&format!("sum    asked={asked} answered={answered} targets over the bound={broken}"));
    if answered * 10 < asked * 8 {
        return Err(format!("only {answered} of {asked} requests were answered"));
    }
    Ok(broken == 0)
}
