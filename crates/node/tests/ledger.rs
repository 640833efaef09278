//! Tests of the state that a ledger reports for a request, depending on the preceding events.

use std::time::Duration;

use node::FlowKey;
use node::Ledgers;
use node::Lookup;
use node::RequestState;
use units::FlowId;
use units::Incarnation;
use units::RequestSeq;
use units::Time;
use wire::Answer;
use wire::Reason;
use wire::TicketId;
use wire::Verdict;

const KEY: FlowKey = FlowKey {
    owner: Incarnation(1),
    flow: FlowId(1),
};
const START: Time = Time(1_000_000_000);
const KEEP_FLOWS: Duration = Duration::from_hours(1);
const KEEP_ANSWERS: Duration = Duration::from_secs(30);
const PLENTY: u64 = u64::MAX;

fn ledgers() -> Ledgers {
    Ledgers::new(KEEP_FLOWS, KEEP_ANSWERS)
}

#[track_caller]
fn check(ledgers: &mut Ledgers, seq: u64, now: Time, expected: &str) {
    let seq = RequestSeq(seq);
    let got = match ledgers.look_up(KEY, RequestSeq(0), seq, seq, now) {
        Lookup::New => "new".to_owned(),
        Lookup::TooOld => "too old".to_owned(),
        Lookup::Full => "full".to_owned(),
        Lookup::Known(RequestState::Running(_)) => "running".to_owned(),
        Lookup::Known(RequestState::RunningElsewhere(_)) => "elsewhere".to_owned(),
        Lookup::Known(RequestState::Answered(_)) => "answered".to_owned(),
        Lookup::Known(RequestState::AnswerDiscarded) => "forgotten".to_owned(),
        Lookup::Known(RequestState::Refused(verdict, _)) => verdict.to_string(),
    };
    assert_eq!(got, expected);
}

fn run(ledgers: &mut Ledgers, seq: u64, now: Time) {
    check(ledgers, seq, now, "new");
    ledgers.begin(KEY, RequestSeq(seq), TicketId(seq));
    let answer = Answer::new(vec![7; 100]);
    ledgers.end(KEY, RequestSeq(seq), RequestState::Answered(Box::new(answer)), now);
}

#[test]
fn a_sequence_number_starts_only_once() {
    let mut ledgers = ledgers();
    run(&mut ledgers, 1, START);
    check(&mut ledgers, 1, START, "answered");
    ledgers.forget_answer(KEY, RequestSeq(1));
    check(&mut ledgers, 1, START, "forgotten");
    let later = START + KEEP_ANSWERS;
    ledgers.expire(later, PLENTY);
    check(&mut ledgers, 1, later, "too old");
}

#[test]
fn a_refusal_is_final() {
    let mut ledgers = ledgers();
    check(&mut ledgers, 1, START, "new");
    ledgers.refuse(KEY, RequestSeq(1), Reason::Unknown, START);
    check(&mut ledgers, 1, START, "not run");
    let later = START + KEEP_ANSWERS;
    ledgers.expire(later, PLENTY);
    check(&mut ledgers, 1, later, "too old");
}

#[test]
fn the_first_final_state_is_kept() {
    let mut ledgers = ledgers();
    run(&mut ledgers, 1, START);
    let refused = RequestState::Refused(Verdict::NotRun, Reason::Deadline);
    ledgers.end(KEY, RequestSeq(1), refused, START);
    check(&mut ledgers, 1, START, "answered");
}

#[test]
fn requests_may_arrive_out_of_order() {
    let mut ledgers = ledgers();
    run(&mut ledgers, 3, START);
    run(&mut ledgers, 1, START);
    run(&mut ledgers, 2, START);
    check(&mut ledgers, 3, START, "answered");
}

#[test]
fn the_window_is_bounded_and_evicted_requests_never_start_again() {
    let mut ledgers = ledgers();
    for seq in 2..=66 {
        run(&mut ledgers, seq, START);
    }
    check(&mut ledgers, 2, START, "too old");
    check(&mut ledgers, 1, START, "too old");
    check(&mut ledgers, 66, START, "answered");
}

#[test]
fn requests_in_progress_are_never_evicted() {
    let mut ledgers = ledgers();
    for seq in 1..=64 {
        check(&mut ledgers, seq, START, "new");
        ledgers.begin(KEY, RequestSeq(seq), TicketId(seq));
    }
    check(&mut ledgers, 65, START, "full");
    check(&mut ledgers, 1, START, "running");
}

#[test]
fn answers_beyond_the_limit_are_discarded_and_their_entries_still_expire() {
    let mut ledgers = ledgers();
    run(&mut ledgers, 1, START);
    run(&mut ledgers, 2, START);
    ledgers.expire(START, 100);
    assert_eq!(ledgers.answer_bytes(), 100);
    check(&mut ledgers, 1, START, "forgotten");
    check(&mut ledgers, 2, START, "answered");
    ledgers.expire(START + KEEP_ANSWERS, PLENTY);
    assert_eq!(ledgers.answer_bytes(), 0);
    let lines = ledgers.get(KEY).map(|ledger| ledger.entries.len());
    assert_eq!(lines, Some(0));
}

#[test]
fn a_ledger_is_retained_after_its_last_request_and_after_closing() {
    let mut ledgers = ledgers();
    run(&mut ledgers, 1, START);
    ledgers.expire(START + Duration::from_secs(3_599), PLENTY);
    assert_eq!(ledgers.len(), 1);
    ledgers.expire(START + KEEP_FLOWS, PLENTY);
    assert_eq!(ledgers.len(), 0);

    run(&mut ledgers, 1, START);
    ledgers.close(KEY, START);
    ledgers.close(KEY, START + Duration::from_mins(1));
    ledgers.expire(START + Duration::from_secs(119), PLENTY);
    assert_eq!(ledgers.len(), 1);
    ledgers.expire(START + Duration::from_mins(2), PLENTY);
    assert_eq!(ledgers.len(), 0);
    assert_eq!(ledgers.answer_bytes(), 0);
}

#[test]
fn a_flow_that_is_closed_repeatedly_has_a_single_expiry() {
    let mut ledgers = ledgers();
    run(&mut ledgers, 1, START);
    for second in 0..100 {
        let now = START + Duration::from_secs(second);
        check(&mut ledgers, 1, now, "answered");
        ledgers.close(KEY, now);
    }
    assert_eq!(ledgers.expiries(), 1);
    ledgers.expire(START + Duration::from_mins(4), PLENTY);
    assert_eq!((ledgers.len(), ledgers.expiries()), (0, 0));
}

#[test]
fn a_request_whose_end_is_lost_does_not_keep_its_ledger_forever() {
    let mut old = ledgers();
    check(&mut old, 1, START, "new");
    old.begin(KEY, RequestSeq(1), TicketId(1));
    let (key, mut ledger) = old.drain().remove(0);
    ledger.entries[0].state = RequestState::RunningElsewhere(Incarnation(1));
    let mut ledgers = ledgers();
    ledgers.install(key, ledger, START);
    check(&mut ledgers, 1, START, "elsewhere");
    ledgers.expire(START + KEEP_FLOWS, PLENTY);
    assert_eq!(ledgers.len(), 0);
}
