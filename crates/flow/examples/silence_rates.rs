//! How soon a fleet finds upstreams that fall silent, and how often it takes living ones for silent, by what is lost on the way.
//!
//! `cargo run --release -p flow --example silence_rates [SEEDS]`: three runs of 40 virtual seconds a row by default.

#[expect(dead_code, reason = "each program uses a part of it")]
#[path = "../benches/support/mod.rs"]
mod support;

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::thread;
use std::time::Duration;

use crate::fleet::Outcome;
use crate::fleet::Plan;
use crate::fleet::play;

/// The sizes of the fleets.
const SIZES: [u64; 4] = [9, 67, 195, 300];
/// How long each run lasts.
const SPAN: Duration = Duration::from_secs(40);
/// How many runs each row sums up, unless told otherwise.
const SEEDS: u64 = 3;
/// Every how many-th upstream falls silent where they do.
const DARK_EACH: u64 = 7;

/// Every so many-th of a number of things.
fn each(count: u64, step: u64) -> Vec<u64> {
    (0..count).filter(|index| index.is_multiple_of(step)).collect()
}

/// The rows, each with its name.
fn rows(size: u64) -> Vec<(&'static str, Plan)> {
    let plan = Plan {
        span: SPAN,
        ..Plan::new(size, 0)
    };
    let lossy = |loss, lossy_each| Plan {
        loss,
        lossy_each,
        ..plan.clone()
    };
    let quiet = plan.clone();
    let dark = Plan {
        dark: each(plan.upstreams, DARK_EACH),
        ..plan.clone()
    };
    let slow = Plan {
        response: 0.15,
        ..lossy(0.03, 1)
    };
    let deaf = Plan {
        deaf: each(size, 5),
        ..plan.clone()
    };
    let frozen = Plan {
        frozen: each(size, 2),
        ..lossy(0.03, 1)
    };
    vec![
        ("nothing", quiet),
        ("a seventh of the upstreams silent", dark),
        ("0.3% lost", lossy(0.003, 1)),
        ("3% lost", lossy(0.03, 1)),
        ("10% lost", lossy(0.1, 1)),
        ("30% lost", lossy(0.3, 1)),
        ("30% lost at each tenth instance", lossy(0.3, 10)),
        ("upstreams five times as slow, 3% lost", slow),
        ("each fifth instance hears nothing", deaf),
        ("half of the instances stand still, 3% lost", frozen),
    ]
}

fn show(size: u64, name: &str, outcomes: &[Outcome]) {
    let sum = |field: fn(&Outcome) -> u64| outcomes.iter().map(field).sum::<u64>();
    let found = outcomes.iter().flat_map(|outcome| outcome.found.values());
    let mut found: Vec<Duration> = found.copied().collect();
    found.sort_unstable();
    let median = found.get(found.len() / 2).copied().unwrap_or_default();
    println!(
        "{size:>4} {name:44} requests {:>7} late {:>6} found {:>3} median {:>4} ms, living: told silent {}, flows reset {}",
        sum(|outcome| outcome.requests),
        sum(|outcome| outcome.late),
        found.len(),
        median.as_millis(),
        sum(|outcome| outcome.false_words),
        sum(|outcome| outcome.false_resets),
    );
}

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS);
    thread::scope(|scope| {
        for size in SIZES {
            scope.spawn(move || {
                for (name, plan) in rows(size) {
                    let runs = (1..=seeds).map(|seed| play(&Plan { seed, ..plan.clone() }));
                    let outcomes: Vec<Outcome> = runs.collect();
                    show(size, name, &outcomes);
                }
            });
        }
    });
}
