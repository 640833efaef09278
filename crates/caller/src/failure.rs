//! How a request ends without an answer.

use std::fmt;

use units::Millis;
use wire::Reason;
use wire::Verdict;

/// Who ended a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// An instance refused it.
    Instance,
    /// The caller gave it up: its deadline passed, or a limit of its own was reached.
    Caller,
}

/// How a request ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether any attempt of the request may have run.
    pub verdict: Verdict,
    /// Why the last attempt ended.
    pub reason: Reason,
    /// How long to wait before asking again.
    pub retry_after: Millis,
    /// Who ended it.
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

/// Whether the same request, sent anew, may fare better.
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
        // After a failure of the upstream the instances have sent it anew themselves, as far as their own budget allows.
        // Two budgets would add up.
        Reason::Upstream | Reason::Deadline | Reason::WrongService | Reason::Unknown => false,
    }
}
