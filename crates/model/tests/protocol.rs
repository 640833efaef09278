//! The protocol holds in every state, and without any one of its mechanisms it does not.

use model::Mutation;
use model::Protocol;
use model::Scope;
use model::explore;

/// More states than any of these systems has.
const MAX_STATES: usize = 1_000_000;

fn check_holds(scope: Scope) {
    let report = explore(&Protocol::new(scope), MAX_STATES);
    println!(
        "{} states, {} steps, depth {}",
        report.states, report.steps, report.depth
    );
    if let Some(found) = &report.found {
        panic!("{found}");
    }
    assert!(report.complete, "every state was reached");
}

fn check_fails(scope: Scope, violation: &str) {
    let mutation = scope.mutation;
    let report = explore(&Protocol::new(scope), MAX_STATES);
    let found = report.found.expect("a counterexample");
    println!("{mutation:?}\n{found}\n");
    assert_eq!(found.violation, violation, "{mutation:?}");
}

#[test]
fn holds_over_a_planned_stop_and_a_crash() {
    check_holds(Scope {
        requests: 1,
        ..Scope::default()
    });
}

#[test]
fn holds_over_two_planned_stops() {
    check_holds(Scope {
        requests: 1,
        crashes: 0,
        stops: 2,
        ..Scope::default()
    });
}

#[test]
fn holds_for_two_requests_over_a_planned_stop() {
    check_holds(Scope {
        instances: 2,
        crashes: 0,
        sheds: 0,
        ..Scope::default()
    });
}

#[test]
fn holds_for_a_careless_caller_whose_tokens_go_to_and_fro() {
    check_holds(Scope {
        instances: 2,
        crashes: 0,
        stops: 0,
        sheds: 0,
        careless: true,
        gives_up: false,
        homes: vec![0, 1],
        ..Scope::default()
    });
}

#[test]
fn holds_where_the_mutations_are_tried() {
    check_holds(Scope::for_mutation(Mutation::None));
}

#[test]
fn without_any_one_mechanism_a_refusal_lies() {
    for mutation in Mutation::ALL {
        let scope = Scope::for_mutation(mutation);
        check_fails(scope, "request 1 ran, and the caller was told `not run`");
    }
}

#[test]
fn without_some_mechanisms_a_request_runs_twice() {
    let needed = [
        Mutation::NoLedger,
        Mutation::OwnerGoesOn,
        Mutation::NoFloor,
        Mutation::RefusalBroken,
        Mutation::ResumeUnchecked,
    ];
    for mutation in needed {
        let scope = Scope {
            gives_up: false,
            ..Scope::for_mutation(mutation)
        };
        check_fails(scope, "request 1 ran 2 times");
    }
}
