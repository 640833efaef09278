//! How long requests take, learned from completed ones.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Weight;

/// How many completions an average looks back on, once it has seen that many.
const WINDOW: f64 = 256.0;
/// Below this many completions nothing is known.
const MIN_SAMPLES: f64 = 8.0;

/// A moving average that is exact at first and forgets later.
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

/// The mean service time of a service, in all and for each weight.
///
/// Kinds of request with one weight share an average, since a pool does not know kinds.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServiceTimeEstimate {
    overall: MovingMean,
    by_weight: BTreeMap<Weight, MovingMean>,
}

impl ServiceTimeEstimate {
    /// A request was completed.
    pub(crate) fn record(&mut self, weight: Option<Weight>, took: Duration) {
        let seconds = took.as_secs_f64();
        self.overall.record(seconds);
        if let Some(weight) = weight {
            self.by_weight.entry(weight).or_default().record(seconds);
        }
    }

    /// The mean service time in seconds, if enough is known.
    pub(crate) fn mean(&self) -> Option<f64> {
        self.overall.get()
    }

    /// The mean service time in seconds of requests of this weight, zero if nothing is known.
    pub(crate) fn mean_of(&self, weight: Weight) -> f64 {
        let of_weight = self.by_weight.get(&weight).and_then(MovingMean::get);
        of_weight.or_else(|| self.overall.get()).unwrap_or(0.0)
    }
}
