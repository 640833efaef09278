//! Lack of capacity is told from failures of single upstreams, and ejection leaves enough capacity.

use std::time::Duration;

use flow::RecentAnswers;
use flow::ResponseLevel;
use flow::ServiceLoad;
use flow::UpstreamId;
use flow::select_readmission;
use units::Time;

const START: Time = Time(1_000_000_000);

/// Answers of upstreams 1 to `answering`, of which the first `short` answer short, `times` times 10 ms apart.
fn answers(answering: u64, short: u64, times: u32) -> (RecentAnswers, Time) {
    let mut answers = RecentAnswers::default();
    let mut now = START;
    for _ in 0..times {
        now = now + Duration::from_millis(10);
        for id in 1..=answering {
            answers.add(UpstreamId(id), id <= short, now);
        }
    }
    (answers, now)
}

/// Upstreams that fail together on their own account were counted as full, or full ones as failing.
#[test]
fn short_answers_are_widespread_only_if_many_upstreams_give_them() {
    let cases = [
        // Answering, short, asked about, widespread among the others.
        (12, 4, 1, true),
        (12, 3, 1, false),
        (12, 3, 12, true),
        (20, 3, 20, false),
        (20, 4, 20, true),
        (3, 3, 1, false),
    ];
    for (answering, short, except, is_widespread) in cases {
        let (answers, now) = answers(answering, short, 3);
        let actual = answers.are_widely_short(UpstreamId(except), now);
        assert_eq!(actual, is_widespread, "{answering} {short} {except}");
    }
}

/// An overload that has ended must not excuse the failures that come after it.
#[test]
fn earlier_short_answers_do_not_count() {
    let (mut answers, now) = answers(12, 12, 5);
    assert!(answers.are_widely_short(UpstreamId(1), now));
    let later = now + Duration::from_millis(2_100);
    assert!(!answers.are_widely_short(UpstreamId(1), later));
    for id in 1..=12 {
        answers.add(UpstreamId(id), false, later);
    }
    assert!(!answers.are_widely_short(UpstreamId(1), later));
}

/// An ejection that leaves too few slots turns the failures of one upstream into refusals at all others.
#[test]
fn an_ejection_needs_enough_remaining_slots() {
    for (in_flight, slots, is_allowed) in [(0, 0, true), (1, 0, false), (10, 10, true), (11, 10, false)] {
        let load = ServiceLoad { in_flight, slots };
        assert_eq!(load.allows_ejection(), is_allowed, "{load:?}");
    }
}

/// Adds samples of one length, 20 ms apart.
fn add_samples(level: &mut ResponseLevel, millis: u64, samples: u32, now: &mut Time) {
    for _ in 0..samples {
        *now = *now + Duration::from_millis(20);
        level.add(Duration::from_millis(millis), *now);
    }
}

/// A service without a known level at low load, or with a minority of slow upstreams, was taken for an overloaded one.
#[test]
fn response_times_are_raised_only_if_most_of_them_are() {
    let mut level = ResponseLevel::default();
    let mut now = START;
    add_samples(&mut level, 40, 30, &mut now);
    add_samples(&mut level, 400, 1, &mut now);
    assert!(!level.is_raised());
    add_samples(&mut level, 40, 100, &mut now);
    for _ in 0..100 {
        add_samples(&mut level, 240, 1, &mut now);
        add_samples(&mut level, 40, 3, &mut now);
    }
    assert!(!level.is_raised());
    add_samples(&mut level, 120, 100, &mut now);
    assert!(level.is_raised());
    add_samples(&mut level, 40, 100, &mut now);
    assert!(!level.is_raised());
}

/// A service that has become slower for good must not count as overloaded for ever.
#[test]
fn a_raised_level_becomes_the_usual_one() {
    let mut level = ResponseLevel::default();
    let mut now = START;
    add_samples(&mut level, 40, 100, &mut now);
    add_samples(&mut level, 80, 100, &mut now);
    assert!(level.is_raised());
    add_samples(&mut level, 80, 50 * 90, &mut now);
    assert!(!level.is_raised());
}

/// A service short of capacity took back upstreams that fail most of their requests, or all of them at once.
#[test]
fn the_best_ejected_upstream_returns_first() {
    let ejected = [(UpstreamId(1), 0.9), (UpstreamId(2), 0.5), (UpstreamId(3), 0.4)];
    let cases = [
        // Ejected, time in which the service was short in milliseconds, the one that returns.
        (&ejected[..], 0, None),
        (&ejected[..], 799, None),
        (&ejected[..], 800, Some(UpstreamId(3))),
        (&ejected[..2], 800, None),
        (&ejected[..2], 1_000, Some(UpstreamId(2))),
        (&ejected[..1], 60_000, None),
        (&ejected[..0], 60_000, None),
    ];
    for (ejected, short_for, expected) in cases {
        let actual = select_readmission(ejected, Duration::from_millis(short_for));
        assert_eq!(actual, expected, "{ejected:?} {short_for}");
    }
    let load = |in_flight| ServiceLoad { in_flight, slots: 10 };
    assert!(!load(9).is_short_of_capacity() && load(10).is_short_of_capacity());
}
