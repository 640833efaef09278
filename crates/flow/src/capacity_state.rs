//! Whether a service has capacity for its callers, as operators are told.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Time;

/// Work in flight per slot from which on a service is short of capacity.
const SHORT_FROM: f64 = 1.0;
/// Work in flight per slot below which it no longer is. The distance keeps a service at its limit from changing state
/// with each request.
const SHORT_UNTIL: f64 = 0.9;
/// Minimum time between two changes of state.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// How long a less severe state must have held before it is adopted.
const RECOVERY: Duration = Duration::from_secs(3);

/// Whether a service has capacity for its callers, the most severe state last.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CapacityState {
    /// The local zone serves its callers.
    #[default]
    Ordinary,
    /// Flows are placed in other zones because of the load of the local one.
    Spilling,
    /// All slots of the service are in use.
    Short,
}

impl CapacityState {
    /// All states, the most severe last.
    pub const ALL: [Self; 3] = [Self::Ordinary, Self::Spilling, Self::Short];

    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Spilling => "spilling",
            Self::Short => "short",
        }
    }
}

impl fmt::Display for CapacityState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An observation of a service's load.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct CapacitySample {
    /// Work in flight per slot over all zones; `None` without a fresh view.
    pub utilization: Option<f64>,
    /// Whether flows were placed in other zones because of load since the last sample.
    pub has_spilled: bool,
}

/// Derives the state of a service from samples. A more severe state is adopted at once, a less severe one only after it
/// has held for a while, and no two changes are less than a second apart.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CapacityTracker {
    state: CapacityState,
    changed_at: Option<Time>,
    /// Since when all samples have called for a less severe state.
    recovering_since: Option<Time>,
}

impl CapacityTracker {
    /// The current state.
    pub fn state(&self) -> CapacityState {
        self.state
    }

    /// Adds a sample. Returns the new state if it changes.
    pub fn update(&mut self, sample: CapacitySample, now: Time) -> Option<CapacityState> {
        let state = self.state_of(sample);
        if state >= self.state {
            self.recovering_since = None;
        }
        if state == self.state {
            return None;
        }
        if state < self.state {
            let since = *self.recovering_since.get_or_insert(now);
            if now.since(since) < RECOVERY {
                return None;
            }
        }
        if self.changed_at.is_some_and(|at| now.since(at) < MIN_INTERVAL) {
            return None;
        }
        *self = Self {
            state,
            changed_at: Some(now),
            recovering_since: None,
        };
        Some(state)
    }

    /// The state that a sample calls for.
    fn state_of(&self, sample: CapacitySample) -> CapacityState {
        let limit = if self.state == CapacityState::Short {
            SHORT_UNTIL
        } else {
            SHORT_FROM
        };
        if sample.utilization.is_some_and(|utilization| utilization >= limit) {
            CapacityState::Short
        } else if sample.has_spilled {
            CapacityState::Spilling
        } else {
            CapacityState::Ordinary
        }
    }
}
