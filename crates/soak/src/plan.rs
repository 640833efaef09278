//! What goes wrong when, drawn from a seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Something that goes wrong, or that operators do. Numbers name instances and upstreams in a fixed order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed, and started again.
    Kill(usize),
    /// An instance is told to stop, and started again once it has ended.
    Terminate(usize),
    /// An instance is told that its settings changed.
    Reload(usize),
    /// An instance stands still for a while.
    Pause(usize, Duration),
    /// All instances are killed at once.
    KillAll,
    /// The way between an instance and the store fails for a while.
    Way(usize, Way, Duration),
    /// The store itself fails for a while.
    Store(Refusal, Duration),
    /// The store forgets its history.
    Compact,
    /// An upstream crashes; the next one starts at its address.
    Crash(usize),
    /// An upstream leaves; the next one starts beside it.
    Leave(usize),
    /// The next document is written.
    Document,
}

/// How the way between an instance and the store fails.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// It does not.
    #[default]
    Open,
    /// What is sent arrives late.
    Slow,
    /// Nothing arrives either way, and nobody is told.
    Silent,
    /// Calls arrive, answers do not.
    Deaf,
    /// Connections are reset.
    Reset,
}

/// How the store refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It answers 503.
    Busy,
    /// It answers 429.
    Many,
    /// It takes calls and does not answer.
    Silent,
}

/// A series of faults, each with its time since the start of traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The faults, in order.
    pub faults: Vec<(Duration, Fault)>,
}

/// The longest time that a fault lasts.
const LONGEST: Duration = Duration::from_secs(4);

impl Plan {
    /// Draws a plan for so many instances and upstreams. About two faults begin in each second, so most overlap.
    pub fn draw(seed: u64, length: Duration, instances: usize, upstreams: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(500);
        while at < length {
            faults.push((at, fault(&mut rng, instances, upstreams)));
            at += Duration::from_millis(rng.random_range(50..1_000));
        }
        Self { faults }
    }
}

fn fault(rng: &mut StdRng, instances: usize, upstreams: usize) -> Fault {
    let instance = rng.random_range(0..instances);
    let upstream = rng.random_range(0..upstreams);
    let span = rng.random_range(Duration::from_millis(200)..LONGEST);
    match rng.random_range(0..20) {
        0 | 1 => Fault::Kill(instance),
        2 | 3 => Fault::Terminate(instance),
        4 => Fault::Reload(instance),
        5 | 6 => Fault::Pause(instance, span),
        7 => Fault::KillAll,
        8..=11 => Fault::Way(instance, way(rng), span),
        12 => Fault::Store(refusal(rng), span),
        13 => Fault::Compact,
        14 | 15 => Fault::Crash(upstream),
        16 | 17 => Fault::Leave(upstream),
        _ => Fault::Document,
    }
}

fn way(rng: &mut StdRng) -> Way {
    match rng.random_range(0..4) {
        0 => Way::Slow,
        1 => Way::Silent,
        2 => Way::Deaf,
        _ => Way::Reset,
    }
}

fn refusal(rng: &mut StdRng) -> Refusal {
    match rng.random_range(0..3) {
        0 => Refusal::Busy,
        1 => Refusal::Many,
        _ => Refusal::Silent,
    }
}
