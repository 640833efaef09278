//! How faults of each family begin and end in a randomised run.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use units::UpstreamName;
use units::ZoneName;

use crate::family::Family;
use crate::fault::Behaviour;
use crate::fault::Fault;
use crate::fault::Mishap;
use crate::fault::PlatformState;
use crate::plan::Plan;
use crate::random::ZONES;
use crate::random::plan;
use crate::violation::Promise;
use crate::violation::Violation;
use crate::world::World;

/// How long to wait at a time for an upstream to become idle.
const PATIENCE: Duration = Duration::from_millis(50);
/// How often callers ask under overload, in milliseconds.
const HURRIED: u64 = 20;
/// How often they ask otherwise.
const CALM: u64 = 150;
/// How often to wait.
const MAX_PATIENCE: u32 = 60;

/// What ends a fault, and when.
#[derive(Debug)]
pub(crate) struct Ending {
    /// When, counted from the beginning of the run.
    pub(crate) at: Duration,
    how: How,
}

#[derive(Debug)]
enum How {
    Fault(Fault),
    Approve(Plan),
    /// An upstream that leaves is restarted when it is idle.
    Restart(UpstreamName),
}

impl Ending {
    /// Ends the fault.
    pub(crate) fn carry_out(self, world: &mut World) -> Result<(), Violation> {
        match self.how {
            How::Fault(fault) => world.upset(fault),
            How::Approve(plan) => {
                if !world.platform_answers() {
                    // Nobody can approve anything before the outage ends.
                    world.upset(Fault::Platform(PlatformState::Up))?;
                }
                world.approve(plan)
            }
            How::Restart(name) => restart(world, name),
        }
    }
}

/// Restarts an upstream as soon as it is idle. Not for ever: a list that lags may not have told yet that it leaves.
fn restart(world: &mut World, name: UpstreamName) -> Result<(), Violation> {
    for _ in 0..MAX_PATIENCE {
        if world.busy(&name) == 0 {
            break;
        }
        world.run_for(PATIENCE)?;
    }
    if world.busy(&name) > 0 {
        world.upset(Fault::KillUpstream(name.clone()))?;
    }
    world.upset(Fault::StartUpstream(name))
}

impl Family {
    /// Brings a fault of this family about, and tells what is to follow.
    pub(crate) fn begin(self, world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
        match self {
            Self::Kill => lose_instance(world, rng, Fault::Kill),
            Self::Vanish => lose_instance(world, rng, Fault::Vanish),
            Self::Freeze => freeze(world, rng),
            Self::Replace => replace(world, rng),
            Self::Drain => drain(world, rng),
            Self::ListLeaving => list_leaving(world, rng),
            Self::KillUpstream => kill_upstream(world, rng),
            Self::Lie => behave(world, rng, &[Behaviour::LyingLoad, Behaviour::LyingUnhealthy]),
            Self::Fail => behave(
                world,
                rng,
                &[Behaviour::FailingHealthy, Behaviour::Shedding, Behaviour::Slow],
            ),
            Self::Answer => behave(world, rng, &[Behaviour::Late, Behaviour::Twice, Behaviour::Crossed]),
            Self::Lose => mishap(world, rng, &[Mishap::Lose]),
            Self::Shuffle => mishap(
                world,
                rng,
                &[Mishap::Double, Mishap::Delay, Mishap::Reorder, Mishap::Replay],
            ),
            Self::Rewrap => mishap(world, rng, &[Mishap::Rewrap]),
            Self::Tamper => mishap(world, rng, &[Mishap::Tamper, Mishap::Corrupt]),
            Self::Overload => overload(world, rng),
            Self::Cut => cut(world, rng),
            Self::CutPlatform => cut_platform(world, rng),
            Self::Platform => platform(world, rng),
            Self::Document => document(world, rng),
            Self::Race => race(world, rng),
            Self::Rotate => rotate(world, rng),
        }
    }
}

fn after(world: &World, rng: &mut StdRng, low: u64, high: u64, how: How) -> Ending {
    let wait = Duration::from_millis(rng.random_range(low..high));
    Ending {
        at: world.elapsed() + wait,
        how,
    }
}

fn pick<T: Clone>(rng: &mut StdRng, items: &[T]) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    Some(items[rng.random_range(0..items.len())].clone())
}

/// At most half of the fleet is away at a time.
fn lose_instance(
    world: &mut World,
    rng: &mut StdRng,
    fault: fn(units::InstanceName) -> Fault,
) -> Result<Vec<Ending>, Violation> {
    let names = world.instance_names();
    let running = world.running();
    let Some(name) = pick(rng, &running).filter(|_| running.len() * 2 > names.len()) else {
        return Ok(Vec::new());
    };
    world.upset(fault(name.clone()))?;
    Ok(vec![after(world, rng, 50, 8_000, How::Fault(Fault::Start(name)))])
}

fn freeze(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    let names = world.instance_names();
    let running = world.running();
    let Some(name) = pick(rng, &running).filter(|_| running.len() * 2 > names.len()) else {
        return Ok(Vec::new());
    };
    world.upset(Fault::Freeze(name.clone()))?;
    Ok(vec![after(world, rng, 100, 15_000, How::Fault(Fault::Resume(name)))])
}

fn replace(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    let names = world.instance_names();
    let running = world.running();
    let Some(name) = pick(rng, &running).filter(|_| running.len() * 2 > names.len()) else {
        return Ok(Vec::new());
    };
    world.upset(Fault::Stop(name.clone()))?;
    // A planned stop takes ten seconds at most.
    Ok(vec![after(world, rng, 10_500, 14_000, How::Fault(Fault::Start(name)))])
}

fn drain(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    let Some(name) = pick(rng, &world.spare_upstreams()) else {
        return Ok(Vec::new());
    };
    world.upset(Fault::Drain(name.clone()))?;
    Ok(vec![after(world, rng, 4_000, 9_000, How::Restart(name))])
}

fn list_leaving(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    let Some(name) = pick(rng, &world.spare_upstreams()) else {
        return Ok(Vec::new());
    };
    world.upset(Fault::ListLeaving(name.clone()))?;
    Ok(vec![after(world, rng, 8_000, 12_000, How::Restart(name))])
}

fn kill_upstream(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    let Some(name) = pick(rng, &world.spare_upstreams()) else {
        return Ok(Vec::new());
    };
    world.upset(Fault::KillUpstream(name.clone()))?;
    Ok(vec![after(
        world,
        rng,
        100,
        6_000,
        How::Fault(Fault::StartUpstream(name)),
    )])
}

fn behave(world: &mut World, rng: &mut StdRng, behaviours: &[Behaviour]) -> Result<Vec<Ending>, Violation> {
    let picked = pick(rng, &world.spare_upstreams()).zip(pick(rng, behaviours));
    let Some((name, behaviour)) = picked else {
        return Ok(Vec::new());
    };
    world.upset(Fault::Behave(name.clone(), behaviour))?;
    let honest = Fault::Behave(name, Behaviour::Honest);
    Ok(vec![after(world, rng, 500, 6_000, How::Fault(honest))])
}

fn mishap(world: &mut World, rng: &mut StdRng, mishaps: &[Mishap]) -> Result<Vec<Ending>, Violation> {
    let Some(mishap) = pick(rng, mishaps) else {
        return Ok(Vec::new());
    };
    let percent = rng.random_range(5..50);
    world.upset(Fault::Fabric(mishap, percent))?;
    Ok(vec![after(
        world,
        rng,
        500,
        6_000,
        How::Fault(Fault::Fabric(mishap, 0)),
    )])
}

fn overload(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    world.upset(Fault::Load(HURRIED))?;
    Ok(vec![after(world, rng, 2_000, 8_000, How::Fault(Fault::Load(CALM)))])
}

fn zone(name: &str) -> ZoneName {
    name.parse().expect("it is a name")
}

fn cut(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    let first = rng.random_range(0..ZONES.len());
    let other = (first + rng.random_range(1..ZONES.len())) % ZONES.len();
    let (a, b) = (zone(ZONES[first]), zone(ZONES[other]));
    world.upset(Fault::Cut(a.clone(), b.clone()))?;
    Ok(vec![after(world, rng, 200, 10_000, How::Fault(Fault::Join(a, b)))])
}

fn cut_platform(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    let zone = zone(ZONES[rng.random_range(0..ZONES.len())]);
    world.upset(Fault::CutPlatform(zone.clone()))?;
    Ok(vec![after(
        world,
        rng,
        500,
        10_000,
        How::Fault(Fault::JoinPlatform(zone)),
    )])
}

fn platform(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    let states = [
        PlatformState::Down,
        PlatformState::Slow,
        PlatformState::Stale,
        PlatformState::Lagging,
    ];
    let state = states[rng.random_range(0..states.len())];
    world.upset(Fault::Platform(state))?;
    Ok(vec![after(
        world,
        rng,
        1_000,
        8_000,
        How::Fault(Fault::Platform(PlatformState::Up)),
    )])
}

/// Changes the plan in one way.
fn altered(rng: &mut StdRng) -> Plan {
    let mut plan = plan();
    let index = rng.random_range(0..plan.upstreams.len());
    match rng.random_range(0..4) {
        0 => plan.upstreams[index].draining = true,
        1 => {
            plan.upstreams.remove(index);
        }
        2 => {
            let service = index % plan.services.len();
            plan.services[service].pinned ^= true;
        }
        _ => {
            let address = plan.services[0].address;
            plan.services[0].address = plan.services[1].address;
            plan.services[1].address = address;
        }
    }
    plan
}

fn document(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    if !world.platform_answers() {
        return Ok(Vec::new());
    }
    world.approve(altered(rng))?;
    Ok(vec![after(world, rng, 100, 6_000, How::Approve(plan()))])
}

fn race(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    if !world.platform_answers() {
        return Ok(Vec::new());
    }
    let base = world.revision();
    let first = world.approve_from(base, altered(rng), "Ruth");
    let second = world.approve_from(base, altered(rng), "Wim");
    if first.is_err() || second.is_ok() {
        let text = format!("of two updates from {base:?} not just the first one won");
        return Err(world.violation(Promise::InForce, None, text));
    }
    Ok(vec![after(world, rng, 100, 6_000, How::Approve(plan()))])
}

/// Seals with the other one of two secrets, which all instances accept. A secret is dropped only when no token lives
/// that it sealed, which is longer than a run.
fn rotate(world: &mut World, rng: &mut StdRng) -> Result<Vec<Ending>, Violation> {
    let (current, also) = world.secrets;
    world.upset(Fault::Secrets(also, current))?;
    replace(world, rng)
}
