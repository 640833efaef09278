//! Retry budget: limits retries to a percentage of successful requests, so that retries do not amplify an overload.

use crate::Policy;

/// The cost of one retry. Each success deposits [`Policy::retry_percent`].
const RETRY_COST: u32 = 100;

/// Token bucket that successes fill and retries drain.
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

    /// Credits one successful request.
    pub(crate) fn deposit(&mut self) {
        self.balance = self.balance.saturating_add(self.deposit).min(self.cap);
    }

    /// Withdraws the cost of one retry; returns false if the balance is too low.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = left;
        true
    }
}
