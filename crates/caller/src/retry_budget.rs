//! The retry budget: retries are a share of successes, so that they cannot multiply an overload.

use crate::Policy;

/// What one retry costs. A success earns the policy's percentage.
const RETRY_COST: u32 = 100;

/// Retries earned by successes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryBudget {
    balance: u32,
    deposit: u32,
    cap: u32,
}

impl RetryBudget {
    pub(crate) fn new(policy: &Policy) -> Self {
        let cap = policy.retry_reserve.saturating_mul(RETRY_COST);
        Self {
            balance: cap,
            deposit: policy.retry_percent,
            cap,
        }
    }

    /// A request was answered.
    pub(crate) fn deposit(&mut self) {
        self.balance = self.balance.saturating_add(self.deposit).min(self.cap);
    }

    /// Takes one retry, if one is left.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = left;
        true
    }
}
