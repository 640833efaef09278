//! Another writer leaves an entry with missing fields under a target's name. Rule ROUTE.

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
/// The routes: a port, and the only service that any configuration lets it go to.
const ROUTES: [(u16, &str); 2] = [(8_443, "dele69a"), (8_444, "xano55b")];
/// Time before the first foreign entry, and from one to the next.
const PAUSE: Duration = Duration::from_secs(5);
/// How many foreign entries are written.
const FOREIGN: usize = 3;
const LENGTH: Duration = Duration::from_secs(22);

fn config() -> String {
    let route = |(port, service): &(u16, &str)| {
        format!(
            "{{\"name\":\"r-{port}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{port}/\",\"type\":\"idempotent\",\
             \"timeout_ms\":2500,\"slo_ms\":400,\"priority\":2,\"backends\":[{{\"service\":\"{service}\",\"weight\":1}}],\
             \"attempts\":2}}"
        )
    };
    let service = |(_, service): &(u16, &str)| format!("{{\"name\":\"{service}\",\"health_path\":\"/healthz\"}}");
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"idle_timeout_ms\":12000}}}}",
        ROUTES.iter().map(route).collect::<Vec<_>>().join(","),
        ROUTES.iter().map(service).collect::<Vec<_>>().join(",")
    )
}

pub fn run(jayquayd: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::create(record)?);
    record.line(&format!("case   foreign-entry, trouble={trouble}"));
    let mut deployment = Deployment::new(jayquayd)?;
    let store = Store::start(&deployment.host(4, 1).to_string())?;
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    let (reported, reports) = mpsc::channel();
    let zones = ["zone-a", "zone-b", "zone-c"];
    let mut targets = Vec::new();
    for number in 1..=6_u8 {
        let (_, service) = ROUTES[usize::from(number > 4)];
        let zone = zones[usize::from(number) % zones.len()];
        let id = 0x31_b174_c200 + u64::from(number);
        let ip = deployment.host(3, number);
        let target = Target::start(id, service, zone, ip, deployment.packets, Arc::clone(&runs))?;
        let target = Arc::new(target);
        target.register(store.clone(), Arc::clone(&record), reported.clone());
        targets.push(target);
    }
    store.put("config", "main", &config());
    deployment.start(store.address, false)?;
    record.line("ready  all instances");

    let victim = Arc::clone(&targets[4]);
    if trouble {
        let (store, record) = (store.clone(), Arc::clone(&record));
        thread::spawn(move || {
            for _ in 0..FOREIGN {
                thread::sleep(PAUSE);
                while reports.try_recv().is_ok() {}
                // Right after a report, so that the target's next one, which puts things right, is a heartbeat away.
                while reports.recv().is_ok_and(|name| name != victim.name) {}
                thread::sleep(Duration::from_millis(20));
                let entry = format!(
                    "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"slots\":2,\"state\":\"ready\"}}",
                    ROUTES[0].1, victim.address, victim.zone
                );
                let revision = store.put("servers", &victim.name, &entry);
                record.line(&format!("store  ANOTHER WRITER puts {} rev={revision} {entry}", victim.name));
            }
        });
    }

    let mut client = Client::new(deployment.host(2, 1), deployment.packets)?;
    let begin = Instant::now();
    let (mut asked, mut answered) = (0_usize, 0_usize);
    let mut sent = Vec::new();
    while begin.elapsed() < LENGTH {
        let (port, allowed) = ROUTES[asked % ROUTES.len()];
        let instance = &deployment.instances[(asked / ROUTES.len()) % deployment.instances.len()];
        asked += 1;
        let request = format!("q{asked:05}");
        sent.push((request.clone(), port, allowed));
        let outcome = client.ask((HOST, port), deployment.packets_of(instance), &request);
        let text = match &outcome {
            Outcome::Answer(answer) => {
                answered += 1;
                let stamp = answer.lines().find_map(|line| line.strip_prefix("X-Server-Stamp: "));
                format!("200 from {}", stamp.unwrap_or("?"))
            }
            Outcome::Reset => "reset".to_owned(),
            Outcome::Nothing => "nothing".to_owned(),
        };
        record.line(&format!("client {request} to port {port} through {}: {text}", instance.name));
        thread::sleep(Duration::from_millis(5));
    }

    let runs = runs.lock().unwrap().clone();
    let mut wrong = 0;
    for run in &runs {
        let Some((_, port, allowed)) = sent.iter().find(|(request, ..)| *request == run.request) else {
            record.line(&format!("UNASKED {run:?}"));
            wrong += 1;
            continue;
        };
        if run.service != *allowed {
            wrong += 1;
            record.line(&format!(
                "ROUTE  {} to port {port}, which only {allowed} may run, was run by {} of {}",
                run.request, run.target, run.service
            ));
        }
    }
    record.line(&format!("sum    asked={asked} answered={answered} run={} run by a wrong service={wrong}", runs.len()));
    println!("asked={asked} answered={answered} wrong={wrong}");
    if answered * 10 < asked * 9 {
        return Err(format!("only {answered} of {asked} requests were answered"));
    }
    Ok(wrong == 0)
}
