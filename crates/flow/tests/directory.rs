//! The directory is updated entry by entry as the knowledge changes, in any order. Assertions inside the crate check
//! that it equals a directory that is rebuilt from scratch.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::Core;
use flow::Evacuations;
use flow::ListingState;
use flow::Options;
use flow::StartTime;
use flow::Upstream;
use flow::UpstreamId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Epoch;
use units::Position;
use units::Revision;
use units::Slots;
use units::Time;
use units::ZoneName;

/// The first two 40-bit ids with the same echo, which therefore identifies neither of them.
fn colliding_ids() -> [u64; 2] {
    let mut seen = std::collections::HashMap::new();
    for id in 0.. {
        if let Some(other) = seen.insert(UpstreamId(id).echo(), id) {
            return [other, id];
        }
    }
    unreachable!("ids outnumber echoes, so two of them collide")
}

fn zone(index: u64) -> ZoneName {
    format!("z{}", index % 3).parse().unwrap()
}

fn upstream(rng: &mut SmallRng) -> Upstream {
    Upstream {
        service: ["search", "photos"][rng.random_range(0..2)].into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, rng.random_range(1..9)),
        zone: zone(rng.random_range(0..3)),
        slots: Slots(2),
        leaving: rng.random_bool(0.2),
        cold_for: Duration::from_millis(rng.random_range(0..3)),
        started: Some(StartTime(rng.random_range(1..5))),
    }
}

fn random_listing_state(rng: &mut SmallRng) -> ListingState {
    match rng.random_range(0..6) {
        0 => ListingState::Gone,
        1 => ListingState::Unreadable,
        _ => ListingState::Listed(upstream(rng)),
    }
}

struct Harness {
    core: Core,
    rng: SmallRng,
    ids: Vec<u64>,
    now: Time,
    at: Position,
}

impl Harness {
    fn new(seed: u64, colliding_ids: [u64; 2]) -> Self {
        let options = Options {
            zone: zone(0),
            max_flow: Duration::from_secs(5),
            awaits_evacuations: false,
            seed,
        };
        Self {
            core: Core::new(options),
            rng: SmallRng::seed_from_u64(seed),
            ids: (1..12).chain(colliding_ids).collect(),
            now: Time(1),
            at: Position::default(),
        }
    }

    /// Advances the position in the store's history, in one of ten cases to a new epoch, where revisions restart lower.
    fn next_position(&mut self) -> Position {
        let Position { epoch, revision } = self.at;
        self.at = if self.rng.random_bool(0.1) {
            Position::new(Epoch(epoch.0 + 1), Revision(1 + revision.0 / 2))
        } else {
            Position::new(epoch, Revision(revision.0 + 1))
        };
        self.at
    }

    fn random_changes(&mut self, probability: f64) -> Vec<(UpstreamId, Revision, ListingState)> {
        let revision = self.at.revision;
        let rng = &mut self.rng;
        let chosen = self.ids.iter().filter(|_| rng.random_bool(probability));
        let chosen: Vec<u64> = chosen.copied().collect();
        let changes = chosen
            .into_iter()
            .map(|id| (UpstreamId(id), revision, random_listing_state(&mut self.rng)));
        changes.collect()
    }

    fn step(&mut self) {
        let now = self.now;
        match self.rng.random_range(0..8) {
            0 => {
                let at = self.next_position();
                let list = self.random_changes(0.7);
                self.core.learn(now, |knowledge| knowledge.apply_list(at, list, now));
            }
            1..=4 => {
                let at = self.next_position();
                let changes = self.random_changes(0.2);
                self.core
                    .learn(now, |knowledge| knowledge.apply_watched(at, changes, now));
            }
            5 => {
                let at = self.next_position();
                let evacuated = (0..3).filter(|_| self.rng.random_bool(0.3)).map(zone);
                let read = Evacuations {
                    at,
                    zones: evacuated.collect(),
                };
                let unreadable = BTreeSet::new();
                self.core
                    .learn(now, |knowledge| knowledge.apply_evacuations(read, &unreadable, now));
            }
            6 => self.core.tick(now),
            _ => {
                let forget_before = now.before(Duration::from_secs(2));
                self.core.learn(now, |knowledge| {
                    knowledge.end_grace(now) | knowledge.forget(forget_before)
                });
            }
        }
        self.now = now + Duration::from_millis(self.rng.random_range(0..1_500));
    }
}

#[test]
fn an_incrementally_updated_directory_matches_a_rebuilt_one() {
    let colliding_ids = colliding_ids();
    for seed in 0..60 {
        let mut harness = Harness::new(seed, colliding_ids);
        for _ in 0..200 {
            harness.step();
        }
        assert!(harness.core.stats().indexed > 100, "seed {seed}");
    }
}
