//! Tests of the path of a request through one or two instances.

mod support;

use std::time::Duration;

use node::CallResult;
use node::Event;
use wire::Packet;
use wire::encode_packet;

use support::Fleet;
use support::request;

#[track_caller]
fn check(got: &str, expected: &str) {
    assert_eq!(got, expected);
}

#[test]
fn a_request_is_answered_from_any_instance() {
    let mut fleet = Fleet::new(3);
    let home = fleet.home("availability");
    let ingress = fleet.other(&home);
    let granted = fleet.open(&ingress, "availability");
    fleet.send(&ingress, &request(&granted, "availability", "hold", 1));
    assert_eq!(fleet.calls.len(), 1);
    assert_eq!(fleet.calls[0].0, home);
    fleet.end_call(CallResult::Answered(b"held".to_vec()));
    check(&fleet.take_replies(), "chunk 0/1 of 1");
}

#[test]
fn a_duplicate_request_never_runs_again() {
    let mut fleet = Fleet::new(3);
    let home = fleet.home("availability");
    let granted = fleet.open(&home, "availability");
    let packet = request(&granted, "availability", "hold", 1);
    fleet.send(&home, &packet);
    let other = fleet.other(&home);
    fleet.send(&other, &packet);
    check(&fleet.take_replies(), "accepted 1");
    fleet.end_call(CallResult::Answered(b"held".to_vec()));
    fleet.send(&other, &packet);
    check(&fleet.take_replies(), "chunk 0/1 of 1; chunk 0/1 of 1");
    assert!(fleet.calls.is_empty());
}

#[test]
fn a_call_that_failed_is_retried_only_if_that_is_safe() {
    let cases = [
        ("hold", CallResult::Shed, 1, ""),
        ("hold", CallResult::Unreachable, 1, ""),
        ("hold", CallResult::Failed, 0, "may have run: upstream"),
        ("hold", CallResult::Mismatched, 0, "may have run: upstream"),
        ("feed", CallResult::Mismatched, 1, ""),
    ];
    for (kind, result, calls, expected) in cases {
        let mut fleet = Fleet::new(1);
        let home = fleet.home("availability");
        let granted = fleet.open(&home, "availability");
        // The retry budget is a fraction of the successful calls.
        for seq in 1..=20 {
            fleet.send(&home, &request(&granted, "availability", "feed", seq));
            fleet.end_call(CallResult::Answered(Vec::new()));
        }
        fleet.replies.clear();
        fleet.send(&home, &request(&granted, "availability", kind, 21));
        fleet.end_call(result.clone());
        assert_eq!(fleet.calls.len(), calls, "{kind} after {result:?}");
        check(&fleet.take_replies(), expected);
    }
}

#[test]
fn an_expired_deadline_gives_a_correct_verdict() {
    let mut fleet = Fleet::new(1);
    let home = fleet.home("availability");
    let granted = fleet.open(&home, "availability");
    for seq in 1..=3 {
        fleet.send(&home, &request(&granted, "availability", "hold", seq));
    }
    assert_eq!(fleet.calls.len(), 2, "two slots");
    fleet.advance(Duration::from_secs(11));
    let got = fleet.take_replies();
    assert_eq!(got.matches("may have run: deadline").count(), 2, "{got}");
    assert_eq!(got.matches("not run: ").count(), 1, "{got}");
    assert_eq!(fleet.cancelled.len(), 2);
}

#[test]
fn a_request_refused_as_not_run_never_runs_later() {
    let mut fleet = Fleet::new(1);
    let home = fleet.home("availability");
    let granted = fleet.open(&home, "availability");
    let packet = request(&granted, "availability", "nonsense", 1);
    fleet.send(&home, &packet);
    check(&fleet.take_replies(), "not run: unknown");
    fleet.send(&home, &packet);
    check(&fleet.take_replies(), "not run: unknown");
    let Packet::Request(mut changed) = packet else {
        panic!("a request")
    };
    changed.kind = "feed".parse().unwrap();
    fleet.send(&home, &Packet::Request(changed));
    check(&fleet.take_replies(), "not run: unknown");
    assert!(fleet.calls.is_empty());
}

#[test]
fn a_token_of_another_service_is_refused() {
    let mut fleet = Fleet::new(2);
    let home = fleet.home("availability");
    let granted = fleet.open(&home, "availability");
    fleet.send(&home, &request(&granted, "photos", "sheet", 1));
    check(&fleet.take_replies(), "may have run: wrong_service");
    assert!(fleet.calls.is_empty());
}

#[test]
fn a_lost_owner_leads_to_a_new_token_and_no_second_run() {
    let mut fleet = Fleet::new(3);
    let home = fleet.home("availability");
    let granted = fleet.open(&home, "availability");
    let packet = request(&granted, "availability", "hold", 1);
    fleet.send(&home, &packet);
    assert_eq!(fleet.calls.len(), 1);
    fleet.nodes.remove(&home);
    fleet.advance(Duration::from_secs(6));
    let other = fleet.other(&home);
    fleet.send(&other, &packet);
    check(&fleet.take_replies(), "may have run: owner_gone, new token");
    assert_eq!(fleet.calls.len(), 1, "only the call of the instance that is gone");
}

#[test]
fn a_flow_gets_a_new_token_after_its_home_moves() {
    let mut fleet = Fleet::new(1);
    let first = fleet.home("availability");
    let granted = fleet.open(&first, "availability");
    for index in 1..9 {
        fleet.join(&support::instance(index), index + 1);
    }
    fleet.advance(Duration::from_secs(3));
    assert_ne!(fleet.home("availability"), first, "this seed moves the home");
    fleet.send(&first, &request(&granted, "availability", "hold", 1));
    assert_eq!(fleet.calls[0].0, first, "the owner runs it");
    fleet.end_call(CallResult::Answered(Vec::new()));
    check(&fleet.take_replies(), "chunk 0/1 of 1, new token");
}

#[test]
fn one_caller_cannot_use_up_all_ledgers() {
    let mut fleet = Fleet::new(0);
    fleet.max_flows = 10;
    let home = support::instance(0);
    fleet.join(&home, 1);
    fleet.advance(Duration::from_secs(3));
    let mut got = Vec::new();
    for _ in 0..10 {
        let granted = fleet.open(&home, "availability");
        fleet.send(&home, &request(&granted, "availability", "nonsense", 1));
        got.push(fleet.take_replies());
    }
    check(&got[4], "not run: unknown");
    check(&got[5], "may have run: limit");
    let granted = fleet.open(&home, "availability");
    let packet = request(&granted, "availability", "nonsense", 1);
    let other = "10.9.0.2:5000".parse().unwrap();
    fleet.event(&home, Event::Datagram(other, encode_packet(&packet)));
    check(&fleet.take_replies(), "not run: unknown");
}

#[test]
fn two_instances_with_the_same_incarnation_do_not_run_each_others_requests() {
    let mut fleet = Fleet::new(0);
    for index in 0..2 {
        fleet.join(&support::instance(index), 1);
    }
    fleet.advance(Duration::from_secs(3));
    let home = fleet.home("availability");
    let granted = fleet.open(&home, "availability");
    let packet = request(&granted, "availability", "hold", 1);
    fleet.send(&home, &packet);
    let other = fleet.other(&home);
    fleet.send(&other, &packet);
    assert_eq!(fleet.calls.len(), 1);
    check(&fleet.take_replies(), "accepted 1");
}
