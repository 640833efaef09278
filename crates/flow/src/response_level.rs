//! The level of a service's response times relative to its level at low load, which shows whether requests wait in the
//! queues of its upstreams.

use std::time::Duration;

use units::Time;

/// Number of samples before the level at low load is known. An instance sees twenty per second or more.
const MIN_SAMPLES: u32 = 50;
/// Minimum step of the median per sample, relative to the median.
const MIN_STEP: f64 = 0.02;
/// Weight of the median in the level at low load while it is lower than that. A single low value is chance.
const LOWERING_WEIGHT: f64 = 0.05;
/// Growth per second of the level at low load, as a fraction, so that a service that has become slower for good isn't
/// measured against its earlier level for more than a minute or so.
const GROWTH: f64 = 0.01;
/// Multiple of the level at low load from which on requests are taken to wait. With two slots and a queue of eight
/// places, response times are 1.3 times as long at 0.8 of the capacity and twice as long at 1.0.
const RAISED_FACTOR: f64 = 1.5;

/// Running median of a service's response times, and its level at low load. Unlike a mean, the median isn't raised by a
/// minority of slow upstreams.
#[derive(Debug, Default, Clone, Copy)]
pub struct ResponseLevel {
    samples: u32,
    /// Running median of the response times, in seconds.
    median: f64,
    /// Level at low load, in seconds.
    low: f64,
    /// When the latest sample was added.
    at: Time,
}

impl ResponseLevel {
    /// Records the response time of a regular answer.
    pub fn add(&mut self, response_time: Duration, now: Time) {
        let sample = response_time.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        let step = 1.0 + MIN_STEP.max(1.0 / f64::from(self.samples));
        if self.samples == 1 {
            self.median = sample;
        } else if sample > self.median {
            self.median *= step;
        } else {
            self.median /= step;
        }
        let grown = self.low * (1.0 + GROWTH * now.since(self.at).as_secs_f64());
        self.low = if self.samples <= MIN_SAMPLES {
            self.median
        } else {
            grown.min(grown + (self.median - grown) * LOWERING_WEIGHT)
        };
        self.at = now;
    }

    /// Whether response times are so long that requests wait for free slots.
    pub fn is_raised(&self) -> bool {
        self.samples > MIN_SAMPLES && self.median >= self.low * RAISED_FACTOR
    }
}
