//! Identifiers made by the system itself.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError(ParseIntError);

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not an identifier: {}", self.0)
    }
}

impl std::error::Error for ParseIdError {}

macro_rules! define_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.parse().map(Self).map_err(ParseIdError)
            }
        }
    };
}

define_id! {
    /// A flow, unique within the incarnation that issued its first token.
    FlowId
}
define_id! {
    /// One life of a process under a name. A later life has a higher number.
    Incarnation
}
define_id! {
    /// A number that a caller picks to match an answer to what it asked.
    Nonce
}
define_id! {
    /// A request's number within its flow. A caller only counts up.
    RequestSeq
}
define_id! {
    /// A configuration document's revision. It only grows.
    Revision
}
define_id! {
    /// How often a store has come back from an older copy of itself. Each time it gives out revisions anew that it had given out
    /// before, so they order what it tells only within one epoch.
    Epoch
}

impl RequestSeq {
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl Revision {
    /// The revision after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
