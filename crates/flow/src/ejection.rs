//! Ejection of upstreams that fail while they still respond: an upstream is ejected for a while, then probed with
//! single flows, and finally readmitted.
//!
//! The instance that detects the failure is the leader: it probes the upstream and reports the result to the others.
//! These follow its reports and only probe on their own if no further report arrives.

use std::time::Duration;

use units::Time;

use crate::outcome::Outcome;
use crate::status_update::Status;
use crate::status_update::StatusUpdate;
use crate::upstream::UpstreamId;

/// The first ejection period. It is short so that an upstream with a brief failure is readmitted soon.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection period before the next probe. A probe costs only one or two flows.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// How long followers keep an upstream ejected without a further report: twice the leader's longest ejection period,
/// plus a margin for probing.
const FOLLOWER_EJECTION: Duration = Duration::from_secs(10);
/// How long an upstream must have been readmitted before its next ejection period starts from the shortest again.
const BACKOFF_RESET: Duration = Duration::from_secs(20);
/// The interval between probe flows.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The number of successful probes that readmit an upstream. An upstream at which two of five attempts fail passes
/// once in thirteen times.
const REQUIRED_PROBES: u32 = 5;

/// The ejection state of an upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The upstream receives flows as usual.
    #[default]
    Admitted,
    /// The upstream receives no flows until `until`, unless its service has no other upstream.
    Ejected { until: Time },
    /// The upstream receives single probe flows, of which `successes` have succeeded.
    Probing { successes: u32, next: Time },
}

/// The state transition that an outcome caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Transition {
    /// The state is unchanged.
    None,
    /// A probe has failed, so the upstream is ejected again.
    EjectedAgain,
    /// The upstream is readmitted.
    Readmitted,
}

/// Tracks the ejection of one upstream.
#[derive(Debug, Default, Clone)]
pub(crate) struct Ejection {
    phase: Phase,
    round: u32,
    period: Duration,
    readmitted_at: Time,
    /// The share of attempts that failed, if this instance is the leader.
    failing_share: Option<f64>,
}

impl Ejection {
    /// Ejects the upstream because this instance has detected that this share of the attempts fails.
    pub(crate) fn eject(&mut self, failing_share: f64, now: Time) {
        self.failing_share = Some(failing_share);
        if now.since(self.readmitted_at) >= BACKOFF_RESET {
            self.period = Duration::ZERO;
        }
        self.extend(now);
    }

    fn extend(&mut self, now: Time) {
        self.round = self.round.saturating_add(1);
        self.period = (self.period * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        let until = now + self.period;
        self.phase = Phase::Ejected { until };
    }

    fn readmit(&mut self, now: Time) {
        self.phase = Phase::Admitted;
        self.readmitted_at = now;
        self.failing_share = None;
    }

    /// Readmits the upstream although it may still be failing.
    pub(crate) fn end_early(&mut self, now: Time) {
        self.round = self.round.saturating_add(1);
        self.readmit(now);
    }

    /// The share of attempts that failed, if the upstream is ejected and this instance is the leader.
    pub(crate) fn failing_share(&self) -> Option<f64> {
        self.failing_share.filter(|_| self.is_ejected())
    }

    /// Whether the upstream was readmitted within the given time.
    pub(crate) fn is_readmitted_within(&self, span: Duration, now: Time) -> bool {
        !self.is_ejected() && self.round > 0 && now.since(self.readmitted_at) < span
    }

    /// Applies a report from another instance. Returns whether it was newer than the current state.
    pub(crate) fn apply_report(&mut self, round: u32, is_out: bool, now: Time) -> bool {
        if round <= self.round {
            return false;
        }
        self.round = round;
        self.failing_share = None;
        if is_out {
            let until = now + FOLLOWER_EJECTION;
            self.phase = Phase::Ejected { until };
        } else {
            self.readmit(now);
        }
        true
    }

    /// The standing to report to other instances.
    pub(crate) fn standing(&self, upstream: UpstreamId) -> StatusUpdate {
        let status = if self.is_ejected() {
            Status::Failing
        } else {
            Status::Serving
        };
        StatusUpdate {
            upstream,
            round: self.round,
            status,
        }
    }

    /// Whether the upstream is ejected or still being probed.
    pub(crate) fn is_ejected(&self) -> bool {
        self.phase != Phase::Admitted
    }

    /// Whether other upstreams are preferred at this time.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        match self.phase {
            Phase::Admitted => false,
            Phase::Ejected { until } => now < until,
            Phase::Probing { next, .. } => now < next,
        }
    }

    /// Records that a new flow was placed on the upstream.
    pub(crate) fn note_placed(&mut self, now: Time) {
        let successes = match self.phase {
            Phase::Admitted => return,
            Phase::Ejected { until } if now < until => return,
            Phase::Ejected { .. } => 0,
            Phase::Probing { successes, .. } => successes,
        };
        let next = now + PROBE_INTERVAL;
        self.phase = Phase::Probing { successes, next };
    }

    /// Records the outcome of an attempt. Existing flows continue while the upstream is ejected; as long as they fail,
    /// it stays ejected. A rejected attempt says nothing about the failure.
    pub(crate) fn note_outcome(&mut self, outcome: Outcome, now: Time) -> Transition {
        if outcome == Outcome::Rejected {
            return Transition::None;
        }
        let is_good = outcome == Outcome::Good;
        let (successes, next) = match self.phase {
            Phase::Probing { successes, next } => (successes, next),
            Phase::Ejected { until } => {
                let until = if is_good { until } else { until.max(now + MIN_EJECTION) };
                self.phase = Phase::Ejected { until };
                return Transition::None;
            }
            Phase::Admitted => return Transition::None,
        };
        if !is_good {
            self.extend(now);
            return Transition::EjectedAgain;
        }
        if successes + 1 >= REQUIRED_PROBES {
            self.round = self.round.saturating_add(1);
            self.readmit(now);
            return Transition::Readmitted;
        }
        self.phase = Phase::Probing {
            successes: successes + 1,
            next,
        };
        Transition::None
    }
}
