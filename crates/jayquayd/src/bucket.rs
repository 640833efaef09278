//! Token buckets for rate limits, in total and per source, in bounded memory.

use std::collections::HashMap;
use std::net::SocketAddr;

use units::Time;

/// A rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Sustained number of events per second.
    pub per_second: u32,
    /// Maximum number of events at once.
    pub burst: u32,
}

/// A token bucket.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    tokens: f64,
    refilled_at: Time,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: Time) -> Self {
        Self {
            tokens: rate.burst.into(),
            refilled_at: now,
        }
    }

    /// Takes a token if one is available. Returns whether it was.
    pub fn try_take(&mut self, rate: Rate, now: Time) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * f64::from(rate.per_second);
        self.tokens = (self.tokens + refill).min(rate.burst.into());
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// One token bucket per source, for at most `capacity` sources.
///
/// Sources are kept in two generations. When the young generation reaches half of the capacity, it replaces the old
/// one, so that each operation takes constant time. An evicted source starts again with a full bucket.
#[derive(Debug)]
pub struct SourceBuckets {
    rate: Rate,
    capacity: usize,
    young_generation: HashMap<SocketAddr, Bucket>,
    old_generation: HashMap<SocketAddr, Bucket>,
}

impl SourceBuckets {
    /// Creates an empty table.
    pub fn new(rate: Rate, capacity: usize) -> Self {
        Self {
            rate,
            capacity,
            young_generation: HashMap::new(),
            old_generation: HashMap::new(),
        }
    }

    /// Takes a token from the bucket of `source` if one is available. Returns whether it was.
    pub fn try_take(&mut self, source: SocketAddr, now: Time) -> bool {
        let rate = self.rate;
        if let Some(bucket) = self.young_generation.get_mut(&source) {
            return bucket.try_take(rate, now);
        }
        if self.young_generation.len() >= self.capacity / 2 {
            self.old_generation = std::mem::take(&mut self.young_generation);
        }
        let bucket = self.old_generation.remove(&source);
        let mut bucket = bucket.unwrap_or_else(|| Bucket::new(rate, now));
        let is_taken = bucket.try_take(rate, now);
        self.young_generation.insert(source, bucket);
        is_taken
    }

    /// Number of sources tracked.
    pub fn len(&self) -> usize {
        self.young_generation.len() + self.old_generation.len()
    }

    /// Whether no source is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
