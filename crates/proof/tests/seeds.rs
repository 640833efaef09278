//! A fixed set of randomised runs. `docs/PROOFS.md` names the command for more.

use proof::family;
use proof::family::Family;
use proof::random;

fn check(seed: u64, families: &[Family]) {
    let outcome = random::run(seed, families);
    if let Some(broken) = outcome.broken {
        panic!("families {families:?}, {broken}");
    }
    assert!(
        outcome.summary.answered > 500,
        "a run is about much work: {}",
        outcome.summary
    );
}

#[test]
fn without_faults() {
    check(1, &[]);
}

#[test]
fn each_family_alone() {
    for (index, family) in family::ALL.into_iter().enumerate() {
        check(100 + index as u64, &[family]);
    }
}

/// With these seeds, flows that are idle while their owner is replaced break unless the successor is known.
#[test]
fn idle_flows_survive_replacement() {
    for seed in [1, 2, 11, 15, 20, 23] {
        check(seed, &[Family::Replace]);
    }
}

/// Nothing but planned changes: no flow may break. Seed 1114 once called a new owner gone.
#[test]
fn all_planned_changes_at_once() {
    for seed in [1072, 1114, 1137, 1157] {
        check(seed, &family::PLANNED);
    }
}

#[test]
fn families_in_pairs() {
    for (index, pair) in family::TELLING.into_iter().enumerate() {
        check(200 + index as u64, &pair);
    }
}

#[test]
fn all_families_at_once() {
    for seed in 300..303 {
        check(seed, &family::ALL);
    }
}
