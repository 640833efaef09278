//! The role of an instance in watching the store.

use std::time::Duration;

use super::shared::Shared;

/// Number of availability zones from which one watcher per zone is enough. What a failed watcher misses, its zone
/// learns from the watchers of other zones a fifth of a second later, and the calls of each watcher cost money.
const MIN_ZONES_FOR_ONE_WATCHER: usize = 3;
/// Time for which changes are batched before the next call, so that a series of changes costs few calls. The tightest
/// bound for a change to take effect is 3 s.
const BATCH_DELAY: Duration = Duration::from_secs(1);
/// Batching time of a zone's second watcher. It covers the moment in which the first one fails, and changes that it
/// learns late still take effect within the bounds, the shortest of which are 3 s.
const SECOND_WATCHER_BATCH_DELAY: Duration = Duration::from_millis(1_500);

/// The role of this instance in watching the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// First watcher of its zone, or not ready yet.
    First,
    /// Second watcher of its zone.
    Second,
}

impl Role {
    /// `None` while other instances watch on behalf of this one.
    pub(crate) fn of(shared: &Shared) -> Option<Self> {
        if !shared.core().knowledge().is_ready() {
            return Some(Self::First);
        }
        let members = shared.members();
        let own = &members.me().name;
        match members.watchers().position(|member| member.name == *own) {
            Some(0) => Some(Self::First),
            Some(_) if members.zone_count() < MIN_ZONES_FOR_ONE_WATCHER => Some(Self::Second),
            Some(_) | None => None,
        }
    }

    /// Time for which changes are batched before the next call.
    pub(crate) fn batch_delay(self) -> Duration {
        match self {
            Self::First => BATCH_DELAY,
            Self::Second => SECOND_WATCHER_BATCH_DELAY,
        }
    }
}
