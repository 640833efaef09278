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
    /// Ways between instances fail for a while.
    Cut(Cut, Duration),
    /// The store itself fails for a while.
    Store(Refusal, Duration),
    /// The store forgets its history.
    Compact,
    /// The store is away for a while, and comes back from a copy of so long ago.
    Return(Duration, Duration),
    /// An upstream crashes; the next one starts at its address.
    Crash(usize),
    /// An upstream leaves; the next one starts beside it.
    Leave(usize),
    /// The next document is written.
    Document,
    /// An upstream is slow for a while.
    Slow(usize, Duration),
    /// Clients ask for more than the upstreams can serve for a while.
    Burst(Duration),
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

/// How ways between instances fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Nothing from others reaches an instance, while what it sends arrives.
    Inbound(usize),
    /// Nothing of an instance reaches others, while what they send arrives.
    Outbound(usize),
    /// Nothing passes between availability zones.
    Zones,
    /// What is sent to an instance arrives late.
    Slow(usize),
    /// Every second datagram to an instance is lost.
    Lossy(usize),
    /// Connections to an instance are reset.
    Reset(usize),
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
/// How old a copy of the store may be.
pub(crate) const OLDEST_COPY: Duration = Duration::from_secs(6);

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

    /// Adds failing ways between instances, one about every other second. They are drawn by themselves, so that the other
    /// faults of a seed stay what they are.
    #[must_use]
    pub fn with_cuts(mut self, seed: u64, length: Duration, instances: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(!seed);
        let mut at = Duration::from_millis(700);
        while at < length {
            let span = rng.random_range(Duration::from_millis(200)..LONGEST);
            self.faults.push((at, Fault::Cut(cut(&mut rng, instances), span)));
            at += Duration::from_millis(rng.random_range(500..3_000));
        }
        self.faults.sort_by_key(|(at, _)| *at);
        self
    }

    /// Adds bursts and slow upstreams, one about every other second. They are drawn by themselves as well.
    #[must_use]
    pub fn with_bursts(mut self, seed: u64, length: Duration, upstreams: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(2));
        let mut at = Duration::from_millis(1_100);
        while at < length {
            let span = rng.random_range(Duration::from_millis(500)..LONGEST);
            let fault = if rng.random() {
                Fault::Burst(span)
            } else {
                Fault::Slow(rng.random_range(0..upstreams), span)
            };
            self.faults.push((at, fault));
            at += Duration::from_millis(rng.random_range(500..3_000));
        }
        self.faults.sort_by_key(|(at, _)| *at);
        self
    }

    /// Adds returns of the store from older copies, one about every three seconds. They are drawn by themselves as well.
    #[must_use]
    pub fn with_returns(mut self, seed: u64, length: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(1));
        let mut at = Duration::from_millis(900);
        while at < length {
            let away = rng.random_range(Duration::ZERO..LONGEST / 2);
            let age = rng.random_range(Duration::ZERO..OLDEST_COPY);
            self.faults.push((at, Fault::Return(away, age)));
            at += Duration::from_millis(rng.random_range(1_500..5_000));
        }
        self.faults.sort_by_key(|(at, _)| *at);
        self
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

fn cut(rng: &mut StdRng, instances: usize) -> Cut {
    let instance = rng.random_range(0..instances);
    match rng.random_range(0..7) {
        0 => Cut::Inbound(instance),
        1 => Cut::Outbound(instance),
        2 | 3 => Cut::Zones,
        4 => Cut::Slow(instance),
        5 => Cut::Lossy(instance),
        _ => Cut::Reset(instance),
    }
}

fn refusal(rng: &mut StdRng) -> Refusal {
    match rng.random_range(0..3) {
        0 => Refusal::Busy,
        1 => Refusal::Many,
        _ => Refusal::Silent,
    }
}
