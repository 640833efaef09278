//! Property tests: invariants of a pool under random sequences of events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use balance::Decision;
use balance::Pool;
use balance::Report;
use balance::SlotRequest;
use balance::State;
use config::Affinity;
use config::Service;
use config::Sharing;
use config::Upstream;
use config::UpstreamState;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use units::Slots;
use units::Time;
use units::UpstreamName;
use units::Weight;
use wire::Outcome;

const SLOTS: u16 = 2;
const UPSTREAMS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    Acquire {
        weight: u32,
        within: u64,
        pinned: Option<usize>,
        avoid: Option<usize>,
    },
    Settle {
        which: usize,
        outcome: Outcome,
        took: u64,
    },
    Withdraw(usize),
    Hold {
        upstream: usize,
        within: u64,
    },
    Report {
        upstream: usize,
        healthy: bool,
        draining: bool,
        busy: u16,
        age: u64,
    },
    AnnounceDrain(usize),
    Restart(usize),
    Configure(usize),
    Retain(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let outcomes = [
        Outcome::Completed,
        Outcome::Shed,
        Outcome::Unreachable,
        Outcome::Failed,
        Outcome::TimedOut,
        Outcome::Unused,
        Outcome::Draining,
    ];
    let upstream = 0..UPSTREAMS;
    let maybe = proptest::option::weighted(0.3, 0..UPSTREAMS);
    prop_oneof![
        12 => (1..5_u32, 1..2_000_u64, maybe.clone(), maybe).prop_map(|(weight, within, pinned, avoid)| Step::Acquire {
            weight,
            within,
            pinned,
            avoid,
        }),
        10 => (any::<usize>(), proptest::sample::select(outcomes.to_vec()), 0..100_u64)
            .prop_map(|(which, outcome, took)| Step::Settle { which, outcome, took }),
        1 => any::<usize>().prop_map(Step::Withdraw),
        1 => (upstream.clone(), 1..2_000_u64).prop_map(|(upstream, within)| Step::Hold { upstream, within }),
        2 => (upstream.clone(), any::<bool>(), proptest::bool::weighted(0.1), 0..9_u16, 0..5_000_u64).prop_map(
            |(upstream, healthy, draining, busy, age)| Step::Report { upstream, healthy, draining, busy, age }
        ),
        1 => upstream.clone().prop_map(Step::AnnounceDrain),
        1 => upstream.clone().prop_map(Step::Restart),
        1 => upstream.prop_map(Step::Configure),
        1 => (0..4_u64).prop_map(Step::Retain),
        4 => (1..3_000_u64).prop_map(Step::Wait),
    ]
}

fn name(upstream: usize) -> UpstreamName {
    format!("u{upstream}").parse().unwrap()
}

/// The service with all upstreams except number `without`.
fn service(without: usize) -> Service {
    let upstream = |number| Upstream {
        name: name(number),
        zone: "z1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: Slots(SLOTS),
        state: UpstreamState::Active,
    };
    Service {
        name: "quotes".parse().unwrap(),
        addresses: Vec::new(),
        sharing: Sharing {
            affinity: Affinity::Request,
            prefer_local_zone: true,
            queue_limit: 6,
            retry_budget_percent: 10,
            slow_start: Duration::from_secs(2),
        },
        kinds: Vec::new(),
        upstreams: (0..UPSTREAMS)
            .filter(|number| *number != without)
            .map(upstream)
            .collect(),
    }
}

/// A pool, and the state that its caller can expect it to be in.
struct Model {
    now: Time,
    pool: Pool<u64>,
    next: u64,
    waiting: BTreeSet<u64>,
    granted: BTreeMap<u64, UpstreamName>,
    held: BTreeMap<u64, UpstreamName>,
    deadlines: BTreeMap<u64, Time>,
    draining_upstreams: BTreeSet<UpstreamName>,
}

impl Model {
    fn apply(&mut self, step: &Step) {
        let mut out = Vec::new();
        let pool = &mut self.pool;
        match step {
            Step::Acquire {
                weight,
                within,
                pinned,
                avoid,
            } => {
                self.next += 1;
                self.waiting.insert(self.next);
                self.deadlines
                    .insert(self.next, self.now + Duration::from_millis(*within));
                let request = SlotRequest {
                    key: self.next,
                    weight: Weight(*weight),
                    zone: "z1".parse().unwrap(),
                    deadline: self.now + Duration::from_millis(*within),
                    pinned: pinned.map(name),
                    avoid: avoid.map(name).into_iter().collect(),
                };
                pool.acquire(request, self.now, &mut out);
            }
            Step::Settle { which, outcome, took } => {
                let keys: Vec<u64> = self.granted.keys().chain(self.held.keys()).copied().collect();
                if let Some(key) = keys.get(which % keys.len().max(1)) {
                    let upstream = self.granted.remove(key).or_else(|| self.held.remove(key)).unwrap();
                    // After the deadline the lease may have been revoked, and the outcome is ignored then.
                    let known = self.now < self.deadlines[key];
                    if *outcome == Outcome::Draining && known {
                        self.draining_upstreams.insert(upstream);
                    }
                    pool.settle(key, *outcome, Duration::from_millis(*took), self.now, &mut out);
                }
            }
            Step::Withdraw(which) => {
                let keys: Vec<u64> = self.waiting.iter().chain(self.granted.keys()).copied().collect();
                if let Some(key) = keys.get(which % keys.len().max(1)) {
                    self.waiting.remove(key);
                    self.granted.remove(key);
                    pool.withdraw(key, self.now, &mut out);
                }
            }
            Step::Hold { upstream, within } => {
                self.next += 1;
                self.held.insert(self.next, name(*upstream));
                self.deadlines
                    .insert(self.next, self.now + Duration::from_millis(*within));
                pool.hold(
                    self.next,
                    name(*upstream),
                    self.now + Duration::from_millis(*within),
                    self.now,
                );
            }
            Step::Report {
                upstream,
                healthy,
                draining,
                busy,
                age,
            } => {
                let known = pool.statuses().iter().any(|status| status.name == name(*upstream));
                if *draining && known {
                    self.draining_upstreams.insert(name(*upstream));
                }
                let report = Report {
                    healthy: *healthy,
                    draining: *draining,
                    busy: Slots(*busy),
                    age: Duration::from_millis(*age),
                };
                pool.report(&name(*upstream), Some(report), self.now, &mut out);
            }
            Step::AnnounceDrain(upstream) => {
                if pool.statuses().iter().any(|status| status.name == name(*upstream)) {
                    self.draining_upstreams.insert(name(*upstream));
                }
                pool.announce_drain(&name(*upstream));
            }
            Step::Restart(upstream) => {
                self.draining_upstreams.remove(&name(*upstream));
                pool.reset_after_restart(&name(*upstream), self.now);
            }
            Step::Configure(without) => pool.configure(&service(*without), &[], self.now, &mut out),
            Step::Retain(remainder) => {
                self.waiting.retain(|key| key % 4 != *remainder);
                pool.retain(|key| key % 4 != *remainder, self.now, &mut out);
            }
            Step::Wait(millis) => {
                self.now = self.now + Duration::from_millis(*millis);
                pool.tick(self.now, &mut out);
            }
        }
        self.check_decisions(&out);
        // The pool forgets removed upstreams, so an upstream that is added later under the same name is a new one.
        let statuses = self.pool.statuses();
        self.draining_upstreams
            .retain(|name| statuses.iter().any(|status| status.name == *name));
    }

    fn check_decisions(&mut self, out: &[Decision<u64>]) {
        for decision in out {
            match decision {
                Decision::Grant { key, upstream } => {
                    assert!(self.waiting.remove(key), "{key} was granted but was not waiting");
                    assert!(
                        !self.draining_upstreams.contains(upstream),
                        "{upstream} is draining but was granted to {key}"
                    );
                    self.granted.insert(*key, upstream.clone());
                }
                Decision::Deny { key, retry_after, .. } => {
                    assert!(self.waiting.remove(key), "{key} was denied but was not waiting");
                    assert!(retry_after.0 > 0, "{key} was denied without a retry delay");
                }
            }
        }
        for decision in out {
            let Decision::Grant { upstream, .. } = decision else {
                continue;
            };
            let all = self.pool.statuses();
            let status = all.iter().find(|status| status.name == *upstream).unwrap();
            assert!(status.busy <= u32::from(SLOTS), "{upstream} has more leases than slots");
            assert_ne!(status.state, State::Removed);
        }
    }

    /// Advances the time past all deadlines, and checks that nothing is left.
    fn pass_all_deadlines(&mut self) {
        for _ in 0..3 {
            self.apply(&Step::Wait(10_000));
        }
        assert_eq!(self.waiting, BTreeSet::new(), "some requests got no decision");
        for status in self.pool.statuses() {
            assert_eq!(
                (status.busy, status.queued, status.pinned),
                (0, 0, 0),
                "{}",
                status.name
            );
        }
    }
}

/// Uses a fixed seed, so that runs are reproducible. `PROPTEST_CASES` and `PROPTEST_RNG_SEED` override the defaults.
fn proptest_config() -> ProptestConfig {
    const MIN_CASES: u32 = 3_000;
    let defaults = ProptestConfig::default();
    let cases = defaults.cases.max(MIN_CASES);
    let rng_seed = match defaults.rng_seed {
        RngSeed::Random => RngSeed::Fixed(1),
        fixed @ RngSeed::Fixed(_) => fixed,
    };
    ProptestConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..defaults
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn every_request_is_decided_once_and_no_slot_is_leased_twice(steps in proptest::collection::vec(step(), 1..120), seed: u64) {
        let now = Time(1_000_000_000);
        let mut model = Model {
            now,
            pool: Pool::new(&service(UPSTREAMS), seed, now),
            next: 0,
            waiting: BTreeSet::new(),
            granted: BTreeMap::new(),
            held: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            draining_upstreams: BTreeSet::new(),
        };
        for step in &steps {
            model.apply(step);
        }
        model.pass_all_deadlines();
    }
}
