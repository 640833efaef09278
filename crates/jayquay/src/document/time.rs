//! Points in time as people read them.

use jiff::Timestamp;
use units::Time;

/// The time in UTC, to the second.
pub fn utc(time: Time) -> String {
    let seconds = i64::try_from(time.0 / 1_000_000).unwrap_or(i64::MAX);
    Timestamp::from_second(seconds).map_or_else(|_error| time.to_string(), |timestamp| timestamp.to_string())
}
