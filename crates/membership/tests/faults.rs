//! Long runs with random faults, and long runs without any.

#[expect(dead_code, reason = "each target uses only a part of it")]
mod support;

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::Condition;
use support::Fleet;
use support::name;

const ZONES: usize = 3;

fn check_convergence(count: usize, steps: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(ZONES, seed);
    fleet.start_all(count, 3);
    for _ in 0..steps {
        inject_fault(&mut fleet, count, &mut rng);
        fleet.run(Duration::from_millis(rng.random_range(0..4_000)));
    }
    heal(&mut fleet, count);
    // Dead members are probed every few seconds, so the time that views take to converge grows with their number.
    fleet.run(Duration::from_mins(1));
    assert!(fleet.is_converged(), "{count} members, seed {seed}: views differ");
}

fn inject_fault(fleet: &mut Fleet, count: usize, rng: &mut StdRng) {
    let index = rng.random_range(0..count);
    match rng.random_range(0..8) {
        0 => fleet.set(index, Condition::Crashed),
        1 => fleet.set(index, Condition::Frozen),
        2 | 3 => revive(fleet, index, rng.random_range(0..count)),
        4 => fleet.cut(&[rng.random_range(0..ZONES)]),
        5 => fleet.cut(&[]),
        6 => fleet.loss = rng.random_range(0.0..0.3),
        _ => fleet.start(index, &[rng.random_range(0..count)]),
    }
}

fn revive(fleet: &mut Fleet, index: usize, hint: usize) {
    match fleet.processes[&name(index)].condition {
        Condition::Running => {}
        Condition::Frozen => fleet.set(index, Condition::Running),
        Condition::Crashed => fleet.start(index, &[hint]),
    }
}

/// Ends all faults and gives each member a hint, as the platform's list does.
fn heal(fleet: &mut Fleet, count: usize) {
    fleet.cut(&[]);
    fleet.loss = 0.0;
    for index in 0..count {
        revive(fleet, index, 0);
        let hint = (index + 1) % count;
        let zone = fleet.zone(hint);
        fleet.act(index, |membership, _, out| {
            membership.add_seed(&name(hint), &zone, support::address(hint), out);
        });
    }
}

#[test]
fn views_converge_after_random_faults() {
    for seed in 0..40 {
        check_convergence(5, 40, seed);
    }
    for seed in 0..4 {
        check_convergence(32, 40, seed);
    }
}

#[test]
fn no_member_is_declared_dead_without_a_fault() {
    for (count, loss, seconds) in [(9, 0.0, 3_600), (9, 0.05, 3_600), (64, 0.0, 600), (64, 0.05, 300)] {
        let mut fleet = Fleet::new(ZONES, 7);
        fleet.loss = loss;
        fleet.start_all(count, count);
        fleet.run(Duration::from_secs(seconds));
        assert_eq!(fleet.false_deaths, 0, "{count} members, loss {loss}");
        assert!(fleet.is_converged(), "{count} members, loss {loss}");
    }
}

#[test]
fn an_instance_keeps_its_incarnation_after_a_pause_of_any_length() {
    for seconds in [1, 3, 10, 100] {
        let mut fleet = Fleet::new(ZONES, seconds);
        fleet.start_all(9, 9);
        fleet.run(Duration::from_secs(5));
        let incarnation = fleet.incarnation(4);
        fleet.set(4, Condition::Frozen);
        fleet.run(Duration::from_secs(seconds));
        fleet.set(4, Condition::Running);
        fleet.run(Duration::from_secs(20));
        assert_eq!(fleet.incarnation(4), incarnation);
        assert_eq!(fleet.false_deaths, 0, "pause of {seconds} s");
        assert!(fleet.is_converged(), "pause of {seconds} s");
    }
}

fn check_partition_heals(count: usize, seed: u64) {
    let mut fleet = Fleet::new(ZONES, seed);
    fleet.start_all(count, count);
    fleet.run(Duration::from_secs(20));
    fleet.cut(&[seed as usize % ZONES]);
    fleet.run(Duration::from_secs(30));
    fleet.cut(&[]);
    fleet.run(Duration::from_mins(1));
    assert!(fleet.is_converged(), "{count} members, seed {seed}");
    assert_eq!(fleet.false_deaths, 0, "{count} members, seed {seed}");
}

#[test]
fn a_partition_heals_without_a_false_death() {
    for seed in 0..60 {
        check_partition_heals(9, seed);
    }
    for seed in 0..6 {
        check_partition_heals(32, seed);
    }
}
