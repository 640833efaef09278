//! Measures the membership traffic of a fleet that starts at once, in total and between availability zones, per span
//! of virtual time.
//!
//! Run: `cargo run --release -p membership --example start -- 300 985`. Every instance knows three others at first.
//! Probe timing is that of the flow mode. Bytes are those of encoded frames, without the overhead of the transport.

#[expect(dead_code, reason = "each target uses only a part of it")]
#[path = "../tests/support/mod.rs"]
mod support;

use std::env;
use std::time::Duration;

use membership::Timing;
use support::Condition;
use support::Fleet;

const ZONES: usize = 5;
const SEEDS: usize = 3;
/// The measured spans; each starts at the end of the previous one.
const SPANS: [Duration; 4] = [
    Duration::from_secs(5),
    Duration::from_secs(10),
    Duration::from_secs(10),
    Duration::from_secs(25),
];

fn timing() -> Timing {
    Timing {
        probe_interval: Duration::from_secs(1),
        base_suspicion_timeout: Duration::from_secs(1),
        dead_probe_interval: Duration::from_secs(3),
        ..Timing::default()
    }
}

fn main() {
    println!("members  span s  known, least and mean  B/s each  far B/s each  busiest B/s  far MB in all");
    for count in env::args().skip(1) {
        let count = count.parse().expect("each argument is a number of members");
        measure(count);
    }
}

fn measure(count: usize) {
    let mut fleet = Fleet::new(ZONES, 1);
    fleet.timing = timing();
    for index in 0..count {
        fleet.start(index, &[]);
    }
    for index in SEEDS..count {
        for seed in 0..SEEDS {
            fleet.introduce(index, seed);
        }
    }
    for span in SPANS {
        measure_span(&mut fleet, count, span);
    }
    // Half of the fleet loses power at once, which no datagram announces, and is then restarted.
    let loses_power = |index: usize| index % 2 == 1;
    for index in (0..count).filter(|index| loses_power(*index)) {
        fleet.set(index, Condition::Frozen);
    }
    measure_span(&mut fleet, count, Duration::from_secs(2));
    for index in (0..count).filter(|index| loses_power(*index)) {
        fleet.start(index, &[]);
        for seed in 0..SEEDS {
            fleet.introduce(index, seed);
        }
    }
    measure_span(&mut fleet, count, Duration::from_secs(5));
    measure_span(&mut fleet, count, Duration::from_secs(15));
}

fn measure_span(fleet: &mut Fleet, count: usize, span: Duration) {
    for process in fleet.processes.values_mut() {
        process.sent_bytes = 0;
        process.cross_zone_bytes = 0;
        process.outputs.clear();
    }
    fleet.run(span);
    let seconds = span.as_secs_f64();
    let running = fleet
        .processes
        .values()
        .filter(|process| process.condition == Condition::Running);
    let known: Vec<usize> = running.map(|process| process.membership.members().count()).collect();
    let sent: u64 = fleet.processes.values().map(|process| process.sent_bytes).sum();
    let cross_zone: u64 = fleet.processes.values().map(|process| process.cross_zone_bytes).sum();
    let busiest = fleet
        .processes
        .values()
        .map(|process| process.sent_bytes)
        .max()
        .unwrap_or(0);
    let each = |bytes: u64| bytes as f64 / seconds / count as f64;
    println!(
        "{count:7}  {seconds:6}  {:12} {:8.0}  {:8.0}  {:12.0}  {:11.0}  {:13.1}",
        known.iter().min().unwrap_or(&0),
        known.iter().sum::<usize>() as f64 / known.len().max(1) as f64,
        each(sent),
        each(cross_zone),
        busiest as f64 / seconds,
        cross_zone as f64 / 1e6,
    );
}
