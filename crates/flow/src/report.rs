//! Reports that instances exchange about upstreams with stalled flows.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::loss::Sample;
use crate::upstream::UpstreamId;

/// Identifies the instance that sends a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReporterId(pub u64);

/// One instance's observations of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Number of stalled flows at the reporting instance.
    pub stalled: u32,
    /// Number of their retransmissions, at most two for each flow.
    pub signs: u32,
    /// How long the first of them has waited.
    pub waiting_for: Duration,
    /// Time since the upstream's last answer there.
    pub silent_for: Duration,
    /// Packet loss seen there on paths that work otherwise.
    pub loss: Sample,
    /// Whether so many upstreams are silent there that the reporting instance doubts its own link.
    pub is_in_doubt: bool,
}
