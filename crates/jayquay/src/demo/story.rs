//! What happens in a demo, and when.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use units::Weight;

use crate::demo::error::Error;
use crate::demo::world::SERVICES;
use crate::demo::world::World;
use crate::output;
use crate::traffic;
use crate::traffic::Ended;
use crate::traffic::Kind;
use crate::traffic::Plan;
use crate::traffic::Summary;
use crate::traffic::Surge;

/// How many instances there are.
const INSTANCES: usize = 3;
/// How long requests begin.
const DURATION: Duration = Duration::from_secs(10);
/// How long before the first change.
const QUIET: Duration = Duration::from_secs(2);
/// When more holds come than the service can take once one of its upstreams has gone.
const SURGE_AT: Duration = Duration::from_secs(7);
/// How long they come.
const SURGE_LASTS: Duration = Duration::from_secs(1);
/// How many come per second.
const SURGE_RATE: f64 = 700.0;
/// How long a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How many ended requests wait to be counted.
const ENDS: usize = 1_024;

/// What happened in a demo.
#[derive(Debug)]
pub struct Story {
    /// What callers saw.
    pub traffic: Summary,
    /// Every request's end.
    pub ends: Vec<Ended>,
    /// Everything that stood around the callers.
    pub world: World,
}

/// Runs a demo to its end. Progress goes to stderr.
pub async fn run(seed: u64) -> Result<Story, Error> {
    let mut world = World::start(INSTANCES, seed).await?;
    output::complain(&format!("{INSTANCES} instances serve, traffic begins"));
    let (sender, mut receiver) = mpsc::channel(ENDS);
    let driving: Vec<_> = plans(&world, seed)
        .into_iter()
        .map(|plan| start(plan, &sender))
        .collect();
    drop(sender);
    let counting = tokio::spawn(async move {
        let mut ends = Vec::new();
        while let Some(ended) = receiver.recv().await {
            ends.push(ended);
        }
        ends
    });
    tokio::time::sleep(QUIET).await;
    world.replace_instance().await?;
    output::complain("an instance was replaced under traffic");
    tokio::time::sleep(QUIET).await;
    world.drain_upstream().await;
    output::complain("an upstream drains; soon callers ask for more than the other one can do");
    let mut traffic = Summary::default();
    traffic.set_elapsed(DURATION);
    for (service, driving) in driving {
        let tallies = driving.await.expect("the driver does not panic")?;
        traffic.add_flows(&service, &tallies);
    }
    let ends = counting.await.expect("counting does not panic");
    for ended in &ends {
        traffic.add(ended);
    }
    Ok(Story { traffic, ends, world })
}

type Driving = JoinHandle<Result<Vec<caller::FlowCounters>, caller::OpenError>>;

fn start(plan: Plan, ends: &mpsc::Sender<Ended>) -> (units::ServiceName, Driving) {
    let service = plan.service.clone();
    (service, tokio::spawn(traffic::drive(plan, ends.clone())))
}

/// The traffic of each service.
fn plans(world: &World, seed: u64) -> Vec<Plan> {
    let plan = |index: usize, flows, rate, surge, kinds| Plan {
        fabric: world.address(index),
        address: world.address(index),
        service: SERVICES[index].name.parse().expect("the name is valid"),
        flows,
        rate,
        surge,
        duration: DURATION,
        kinds,
        timeout: TIMEOUT,
        body_len: 100,
        seed: seed.wrapping_add(index as u64),
    };
    let kind = |name: &str, share, weight, idempotent| Kind {
        name: name.parse().expect("the name is valid"),
        share,
        weight: Weight(weight),
        idempotent,
    };
    let hold = kind("hold", 3, 5, false);
    let surge = Surge {
        at: SURGE_AT,
        lasts: SURGE_LASTS,
        rate: SURGE_RATE,
        kinds: vec![hold.clone()],
    };
    vec![
        plan(0, 40, 150.0, Some(surge), vec![kind("read", 7, 1, true), hold]),
        plan(1, 10, 30.0, None, vec![kind("sheet", 1, 2, true)]),
    ]
}
