//! What a run reports when a promise was broken.

use std::fmt;

use units::Time;

use crate::job::JobId;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// An established flow survives any planned change.
    FlowSurvives,
    /// A packet meant for one service never reaches another.
    RightService,
    /// A caller gets the whole answer to its own request, and only that.
    OwnAnswer,
    /// A refusal that says `not run` is true.
    NotRunIsTrue,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new work after a few seconds.
    LeavingUpstream,
    /// A planned stop cuts nothing and ends in time.
    GracefulStop,
    /// An accepted document is in force everywhere within seconds and never reverts.
    InForce,
    /// Every request gets a final answer in time.
    FinalAnswer,
    /// After a quiet time nothing is left over, and all views are equal.
    Convergence,
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::FlowSurvives => "flow survives planned change",
            Self::RightService => "right service",
            Self::OwnAnswer => "own answer, whole",
            Self::NotRunIsTrue => "not run is true",
            Self::AtMostOnce => "at most once",
            Self::LeavingUpstream => "leaving upstream",
            Self::GracefulStop => "graceful stop",
            Self::InForce => "document in force",
            Self::FinalAnswer => "final answer in time",
            Self::Convergence => "convergence",
        };
        f.write_str(text)
    }
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When it was broken.
    pub at: Time,
    /// The operation it is about.
    pub job: Option<JobId>,
    /// What happened.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} broken: {}", self.promise, self.text)
    }
}
