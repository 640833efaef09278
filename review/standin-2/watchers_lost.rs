//! Six of seven machines lose power right before a change of the configuration, again and again. Rule CONFIG.

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

const HOST: Ipv4Addr = Ipv4Addr::new(127, 198, 18, 1);
const SERVICE: &str = "dele69a";
/// How often it happens.
const TURNS: u16 = 8;
/// The port of the route that the change of the first turn adds.
const FIRST_PORT: u16 = 9_001;
/// How long the machines stay dark.
const DARK: Duration = Duration::from_secs(5);
/// From the loss of power to the change.
const UNTIL_CHANGE: Duration = Duration::from_millis(100);
/// The bound `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(3_000);
/// Longer than `stable_window_ms`, so that all machines are in touch before the next turn.
const CALM: Duration = Duration::from_millis(4_500);
/// From one request to the next.
const PAUSE: Duration = Duration::from_millis(50);

/// The configuration with the routes that the first `turns` changes have added.
fn config(turns: u16) -> String {
    let route = |port: u16| {
        format!(
            "{{\"name\":\"r-{port}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{port}/\",\"type\":\"idempotent\",\
             \"timeout_ms\":800,\"slo_ms\":120,\"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":2}}"
        )
    };
    let routes: Vec<String> = (0..=turns).map(|turn| route(FIRST_PORT - 1 + turn)).collect();
    format!(
        "{{\"version\":{},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\"}}],\
         \"limits\":{{\"idle_timeout_ms\":12000}}}}",
        7 + turns * 3,
        routes.join(",")
    )
}

pub fn run(jayquayd: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::create(record)?);
    record.line(&format!("case   watchers-lost, trouble={trouble}"));
    let mut deployment = Deployment::new(jayquayd)?;
    let store = Store::start(&deployment.host(4, 1).to_string())?;
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    let (reported, _unread) = mpsc::channel();
    let mut targets = Vec::new();
    for (number, zone) in (1..).zip(["zone-a", "zone-b", "zone-c"]) {
        let id = 0x31_b174_c200 + u64::from(number);
        let ip = deployment.host(3, number);
        let target = Target::start(id, SERVICE, zone, ip, deployment.packets, Arc::clone(&runs))?;
        let target = Arc::new(target);
        target.register(store.clone(), Arc::clone(&record), reported.clone());
        targets.push(target);
    }
    store.put("config", "main", &config(0));
    deployment.start(store.address, false)?;
    record.line("ready  all instances");
    thread::sleep(CALM);

    let mut client = Client::new(deployment.host(2, 1), deployment.packets)?;
    let (mut asked, mut answered, mut stale) = (0_usize, 0_usize, 0_usize);
    for turn in 1..=TURNS {
        let survivor = usize::from(turn) % deployment.instances.len();
        let others: Vec<usize> = (0..deployment.instances.len()).filter(|index| *index != survivor).collect();
        let name = deployment.instances[survivor].name.clone();
        let through = deployment.packets_of(&deployment.instances[survivor]);
        if trouble {
            for index in &others {
                deployment.kill(*index);
            }
            record.line(&format!("power  all but {name} lose power"));
        }
        let begin = Instant::now();
        thread::sleep(UNTIL_CHANGE);
        let port = FIRST_PORT - 1 + turn;
        let revision = store.put("config", "main", &config(turn));
        let acked = Instant::now();
        record.line(&format!("store  the change that adds the route to port {port} is acknowledged, rev={revision}"));
        while begin.elapsed() < DARK {
            let request = format!("q{asked:05}");
            asked += 1;
            let since = acked.elapsed();
            let outcome = client.ask((HOST, port), through, &request);
            let text = match outcome {
                Outcome::Answer(_) => "200",
                Outcome::Reset => "reset",
                Outcome::Nothing => "nothing",
            };
            answered += usize::from(matches!(outcome, Outcome::Answer(_)));
            let is_stale = matches!(outcome, Outcome::Reset) && since > APPLY;
            stale += usize::from(is_stale);
            record.line(&format!(
                "client {request} to port {port} through {name}, {} ms after the ack: {text}{}",
                since.as_millis(),
                if is_stale { " CONFIG" } else { "" }
            ));
            thread::sleep(PAUSE);
        }
        if trouble {
            for index in &others {
                deployment.start_again(*index)?;
            }
            let again = Instant::now();
            while !deployment.instances.iter().all(|instance| deployment.is_ready(instance)) {
                if again.elapsed() > Duration::from_secs(5) {
                    return Err("the instances are not ready again".into());
                }
                thread::sleep(Duration::from_millis(50));
            }
            record.line("ready  all instances again");
        }
        thread::sleep(CALM);
    }
    record.line(&format!("sum    asked={asked} answered={answered} refused by an old document too late={stale}"));
    println!("asked={asked} answered={answered} stale={stale}");
    if answered == 0 {
        return Err("no request was answered".into());
    }
    Ok(stale == 0)
}
