//! Share of a zone's new flows that other zones may get.
//!
//! The sums of the zones are older than a request takes, and all instances act on the same ones. If every flow went to
//! the zone that looks better, all would move at once and back again. So the share changes gradually.

use std::time::Duration;

use units::Time;

use crate::place::view::OTHER_ZONE_ROUND_TRIP;
use crate::place::view::View;

/// Work in flight per slot up to which the local zone keeps its flows.
const MAX_LOCAL_UTILIZATION: f64 = 0.7;
/// Time in which the share follows a change of load: not shorter than the age of the sums.
const RESPONSE: Duration = Duration::from_millis(300);
/// Longest interval between two flows that the share is adjusted for in one step.
const MAX_STEP: Duration = Duration::from_millis(200);

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
    if local.utilization() <= MAX_LOCAL_UTILIZATION {
        return local.utilization() / MAX_LOCAL_UTILIZATION - 1.0;
    }
    let others = view.zones.iter().filter(|(zone, _)| *zone != view.local);
    let others = others.filter(|(_, load)| load.slots > 0 && load.takes_from(Some(local)));
    let with_margin = others.map(|(_, load)| {
        let service_time = view.service_time(Some(load));
        service_time * (load.utilization().max(1.0) + 1.0) + OTHER_ZONE_ROUND_TRIP.as_secs_f64()
    });
    let Some(best) = with_margin.min_by(f64::total_cmp) else {
        return -1.0;
    };
    let here = view.service_time(Some(local)) * local.utilization().max(1.0);
    (here - best) / here
}
