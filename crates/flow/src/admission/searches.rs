//! Results of recent searches for free slots.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use units::Time;

use super::Room;
use crate::upstream::UpstreamId;

/// How long the result of a search is used. It is short compared to the age of the view of load.
const VALIDITY: Duration = Duration::from_millis(20);
/// Interval at which results that are no longer used are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Upstreams of a zone with free slots.
#[derive(Debug, Default)]
pub(crate) struct FreeSlots {
    /// Share of the usable slots of the zone that is free.
    pub(crate) share: f64,
    /// Number of free slots.
    pub(crate) slots: u32,
    /// Upstreams with the weights that one of them is drawn by: their free slots, or all their slots if only sums are
    /// known.
    pub(crate) upstreams: Vec<(UpstreamId, u32)>,
}

impl FreeSlots {
    pub(crate) fn new(free: u32, usable: u32, upstreams: Vec<(UpstreamId, u32)>) -> Self {
        Self {
            share: f64::from(free) / f64::from(usable.max(1)),
            slots: free,
            upstreams,
        }
    }
}

/// Result of a search for free slots in a service.
#[derive(Debug)]
pub(crate) struct Search {
    pub(crate) at: Time,
    /// The room at the candidate that the search was made for.
    pub(crate) room: Room,
    /// Free slots of the local zone.
    pub(crate) local: FreeSlots,
    /// Free slots of the other zone with the most.
    pub(crate) other: FreeSlots,
}

/// Results of recent searches, at most one for each service with a route. They bound the work per opening while a
/// service is short of capacity.
#[derive(Debug, Default)]
pub(crate) struct Searches {
    by_service: HashMap<CompactString, Search>,
    pruned_at: Time,
}

impl Searches {
    pub(crate) fn insert(&mut self, service: &str, search: Search) {
        let now = search.at;
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.by_service.retain(|_, search| now.since(search.at) < VALIDITY);
        }
        self.by_service.insert(service.into(), search);
    }

    /// The result of a search that was recent enough.
    pub(crate) fn recent(&self, service: &str, now: Time) -> Option<&Search> {
        let search = self.by_service.get(service)?;
        (now.since(search.at) < VALIDITY).then_some(search)
    }

    /// The room of a service in which a recent search found no free slot.
    pub(crate) fn full_room(&self, service: &str, now: Time) -> Option<Room> {
        let search = self.recent(service, now)?;
        let is_full = search.local.upstreams.is_empty() && search.other.upstreams.is_empty();
        is_full.then_some(search.room)
    }
}
