//! Measures how fast a fleet detects upstreams that stop responding, and how often it takes live ones for silent, under
//! various faults.
//!
//! `cargo run --release -p flow --example silence_rates [SEEDS]`: each row sums up three runs of 40 virtual seconds by
//! default.

#[expect(dead_code, reason = "each program uses a part of it")]
#[path = "../benches/support/mod.rs"]
mod support;

#[expect(dead_code, reason = "each program uses a part of it")]
#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::thread;
use std::time::Duration;

use crate::fleet::FleetConfig;
use crate::fleet::Outcome;
use crate::fleet::simulate;

/// Numbers of instances in the fleets.
const FLEET_SIZES: [u64; 4] = [9, 67, 195, 300];
/// Virtual duration of each run.
const DURATION: Duration = Duration::from_secs(40);
/// Number of runs that each row sums up by default.
const DEFAULT_SEEDS: u64 = 3;
/// One in this many upstreams stops responding, in the case with silent upstreams.
const SILENT_EVERY: u64 = 7;

/// Every `step`-th index below `count`.
fn every_nth(count: u64, step: u64) -> Vec<u64> {
    (0..count).filter(|index| index.is_multiple_of(step)).collect()
}

/// The cases to run, each with its name.
fn cases(size: u64) -> Vec<(&'static str, FleetConfig)> {
    let config = FleetConfig {
        duration: DURATION,
        ..FleetConfig::new(size, 0)
    };
    let lossy = |loss, lossy_every| FleetConfig {
        loss,
        lossy_every,
        ..config.clone()
    };
    let quiet = config.clone();
    let silent = FleetConfig {
        silent: every_nth(config.upstreams, SILENT_EVERY),
        ..config.clone()
    };
    let slow = FleetConfig {
        mean_response_secs: 0.15,
        ..lossy(0.03, 1)
    };
    let partitioned = FleetConfig {
        partitioned: every_nth(size, 5),
        ..config.clone()
    };
    let suspended = FleetConfig {
        suspended: every_nth(size, 2),
        ..lossy(0.03, 1)
    };
    vec![
        ("no fault", quiet),
        ("a seventh of the upstreams silent", silent),
        ("0.3% lost", lossy(0.003, 1)),
        ("3% lost", lossy(0.03, 1)),
        ("10% lost", lossy(0.1, 1)),
        ("30% lost", lossy(0.3, 1)),
        ("30% lost at every tenth instance", lossy(0.3, 10)),
        ("upstreams five times as slow, 3% lost", slow),
        ("every fifth instance partitioned", partitioned),
        ("half of the instances suspended, 3% lost", suspended),
    ]
}

fn print_row(size: u64, name: &str, outcomes: &[Outcome]) {
    let sum = |field: fn(&Outcome) -> u64| outcomes.iter().map(field).sum::<u64>();
    let detected = outcomes.iter().flat_map(|outcome| outcome.detected.values());
    let mut detected: Vec<Duration> = detected.copied().collect();
    detected.sort_unstable();
    let median = detected.get(detected.len() / 2).copied().unwrap_or_default();
    println!(
        "{size:>4} {name:44} requests {:>7} retransmitted {:>6} detected {:>3} median {:>4} ms, false: silent {}, resets {}",
        sum(|outcome| outcome.requests),
        sum(|outcome| outcome.retransmitted),
        detected.len(),
        median.as_millis(),
        sum(|outcome| outcome.false_detections),
        sum(|outcome| outcome.false_resets),
    );
}

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    thread::scope(|scope| {
        for size in FLEET_SIZES {
            scope.spawn(move || {
                for (name, config) in cases(size) {
                    let runs = (1..=seeds).map(|seed| simulate(&FleetConfig { seed, ..config.clone() }));
                    let outcomes: Vec<Outcome> = runs.collect();
                    print_row(size, name, &outcomes);
                }
            });
        }
    });
}
