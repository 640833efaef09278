//! Log lines at a limited rate: what strangers can cause must not fill the log.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// How long one line keeps further ones away.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// How many lines were held back since the last one, to be put at a line's end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suppressed(u64);

impl fmt::Display for Suppressed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            count => write!(f, " ({count} lines like this held back)"),
        }
    }
}

/// Lets one line through per [`MIN_INTERVAL`], and counts those it held back.
#[derive(Debug)]
pub(crate) struct LogThrottle {
    start: Instant,
    next_ms: AtomicU64,
    suppressed: AtomicU64,
}

impl Default for LogThrottle {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            next_ms: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }
}

impl LogThrottle {
    /// Whether a line may be written now, and how many were held back since the last one.
    pub(crate) fn allow(&self) -> Option<Suppressed> {
        let now = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let next = self.next_ms.load(Ordering::Relaxed);
        let interval = u64::try_from(MIN_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        let is_allowed = now >= next
            && self
                .next_ms
                .compare_exchange(next, now + interval, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        if !is_allowed {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(Suppressed(self.suppressed.swap(0, Ordering::Relaxed)))
    }
}
