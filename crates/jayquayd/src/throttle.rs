//! Log lines at a limited rate: what strangers can cause must not fill the log.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// How long one line keeps further ones away.
const QUIET: Duration = Duration::from_secs(5);

/// How many lines were held back since the last one, to be put at a line's end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldBack(u64);

impl fmt::Display for HeldBack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            count => write!(f, " ({count} lines like this held back)"),
        }
    }
}

/// Lets one line through per [`QUIET`], and counts those it held back.
#[derive(Debug)]
pub(crate) struct Throttle {
    start: Instant,
    next_ms: AtomicU64,
    held_back: AtomicU64,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            next_ms: AtomicU64::new(0),
            held_back: AtomicU64::new(0),
        }
    }
}

impl Throttle {
    /// Whether a line may be written now, and how many were held back since the last one.
    pub(crate) fn pass(&self) -> Option<HeldBack> {
        let now = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let next = self.next_ms.load(Ordering::Relaxed);
        let quiet = u64::try_from(QUIET.as_millis()).unwrap_or(u64::MAX);
        let won = now >= next
            && self
                .next_ms
                .compare_exchange(next, now + quiet, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        if !won {
            self.held_back.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(HeldBack(self.held_back.swap(0, Ordering::Relaxed)))
    }
}
