//! The clock and the incarnation of the process.
//!
//! The wall clock is read once at the start, so later steps of the wall clock have no effect.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use units::Incarnation;
use units::Time;

/// Number of random low bits of an incarnation, which distinguish two starts within one millisecond. The whole number
/// stays below 2^53, so that every JSON parser reads it exactly.
const RANDOM_BITS: u32 = 10;

/// A clock that starts at the wall-clock time and advances with the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall_at_start: Time,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn start() -> Self {
        let wall_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            wall_at_start: Time::default() + wall_at_start,
            start: Instant::now(),
        }
    }

    /// The current time, which never goes backwards.
    pub fn now(&self) -> Time {
        self.wall_at_start + self.start.elapsed()
    }

    /// Time since the clock was created.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// Creates an incarnation from the start time in milliseconds and random bits.
    ///
    /// It is higher than that of an earlier start unless the wall clock was set back in between.
    pub fn incarnation(&self) -> Incarnation {
        let millis = self.wall_at_start.0 / 1_000;
        let random = rand::random::<u64>() >> (u64::BITS - RANDOM_BITS);
        Incarnation((millis << RANDOM_BITS) | random)
    }
}
