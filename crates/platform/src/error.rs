//! Errors of calls to the platform.

use std::fmt;

use crate::api::Object;

/// The cause of a failed call, and for a write whether it may have taken effect.
///
/// An error describes only the call that returned it. If the same write was sent before and was in doubt, it remains in
/// doubt, unless this is a [`Conflict`](Self::Conflict).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No platform address served the call. A write has not taken effect and never will.
    Unavailable(String),
    /// The object does not have the version that the write is based on. The write has not taken effect and never will.
    Conflict {
        /// The current object, if there is one.
        current: Option<Box<Object>>,
    },
    /// The platform rejected the call as invalid. A write has not taken effect and never will.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The explanation in the response body.
        text: String,
    },
    /// The write was sent but not confirmed. It may have taken effect, or may still do so.
    InDoubt(String),
    /// The response to a read could not be parsed.
    Malformed(String),
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect, or may still do so.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::InDoubt(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(cause) => write!(f, "the platform is unavailable: {cause}"),
            Self::Conflict { current: Some(object) } => {
                let version = object.version;
                write!(f, "another write came first: version {version} by {}", object.writer)
            }
            Self::Conflict { current: None } => f.write_str("the object no longer exists"),
            Self::Rejected { status, text } => write!(f, "the platform rejected the call ({status}): {text}"),
            Self::InDoubt(cause) => write!(f, "the write may have taken effect: {cause}"),
            Self::Malformed(cause) => write!(f, "invalid response from the platform: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
