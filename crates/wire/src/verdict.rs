//! Refusals: whether the request may have run, and the reason.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// No copy of the request has run, and none will.
    NotRun,
    /// The request has run, is running or may still run.
    MayHaveRun,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::NotRun => "not run",
            Self::MayHaveRun => "may have run",
        };
        f.write_str(text)
    }
}

/// Why a packet was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The deadline cannot be met, or the queue is full.
    Overload,
    /// The deadline expired before an answer arrived.
    Deadline,
    /// The packet names a different service than its token or service address.
    WrongService,
    /// There is no service with this name or address, or it has no such kind of request.
    Unknown,
    /// The token is forged or expired, or was sealed with a key that has been discarded.
    Token,
    /// The instance that owns the flow has stopped or is unreachable from this instance.
    OwnerGone,
    /// The sequence number is so old that the owner has discarded the request's state.
    TooOld,
    /// No upstream is currently available.
    NoUpstream,
    /// The upstream failed, or returned an unusable answer.
    Upstream,
    /// The answer has been discarded.
    AnswerGone,
    /// The instance has not received a configuration document yet.
    NoDocument,
    /// A limit on flows, requests or memory has been reached.
    Limit,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 12] = [
        Self::Overload,
        Self::Deadline,
        Self::WrongService,
        Self::Unknown,
        Self::Token,
        Self::OwnerGone,
        Self::TooOld,
        Self::NoUpstream,
        Self::Upstream,
        Self::AnswerGone,
        Self::NoDocument,
        Self::Limit,
    ];

    /// The name used in metric labels and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::WrongService => "wrong_service",
            Self::Unknown => "unknown",
            Self::Token => "token",
            Self::OwnerGone => "owner_gone",
            Self::TooOld => "too_old",
            Self::NoUpstream => "no_upstream",
            Self::Upstream => "upstream",
            Self::AnswerGone => "answer_gone",
            Self::NoDocument => "no_document",
            Self::Limit => "limit",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
