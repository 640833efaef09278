//! Intervals, timeouts and fan-out of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and fan-out of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Time between two probes that a member starts.
    pub probe_interval: Duration,
    /// How long to wait for an answer before indirect probes are requested; these get twice as long.
    pub probe_timeout: Duration,
    /// The suspicion timeout in a fleet of up to ten members. It grows with the logarithm of the fleet's size.
    pub base_suspicion_timeout: Duration,
    /// Time between two probes of members that are dead, or known from the platform's list only.
    pub dead_probe_interval: Duration,
    /// How long a dead member is retained.
    pub dead_retention: Duration,
    /// Minimum time between two full synchronisations, except those with newcomers.
    pub sync_interval: Duration,
    /// How many members are asked to probe one that did not answer.
    pub indirect_probers: usize,
    /// How many members are notified directly of urgent updates, which do not wait for a probe.
    pub fanout: usize,
    /// How many members are notified directly of a planned stop or a hand-over.
    pub stop_fanout: usize,
    /// Whether updates about a configuration document go to the own availability zone first, because traffic between
    /// zones is expensive.
    pub prefer_own_zone: bool,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(300),
            base_suspicion_timeout: Duration::from_millis(1_500),
            dead_probe_interval: Duration::from_secs(5),
            dead_retention: Duration::from_hours(6),
            sync_interval: Duration::from_secs(5),
            indirect_probers: 3,
            fanout: 3,
            stop_fanout: 64,
            prefer_own_zone: false,
        }
    }
}

impl Timing {
    /// How long a suspect has to refute in a fleet of `members`.
    ///
    /// An update needs a number of rounds that grows with the logarithm of the fleet's size to reach the suspect, and
    /// the refutation needs as many to return.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let decades = (members.max(10) as f64).log10();
        self.base_suspicion_timeout.mul_f64(decades)
    }
    /// How long before the end of the suspicion timeout a suspect is notified directly.
    pub fn refutation_window(&self) -> Duration {
        self.probe_timeout * 2
    }
}
