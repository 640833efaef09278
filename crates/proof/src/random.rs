//! Randomised runs: a fleet under load, with faults of the given families at random times, then a quiet time in
//! which everything must be well again.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use units::InstanceName;
use units::ServiceName;
use units::Slots;
use units::UpstreamName;

use crate::book::Summary;
use crate::family::Family;
use crate::instance::InstanceSpec;
use crate::outbreak::Ending;
use crate::plan::Plan;
use crate::plan::ServicePlan;
use crate::plan::UpstreamPlan;
use crate::upstream::UpstreamSpec;
use crate::violation::Violation;
use crate::world::World;

/// The availability zones of a run.
pub(crate) const ZONES: [&str; 3] = ["east", "north", "west"];
/// How many instances each zone has.
const PER_ZONE: usize = 2;
/// How many upstreams each service has.
const UPSTREAMS: usize = 4;
/// How many callers each service has.
const CALLERS: usize = 6;
/// How often a busy caller asks for something.
const EVERY: Duration = Duration::from_millis(150);
/// How often each third caller does: its flow is idle through most changes.
const SELDOM: Duration = Duration::from_secs(4);
/// How long the fleet has for finding itself.
pub(crate) const SETTLE: Duration = Duration::from_secs(5);
/// How long faults go on.
const TROUBLE: Duration = Duration::from_secs(25);

/// How a run went.
#[derive(Debug)]
pub struct Outcome {
    /// How the operations ended.
    pub summary: Summary,
    /// How many operations ended in each way but with an answer.
    pub endings: BTreeMap<String, u32>,
    /// The broken promise, with its seed and trace.
    pub broken: Option<String>,
}

/// Runs a seed with these families of faults.
pub fn run(seed: u64, families: &[Family]) -> Outcome {
    let mut world = World::new(seed);
    let outcome = trouble(&mut world, seed, families);
    Outcome {
        summary: world.summary(),
        endings: world.endings(),
        broken: outcome.err().map(|violation| world.report(&violation)),
    }
}

fn trouble(world: &mut World, seed: u64, families: &[Family]) -> Result<(), Violation> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    populate(world)?;
    world.run_for(SETTLE)?;
    for caller in 1..=world.callers() {
        let every = if caller % 3 == 0 { SELDOM } else { EVERY };
        world.load(caller, every, TROUBLE);
    }
    let end = world.elapsed() + TROUBLE;
    let mut endings: Vec<Ending> = Vec::new();
    while world.elapsed() < end {
        world.run_for(Duration::from_millis(rng.random_range(200..2_500)))?;
        endings = finish(world, endings)?;
        if families.is_empty() {
            continue;
        }
        let family = families[rng.random_range(0..families.len())];
        endings.extend(family.begin(world, &mut rng)?);
    }
    for ending in endings {
        ending.carry_out(world)?;
    }
    restore(world)?;
    world.quiet()
}

/// Ends the faults that are due.
fn finish(world: &mut World, endings: Vec<Ending>) -> Result<Vec<Ending>, Violation> {
    let mut left = Vec::new();
    for ending in endings {
        if ending.at > world.elapsed() {
            left.push(ending);
            continue;
        }
        ending.carry_out(world)?;
    }
    Ok(left)
}

/// Starts every instance that is down, and approves the first plan again.
fn restore(world: &mut World) -> Result<(), Violation> {
    for name in world.instance_names() {
        world.upset(crate::fault::Fault::Start(name))?;
    }
    world.approve(plan())
}

/// Fills an empty world with the fleet that all randomised runs have.
pub(crate) fn populate(world: &mut World) -> Result<(), Violation> {
    for (name, zone, host) in instances() {
        world.add_instance(InstanceSpec {
            name: name.clone(),
            zone: zone.parse().expect("it is a name"),
            address: SocketAddr::new(Ipv4Addr::new(10, 0, 0, host).into(), 7_000),
        });
        world.start(&name);
    }
    let plan = plan();
    for upstream in &plan.upstreams {
        world.add_upstream(upstream.spec.clone());
    }
    let services = plan.services.clone();
    world.approve(plan)?;
    for service in services {
        for _ in 0..CALLERS {
            world.add_caller(&service.name);
        }
    }
    Ok(())
}

fn instances() -> Vec<(InstanceName, &'static str, u8)> {
    let mut found = Vec::new();
    for zone in ZONES {
        for number in 0..PER_ZONE {
            let name = format!("{zone}-{number}").parse().expect("it is a name");
            found.push((name, zone, found.len() as u8 + 1));
        }
    }
    found
}

/// The plan that every run begins and ends with.
pub(crate) fn plan() -> Plan {
    let zones = ZONES.iter().map(|zone| zone.parse().expect("it is a name")).collect();
    let mut plan = Plan {
        zones,
        ..Plan::default()
    };
    for (index, name) in ["availability", "photos"].into_iter().enumerate() {
        let name: ServiceName = name.parse().expect("it is a name");
        plan.services.push(ServicePlan {
            name: name.clone(),
            address: SocketAddr::new(Ipv4Addr::new(192, 0, 2, index as u8 + 1).into(), 443),
            pinned: index == 1,
        });
        for number in 0..UPSTREAMS {
            plan.upstreams.push(upstream(&name, index, number));
        }
    }
    plan
}

fn upstream(service: &ServiceName, index: usize, number: usize) -> UpstreamPlan {
    let name: UpstreamName = format!("{service}-{number}").parse().expect("it is a name");
    let host = (index * UPSTREAMS + number) as u8 + 1;
    let spec = UpstreamSpec {
        name,
        zone: ZONES[number % ZONES.len()].parse().expect("it is a name"),
        service: service.clone(),
        address: SocketAddr::new(Ipv4Addr::new(10, 1, 0, host).into(), 8_000),
        slots: Slots(2),
    };
    UpstreamPlan { spec, draining: false }
}
