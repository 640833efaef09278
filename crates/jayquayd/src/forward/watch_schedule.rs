//! Schedules the timeouts of an instance's watches so that one that no longer receives anything is detected soon.
//!
//! A connection may look established to the system and yet deliver nothing. That shows only when an answer is overdue.
//! All watches reach the same store over the same path, so an answer to one shows that the others work: the timeouts
//! of the document's and the upstreams' watch alternate, and when one is overdue, the other watches are restarted as
//! well. A watch that reports nothing although other instances have learnt of a change is restarted at once.

use std::fmt;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use tokio::sync::Notify;
use units::Position;

use super::role::Role;

/// Average timeout of each watch. A call costs the same however long it waits, and the store accepts timeouts of up to
/// 30 s, which is half as long again. If all watchers receive nothing, the once-per-second checks find out.
const MEAN_WAIT: Duration = Duration::from_secs(20);
/// How long a watch may lack what other instances have learnt: changes are batched for 1.5 s at most, and the answer
/// takes time to arrive.
const STALE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the watches of a zone's second watcher, and of watches of objects that change a few times a year.
const SECOND_WATCHER_WAIT: Duration = Duration::from_secs(20);
/// Minimum timeout. It is used while the watches find their alternation, and for the first watch after a failure: a
/// store that has just recovered may accept watches and report nothing until it is consistent again, and changes must
/// take effect within 3 s of being written.
const MIN_WAIT: Duration = Duration::from_millis(1_500);

/// Kind of object that is watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// The document.
    Document,
    /// The upstreams.
    Upstreams,
    /// The zones that operators want evacuated.
    Evacuations,
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Document => "document",
            Self::Upstreams => "upstreams",
            Self::Evacuations => "evacuations",
        })
    }
}

impl ObjectKind {
    const ALL: [Self; 3] = [Self::Document, Self::Upstreams, Self::Evacuations];

    /// The kind whose watch alternates with this one's. Zones are evacuated a few times a year, so their watch is not
    /// part of the alternation.
    fn partner(self) -> Option<Self> {
        match self {
            Self::Document => Some(Self::Upstreams),
            Self::Upstreams => Some(Self::Document),
            Self::Evacuations => None,
        }
    }

    fn index(self) -> usize {
        match self {
            Self::Document => 0,
            Self::Upstreams => 1,
            Self::Evacuations => 2,
        }
    }
}

/// The deadlines of the watches.
#[derive(Debug, Default)]
pub struct WatchSchedule {
    deadlines: Mutex<[Option<Instant>; ObjectKind::ALL.len()]>,
    suspicions: [Notify; ObjectKind::ALL.len()],
    has_failed: [AtomicBool; ObjectKind::ALL.len()],
}

impl WatchSchedule {
    fn deadlines(&self) -> MutexGuard<'_, [Option<Instant>; ObjectKind::ALL.len()]> {
        self.deadlines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Timeout of the next watch of this kind, which starts now.
    pub fn wait(&self, kind: ObjectKind, role: Role, now: Instant) -> Duration {
        let wait = if self.has_failed[kind.index()].swap(false, Ordering::Relaxed) {
            MIN_WAIT
        } else {
            match (role, kind.partner()) {
                (Role::First, Some(partner)) => self.alternating_wait(partner, now),
                (Role::First | Role::Second, _) => SECOND_WATCHER_WAIT,
            }
        };
        self.deadlines()[kind.index()] = Some(now + wait);
        wait
    }

    /// Instances of different zones should time out at different moments, so the first timeout is random.
    fn alternating_wait(&self, partner: ObjectKind, now: Instant) -> Duration {
        let other = self.deadlines()[partner.index()].filter(|other| *other > now);
        match other {
            Some(other) => alternating_wait(other.duration_since(now)),
            None => rand::rng().random_range(MEAN_WAIT / 2..MEAN_WAIT + MEAN_WAIT / 2),
        }
    }

    /// Records that a watch of this kind has failed.
    pub fn note_failure(&self, kind: ObjectKind) {
        self.has_failed[kind.index()].store(true, Ordering::Relaxed);
    }

    /// Puts the other watches in doubt, since one of this kind was not answered or its history is gone.
    pub fn suspect_others(&self, kind: ObjectKind) {
        for other in ObjectKind::ALL {
            if other != kind {
                self.suspicions[other.index()].notify_waiters();
            }
        }
    }

    /// Waits until other instances have provided changes for so long that a watch since this position should have
    /// reported them as well. `held_at` returns the position currently held.
    pub async fn stale(&self, since: Position, held_at: impl Fn() -> Position) {
        let mut lagging_since = None;
        loop {
            tokio::time::sleep(STALE_TIMEOUT / 4).await;
            if held_at() <= since {
                continue;
            }
            let now = tokio::time::Instant::now();
            if now - *lagging_since.get_or_insert(now) >= STALE_TIMEOUT / 2 {
                return;
            }
        }
    }

    /// Waits until a watch of this kind is in doubt.
    pub async fn suspected(&self, kind: ObjectKind) {
        self.suspicions[kind.index()].notified().await;
    }
}

/// Timeout of a watch such that it ends half a period before or after a timeout of the other one, which is due in
/// `other`.
fn alternating_wait(other: Duration) -> Duration {
    // The other one may still have the longer timeout of a second watcher.
    let mut other = other;
    while other >= MEAN_WAIT + MEAN_WAIT / 2 {
        other -= MEAN_WAIT;
    }
    match other.checked_sub(MEAN_WAIT / 2) {
        Some(before) if before >= MIN_WAIT => before,
        Some(_) | None => other + MEAN_WAIT / 2,
    }
}
