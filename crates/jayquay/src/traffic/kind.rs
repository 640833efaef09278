//! Kinds of request, as traffic mixes them.

use std::fmt;
use std::str::FromStr;

use units::KindName;
use units::NameError;
use units::Weight;

/// Marks a kind that may be run twice.
const IDEMPOTENT: &str = "idempotent";

/// A kind of request and its part in the traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kind {
    /// Its name.
    pub name: KindName,
    /// How many of the requests are of this kind, relative to the others.
    pub share: u32,
    /// How much one completed request counts.
    pub weight: Weight,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
}

/// Why a text is not a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseKindError {
    /// The name is none.
    Name(NameError),
    /// The share or the weight is not a number.
    Number,
    /// There are more parts than a kind has.
    Trailing,
}

impl fmt::Display for ParseKindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(error) => error.fmt(f),
            Self::Number => f.write_str("share and weight are whole numbers, as in feed:8:1:idempotent"),
            Self::Trailing => f.write_str("a kind is NAME[:SHARE[:WEIGHT]][:idempotent]"),
        }
    }
}

impl std::error::Error for ParseKindError {}

impl FromStr for Kind {
    type Err = ParseKindError;

    fn from_str(text: &str) -> Result<Self, ParseKindError> {
        let mut parts: Vec<&str> = text.split(':').collect();
        let idempotent = parts.pop_if(|last| *last == IDEMPOTENT).is_some();
        let mut parts = parts.into_iter();
        let name = parts.next().unwrap_or_default();
        let mut number = || {
            parts
                .next()
                .map_or(Ok(1), |text| text.parse().map_err(|_| ParseKindError::Number))
        };
        let share = number()?;
        let weight = number()?;
        if parts.next().is_some() {
            return Err(ParseKindError::Trailing);
        }
        Ok(Self {
            name: name.parse().map_err(ParseKindError::Name)?,
            share,
            weight: Weight(weight),
            idempotent,
        })
    }
}
