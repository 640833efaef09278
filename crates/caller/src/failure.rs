//! How a request ends without an answer.

use std::fmt;

use units::Millis;
use wire::Reason;
use wire::Verdict;

/// How a request ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether any attempt of the request may have run.
    pub verdict: Verdict,
    /// Why the last attempt ended.
    pub reason: Reason,
    /// How long to wait before asking again.
    pub retry_after: Millis,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}, retry after {}", self.verdict, self.reason, self.retry_after)
    }
}

impl std::error::Error for Failure {}

impl Failure {
    pub(crate) fn local(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason,
            retry_after: Millis(0),
        }
    }
}

/// Whether the same request, sent anew, may fare better.
pub(crate) fn is_transient(reason: Reason) -> bool {
    match reason {
        Reason::Overload
        | Reason::Token
        | Reason::OwnerGone
        | Reason::TooOld
        | Reason::NoUpstream
        | Reason::Upstream
        | Reason::AnswerGone
        | Reason::NoDocument
        | Reason::Limit => true,
        Reason::Deadline | Reason::WrongService | Reason::Unknown => false,
    }
}
