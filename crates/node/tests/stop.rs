//! Tests of planned stops.

mod support;

use std::time::Duration;

use node::CallResult;
use node::Event;
use units::Incarnation;
use wire::InstanceIncarnation;

use support::Fleet;
use support::request;

#[test]
fn a_planned_stop_interrupts_no_request() {
    let mut fleet = Fleet::new(3);
    let home = fleet.home("availability");
    let other = fleet.other(&home);
    let granted = fleet.open(&home, "availability");
    // One request has ended, two are running and one waits for a slot.
    for seq in 1..=2 {
        fleet.send(&home, &request(&granted, "availability", "hold", seq));
    }
    fleet.end_call(CallResult::Answered(b"first".to_vec()));
    for seq in 3..=4 {
        fleet.send(&home, &request(&granted, "availability", "hold", seq));
    }
    assert_eq!(fleet.calls.len(), 2);
    assert_eq!(fleet.take_replies(), "chunk 0/1 of 1");
    fleet.event(&home, Event::Stop);
    fleet.advance(Duration::from_millis(800));
    // The successor runs the waiting request as soon as a slot is free.
    fleet.end_call(CallResult::Answered(b"second".to_vec()));
    assert_eq!(fleet.take_replies(), "chunk 0/1 of 2, new token");
    assert_eq!(fleet.calls.len(), 2);
    assert_ne!(fleet.calls[1].0, home);
    fleet.end_call(CallResult::Answered(b"third".to_vec()));
    fleet.end_call(CallResult::Answered(b"fourth".to_vec()));
    fleet.advance(Duration::from_secs(2));
    assert_eq!(fleet.stopped, std::slice::from_ref(&home));
    fleet.nodes.remove(&home);
    fleet.replies.clear();
    // The successor knows all four requests, and none runs again.
    for seq in 1..=4 {
        fleet.send(&other, &request(&granted, "availability", "hold", seq));
    }
    assert!(fleet.calls.is_empty());
    let got = fleet.take_replies();
    assert_eq!(got, "chunk 0/1 of 1; chunk 0/1 of 2; chunk 0/1 of 3; chunk 0/1 of 4");
    // The flow continues with its old token.
    fleet.send(&other, &request(&granted, "availability", "hold", 5));
    fleet.end_call(CallResult::Answered(Vec::new()));
    assert_eq!(fleet.take_replies(), "chunk 0/1 of 5, new token");
}

#[test]
fn an_owner_starts_no_request_after_sending_its_ledgers() {
    let mut fleet = Fleet::new(2);
    let home = fleet.home("availability");
    let other = fleet.other(&home);
    let granted = fleet.open(&home, "availability");
    fleet.send(&home, &request(&granted, "availability", "hold", 1));
    fleet.end_call(CallResult::Answered(Vec::new()));
    fleet.event(&home, Event::Stop);
    fleet.dropped_links.push((home.clone(), other.clone()));
    fleet.advance(Duration::from_millis(500));
    fleet.replies.clear();
    fleet.send(&home, &request(&granted, "availability", "hold", 2));
    assert!(fleet.calls.is_empty());
    fleet.dropped_links.clear();
    fleet.advance(Duration::from_millis(600));
    fleet.send(&other, &request(&granted, "availability", "hold", 2));
    assert_eq!(fleet.calls.len(), 1);
    assert_eq!(fleet.calls[0].0, other);
}

#[test]
fn when_two_instances_stop_at_once_the_third_takes_over() {
    let mut fleet = Fleet::new(3);
    let home = fleet.home("availability");
    let granted = fleet.open(&home, "availability");
    fleet.send(&home, &request(&granted, "availability", "hold", 1));
    fleet.end_call(CallResult::Answered(Vec::new()));
    fleet.replies.clear();
    let second = fleet.other(&home);
    fleet.event(&home, Event::Stop);
    fleet.event(&second, Event::Stop);
    fleet.advance(Duration::from_secs(5));
    assert_eq!(fleet.stopped.len(), 2);
    fleet.nodes.remove(&home);
    fleet.nodes.remove(&second);
    let third = fleet.nodes.keys().next().cloned().unwrap();
    fleet.send(&third, &request(&granted, "availability", "hold", 1));
    assert_eq!(fleet.take_replies(), "chunk 0/1 of 1");
    assert!(fleet.calls.is_empty());
}

#[test]
fn requests_that_end_before_a_refused_handover_are_sent_to_the_next_successor() {
    let mut fleet = Fleet::new(3);
    let home = fleet.home("availability");
    let granted = fleet.open(&home, "availability");
    fleet.send(&home, &request(&granted, "availability", "hold", 1));
    fleet.event(&home, Event::Stop);
    // The ledgers are lost in transit, and the instance that should have received them stops too.
    let others: Vec<_> = fleet.nodes.keys().filter(|name| **name != home).cloned().collect();
    for other in &others {
        fleet.dropped_links.push((home.clone(), other.clone()));
    }
    fleet.advance(Duration::from_millis(400));
    fleet.end_call(CallResult::Answered(b"first".to_vec()));
    assert_eq!(fleet.take_replies(), "chunk 0/1 of 1, new token");
    // The more recently started of the two others was chosen.
    let [third, chosen] = others.as_slice() else {
        panic!("two others");
    };
    fleet.event(chosen, Event::Stop);
    fleet.dropped_links.clear();
    fleet.advance(Duration::from_secs(1));
    fleet.replies.clear();
    fleet.send(third, &request(&granted, "availability", "hold", 1));
    assert_eq!(fleet.take_replies(), "chunk 0/1 of 1");
}

#[test]
fn long_answers_are_handed_over_in_frames_of_valid_size() {
    let mut fleet = Fleet::new(2);
    let home = fleet.home("availability");
    let other = fleet.other(&home);
    let granted = fleet.open(&home, "availability");
    for seq in 1..=4 {
        fleet.send(&home, &request(&granted, "availability", "feed", seq));
        fleet.end_call(CallResult::Answered(vec![7; 3 * 1_024 * 1_024]));
    }
    fleet.replies.clear();
    fleet.event(&home, Event::Stop);
    fleet.advance(Duration::from_secs(3));
    assert_eq!(fleet.stopped, std::slice::from_ref(&home));
    fleet.nodes.remove(&home);
    for seq in 1..=4 {
        fleet.send(&other, &request(&granted, "availability", "feed", seq));
    }
    assert!(fleet.calls.is_empty());
    assert_eq!(fleet.take_replies().matches("chunk 0/3933").count(), 4);
}

#[track_caller]
fn check_inherited(after: Duration, expected: &[InstanceIncarnation]) {
    let mut fleet = Fleet::new(2);
    let first = support::instance(0);
    let second = support::instance(1);
    fleet.event(&first, Event::Stop);
    fleet.advance(Duration::from_secs(2));
    fleet.nodes.remove(&first);
    fleet.inherited.clear();
    fleet.now = fleet.now + after;
    fleet.join(&support::instance(2), 3);
    fleet.advance(Duration::from_secs(3));
    fleet.event(&second, Event::Stop);
    fleet.advance(Duration::from_secs(2));
    assert_eq!(fleet.inherited, [expected]);
}

#[test]
fn incarnations_are_inherited_until_their_tokens_expire() {
    let first = InstanceIncarnation {
        name: support::instance(0),
        incarnation: Incarnation(1),
    };
    check_inherited(Duration::from_mins(30), &[first]);
    check_inherited(Duration::from_mins(90), &[]);
}
