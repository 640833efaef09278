//! Whether a request may have run, and why it was not answered.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// No copy of the request has run or will ever run.
    NotRun,
    /// The request ran, runs or may still run.
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
    /// The deadline passed before an answer came.
    Deadline,
    /// The packet's service is not the one that its token or its address names.
    WrongService,
    /// No service of this name or address, or no such kind of request.
    Unknown,
    /// The token is forged, expired or of a key that is no longer held.
    Token,
    /// The instance that owns the flow is gone, or cannot be reached from here.
    OwnerGone,
    /// The request's number is too old for the owner to know what became of it.
    TooOld,
    /// No upstream serves now.
    NoUpstream,
    /// The upstream failed, or its answer could not be used.
    Upstream,
    /// The answer is no longer held.
    AnswerGone,
    /// The instance holds no configuration document yet.
    NoDocument,
    /// A limit on flows, requests or memory was reached.
    Limit,
}

impl Reason {
    /// Every reason.
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

    /// The reason as a metric label and in logs.
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
