//! Points in time, as an operator writes them.

use std::fmt;
use std::str::FromStr;

use jiff::Timestamp;
use units::Time;

/// A point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment(pub Time);

/// A text is not a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseMomentError;

impl fmt::Display for ParseMomentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a time: write it as the time line shows it, such as 2026-12-02T18:30:00Z")
    }
}

impl std::error::Error for ParseMomentError {}

impl FromStr for Moment {
    type Err = ParseMomentError;

    fn from_str(text: &str) -> Result<Self, ParseMomentError> {
        let timestamp: Timestamp = text.parse().map_err(|_error| ParseMomentError)?;
        let micros = u64::try_from(timestamp.as_microsecond()).map_err(|_error| ParseMomentError)?;
        Ok(Self(Time(micros)))
    }
}
