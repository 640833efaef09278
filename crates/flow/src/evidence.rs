//! Evidence for decisions against silent upstreams.

use std::time::Duration;

/// Evidence that an upstream is silent, recorded to explain resets later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceEvidence {
    /// Number of flows stalled on it here.
    pub waiting: u32,
    /// Number of flows stalled at other instances, or of their retransmissions if the instances were queried.
    pub elsewhere: u32,
    /// Number of other instances that reported stalled flows or gave them in reply to a query.
    pub reporters: usize,
    /// Packet loss assumed for the decision, in percent.
    pub loss_percent: u8,
    /// Time since its last answer here, or since any instance saw an answer if others were queried.
    pub silent_for: Duration,
}
