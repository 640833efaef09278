//! Jittered exponential backoff.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;

use crate::Policy;

/// Lengthens a span by up to a quarter. It never shortens it, so that "come back in" is kept.
pub(crate) fn add_jitter(span: Duration, rng: &mut SmallRng) -> Duration {
    let quarter = span / 4;
    span + quarter.mul_f64(rng.random::<f64>())
}

/// The part of the time left that passes at most before a packet is sent again, so that several attempts fit before
/// the deadline.
const REMAINING_TIME_DIVISOR: u32 = 3;

/// When to send a packet again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetransmitTimer {
    /// When it is due.
    pub(crate) due: Time,
    interval: Duration,
    min: Duration,
    max: Duration,
}

impl RetransmitTimer {
    /// A timer for a packet that is sent now.
    pub(crate) fn start(now: Time, interval: Duration, policy: &Policy, rng: &mut SmallRng) -> Self {
        Self {
            due: now + add_jitter(interval, rng),
            interval,
            min: policy.retransmit,
            max: policy.retransmit_max,
        }
    }

    /// The packet is sent again now, and is of no use after the deadline.
    pub(crate) fn back_off(&mut self, now: Time, deadline: Time, rng: &mut SmallRng) {
        let part = now.until(deadline) / REMAINING_TIME_DIVISOR;
        self.interval = (self.interval * 2).min(self.max);
        self.due = now + add_jitter(self.interval.min(part.max(self.min)), rng);
    }
}
