//! Load of a service's zones, and what follows from it for flows between them.

use std::collections::BTreeMap;
use std::time::Duration;

use units::ZoneName;

use crate::load::ZoneLoad;

/// Service time of an upstream if no zone has finished enough requests. It cancels out between upstreams.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Service times in seconds below this count as equal: they are shorter than a packet takes to an upstream.
pub(super) const MIN_SERVICE_TIME: f64 = 1e-4;
/// Network round trip to another zone, beyond that within a zone. It isn't measured per zone; zones of one region are
/// at most 5 ms apart.
pub(super) const OTHER_ZONE_ROUND_TRIP: Duration = Duration::from_millis(10);
/// Work in flight per slot up to which a zone takes flows of another.
const MAX_OTHER_UTILIZATION: f64 = 0.85;
/// Difference in work in flight per slot from which a zone takes flows of another although it is above
/// [`MAX_OTHER_UTILIZATION`].
const MIN_UTILIZATION_DIFFERENCE: f64 = 0.25;
/// Work in flight per slot up to which a zone counts as having room. With 1, the zones alternate between full and empty
/// once flows from elsewhere take most of their free slots, as the sums are older than a request.
const ROOM_LIMIT: f64 = 1.5;
/// Minimum room of a zone per slot, in requests, so that zones without any are drawn by their size.
const MIN_ROOM: f64 = 0.01;

/// Load of a service's zones as seen from one of them.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The zone of this instance.
    pub local: &'a ZoneName,
    /// The zones with a fresh view. A zone that is cut off has none.
    pub zones: &'a BTreeMap<ZoneName, ZoneLoad>,
}

impl View<'_> {
    /// Service time in a zone in seconds, with the longest one of any zone in place of an unknown one: an idle zone has
    /// finished no requests.
    pub(super) fn service_time(&self, zone: Option<&ZoneLoad>) -> f64 {
        let known = zone.and_then(|zone| zone.service_time);
        let longest = || self.zones.values().filter_map(|zone| zone.service_time).max();
        let time = known.or_else(longest).unwrap_or(UNKNOWN_SERVICE_TIME);
        time.as_secs_f64().max(MIN_SERVICE_TIME)
    }
}

impl ZoneLoad {
    /// Room for flows from other zones, in requests.
    pub(super) fn room(&self) -> f64 {
        f64::from(self.slots) * (ROOM_LIMIT - self.utilization()).max(MIN_ROOM)
    }

    /// Whether this zone takes flows from the callers of `local`.
    pub(super) fn takes_from(&self, local: Option<&Self>) -> bool {
        let is_free = self.utilization() <= MAX_OTHER_UTILIZATION;
        is_free || local.is_some_and(|local| local.utilization() >= self.utilization() + MIN_UTILIZATION_DIFFERENCE)
    }
}
