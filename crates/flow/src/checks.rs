//! Tries at upstreams whose ends are to be judged when their time has come.

use std::collections::VecDeque;
use std::time::Duration;

use units::Time;

use crate::flows::FlowKey;

/// How long after an opening packet nothing must have followed until its client counts as refused. A copy would have come after
/// 200 milliseconds, as long as the way there and back is shorter than the rest.
const REFUSED_AFTER: Duration = Duration::from_millis(300);

/// A try whose end is to be judged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Check {
    /// When it is to be judged.
    pub(crate) due: Time,
    /// Its flow.
    pub(crate) key: FlowKey,
    /// When the flow was opened, or when the request came.
    pub(crate) began: Time,
}

/// Tries whose ends are to be judged, each kind in the order of their times.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    openings: VecDeque<Check>,
    requests: VecDeque<Check>,
}

impl Checks {
    /// A flow was placed.
    pub(crate) fn open(&mut self, key: FlowKey, began: Time) {
        let due = began + REFUSED_AFTER;
        self.openings.push_back(Check { due, key, began });
    }

    /// A request came, or its answer was not whole yet.
    pub(crate) fn request(&mut self, key: FlowKey, began: Time, due: Time) {
        self.requests.push_back(Check { due, key, began });
    }

    /// The next opening that is due.
    pub(crate) fn next_opening(&mut self, now: Time) -> Option<Check> {
        self.openings.pop_front_if(|check| check.due <= now)
    }

    /// The next request that is due.
    pub(crate) fn next_request(&mut self, now: Time) -> Option<Check> {
        self.requests.pop_front_if(|check| check.due <= now)
    }
}
