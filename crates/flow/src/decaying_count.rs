//! Exponentially decaying counters.

use std::time::Duration;

use units::Time;

/// Counter with exponential decay: an event counts a third after one span, and a twentieth after three.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct DecayingCount {
    value: f64,
    at: Time,
}

impl DecayingCount {
    pub(crate) fn add(&mut self, count: u32, span: Duration, now: Time) {
        self.value = self.value(span, now) + f64::from(count);
        self.at = now;
    }

    pub(crate) fn value(&self, span: Duration, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / span.as_secs_f64()).exp()
    }
}
