//! Whether other instances accept this one, as its handshakes show.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// How many handshakes the others must have ended, with none that succeeded, until this instance counts as a stranger. One
/// may end because the other side stops.
const ENDED: u32 = 3;
/// For how long after the start handshakes tell that. An instance that has served for longer is not taken out of use
/// because of another one that starts with wrong secrets. An instance meets the others within a second or two.
const TRIAL: Duration = Duration::from_secs(10);

/// What the handshakes of this instance have shown.
#[derive(Debug)]
pub struct Meetings {
    begin: Instant,
    has_met: AtomicBool,
    ended: AtomicU32,
}

impl Default for Meetings {
    fn default() -> Self {
        Self {
            begin: Instant::now(),
            has_met: AtomicBool::new(false),
            ended: AtomicU32::new(0),
        }
    }
}

impl Meetings {
    /// Another instance has proved that it has the same secrets.
    pub(super) fn note_met(&self) {
        self.has_met.store(true, Ordering::Relaxed);
    }

    /// Another instance has ended a handshake that this one began.
    pub(super) fn note_ended(&self) {
        if self.begin.elapsed() < TRIAL {
            self.ended.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Whether the others take this instance for a stranger: its secrets are not theirs.
    pub fn is_stranger(&self) -> bool {
        !self.has_met.load(Ordering::Relaxed) && self.ended.load(Ordering::Relaxed) >= ENDED
    }
}
