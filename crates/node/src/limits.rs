//! Bounds on what a node keeps.

use std::time::Duration;

use units::Bytes;

/// Bounds on what a node keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The most flows with a ledger. One caller gets as many as it leaves free.
    pub flows: usize,
    /// The most requests in progress.
    pub requests: usize,
    /// The most bytes of answers that wait to be pulled.
    pub answer_bytes: Bytes,
    /// How long an answer waits to be pulled.
    pub answer_retention: Duration,
    /// The longest time that a request may ask for.
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
