//! The process's clock, and its incarnation.
//!
//! The wall clock is read once. A step of the wall clock afterwards changes nothing here.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use units::Incarnation;
use units::Time;

/// How many low bits of an incarnation are random, so that two lives begun in one millisecond differ. The whole stays
/// below 2^53, so that every JSON reader keeps it exact.
const RANDOM_BITS: u32 = 10;

/// Tells the time: the wall clock at the start, counted on by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall_at_start: Time,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock.
    pub fn start() -> Self {
        let wall_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            wall_at_start: Time::default() + wall_at_start,
            start: Instant::now(),
        }
    }

    /// The time now. It never runs backwards.
    pub fn now(&self) -> Time {
        self.wall_at_start + self.start.elapsed()
    }

    /// How long ago the process started.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// A new life's number: its start in milliseconds, then random bits.
    ///
    /// It is higher than that of an earlier life as long as the wall clock was not set back between the two starts.
    pub fn incarnation(&self) -> Incarnation {
        let millis = self.wall_at_start.0 / 1_000;
        let random = rand::random::<u64>() >> (u64::BITS - RANDOM_BITS);
        Incarnation((millis << RANDOM_BITS) | random)
    }
}
