//! The retry budget: retries are a share of successes.

/// Retries that are always allowed at first, so that a quiet service can retry at all.
const RESERVE: f64 = 3.0;
/// How many successes a budget remembers at most, so that a long calm does not pay for a storm.
const REMEMBERED: f64 = 100.0;

/// Counts what successes have earned and retries have spent.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    share: f64,
    left: f64,
}

impl Budget {
    /// A budget of this many retries for each hundred successes.
    pub(crate) fn new(percent: u32) -> Self {
        let left = if percent == 0 { 0.0 } else { RESERVE };
        Self {
            share: f64::from(percent) / 100.0,
            left,
        }
    }

    /// Changes the share and keeps what is left, within the new bounds.
    pub(crate) fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
        self.left = self.left.min(self.limit());
    }

    /// A request was completed.
    pub(crate) fn earn(&mut self) {
        self.left = (self.left + self.share).min(self.limit());
    }

    /// An attempt surely did not run, so trying again repeats no work.
    pub(crate) fn refund(&mut self) {
        self.left = (self.left + 1.0).min(self.limit());
    }

    /// Whether a retry may be made now; if so, it is paid for.
    pub(crate) fn spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }

    fn limit(&self) -> f64 {
        if self.share == 0.0 {
            return 0.0;
        }
        RESERVE.max(self.share * REMEMBERED)
    }
}
