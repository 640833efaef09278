//! Measures the cost of membership per instance against the number of members.
//!
//! Run: `cargo run --release -p membership --example traffic`. The fleet is simulated in virtual time, in one
//! process. Bytes are those of encoded frames, without the overhead of the transport. Processor time is that of the
//! membership code and of encoding, together with the bookkeeping of the simulation, so it is an upper bound.

#[expect(dead_code, reason = "each target uses only a part of it")]
#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::time::Duration;
use std::time::Instant;

use support::Condition;
use support::Fleet;
use units::Revision;
use units::Time;
use wire::Digest;

const SIZES: [usize; 5] = [8, 32, 128, 240, 600];
const PAGE: u64 = 4_096;

/// How long a fleet is measured in each state.
const MEASURED_SPAN: Duration = Duration::from_mins(2);

fn main() {
    println!(
        "{:>7} {:>9} {:>9} {:>8} {:>8} {:>8} {:>10} {:>8} {:>8} {:>9}",
        "members",
        "idle B/s",
        "busy B/s",
        "max B/s",
        "frames/s",
        "cpu us/s",
        "B/member",
        "crash s",
        "frozen s",
        "document s"
    );
    for count in SIZES {
        measure(count);
    }
}

fn measure(count: usize) {
    let before = resident();
    let mut fleet = Fleet::new(3, 1);
    fleet.start_all(count, 3);
    fleet.run(Duration::from_mins(3));
    assert!(fleet.is_converged(), "the fleet has converged");
    let per_member = resident().saturating_sub(before) / (count * count) as u64;

    let idle = measure_cost(&mut fleet, |_, _| {});
    let busy = measure_cost(&mut fleet, inject_churn);
    fleet.run(Duration::from_mins(1));
    assert!(fleet.is_converged(), "the fleet has converged again");
    assert_eq!(
        fleet.false_deaths, 0,
        "no running and reachable member was declared dead"
    );

    let crash = time_until(
        &mut fleet,
        |fleet| fleet.set(count - 1, Condition::Crashed),
        Fleet::is_converged,
    );
    let frozen = time_until(
        &mut fleet,
        |fleet| fleet.set(count - 2, Condition::Frozen),
        Fleet::is_converged,
    );
    let revision = Revision(1_000_000);
    let publish = |fleet: &mut Fleet| {
        let digest = Digest::of(b"new");
        fleet.act(0, |membership, now, out| {
            membership.set_document(revision, digest, now, out);
        });
    };
    let in_force = |fleet: &Fleet| {
        let running = |process: &&support::Process| process.condition == Condition::Running;
        let mut running = fleet.processes.values().filter(running);
        running.all(|process| process.membership.document().is_some_and(|(held, _)| held == revision))
    };
    let document = time_until(&mut fleet, publish, in_force);
    println!(
        "{count:>7} {:>9.0} {:>9.0} {:>8.0} {:>8.1} {:>8.0} {per_member:>10} {:>8.2} {:>8.2} {:>9.3}",
        idle.mean, busy.mean, busy.max, idle.frames, idle.micros, crash, frozen, document
    );
}

/// The traffic and processor time of an instance per second.
struct Cost {
    mean: f64,
    max: f64,
    frames: f64,
    micros: f64,
}

fn measure_cost(fleet: &mut Fleet, mut action: impl FnMut(&mut Fleet, u64)) -> Cost {
    for process in fleet.processes.values_mut() {
        process.sent_bytes = 0;
        process.sent_frames = 0;
        process.outputs.clear();
    }
    let started = Instant::now();
    let seconds = MEASURED_SPAN.as_secs();
    for second in 0..seconds {
        action(fleet, second);
        fleet.run(Duration::from_secs(1));
    }
    let spent = started.elapsed();
    let instances = fleet.processes.len() as f64;
    let bytes = fleet.processes.values().map(|process| process.sent_bytes);
    let frames: u64 = fleet.processes.values().map(|process| process.sent_frames).sum();
    let rate = |sum: u64| sum as f64 / seconds as f64;
    Cost {
        mean: rate(bytes.clone().sum()) / instances,
        max: rate(bytes.max().unwrap_or(0)),
        frames: rate(frames) / instances,
        micros: spent.as_micros() as f64 / seconds as f64 / instances,
    }
}

/// Replaces an instance every ten seconds, and publishes a document every five: far more churn than in normal
/// operation.
fn inject_churn(fleet: &mut Fleet, second: u64) {
    let count = fleet.processes.len();
    if second % 10 == 3 {
        let index = 1 + (second as usize * 7) % (count - 1);
        fleet.act(index, membership::Membership::leave);
        fleet.run(Duration::from_millis(200));
        fleet.set(index, Condition::Crashed);
        fleet.start(index, &[0, (index + 1) % count]);
    }
    if second % 5 == 1 {
        let revision = Revision(second + 1);
        let digest = Digest::of(&second.to_le_bytes());
        fleet.act(0, |membership, now, out| {
            membership.set_document(revision, digest, now, out);
        });
    }
}

/// The seconds of virtual time until a condition holds.
fn time_until(fleet: &mut Fleet, action: impl FnOnce(&mut Fleet), holds: impl Fn(&Fleet) -> bool) -> f64 {
    let start: Time = fleet.now;
    action(fleet);
    while !holds(fleet) && fleet.now.since(start) < Duration::from_mins(2) {
        fleet.run(Duration::from_millis(5));
    }
    fleet.now.since(start).as_secs_f64()
}

/// The resident memory of this process, in bytes.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}
