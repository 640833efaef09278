//! The retry budget, which limits retries to a share of the completed requests.

/// The retries available at the start, and the minimum limit of a budget, so that a service with little traffic can retry at all.
const INITIAL_RETRIES: f64 = 3.0;
/// How many successes can be credited at most, so that a long quiet period does not allow a retry storm.
const MAX_COUNTED_SUCCESSES: f64 = 100.0;

/// A token bucket that completed requests fill and retries drain.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    retries_per_success: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries for each hundred successes.
    pub(crate) fn new(percent: u32) -> Self {
        let available = if percent == 0 { 0.0 } else { INITIAL_RETRIES };
        Self {
            retries_per_success: f64::from(percent) / 100.0,
            available,
        }
    }

    /// Changes the share and keeps the available retries, up to the new limit.
    pub(crate) fn set_percent(&mut self, percent: u32) {
        self.retries_per_success = f64::from(percent) / 100.0;
        self.available = self.available.min(self.limit());
    }

    /// Credits a completed request.
    pub(crate) fn record_success(&mut self) {
        self.available = (self.available + self.retries_per_success).min(self.limit());
    }

    /// Credits one retry for an attempt that certainly did not run, since retrying it repeats no work.
    pub(crate) fn refund(&mut self) {
        self.available = (self.available + 1.0).min(self.limit());
    }

    /// Takes one retry from the budget. Returns false if none is available.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    fn limit(&self) -> f64 {
        if self.retries_per_success == 0.0 {
            return 0.0;
        }
        INITIAL_RETRIES.max(self.retries_per_success * MAX_COUNTED_SUCCESSES)
    }
}
