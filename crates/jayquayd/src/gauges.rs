//! What the node tells of itself, as metrics. Lists become counts by state, so that no label grows with the fleet.

use std::time::Duration;

use node::Status;
use node::UpstreamLine;
use units::Time;
use wire::MemberState;

use crate::metric;

/// How often the node is asked.
pub(crate) const EVERY: Duration = Duration::from_secs(1);

/// The states of an upstream as a home sees it.
const UPSTREAM_STATES: [&str; 6] = ["active", "warming", "ejected", "probing", "draining", "removed"];

/// The states of a member, and their labels.
const MEMBER_STATES: [(MemberState, &str); 4] = [
    (MemberState::Alive, "alive"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Leaving, "leaving"),
    (MemberState::Dead, "dead"),
];

/// Sets the metrics that the node's status tells.
pub(crate) fn set(status: &Status, now: Time) {
    metric::flows().set(status.flows as f64);
    metric::requests().set(status.requests as f64);
    metric::answer_bytes().set(status.answer_bytes as f64);
    metric::packets().absolute(status.packets);
    metric::malformed().absolute(status.malformed);
    metric::forwarded().absolute(status.forwarded);
    metric::documents_rejected().absolute(status.documents_rejected);
    metric::time().set(now.0 as f64 / 1e6);
    for (state, label) in MEMBER_STATES {
        let count = status.members.iter().filter(|member| member.state == state).count();
        metric::members(label).set(count as f64);
    }
    for state in UPSTREAM_STATES {
        let of_state = |line: &&UpstreamLine| line.state.as_str() == state;
        metric::upstreams(state).set(status.upstreams.iter().filter(of_state).count() as f64);
    }
}
