//! What operators are told about capacity: the state of a service, and the openings that were refused or placed in
//! another zone.

#[expect(dead_code, reason = "each program uses a part of it")]
#[path = "../benches/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::CapacitySample;
use flow::CapacityState;
use flow::CapacityTracker;
use flow::Packet;
use flow::Priority;
use flow::ResetCause;
use flow::SpillCause;
use units::Time;

use crate::support::START;
use crate::support::core_in_zone;
use crate::support::opening_packet;

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Feeds samples of time in milliseconds, utilization in percent and whether flows were placed elsewhere, and returns
/// the changes of state.
fn changes(samples: &[(u64, Option<u32>, bool)]) -> Vec<(u64, CapacityState)> {
    let mut tracker = CapacityTracker::default();
    let mut changes = Vec::new();
    for (millis, percent, has_spilled) in samples {
        let sample = CapacitySample {
            utilization: percent.map(|percent| f64::from(percent) / 100.0),
            has_spilled: *has_spilled,
        };
        if let Some(state) = tracker.update(sample, at(*millis)) {
            assert_eq!(tracker.state(), state);
            changes.push((*millis, state));
        }
    }
    changes
}

/// Guards against a log that names each crossing of a limit, and against one that misses a shortage.
#[test]
fn a_state_changes_at_once_for_the_worse_and_later_for_the_better() {
    use CapacityState::Ordinary;
    use CapacityState::Short;
    use CapacityState::Spilling;
    let cases: [(&str, Vec<_>, Vec<_>); 7] = [
        (
            "below the limit",
            vec![(0, Some(99), false), (1_000, None, false)],
            vec![],
        ),
        ("at the limit", vec![(0, Some(100), false)], vec![(0, Short)]),
        (
            "spilling, then short",
            vec![(0, Some(80), true), (1_000, Some(120), true)],
            vec![(0, Spilling), (1_000, Short)],
        ),
        (
            "two changes in a second",
            vec![(0, Some(80), true), (500, Some(120), true), (900, Some(120), true)],
            vec![(0, Spilling)],
        ),
        (
            "around the limit",
            vec![
                (0, Some(101), false),
                (4_000, Some(91), false),
                (8_000, Some(95), false),
                (12_000, Some(90), false),
            ],
            vec![(0, Short)],
        ),
        (
            "a pause that is too short",
            vec![
                (0, Some(110), false),
                (1_000, Some(50), false),
                (3_900, Some(50), false),
                (3_950, Some(110), false),
                (4_000, Some(50), false),
                (6_900, Some(50), false),
            ],
            vec![(0, Short)],
        ),
        (
            "recovery, with and without a view",
            vec![
                (0, Some(110), false),
                (1_000, Some(50), false),
                (2_000, None, false),
                (4_000, Some(50), false),
            ],
            vec![(0, Short), (4_000, Ordinary)],
        ),
    ];
    for (name, samples, expected) in cases {
        assert_eq!(changes(&samples), expected, "{name}");
    }
}

/// Guards against more than one change a second, whatever the load does.
#[test]
fn no_two_changes_are_less_than_a_second_apart() {
    let samples = (0_u64..400).map(|step| {
        let percent = u32::try_from(step * 37 % 140).unwrap();
        (
            step * 130,
            Some(percent).filter(|percent| percent % 11 != 0),
            step % 3 == 0,
        )
    });
    let changes = changes(&samples.collect::<Vec<_>>());
    assert!(changes.len() > 1, "{changes:?}");
    for pair in changes.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= 1_000, "{pair:?}");
    }
}

/// Guards against openings that are counted twice, or under another cause than that of their verdict.
#[test]
fn openings_that_leave_the_zone_or_are_refused_are_counted_once() {
    // The only upstream is in zone 1.
    let mut away = core_in_zone(0, 1, 2, 1);
    let mut home = core_in_zone(1, 1, 2, 1);
    let opening = opening_packet(1);
    let unknown = Packet {
        route: SocketAddrV4::new(*opening.route.ip(), 444),
        ..opening_packet(2)
    };
    for core in [&mut away, &mut home] {
        core.handle_packet(&opening, at(0));
        // Both copies were delayed on the way, so the second one is not placed again.
        core.handle_packet(&opening, at(1));
        core.handle_packet(&unknown, at(2));
    }
    let refused = BTreeMap::from([((ResetCause::NoRoute, Priority::LEAST_URGENT), 1)]);
    assert_eq!(away.stats().refused, refused);
    assert_eq!(home.stats().refused, refused);
    assert_eq!(
        away.stats().spilled,
        BTreeMap::from([((SpillCause::NoView, Priority::LEAST_URGENT), 1)])
    );
    assert_eq!(home.stats().spilled, BTreeMap::new());
    assert_eq!(away.stats().held, BTreeMap::new());
}

/// Guards against a state that is reported without a view of the load.
#[test]
fn without_a_view_no_capacity_is_reported_and_no_state_changes() {
    let mut core = core_in_zone(0, 1, 2, 1);
    core.handle_packet(&opening_packet(1), at(0));
    core.take_decisions();
    core.tick(at(1_000));
    assert_eq!(core.capacities(at(1_000)), BTreeMap::new());
    assert_eq!(core.take_decisions(), []);
}
