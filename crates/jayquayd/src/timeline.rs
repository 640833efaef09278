//! The most recent events of this process, in bounded memory, with timestamps by which the timelines of several
//! processes can be merged.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use node::Record;
use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Time;

/// Maximum number of entries in a page.
pub const PAGE_LEN: usize = 1_000;

/// Number of low bits of a stamp that count events within one microsecond.
const COUNTER_BITS: u32 = 12;
/// Stamps further ahead than this are ignored, since the sender's clock must be wrong.
const MAX_CLOCK_SKEW: Duration = Duration::from_mins(1);

/// Sequence number of an entry within its incarnation, starting at 1. A missing number indicates a gap.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Seq(pub u64);

impl fmt::Display for Seq {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A hybrid logical timestamp: microseconds since the Unix epoch followed by a counter. An effect always has a higher
/// stamp than its cause in another process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    fn at(time: Time) -> Self {
        Self(time.0 << COUNTER_BITS)
    }

    /// The physical time of the stamp.
    pub fn time(self) -> Time {
        Time(self.0 >> COUNTER_BITS)
    }
}

/// A hybrid logical clock.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns the stamp for an event that happens now.
    pub fn tick(&mut self, now: Time) -> Stamp {
        let next = Stamp(self.last.0 + 1);
        self.last = next.max(Stamp::at(now));
        self.last
    }

    /// Advances the clock to a stamp received from another process. Returns whether the stamp was plausible.
    pub fn observe(&mut self, now: Time, seen: Stamp) -> bool {
        if now.until(seen.time()) > MAX_CLOCK_SKEW {
            return false;
        }
        self.last = self.last.max(seen);
        true
    }
}

/// An entry of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Sequence number.
    pub seq: Seq,
    /// Time of the event.
    pub stamp: Stamp,
    /// Instance on which it happened.
    pub instance: InstanceName,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// The event.
    pub record: Record,
}

/// A range of entries, oldest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page(pub Vec<Entry>);

/// The most recent entries of this process.
#[derive(Debug)]
pub struct TimelineBuffer {
    instance: InstanceName,
    incarnation: Incarnation,
    capacity: usize,
    next: Seq,
    entries: VecDeque<Entry>,
}

impl TimelineBuffer {
    /// Creates an empty buffer for at most `capacity` entries.
    pub fn new(instance: InstanceName, incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            instance,
            incarnation,
            capacity,
            next: Seq(1),
            entries: VecDeque::new(),
        }
    }

    /// Appends a record, and drops the oldest entry if the buffer is full.
    pub fn push(&mut self, stamp: Stamp, record: Record) {
        if self.entries.len() >= self.capacity {
            self.entries.pop_front();
        }
        let entry = Entry {
            seq: self.next,
            stamp,
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            record,
        };
        self.entries.push_back(entry);
        self.next.0 += 1;
    }

    /// The oldest entries after sequence number `since`, at most [`PAGE_LEN`] of them.
    pub fn page(&self, since: Seq) -> Page {
        let start = self.entries.partition_point(|entry| entry.seq <= since);
        let entries = self.entries.range(start..).take(PAGE_LEN);
        Page(entries.cloned().collect())
    }
}
