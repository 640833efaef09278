//! Limits on the state that a node holds.

use std::time::Duration;

use units::Bytes;

/// Limits on the state that a node holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of flows with a ledger. A group of callers may have at most as many as are left free.
    pub flows: usize,
    /// The maximum number of requests in progress.
    pub requests: usize,
    /// The maximum number of bytes of answers that are held for callers to pull.
    pub answer_bytes: Bytes,
    /// How long an answer is held for the caller to pull.
    pub answer_retention: Duration,
    /// The maximum timeout of a request. Longer timeouts are reduced to it.
    pub max_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            flows: 500_000,
            requests: 20_000,
            answer_bytes: Bytes(64 * 1_024 * 1_024),
            answer_retention: Duration::from_secs(30),
            max_timeout: Duration::from_mins(1),
        }
    }
}
