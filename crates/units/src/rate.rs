//! Event rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A rate of events, stored as an integer number of thousandths per second so that rates can be compared for equality.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(u32);

/// Error for a value that is not a valid rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RateError {
    /// The text is not a number.
    NotANumber(String),
    /// The number is negative, not finite or too large.
    OutOfRange(String),
}

impl fmt::Display for RateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber(text) => write!(f, "{text:?} is not a number of events per second"),
            Self::OutOfRange(text) => write!(f, "{text} per second is not between 0 and {}", u32::MAX / 1_000),
        }
    }
}

impl std::error::Error for RateError {}

impl Rate {
    /// Returns the mean interval between two events, or `None` if the rate is zero.
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0).then(|| Duration::from_secs(1_000) / self.0)
    }
}

impl TryFrom<f64> for Rate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, RateError> {
        let thousandths = (per_second * 1_000.0).round();
        if !(0.0..=f64::from(u32::MAX)).contains(&thousandths) {
            return Err(RateError::OutOfRange(per_second.to_string()));
        }
        Ok(Self(thousandths as u32))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", f64::from(self.0) / 1_000.0)
    }
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        let per_second: f64 = number
            .parse()
            .map_err(|_error| RateError::NotANumber(text.to_owned()))?;
        Self::try_from(per_second)
    }
}
