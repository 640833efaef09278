//! Counts, sizes and weights.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Error for text that does not parse as a quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseQuantityError(ParseIntError);

impl fmt::Display for ParseQuantityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a whole number: {}", self.0)
    }
}

impl std::error::Error for ParseQuantityError {}

macro_rules! define_quantity {
    ($(#[$doc:meta])* $name:ident($raw:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $raw);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseQuantityError;

            fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
                text.parse().map(Self).map_err(ParseQuantityError)
            }
        }
    };
}

define_quantity! {
    /// A size in bytes.
    Bytes(u64)
}
define_quantity! {
    /// The number of requests that an upstream can serve concurrently.
    Slots(u16)
}
define_quantity! {
    /// The value of one completed request, relative to others.
    Weight(u32)
}
