//! Limits the messages about load that an instance sends.

use std::time::Duration;

use units::Time;

/// Interval of the calls that the budgets are given for.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Messages at each call, every 100 milliseconds, in a fleet with few groups. A collector then answers each of some
/// hundred instances at each call.
const MAX_PER_CALL: f64 = 400.0;
/// Number of groups up to which the maximum holds. Beyond, the messages per call are inversely proportional to it.
const FEW_GROUPS: f64 = 16.0;
/// Number of groups from which digests only answer reports. An instance then takes part in more groups than can tell it
/// their load every 100 milliseconds.
const MANY_GROUPS: usize = 64;
/// Reports at each call in a fleet with thousands of groups: 12 a second, or 1.2 KB.
const MIN_REPORTS: f64 = 1.2;
/// Digests at each call in such a fleet. Most collectors send far fewer, as digests only answer reports, but those of a
/// busy service answer hundreds of instances.
const MIN_DIGESTS: f64 = 30.0;

/// What a budget is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    Reports,
    Digests,
}

/// Number of messages that may be sent. What isn't sent at one call is sent at one of the next.
#[derive(Debug)]
pub(crate) struct MessageBudget {
    /// Messages added per call.
    per_call: f64,
    /// Messages that may still be sent, negative after more were.
    left: f64,
    refilled_at: Time,
    has_many_groups: bool,
}

impl Default for MessageBudget {
    fn default() -> Self {
        Self {
            per_call: MAX_PER_CALL,
            left: 0.0,
            refilled_at: Time::default(),
            has_many_groups: false,
        }
    }
}

impl MessageBudget {
    /// Sets the number of groups in the fleet.
    pub(crate) fn set_groups(&mut self, count: usize, purpose: Purpose) {
        let min = match purpose {
            Purpose::Reports => MIN_REPORTS,
            Purpose::Digests => MIN_DIGESTS,
        };
        let per_call = MAX_PER_CALL * FEW_GROUPS / (count as f64).max(FEW_GROUPS);
        self.per_call = per_call.max(min);
        self.has_many_groups = count >= MANY_GROUPS;
    }

    pub(super) fn has_many_groups(&self) -> bool {
        self.has_many_groups
    }

    /// Adds what the time since the last refill allows, however many calls there were. At most the budget of one call
    /// is kept, or two messages.
    pub(super) fn refill(&mut self, now: Time) {
        if now <= self.refilled_at {
            return;
        }
        let calls = now.since(self.refilled_at).div_duration_f64(CALL_INTERVAL);
        self.refilled_at = now;
        self.left = (self.left + self.per_call * calls).min(self.per_call.max(2.0));
    }

    pub(super) fn is_used_up(&self) -> bool {
        self.left <= 0.0
    }

    /// Accounts for messages, which may be more than are left.
    pub(super) fn spend(&mut self, messages: usize) {
        self.left -= messages as f64;
    }
}
