//! When an instance's watches are due to be answered, so that one that no longer hears anything is found out soon.
//!
//! A connection may be up for the system and yet bring nothing more. That shows only when an answer is overdue. All
//! watches go to the same store by the same way, so each one's answer vouches for the others: those of the document and of the
//! upstreams are due by turns, and when one is overdue, the others are asked anew as well. A watch that hears of nothing, though others have learnt of a change,
//! is asked anew at once.

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

/// How long each watch waits for a change on average. Each call costs the same however long it waits, and the store takes
/// waits of up to 30 s, which is half as long again. That all watchers hear nothing is found out by the checks of each second.
const PERIOD: Duration = Duration::from_secs(20);
/// How long a watch may tell nothing of what others have learnt: changes are gathered for a second and a half at most, and its
/// answer is on its way.
const OVERTAKEN: Duration = Duration::from_secs(2);
/// How long a zone's second watcher waits for a change, and whoever watches what changes a few times a year.
const SECOND_WAIT: Duration = Duration::from_secs(20);
/// The shortest wait. It comes while the watches find their turns, and first after a failure: a store that has just come back
/// may take watches and tell them nothing until it has put itself in order, and changes are in force three seconds after
/// they were written.
const SHORTEST: Duration = Duration::from_millis(1_500);

/// What is watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The document.
    Document,
    /// The upstreams.
    Upstreams,
    /// The zones that operators ask to be emptied.
    Evacuations,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Document => "document",
            Self::Upstreams => "upstreams",
            Self::Evacuations => "evacuations",
        })
    }
}

impl Kind {
    const ALL: [Self; 3] = [Self::Document, Self::Upstreams, Self::Evacuations];

    /// The one that takes turns with this one. Zones are emptied a few times a year, so their watch has no turn of its own.
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

/// When the watches are due.
#[derive(Debug, Default)]
pub struct Rhythm {
    due: Mutex<[Option<Instant>; Kind::ALL.len()]>,
    doubts: [Notify; Kind::ALL.len()],
    has_failed: [AtomicBool; Kind::ALL.len()],
}

impl Rhythm {
    fn due(&self) -> MutexGuard<'_, [Option<Instant>; Kind::ALL.len()]> {
        self.due.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long the next watch of this kind waits. It begins now.
    pub fn wait(&self, kind: Kind, role: Role, now: Instant) -> Duration {
        let wait = if self.has_failed[kind.index()].swap(false, Ordering::Relaxed) {
            SHORTEST
        } else {
            match (role, kind.partner()) {
                (Role::First, Some(partner)) => self.by_turns(partner, now),
                (Role::First | Role::Second, _) => SECOND_WAIT,
            }
        };
        self.due()[kind.index()] = Some(now + wait);
        wait
    }

    /// Instances of different zones should be due at different times, so the first turn is drawn.
    fn by_turns(&self, partner: Kind, now: Instant) -> Duration {
        let other = self.due()[partner.index()].filter(|other| *other > now);
        match other {
            Some(other) => by_turns(other.duration_since(now)),
            None => rand::rng().random_range(PERIOD / 2..PERIOD + PERIOD / 2),
        }
    }

    /// A watch of this kind has failed.
    pub fn note_failure(&self, kind: Kind) {
        self.has_failed[kind.index()].store(true, Ordering::Relaxed);
    }

    /// A watch of this kind was not answered, or its history is gone: whether the others hear anything is in doubt.
    pub fn doubt_others(&self, kind: Kind) {
        for other in Kind::ALL {
            if other != kind {
                self.doubts[other.index()].notify_waiters();
            }
        }
    }

    /// Waits until others have told of changes for so long that a watch since this place should have told of them as well.
    /// `held_at` gives what is held now.
    pub async fn overtaken(&self, since: Position, held_at: impl Fn() -> Position) {
        let mut overtaken_at = None;
        loop {
            tokio::time::sleep(OVERTAKEN / 4).await;
            if held_at() <= since {
                continue;
            }
            let now = tokio::time::Instant::now();
            if now - *overtaken_at.get_or_insert(now) >= OVERTAKEN / 2 {
                return;
            }
        }
    }

    /// Waits until a watch of this kind is in doubt.
    pub async fn doubted(&self, kind: Kind) {
        self.doubts[kind.index()].notified().await;
    }
}

/// How long a watch waits so that it is due half a period before or after a turn of the other one, which is due in `other`.
fn by_turns(other: Duration) -> Duration {
    // The other one may still wait for as long as a second watcher does.
    let mut other = other;
    while other >= PERIOD + PERIOD / 2 {
        other -= PERIOD;
    }
    match other.checked_sub(PERIOD / 2) {
        Some(before) if before >= SHORTEST => before,
        Some(_) | None => other + PERIOD / 2,
    }
}
