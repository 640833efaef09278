//! How often and how patiently members look after one another.

use std::time::Duration;

/// How often and how patiently members look after one another, and whom they tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Time between two probes that a member starts.
    pub probe_every: Duration,
    /// How long an answer may take before helpers are asked; helpers get twice that.
    pub probe_timeout: Duration,
    /// How long a suspect has to refute in a fleet of up to ten; this grows with the logarithm of the fleet's size.
    pub suspect_for: Duration,
    /// Time between two probes of members that are dead, or on the platform's list only.
    pub dead_probe_every: Duration,
    /// How long a dead member is remembered.
    pub dead_keep: Duration,
    /// Least time between two exchanges of everything known, newcomers apart.
    pub sync_every: Duration,
    /// How many members are asked to probe one that did not answer.
    pub indirect_probers: usize,
    /// How many members are told at once of what should not wait for a probe.
    pub fanout: usize,
    /// How many members are told at once of a planned stop and of a hand-over.
    pub stop_fanout: usize,
    /// Whether news of a document go to the own availability zone first, where bytes between zones are dear.
    pub near_first: bool,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_every: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(300),
            suspect_for: Duration::from_millis(1_500),
            dead_probe_every: Duration::from_secs(5),
            dead_keep: Duration::from_hours(6),
            sync_every: Duration::from_secs(5),
            indirect_probers: 3,
            fanout: 3,
            stop_fanout: 64,
            near_first: false,
        }
    }
}

impl Timing {
    /// How long a suspect in a fleet of `members` has to refute.
    ///
    /// News needs a number of rounds that grows with the logarithm of the fleet's size to reach the suspect and to
    /// come back.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let decades = (members.max(10) as f64).log10();
        self.suspect_for.mul_f64(decades)
    }
    /// How long before its time is up a member in doubt is told so directly.
    pub fn refutation_window(&self) -> Duration {
        self.probe_timeout * 2
    }
}
