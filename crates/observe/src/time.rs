//! Points in time as people read them, in UTC.

use jiff::Timestamp;
use units::Time;

/// The time to the second.
pub(crate) fn seconds(time: Time) -> String {
    format(time, "%Y-%m-%dT%H:%M:%SZ")
}

/// The time to the microsecond.
pub(crate) fn micros(time: Time) -> String {
    format(time, "%Y-%m-%dT%H:%M:%S%.6fZ")
}

fn format(time: Time, pattern: &str) -> String {
    let micros = i64::try_from(time.0).unwrap_or(i64::MAX);
    let timestamp = Timestamp::from_microsecond(micros);
    timestamp.map_or_else(
        |_error| time.to_string(),
        |timestamp| timestamp.strftime(pattern).to_string(),
    )
}
