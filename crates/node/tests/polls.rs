//! Tests of how often a home polls its upstreams, and of what it remembers of their reports.

mod support;

use std::time::Duration;

use node::Event;
use node::UpstreamReport;
use units::Incarnation;
use units::Revision;
use units::Slots;
use units::UpstreamName;

use support::Fleet;
use support::document;
use support::instance;
use support::large_document;

#[test]
fn the_poll_rate_is_bounded() {
    // Up to four polls per second are sent in total; three upstreams are polled once per second each.
    let cases = [(0, 30), (5, 40), (40, 40), (97, 40)];
    for (more, expected) in cases {
        let mut fleet = Fleet::new(1);
        fleet.event(
            &instance(0),
            Event::DocumentLoaded(Revision(2), large_document(2, more)),
        );
        fleet.advance(Duration::from_mins(1));
        fleet.polls = 0;
        fleet.advance(Duration::from_mins(2));
        let in_ten_seconds = fleet.polls / 12;
        let tolerance = 6;
        assert!(
            in_ten_seconds.abs_diff(expected) <= tolerance,
            "{more} more: {in_ten_seconds}"
        );
    }
}

#[test]
fn an_upstream_that_left_the_document_is_forgotten() {
    let mut fleet = Fleet::new(1);
    let name = "more-0".parse::<UpstreamName>().unwrap();
    let check = |fleet: &mut Fleet, revision, text, expected| {
        fleet.event(&instance(0), Event::DocumentLoaded(Revision(revision), text));
        fleet.advance(Duration::from_millis(20));
        let status = fleet.nodes[&instance(0)].1.status(fleet.now);
        let line = status.upstreams.iter().find(|line| line.upstream == name);
        assert_eq!(line.map(|line| line.incarnation), expected, "at revision {revision}");
    };
    check(&mut fleet, 2, large_document(2, 1), Some(None));
    let report = UpstreamReport {
        incarnation: Incarnation(9),
        healthy: true,
        draining: false,
        busy: Slots(0),
        age: Duration::ZERO,
    };
    fleet.event(&instance(0), Event::PollEnded(name.clone(), Ok(report)));
    check(&mut fleet, 3, large_document(3, 1), Some(Some(Incarnation(9))));
    check(&mut fleet, 4, document(4), None);
    check(&mut fleet, 5, large_document(5, 1), Some(None));
}
