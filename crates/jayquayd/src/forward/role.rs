//! Which part an instance has in watching the store.

use std::time::Duration;

use super::shared::Shared;

/// From how many availability zones on each has one watcher. What it misses while it fails, the others' watchers tell its
/// zone a fifth of a second later, and each watcher's calls are paid for.
const ENOUGH_ZONES: usize = 3;
/// How long changes are gathered before the next call asks for more, so that a series of them costs few calls. A change is to be in
/// force within three seconds at least.
const GATHER: Duration = Duration::from_secs(1);
/// How long a zone's second watcher gathers changes. It is there for the moment in which the first one fails, and what
/// it learns late is still in force within the bounds for a change, the shortest of which are three seconds.
const GATHER_SECOND: Duration = Duration::from_millis(1_500);

/// This instance's part in watching the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It is its zone's first watcher, or it holds too little to serve.
    First,
    /// It is its zone's second watcher.
    Second,
}

impl Role {
    /// `None` while others watch for this instance.
    pub(crate) fn of(shared: &Shared) -> Option<Self> {
        if !shared.core().knowledge().is_ready() {
            return Some(Self::First);
        }
        let members = shared.members();
        let own = &members.me().name;
        match members.watchers().position(|member| member.name == *own) {
            Some(0) => Some(Self::First),
            Some(_) if members.zone_count() < ENOUGH_ZONES => Some(Self::Second),
            Some(_) | None => None,
        }
    }

    /// How long changes are gathered before the next call asks for more.
    pub(crate) fn gather(self) -> Duration {
        match self {
            Self::First => GATHER,
            Self::Second => GATHER_SECOND,
        }
    }
}
