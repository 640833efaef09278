//! The last events of this process, in bounded memory, stamped so that those of several processes can be merged.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use node::Record;
use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Time;

/// How many entries one page holds at most.
pub const PAGE_LEN: usize = 1_000;

/// How many low bits of a stamp count events within one microsecond.
const COUNTER_BITS: u32 = 12;
/// A stamp further ahead than this is not followed: the sender's clock is wrong.
const MAX_CLOCK_SKEW: Duration = Duration::from_mins(1);

/// The number of an entry within its incarnation, from 1. A missing number shows a gap.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Seq(pub u64);

impl fmt::Display for Seq {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A hybrid logical time: microseconds since the Unix epoch, then a count, so that an effect's stamp is always
/// higher than that of its cause in another process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    fn at(time: Time) -> Self {
        Self(time.0 << COUNTER_BITS)
    }

    /// The time that the stamp holds.
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
    /// The stamp of what happens now.
    pub fn tick(&mut self, now: Time) -> Stamp {
        let next = Stamp(self.last.0 + 1);
        self.last = next.max(Stamp::at(now));
        self.last
    }

    /// Follows a stamp that came from another process, and tells whether it could be followed.
    pub fn observe(&mut self, now: Time, seen: Stamp) -> bool {
        if now.until(seen.time()) > MAX_CLOCK_SKEW {
            return false;
        }
        self.last = self.last.max(seen);
        true
    }
}

/// An entry of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number.
    pub seq: Seq,
    /// When it happened.
    pub stamp: Stamp,
    /// The instance where it happened.
    pub instance: InstanceName,
    /// The instance's life.
    pub incarnation: Incarnation,
    /// What happened.
    pub record: Record,
}

/// Some entries, oldest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page(pub Vec<Entry>);

/// The last entries of this process.
#[derive(Debug)]
pub struct TimelineBuffer {
    instance: InstanceName,
    incarnation: Incarnation,
    capacity: usize,
    next: Seq,
    entries: VecDeque<Entry>,
}

impl TimelineBuffer {
    /// An empty ring that keeps at most `capacity` entries.
    pub fn new(instance: InstanceName, incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            instance,
            incarnation,
            capacity,
            next: Seq(1),
            entries: VecDeque::new(),
        }
    }

    /// Keeps a record, and lets the oldest one go when there is no room.
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

    /// The oldest entries after number `since`, at most [`PAGE_LEN`] of them.
    pub fn page(&self, since: Seq) -> Page {
        let start = self.entries.partition_point(|entry| entry.seq <= since);
        let entries = self.entries.range(start..).take(PAGE_LEN);
        Page(entries.cloned().collect())
    }
}
