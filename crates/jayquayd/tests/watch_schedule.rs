//! Timeouts of an instance's two watches: they alternate, so that one that receives nothing is detected soon.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use jayquayd::forward::role::Role;
use jayquayd::forward::watch_schedule::ObjectKind;
use jayquayd::forward::watch_schedule::WatchSchedule;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use units::Revision;

/// Simulates watches that are answered at their timeout, or earlier with a change. Returns the times of all answers.
fn answers(schedule: &WatchSchedule, seed: u64, change_share: f64) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let begin = Instant::now();
    let mut due = [ObjectKind::Document, ObjectKind::Upstreams].map(|kind| (kind, Duration::ZERO));
    let mut answers = Vec::new();
    for _ in 0..2_000 {
        due.sort_by_key(|(_, at)| *at);
        let (kind, at) = due[0];
        answers.push(at);
        let mut wait = schedule.wait(kind, Role::First, begin + at);
        if rng.random_bool(change_share) {
            wait = wait.mul_f64(rng.random());
        }
        due[0] = (kind, at + wait);
    }
    answers
}

fn longest_gap(answers: &[Duration]) -> Duration {
    let gaps = answers.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    gaps.max().unwrap()
}

#[test]
fn without_changes_one_watch_is_due_every_ten_seconds() {
    let answers = answers(&WatchSchedule::default(), 1, 0.0);
    // The first timeouts are random.
    let settled = &answers[4..];
    assert_eq!(longest_gap(settled), Duration::from_secs(10));
    let span = settled.last().unwrap().saturating_sub(settled[0]);
    assert_eq!(
        span,
        Duration::from_secs(10) * u32::try_from(settled.len() - 1).unwrap()
    );
}

#[test]
fn with_changes_at_any_moment_one_is_due_within_fifteen_seconds() {
    for seed in 0..20 {
        let answers = answers(&WatchSchedule::default(), seed, 0.3);
        let gap = longest_gap(&answers[4..]);
        assert!(gap <= Duration::from_secs(15), "seed {seed}: {gap:?}");
    }
}

#[test]
fn after_a_failure_the_next_wait_is_short_and_only_that_one() {
    let schedule = WatchSchedule::default();
    let now = Instant::now();
    schedule.note_failure(ObjectKind::Document);
    for role in [Role::First, Role::Second] {
        let other = schedule.wait(ObjectKind::Upstreams, role, now);
        assert!(other > Duration::from_millis(1_500), "{role:?}: {other:?}");
    }
    let short = schedule.wait(ObjectKind::Document, Role::Second, now);
    assert_eq!(short, Duration::from_millis(1_500));
    let usual = schedule.wait(ObjectKind::Document, Role::Second, now);
    assert_eq!(usual, Duration::from_secs(20));
}

#[tokio::test]
async fn suspicion_ends_the_other_watch_and_not_its_own() {
    let schedule = WatchSchedule::default();
    let waits = async {
        tokio::select! {
            () = schedule.suspected(ObjectKind::Document) => ObjectKind::Document,
            () = schedule.suspected(ObjectKind::Upstreams) => ObjectKind::Upstreams,
        }
    };
    let suspicion = async {
        tokio::task::yield_now().await;
        schedule.suspect_others(ObjectKind::Document);
    };
    let (ended, ()) = tokio::join!(waits, suspicion);
    assert_eq!(ended, ObjectKind::Upstreams);
}

#[test]
fn a_second_watcher_that_becomes_the_first_alternates_at_once() {
    let schedule = WatchSchedule::default();
    let now = Instant::now();
    schedule.wait(ObjectKind::Upstreams, Role::Second, now);
    for seconds in 0..20 {
        let wait = schedule.wait(ObjectKind::Document, Role::First, now + Duration::from_secs(seconds));
        assert!(wait <= Duration::from_secs(30), "after {seconds} s: {wait:?}");
    }
}

/// If other instances have learnt of a change that a watch hasn't reported, the watch is found unresponsive within two
/// seconds, however long its remaining timeout.
#[tokio::test(start_paused = true)]
async fn a_stale_watch_is_detected_within_two_seconds() {
    let schedule = WatchSchedule::default();
    let held = Cell::new(Revision(7));
    let begin = tokio::time::Instant::now();
    let stale = schedule.stale(Revision(7).into(), || held.get().into());
    tokio::pin!(stale);
    let unchanged = tokio::time::timeout(Duration::from_mins(1), &mut stale).await;
    assert!(unchanged.is_err(), "without changes the watch is not stale");
    held.set(Revision(8));
    stale.await;
    assert!(begin.elapsed() <= Duration::from_mins(1) + Duration::from_secs(2));
}
