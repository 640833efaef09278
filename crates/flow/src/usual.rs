//! What is usual: how long a service's answers take, how long a route's answers are, and how tries end.

use std::time::Duration;

use crate::outcome::Tally;

/// How much a new sample of a service's response time counts. Some fifty answers a second come by at an instance.
const SAMPLE_WEIGHT: f64 = 0.02;
/// How many times as long as usual a request may go without an answer until it counts as overdue. Of requests whose work varies
/// by half (log-normally), three in ten thousand take as long.
const OVERDUE_FACTOR: f64 = 5.0;
/// The shortest and the longest time until a request counts as overdue. Data that its upstream has not taken is sent again
/// after 200 milliseconds, which is another sign.
const SHORTEST_WAIT: Duration = Duration::from_millis(250);
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// What is usual of a service's upstreams.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Service {
    /// A moving mean of the time until an answer begins, in seconds.
    response: Option<f64>,
    /// How tries ended at upstreams that are not ejected.
    pub(crate) tally: Tally,
}

impl Service {
    pub(crate) fn note_response(&mut self, waited: Duration) {
        let sample = waited.as_secs_f64();
        let held = self.response.unwrap_or(sample);
        self.response = Some(held + (sample - held) * SAMPLE_WEIGHT);
    }

    /// How long a request may go without an answer.
    pub(crate) fn patience(&self) -> Duration {
        let usual = Duration::from_secs_f64(self.response.unwrap_or_default());
        usual.mul_f64(OVERDUE_FACTOR).clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }

    /// The shortest response time that an answer is credited with, in seconds: what comes much sooner than usual is a refusal
    /// as a rule, and must not make its upstream look fast.
    pub(crate) fn least_response(&self) -> f64 {
        self.response.unwrap_or_default() / 2.0
    }
}

/// How many answers a route must have had until one can be called short.
const LEAST_ANSWERS: u32 = 20;
/// Which part of the median an answer has at least, unless it is short. Errors have 150 bytes or so with their head, and the
/// shortest of twenty answers of usual size a third of the median.
const SHORT_PART: f64 = 1.0 / 3.0;
/// How far the median moves with each answer, at least, as a part of itself.
const STEP: f64 = 0.02;

/// How long a route's answers are: their median, followed by small steps, which errors can't shift while they are fewer than
/// half.
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
