//! Rate limits for log lines, so that untrusted peers cannot flood the log.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Minimum interval between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Number of lines suppressed since the last one, to be appended to a line.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suppressed(u64);

impl fmt::Display for Suppressed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            count => write!(f, " ({count} similar lines suppressed)"),
        }
    }
}

/// Allows one line per [`MIN_INTERVAL`], and counts the suppressed ones.
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
    /// Returns the number of lines suppressed since the last one if a line may be written now.
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
