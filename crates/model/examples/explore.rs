//! Explores the protocol at several sizes, and with each mechanism taken away.
//!
//! Run: `cargo run --release -p model --example explore -- 2000000`, with the most states per size.

use std::env;
use std::time::Instant;

use model::Mutation;
use model::Protocol;
use model::Scope;
use model::explore;

fn main() {
    let max_states = env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(2_000_000);
    for (name, scope) in sizes() {
        show(name, scope, max_states);
    }
    for mutation in Mutation::ALL {
        let scope = Scope::for_mutation(mutation);
        show(&format!("{mutation:?}"), scope, max_states);
    }
}

fn sizes() -> Vec<(&'static str, Scope)> {
    let one = Scope {
        requests: 1,
        ..Scope::default()
    };
    vec![
        ("one request, a stop, a crash", one.clone()),
        (
            "one request, two stops",
            Scope {
                stops: 2,
                crashes: 0,
                ..one.clone()
            },
        ),
        (
            "one request, two stops, careless",
            Scope {
                stops: 2,
                crashes: 0,
                careless: true,
                sinks: true,
                ..one
            },
        ),
        (
            "two requests, two instances",
            Scope {
                instances: 2,
                crashes: 0,
                sheds: 0,
                ..Scope::default()
            },
        ),
        (
            "two requests, careless, tokens going to and fro",
            Scope {
                instances: 2,
                crashes: 0,
                stops: 0,
                sheds: 0,
                careless: true,
                gives_up: false,
                homes: vec![0, 1],
                ..Scope::default()
            },
        ),
        ("two requests, three instances", Scope::default()),
    ]
}

fn show(name: &str, scope: Scope, max_states: usize) {
    let started = Instant::now();
    let report = explore(&Protocol::new(scope), max_states);
    println!(
        "{name}: {} states, {} steps, depth {}, {} ({:.1} s)",
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
