//! Typical values that failures are measured against: a service's response times and results, and a route's response
//! lengths.

use std::time::Duration;

use crate::outcome::Tally;

/// Weight of a new response time sample of a service. An instance sees about fifty answers a second.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Multiple of the typical response time after which an unanswered request counts as overdue. Of requests whose work
/// varies by half (log-normal distribution), three in ten thousand take that long.
const OVERDUE_FACTOR: f64 = 5.0;
/// Bounds of the time until a request counts as overdue. Data that the upstream hasn't acknowledged is retransmitted
/// after 200 milliseconds, which is counted separately.
const SHORTEST_WAIT: Duration = Duration::from_millis(250);
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Typical behaviour of a service's upstreams.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Service {
    /// Moving average of the time until an answer begins, in seconds.
    response: Option<f64>,
    /// Results of attempts at upstreams that aren't ejected.
    pub(crate) tally: Tally,
}

impl Service {
    pub(crate) fn note_response(&mut self, waited: Duration) {
        let sample = waited.as_secs_f64();
        let held = self.response.unwrap_or(sample);
        self.response = Some(held + (sample - held) * SAMPLE_WEIGHT);
    }

    /// Time after which an unanswered request counts as overdue.
    pub(crate) fn patience(&self) -> Duration {
        let usual = Duration::from_secs_f64(self.response.unwrap_or_default());
        usual.mul_f64(OVERDUE_FACTOR).clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }

    /// Lower bound in seconds for response time samples: an answer that comes much sooner than usual is typically an
    /// error, and must not make its upstream look fast.
    pub(crate) fn least_response(&self) -> f64 {
        self.response.unwrap_or_default() / 2.0
    }
}

/// Minimum number of answers on a route before one can be classified as short.
const LEAST_ANSWERS: u32 = 20;
/// Fraction of the median below which an answer is short. Error responses have about 150 bytes including their header,
/// and the shortest of twenty regular answers has about a third of the median.
const SHORT_PART: f64 = 1.0 / 3.0;
/// Minimum step of the median estimate per answer, relative to the median.
const STEP: f64 = 0.02;

/// Running estimate of the median response length of a route. It moves in small steps, so errors can't shift it while
/// they are fewer than half of the answers.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Length {
    median: f64,
    answers: u32,
}

impl Length {
    pub(crate) fn note(&mut self, bytes: u32) {
        let bytes = f64::from(bytes);
        self.answers = self.answers.saturating_add(1);
        if self.answers == 1 {
            self.median = bytes;
            return;
        }
        let step = STEP.max(1.0 / f64::from(self.answers));
        if bytes > self.median {
            self.median *= 1.0 + step;
        } else {
            self.median /= 1.0 + step;
        }
    }

    /// Whether an answer is far shorter than usual.
    pub(crate) fn is_short(&self, bytes: u32) -> bool {
        self.answers >= LEAST_ANSWERS && f64::from(bytes) < self.median * SHORT_PART
    }
}
