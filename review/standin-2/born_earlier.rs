//! A target starts again under its id while its clock has jumped back, and is later emptied. Rule DRAIN.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::Mutex;
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
use crate::target::unix_ms;

const HOST: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
const PORT: u16 = 8_443;
const SERVICE: &str = "dele69a";
/// How far the time of day jumps back, in milliseconds, and for how long.
const CLOCK_STEP_MS: u64 = 2_400;
/// The time for which the target is up, and then down.
const FLAP: Duration = Duration::from_secs(1);
/// From the target's last start to its report that it is draining.
const UNTIL_DRAINING: Duration = Duration::from_secs(8);
/// The bound `drain_ms`.
const DRAIN: Duration = Duration::from_millis(5_000);
/// How much longer than that the target serves before it exits.
const LONGER: Duration = Duration::from_secs(5);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/{PORT}/\",\
         \"type\":\"non_idempotent\",\"timeout_ms\":4000,\"slo_ms\":500,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"attempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\"}}],\
         \"limits\":{{\"idle_timeout_ms\":12000}}}}"
    )
}

/// What the operator's side did, and when.
#[derive(Default)]
struct Acked {
    draining: Option<Instant>,
    has_exited: bool,
}

pub fn run(jayquayd: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::create(record)?);
    record.line(&format!("case   born-earlier, trouble={trouble}"));
    let mut deployment = Deployment::new()?;
    let store = Store::start(&deployment.host(4, 1).to_string())?;
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    let (reported, _unread) = mpsc::channel();
    let zones = ["zone-a", "zone-b", "zone-c"];
    let mut targets = Vec::new();
    for number in 1..=4_u8 {
        let zone = zones[usize::from(number) % zones.len()];
        let id = 0x31_b174_c200 + u64::from(number);
        let ip = deployment.host(3, number);
        let target = Target::start(id, SERVICE, zone, ip, deployment.packets, Arc::clone(&runs))?;
        let target = Arc::new(target);
        target.register(store.clone(), Arc::clone(&record), reported.clone());
        targets.push(target);
    }
    store.put("config", "main", &config());
    deployment.start(jayquayd, store.address)?;
    record.line("ready  all instances");

    let leaver = Arc::clone(&targets[0]);
    let acked = Arc::new(Mutex::new(Acked::default()));
    {
        let (store, record, acked, leaver) = (store.clone(), Arc::clone(&record), Arc::clone(&acked), Arc::clone(&leaver));
        thread::spawn(move || {
            let report = |seq: u64| {
                let revision = store.put("servers", &leaver.name, &leaver.entry(seq));
                record.line(&format!("store  {} rev={revision} {}", leaver.name, leaver.entry(seq)));
            };
            thread::sleep(Duration::from_secs(3));
            // It goes down and up by turns: twice down for a second, and up for a second in between. In the second start, its
            // clock has jumped back.
            for turn in 0..2 {
                leaver.crash();
                record.line(&format!("target {} is down", leaver.name));
                thread::sleep(FLAP);
                let is_stepped = trouble && turn == 1;
                let step = if is_stepped { CLOCK_STEP_MS } else { 0 };
                leaver.start_again(unix_ms() - step);
                record.line(&format!("target {} is up again, its clock is {step} ms back", leaver.name));
                report(1);
                thread::sleep(FLAP);
            }
            thread::sleep(UNTIL_DRAINING);
            leaver.life.lock().unwrap().is_draining = true;
            report(1_000);
            acked.lock().unwrap().draining = Some(Instant::now());
            record.line(&format!("target {}: the store has acknowledged that it is draining", leaver.name));
            thread::sleep(DRAIN + LONGER);
            leaver.crash();
            acked.lock().unwrap().has_exited = true;
            record.line(&format!("target {} has left", leaver.name));
        });
    }

    let mut client = Client::new(deployment.host(2, 1), deployment.packets)?;
    let (mut asked, mut answered, mut late) = (0_usize, 0_usize, 0_usize);
    while !acked.lock().unwrap().has_exited {
        let instance = &deployment.instances[asked % deployment.instances.len()];
        asked += 1;
        let request = format!("q{asked:05}");
        // Taken before the opening packet is sent.
        let since_ack = acked.lock().unwrap().draining.map(|at| at.elapsed());
        let outcome = client.ask((HOST, PORT), deployment.packets_of(instance), &request);
        let ran_at = runs.lock().unwrap().iter().rev().find(|run| run.request == request).cloned();
        let text = match &outcome {
            Outcome::Answer(_) => "200",
            Outcome::Reset => "reset",
            Outcome::Nothing => "nothing",
        };
        answered += usize::from(matches!(outcome, Outcome::Answer(_)));
        let by = ran_at.map_or("nobody".to_owned(), |run| run.target);
        record.line(&format!("client {request} through {}: {text}, run by {by}", instance.name));
        if by == leaver.name && since_ack.is_some_and(|since| since > DRAIN) {
            late += 1;
            let since = since_ack.unwrap_or_default().as_millis();
            record.line(&format!("DRAIN  {request} was sent and reached {by} {since} ms after the ack"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.line(&format!("sum    asked={asked} answered={answered} late at the draining target={late}"));
    println!("asked={asked} answered={answered} late={late}");
    if answered * 10 < asked * 8 {
        return Err(format!("only {answered} of {asked} requests were answered"));
    }
    Ok(late == 0)
}
