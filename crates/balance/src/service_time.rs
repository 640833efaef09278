//! Mean service times, estimated from completed requests.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Weight;

/// The number of samples after which the mean turns from arithmetic into exponentially weighted.
const WINDOW: f64 = 256.0;
/// The number of samples below which there is no estimate.
const MIN_SAMPLES: f64 = 8.0;

/// A mean that is arithmetic for the first [`WINDOW`] samples and exponentially weighted after that.
#[derive(Debug, Default, Clone)]
struct MovingMean {
    count: f64,
    seconds: f64,
}

impl MovingMean {
    fn record(&mut self, seconds: f64) {
        self.count = (self.count + 1.0).min(WINDOW);
        self.seconds += (seconds - self.seconds) / self.count;
    }

    fn get(&self) -> Option<f64> {
        (self.count >= MIN_SAMPLES).then_some(self.seconds)
    }
}

/// The mean service time of a service, overall and for each weight.
///
/// Request kinds of equal weight share a mean, because a pool does not know kinds.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServiceTimeEstimate {
    overall: MovingMean,
    by_weight: BTreeMap<Weight, MovingMean>,
}

impl ServiceTimeEstimate {
    /// Records the service time of a completed request.
    pub(crate) fn record(&mut self, weight: Option<Weight>, took: Duration) {
        let seconds = took.as_secs_f64();
        self.overall.record(seconds);
        if let Some(weight) = weight {
            self.by_weight.entry(weight).or_default().record(seconds);
        }
    }

    /// Returns the overall mean service time in seconds, or `None` if there are too few samples.
    pub(crate) fn mean(&self) -> Option<f64> {
        self.overall.get()
    }

    /// Returns the mean service time in seconds of requests of this weight. Falls back to the overall mean, then to zero.
    pub(crate) fn mean_of(&self, weight: Weight) -> f64 {
        let of_weight = self.by_weight.get(&weight).and_then(MovingMean::get);
        of_weight.or_else(|| self.overall.get()).unwrap_or(0.0)
    }
}
