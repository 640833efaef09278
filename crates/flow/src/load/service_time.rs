//! Time that a request occupies a slot of an upstream.

use std::time::Duration;

use units::Time;

/// Time constant of the means: a change of speed shows within about a second.
const SPAN: Duration = Duration::from_secs(1);
/// Minimum number of recently completed requests for a mean.
const MIN_COMPLETED: f64 = 2.0;
/// Number of completed requests below which none is recent.
const MIN_REMAINDER: f64 = 0.01;

/// Busy slots divided by completed requests, over about the last second.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct ServiceTime {
    /// Slots of the upstream, zero while unknown.
    slots: u32,
    /// Time that slots were busy, in seconds.
    busy: f64,
    completed: f64,
    at: Time,
}

impl ServiceTime {
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Accounts for the time since the last call, in which this much work was in flight.
    pub(super) fn advance(&mut self, in_flight: u32, now: Time) {
        let passed = now.since(std::mem::replace(&mut self.at, now)).min(SPAN).as_secs_f64();
        let kept = (-passed / SPAN.as_secs_f64()).exp();
        let busy = in_flight.min(self.slots.max(1));
        self.busy = self.busy * kept + f64::from(busy) * passed;
        self.completed *= kept;
    }

    pub(super) fn add_completed(&mut self, count: u32) {
        self.completed += f64::from(count);
    }

    /// Adds the busy time and the completed requests of another upstream.
    pub(super) fn merge(&mut self, other: &Self) {
        self.busy += other.busy;
        self.completed += other.completed;
    }

    /// The mean, if enough requests were completed recently.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.completed >= MIN_COMPLETED).then(|| Duration::from_secs_f64(self.busy / self.completed))
    }

    /// Whether no request was completed recently.
    pub(super) fn is_idle(&self) -> bool {
        self.completed < MIN_REMAINDER
    }
}
