//! How often a home asks its upstreams for health and load.

mod support;

use std::time::Duration;

use node::Event;
use units::Revision;

use support::Fleet;
use support::instance;
use support::large_document;

#[test]
fn polls_stay_within_what_control_may_cost() {
    // Three upstreams are asked each second; of more, four a second in all.
    let cases = [(0, 30), (5, 40), (40, 40), (97, 40)];
    for (more, expected) in cases {
        let mut fleet = Fleet::new(1);
        fleet.event(&instance(0), Event::Loaded(Revision(2), large_document(2, more)));
        fleet.pass(Duration::from_mins(1));
        fleet.polls = 0;
        fleet.pass(Duration::from_mins(2));
        let in_ten_seconds = fleet.polls / 12;
        let tolerance = 6;
        assert!(
            in_ten_seconds.abs_diff(expected) <= tolerance,
            "{more} more: {in_ten_seconds}"
        );
    }
}
