//! Whether other instances accept this one, as its handshakes show.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// How many handshakes the others must have ended, with none that succeeded, until this instance counts as a stranger. One
/// may end because the other side stops.
const MIN_REJECTIONS: u32 = 3;
/// For how long after the start handshakes tell that. An instance that has served for longer is not taken out of use
/// because of another one that starts with wrong secrets. An instance meets the others within a second or two.
const OBSERVATION_TIME: Duration = Duration::from_secs(10);

/// What the handshakes of this instance have shown.
#[derive(Debug)]
pub struct HandshakeHistory {
    started: Instant,
    has_succeeded: AtomicBool,
    rejections: AtomicU32,
}

impl Default for HandshakeHistory {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            has_succeeded: AtomicBool::new(false),
            rejections: AtomicU32::new(0),
        }
    }
}

impl HandshakeHistory {
    /// Another instance has proved that it has the same secrets.
    pub(super) fn record_success(&self) {
        self.has_succeeded.store(true, Ordering::Relaxed);
    }

    /// Another instance has ended a handshake that this one began.
    pub(super) fn record_rejection(&self) {
        if self.started.elapsed() < OBSERVATION_TIME {
            self.rejections.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Whether the others take this instance for a stranger: its secrets are not theirs.
    pub fn is_rejected(&self) -> bool {
        !self.has_succeeded.load(Ordering::Relaxed) && self.rejections.load(Ordering::Relaxed) >= MIN_REJECTIONS
    }
}
