//! Timestamps and short durations, for crates that read no clock themselves.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Error for text that does not parse as a timestamp or a duration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseTimeError(ParseIntError);

impl fmt::Display for ParseTimeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a time: {}", self.0)
    }
}

impl std::error::Error for ParseTimeError {}

/// A timestamp: microseconds since the Unix epoch, by the clock of the local process.
///
/// A process reads the wall clock once, when it starts, and adds the time elapsed on its monotonic clock, so timestamps
/// never decrease within one incarnation.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp that lies `duration` before `self`, or the Unix epoch if that would be earlier.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the time remaining until `later`, or zero if `later` has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl FromStr for Time {
    type Err = ParseTimeError;

    /// Parses microseconds since the Unix epoch.
    fn from_str(text: &str) -> Result<Self, ParseTimeError> {
        text.parse().map(Self).map_err(ParseTimeError)
    }
}

/// A duration in milliseconds, as encoded in packets and settings.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u32);

impl Millis {
    /// Converts to a standard library duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0.into())
    }
}

impl From<Duration> for Millis {
    /// Rounds up, so that a caller told to retry after this duration never retries too early.
    fn from(duration: Duration) -> Self {
        let millis = duration.as_micros().div_ceil(1_000);
        Self(u32::try_from(millis).unwrap_or(u32::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseTimeError;

    fn from_str(text: &str) -> Result<Self, ParseTimeError> {
        let digits = text.trim_end_matches("ms").trim();
        digits.parse().map(Self).map_err(ParseTimeError)
    }
}
