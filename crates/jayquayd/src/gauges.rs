//! Metrics derived from the node's status. Lists become counts by state, so that the number of label values does not
//! grow with the fleet.

use std::time::Duration;

use node::RefusedCount;
use node::Status;
use node::UpstreamStatus;
use units::Time;
use wire::Reason;

use crate::metric;
use crate::metric::MEMBER_STATES;
use crate::throttle::LogThrottle;

/// Interval between updates.
pub(crate) const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The states of an upstream at the home of its service.
const UPSTREAM_STATES: [&str; 6] = ["active", "warming", "ejected", "probing", "draining", "removed"];

/// Logs, at a limited rate, that unusable packets were received.
#[derive(Debug, Default)]
pub(crate) struct UnusablePacketLog {
    /// Number of unusable packets when it was last logged.
    last_logged: u64,
    throttle: LogThrottle,
}

impl UnusablePacketLog {
    /// Logs the number of unusable packets if it has grown since it was last logged.
    pub(crate) fn log_increase(&mut self, status: &Status) {
        let bad_tokens = refused_count(status, Reason::Token);
        let wrong_services = refused_count(status, Reason::WrongService);
        let unusable = status.malformed + bad_tokens + wrong_services;
        if unusable <= self.last_logged {
            return;
        }
        let Some(suppressed) = self.throttle.allow() else {
            return;
        };
        self.last_logged = unusable;
        let malformed = status.malformed;
        log::warn!(
            "callers: unusable packets so far: {malformed} malformed, {bad_tokens} with a bad token, {wrong_services} of another service{suppressed}"
        );
    }
}

fn refused_count(status: &Status, reason: Reason) -> u64 {
    let counts = status
        .refused
        .iter()
        .filter(|refused: &&RefusedCount| refused.reason == reason);
    counts.map(|refused| refused.count).sum()
}

/// Sets the metrics from the node's status.
pub(crate) fn update(status: &Status, now: Time) {
    metric::flows().set(status.flows as f64);
    metric::requests().set(status.requests as f64);
    metric::answer_bytes().set(status.answer_bytes as f64);
    metric::packets().absolute(status.packets);
    metric::malformed().absolute(status.malformed);
    metric::forwarded().absolute(status.forwarded);
    for reason in Reason::ALL {
        metric::refusals(reason.as_str()).absolute(refused_count(status, reason));
    }
    metric::documents_rejected().absolute(status.documents_rejected);
    metric::time().set(now.0 as f64 / 1e6);
    for (state, label) in MEMBER_STATES {
        let count = status.members.iter().filter(|member| member.state == state).count();
        metric::members(label).set(count as f64);
    }
    for state in UPSTREAM_STATES {
        let of_state = |line: &&UpstreamStatus| line.state.as_str() == state;
        metric::upstreams(state).set(status.upstreams.iter().filter(of_state).count() as f64);
    }
}
