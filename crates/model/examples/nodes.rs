//! Explores whole nodes within bounds.
//!
//! Run: `cargo run --release -p model --example nodes -- 200000`, with the most states per system.

use std::env;
use std::time::Instant;

use model::Bounds;
use model::Whole;
use model::explore_deep;

fn main() {
    let max_states = env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(200_000);
    let bounds = Bounds {
        instances: 2,
        requests: 1,
        deliveries: 2,
        passes: 1,
        stops: 1,
        crashes: 0,
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
    ];
    for bounds in systems {
        let started = Instant::now();
        let report = explore_deep(&Whole::new(bounds), max_states);
        println!(
            "{bounds:?}\n  {} states, {} steps, depth {}, {} ({:.1} s)",
            report.states,
            report.steps,
            report.depth,
            if report.complete { "complete" } else { "not complete" },
            started.elapsed().as_secs_f64()
        );
        if let Some(found) = report.found {
            println!("{found}\n");
        }
    }
}
