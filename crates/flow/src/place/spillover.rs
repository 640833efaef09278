//! Share of a zone's new flows that other zones may get.
//!
//! The sums of the zones are older than a request takes, and all instances act on the same ones. If every flow went to
//! the zone that looks better, all would move at once and back again. So the share changes gradually.

use std::time::Duration;

use units::Time;

use crate::load::ZoneLoad;
use crate::place::joint::View;

/// Network round trip to another zone, beyond that within a zone. It isn't measured per zone; zones of one region are
/// at most 5 ms apart.
pub(super) const OTHER_ZONE_ROUND_TRIP: Duration = Duration::from_millis(10);
/// Work in flight per slot up to which the local zone keeps its flows.
const LOCAL_FILL: f64 = 0.7;
/// Work in flight per slot up to which a zone takes flows of another.
const OTHER_FILL: f64 = 0.85;
/// Difference in work per slot from which a zone takes flows of another although it is above [`OTHER_FILL`].
const MIN_DIFFERENCE: f64 = 0.25;
/// Work in flight per slot up to which a zone counts as having room. With 1, the zones alternate between full and empty
/// once flows from elsewhere take most of their free slots, as the sums are older than a request.
const ROOM_LIMIT: f64 = 1.5;
/// Least room of a zone per slot, so that zones without any are drawn by their size.
const MIN_ROOM: f64 = 0.01;
/// Time in which the share follows a change of load: not shorter than the age of the sums.
const RESPONSE: Duration = Duration::from_millis(300);
/// Longest interval between two flows that the share is adjusted for in one step.
const MAX_STEP: Duration = Duration::from_millis(200);

impl ZoneLoad {
    /// Work in flight per slot.
    pub(super) fn fill(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }

    /// Room for flows from other zones, in requests.
    pub(super) fn room(&self) -> f64 {
        f64::from(self.slots) * (ROOM_LIMIT - self.fill()).max(MIN_ROOM)
    }

    /// Whether this zone takes flows from the callers of `local`.
    pub(super) fn takes_from(&self, local: Option<&Self>) -> bool {
        let is_free = self.fill() <= OTHER_FILL;
        is_free || local.is_some_and(|local| local.fill() >= self.fill() + MIN_DIFFERENCE)
    }
}

/// Share of the new flows of a service for which other zones are considered.
#[derive(Debug, Default, Clone, Copy)]
pub struct Spillover {
    share: f64,
    at: Time,
}

impl Spillover {
    /// Returns the share adjusted to the current loads.
    pub(super) fn update(&mut self, view: &View<'_>, now: Time) -> f64 {
        let step = now.since(self.at).min(MAX_STEP).as_secs_f64() / RESPONSE.as_secs_f64();
        self.at = now;
        let change = excess(view).clamp(-1.0, 1.0) * step;
        self.share = (self.share + change).clamp(0.0, 1.0);
        self.share
    }
}

/// How much slower the local zone is than the best other zone, beyond one service time, relative to its response time.
/// Negative if the local zone should get more flows.
fn excess(view: &View<'_>) -> f64 {
    let Some(local) = view.zones.get(view.local) else {
        return 1.0;
    };
    if local.fill() <= LOCAL_FILL {
        return local.fill() / LOCAL_FILL - 1.0;
    }
    let others = view.zones.iter().filter(|(zone, _)| *zone != view.local);
    let others = others.filter(|(_, load)| load.slots > 0 && load.takes_from(Some(local)));
    let with_margin = others.map(|(_, load)| {
        let service_time = view.service_time(Some(load));
        service_time * (load.fill().max(1.0) + 1.0) + OTHER_ZONE_ROUND_TRIP.as_secs_f64()
    });
    let Some(best) = with_margin.min_by(f64::total_cmp) else {
        return -1.0;
    };
    let here = view.service_time(Some(local)) * local.fill().max(1.0);
    (here - best) / here
}
