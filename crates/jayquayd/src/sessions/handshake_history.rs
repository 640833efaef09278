//! Results of this instance's handshakes, which show whether other instances accept it.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Number of handshakes closed by other instances, with none successful, after which this instance counts as rejected.
/// A single one may be closed because the other side is stopping.
const MIN_REJECTIONS: u32 = 3;
/// Period after the start in which rejections are counted. An instance that has served for longer is not made unready
/// by another one that starts with wrong secrets. Connecting to the others takes a second or two.
const OBSERVATION_TIME: Duration = Duration::from_secs(10);

/// Counts of this instance's successful and rejected handshakes.
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
    /// Records a handshake in which another instance proved that it holds a common secret.
    pub(super) fn record_success(&self) {
        self.has_succeeded.store(true, Ordering::Relaxed);
    }

    /// Records that another instance closed a handshake that this one initiated.
    pub(super) fn record_rejection(&self) {
        if self.started.elapsed() < OBSERVATION_TIME {
            self.rejections.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Whether other instances reject this one, most likely because it holds none of their secrets.
    pub fn is_rejected(&self) -> bool {
        !self.has_succeeded.load(Ordering::Relaxed) && self.rejections.load(Ordering::Relaxed) >= MIN_REJECTIONS
    }
}
