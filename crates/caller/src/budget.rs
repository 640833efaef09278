//! The retry budget: retries are a share of successes, so that they cannot multiply an overload.

use crate::Policy;

/// What one retry costs. A success earns the policy's percentage.
const COST: u32 = 100;

/// Retries earned by successes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Budget {
    saved: u32,
    earns: u32,
    cap: u32,
}

impl Budget {
    pub(crate) fn new(policy: &Policy) -> Self {
        let cap = policy.retry_reserve.saturating_mul(COST);
        Self {
            saved: cap,
            earns: policy.retry_percent,
            cap,
        }
    }

    /// A request was answered.
    pub(crate) fn earn(&mut self) {
        self.saved = self.saved.saturating_add(self.earns).min(self.cap);
    }

    /// Takes one retry, if one is left.
    pub(crate) fn take(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(COST) else {
            return false;
        };
        self.saved = left;
        true
    }
}
