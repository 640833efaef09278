//! Jittered exponential backoff.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;

/// Lengthens a span by up to a quarter. It never shortens it, so that "come back in" is kept.
pub(crate) fn jitter(span: Duration, rng: &mut SmallRng) -> Duration {
    let quarter = span / 4;
    span + quarter.mul_f64(rng.random::<f64>())
}

/// When to send a packet again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timer {
    /// When it is due.
    pub(crate) due: Time,
    interval: Duration,
    max: Duration,
}

impl Timer {
    /// A timer for a packet that is sent now.
    pub(crate) fn start(now: Time, interval: Duration, max: Duration, rng: &mut SmallRng) -> Self {
        Self {
            due: now + jitter(interval, rng),
            interval,
            max,
        }
    }

    /// The packet is sent again now.
    pub(crate) fn back_off(&mut self, now: Time, rng: &mut SmallRng) {
        self.interval = (self.interval * 2).min(self.max);
        self.due = now + jitter(self.interval, rng);
    }
}
