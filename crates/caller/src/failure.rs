//! The error that ends a request without an answer.

use std::fmt;

use units::Millis;
use wire::Reason;
use wire::Verdict;

/// Which side ended a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// An instance refused the request.
    Instance,
    /// The caller gave up: the deadline passed, or one of the caller's own limits was reached.
    Caller,
}

/// The error that ended a request without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether any attempt of the request may have run.
    pub verdict: Verdict,
    /// The reason why the last attempt ended.
    pub reason: Reason,
    /// How long to wait before retrying the request.
    pub retry_after: Millis,
    /// Which side ended the request.
    pub origin: Origin,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}, retry after {}", self.verdict, self.reason, self.retry_after)
    }
}

impl std::error::Error for Failure {}

impl Failure {
    pub(crate) fn from_caller(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason,
            retry_after: Millis(0),
            origin: Origin::Caller,
        }
    }
}

/// Whether a retry of the same request may succeed.
pub(crate) fn is_retryable(reason: Reason) -> bool {
    match reason {
        Reason::Overload
        | Reason::Token
        | Reason::OwnerGone
        | Reason::TooOld
        | Reason::NoUpstream
        | Reason::AnswerGone
        | Reason::NoDocument
        | Reason::Limit => true,
        // The instances retry upstream failures themselves, within their own retry budget. If the caller retried
        // too, the two budgets would add up.
        Reason::Upstream | Reason::Deadline | Reason::WrongService | Reason::Unknown => false,
    }
}
