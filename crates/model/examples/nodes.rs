//! Explores whole nodes within bounds.
//!
//! Run: `cargo run --release -p model --example nodes -- 200000 1`, with the most states of a search, and the number of
//! searches of each system. Each tries events in another order, and so sees other states of a system that is too large
//! to see whole.

use std::env;
use std::time::Instant;

use model::Bounds;
use model::Whole;
use model::explore_deep;

fn main() {
    let max_states = env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(200_000);
    let orders = env::args().nth(2).and_then(|text| text.parse().ok()).unwrap_or(1);
    let bounds = Bounds {
        instances: 2,
        requests: 1,
        deliveries: 2,
        passes: 1,
        stops: 1,
        crashes: 0,
        errors: 0,
    };
    let systems = [
        bounds,
        Bounds { passes: 2, ..bounds },
        Bounds { crashes: 1, ..bounds },
        Bounds { instances: 3, ..bounds },
        Bounds { requests: 2, ..bounds },
        Bounds {
            passes: 2,
            crashes: 1,
            deliveries: 3,
            ..bounds
        },
        Bounds {
            instances: 3,
            deliveries: 3,
            passes: 2,
            stops: 2,
            ..bounds
        },
        Bounds {
            instances: 3,
            requests: 2,
            deliveries: 4,
            passes: 4,
            stops: 2,
            crashes: 1,
            errors: 1,
        },
        Bounds { errors: 1, ..bounds },
        Bounds {
            errors: 2,
            instances: 3,
            deliveries: 3,
            passes: 2,
            stops: 2,
            ..bounds
        },
    ];
    for bounds in systems {
        println!("{bounds:?}");
        show(bounds, max_states, orders);
    }
}

/// Searches a system until a violation is found, or it is seen whole, or the orders are used up.
fn show(bounds: Bounds, max_states: usize, orders: u64) {
    let started = Instant::now();
    let mut states = 0;
    let mut complete = false;
    for order in 0..orders {
        let report = explore_deep(&Whole::new(bounds).ordered(order), max_states);
        states += report.states;
        complete = report.complete;
        if let Some(found) = report.found {
            println!("{found}\n");
            break;
        }
        if complete {
            break;
        }
    }
    let end = if complete { "complete" } else { "not complete" };
    println!("  {states} states, {end} ({:.1} s)", started.elapsed().as_secs_f64());
}
