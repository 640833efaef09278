//! Shares of packets or requests.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

/// A share between zero and one.
#[derive(Debug, Default, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

/// A number is not between zero and one, or a text is not a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseShareError;

impl fmt::Display for ParseShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a share is a number from 0 to 1")
    }
}

impl std::error::Error for ParseShareError {}

impl Share {
    /// None.
    pub const NONE: Self = Self(0.0);

    /// All.
    pub const ALL: Self = Self(1.0);

    /// Draws whether the next one is meant.
    pub(crate) fn draw<R: Rng>(self, random: &mut R) -> bool {
        random.random_bool(self.0)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Share {
    type Err = ParseShareError;

    fn from_str(text: &str) -> Result<Self, ParseShareError> {
        let number: f64 = text.parse().map_err(|_error| ParseShareError)?;
        number.try_into()
    }
}

impl TryFrom<f64> for Share {
    type Error = ParseShareError;

    fn try_from(number: f64) -> Result<Self, ParseShareError> {
        if !(0.0..=1.0).contains(&number) {
            return Err(ParseShareError);
        }
        Ok(Self(number))
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.0
    }
}
