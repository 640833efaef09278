//! Numeric identifiers that the system assigns.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Error for text that does not parse as an identifier.
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
    /// Identifies one run of a process under its name. A later run has a higher number.
    Incarnation
}
define_id! {
    /// A number that a caller picks to match a reply to its request.
    Nonce
}
define_id! {
    /// A request's sequence number within its flow. A caller only increases it.
    RequestSeq
}
define_id! {
    /// The revision of a configuration document. Revisions only increase within an [`Epoch`].
    Revision
}
define_id! {
    /// How many times a store has been restored from an older copy of its data. A restored store assigns revisions that it
    /// had already assigned, so revisions are comparable only within one epoch.
    Epoch
}

impl RequestSeq {
    /// The next sequence number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl Revision {
    /// The next revision.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
