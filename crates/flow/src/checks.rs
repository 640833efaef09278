//! Scheduled checks of attempts at upstreams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use units::Time;

use crate::flows::FlowKey;

/// Time after an opening packet without further packets after which the connection counts as refused. A retransmission
/// would have arrived after 200 milliseconds, provided that the round trip takes less than the remaining time.
const REFUSED_AFTER: Duration = Duration::from_millis(300);

/// Scheduled check of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Check {
    /// When the check is due.
    pub(crate) due: Time,
    /// The flow to check.
    pub(crate) key: FlowKey,
    /// When the flow was opened, or when the request arrived.
    pub(crate) started_at: Time,
}

/// Scheduled checks, with one queue for each kind, ordered by due time. Requests become overdue at different times,
/// depending on their upstreams.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    openings: VecDeque<Check>,
    requests: BinaryHeap<Reverse<Check>>,
}

impl Checks {
    /// Schedules a check of a new flow.
    pub(crate) fn add_opening(&mut self, key: FlowKey, started_at: Time) {
        let due = started_at + REFUSED_AFTER;
        self.openings.push_back(Check { due, key, started_at });
    }

    /// Schedules a check of a request, also of one whose answer isn't complete yet.
    pub(crate) fn add_request(&mut self, key: FlowKey, started_at: Time, due: Time) {
        self.requests.push(Reverse(Check { due, key, started_at }));
    }

    /// Removes and returns the next due check of an opening.
    pub(crate) fn pop_opening(&mut self, now: Time) -> Option<Check> {
        self.openings.pop_front_if(|check| check.due <= now)
    }

    /// Removes and returns the next due check of a request.
    pub(crate) fn pop_request(&mut self, now: Time) -> Option<Check> {
        self.requests.peek().filter(|check| check.0.due <= now)?;
        self.requests.pop().map(|check| check.0)
    }
}
