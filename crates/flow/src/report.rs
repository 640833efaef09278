//! What instances tell one another of an upstream that flows wait for in vain.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::loss::Sample;
use crate::upstream::UpstreamId;

/// Names an instance that reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReporterId(pub u64);

/// What an instance tells others of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How many flows of the reporting instance wait for it in vain.
    pub stalled: u32,
    /// How often these have sent something again, each counted twice at most.
    pub signs: u32,
    /// How long the first of them has waited.
    pub waiting_for: Duration,
    /// How long ago it last answered something there.
    pub silent_for: Duration,
    /// How many packets are lost there on ways that work otherwise.
    pub loss: Sample,
    /// Whether so many upstreams are silent there that the reporting instance doubts its own link.
    pub is_in_doubt: bool,
}
