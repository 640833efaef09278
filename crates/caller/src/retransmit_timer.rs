//! Retransmission timer with jittered exponential backoff.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;

use crate::Policy;

/// Adds up to 25 % of random jitter to a delay. The result is never shorter than `span`, so that a server's
/// `retry_after` is respected.
pub(crate) fn add_jitter(span: Duration, rng: &mut SmallRng) -> Duration {
    let quarter = span / 4;
    span + quarter.mul_f64(rng.random::<f64>())
}

/// A backoff interval is limited to the time left until the deadline divided by this, so that several
/// retransmissions fit before the deadline.
const REMAINING_TIME_DIVISOR: u32 = 3;

/// Schedules the retransmissions of a packet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetransmitTimer {
    /// When the next retransmission is due.
    pub(crate) due: Time,
    interval: Duration,
    min: Duration,
    max: Duration,
}

impl RetransmitTimer {
    /// Starts the timer for a packet that is sent at `now`.
    pub(crate) fn start(now: Time, interval: Duration, policy: &Policy, rng: &mut SmallRng) -> Self {
        Self {
            due: now + add_jitter(interval, rng),
            interval,
            min: policy.retransmit,
            max: policy.retransmit_max,
        }
    }

    /// Doubles the interval after a retransmission at `now`, limited by the maximum and the time left until `deadline`.
    pub(crate) fn back_off(&mut self, now: Time, deadline: Time, rng: &mut SmallRng) {
        let part = now.until(deadline) / REMAINING_TIME_DIVISOR;
        self.interval = (self.interval * 2).min(self.max);
        self.due = now + add_jitter(self.interval.min(part.max(self.min)), rng);
    }
}
