//! Whole nodes hold in every state within small bounds, and in the first states within larger ones.

use model::Bounds;
use model::Report;
use model::Whole;
use model::explore_deep;

const BOUNDS: Bounds = Bounds {
    instances: 2,
    requests: 1,
    deliveries: 2,
    passes: 1,
    stops: 1,
    crashes: 0,
    errors: 0,
};

fn check(bounds: Bounds, max_states: usize) -> Report {
    let report = explore_deep(&Whole::new(bounds), max_states);
    println!("{bounds:?}: {} states, {} steps", report.states, report.steps);
    if let Some(found) = &report.found {
        panic!("{found}");
    }
    report
}

#[test]
fn every_order_of_a_planned_stop_is_safe() {
    let report = check(BOUNDS, 100_000);
    assert!(report.complete, "every state was reached");
}

/// The process of an instance that has stopped may linger. It once ran a request again when its successor was gone.
#[test]
fn a_planned_stop_whose_successor_crashes_is_safe_as_far_as_explored() {
    let bounds = Bounds {
        deliveries: 3,
        passes: 2,
        crashes: 1,
        ..BOUNDS
    };
    check(bounds, 6_000);
}

/// An owner that others take for replaced lives on, and still nothing runs twice.
#[test]
fn a_wrong_view_is_safe_as_far_as_explored() {
    let bounds = Bounds {
        instances: 3,
        deliveries: 3,
        passes: 2,
        stops: 2,
        errors: 1,
        ..BOUNDS
    };
    for order in 0..20 {
        let report = explore_deep(&Whole::new(bounds).ordered(order), 300);
        if let Some(found) = &report.found {
            panic!("order {order}\n{found}");
        }
    }
}
