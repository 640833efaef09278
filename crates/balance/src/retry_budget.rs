//! The retry budget: retries are a share of successes.

/// Retries that are always allowed at first, so that a quiet service can retry at all.
const INITIAL_RETRIES: f64 = 3.0;
/// How many successes a budget remembers at most, so that a long calm does not pay for a storm.
const MAX_COUNTED_SUCCESSES: f64 = 100.0;

/// Counts what successes have earned and retries have spent.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    retries_per_success: f64,
    available: f64,
}

impl RetryBudget {
    /// A budget of this many retries for each hundred successes.
    pub(crate) fn new(percent: u32) -> Self {
        let available = if percent == 0 { 0.0 } else { INITIAL_RETRIES };
        Self {
            retries_per_success: f64::from(percent) / 100.0,
            available,
        }
    }

    /// Changes the share and keeps what is left, within the new bounds.
    pub(crate) fn set_percent(&mut self, percent: u32) {
        self.retries_per_success = f64::from(percent) / 100.0;
        self.available = self.available.min(self.limit());
    }

    /// A request was completed.
    pub(crate) fn record_success(&mut self) {
        self.available = (self.available + self.retries_per_success).min(self.limit());
    }

    /// An attempt surely did not run, so trying again repeats no work.
    pub(crate) fn refund(&mut self) {
        self.available = (self.available + 1.0).min(self.limit());
    }

    /// Whether a retry may be made now; if so, it is paid for.
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
