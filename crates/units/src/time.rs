//! Points in time and short spans, as the pure crates see them.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Why a text is not a time or a span.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseTimeError(ParseIntError);

impl fmt::Display for ParseTimeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a time: {}", self.0)
    }
}

impl std::error::Error for ParseTimeError {}

/// A point in time: microseconds since the Unix epoch, as the process's own clock tells it.
///
/// A process reads the wall clock once, at its start, and counts on from there by its monotonic clock, so a
/// `Time` never runs backwards within one incarnation.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// How long ago `earlier` was, zero if it lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time this long ago.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// How long it is until `later`, zero if it has passed.
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

    /// Reads microseconds since the Unix epoch.
    fn from_str(text: &str) -> Result<Self, ParseTimeError> {
        text.parse().map(Self).map_err(ParseTimeError)
    }
}

/// A span in milliseconds, as it stands in packets and settings.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u32);

impl Millis {
    /// The span for the standard library.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0.into())
    }
}

impl From<Duration> for Millis {
    /// Rounds up, so that "come back in" is never too soon.
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
