//! Capacity of a service: tells refusals for lack of it from failures, and limits ejections to what the remaining
//! upstreams can carry.

use units::Time;

use super::Core;
use crate::directory::Directory;
use crate::load::Loads;
use crate::upstream::UpstreamId;

/// Work in flight per remaining slot up to which an upstream may be ejected. Beyond it, the others would soon refuse
/// requests that this one may still serve.
const MAX_REMAINING_UTILIZATION: f64 = 0.8;
/// At most one in this many upstreams of a service may be ejected. If more fail, the cause usually lies elsewhere, and
/// the remaining upstreams couldn't carry the load.
const EJECTED_ONE_IN: usize = 2;

/// Work of a service and the slots of its usable upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Openings and requests without an answer yet.
    pub in_flight: u32,
    /// Slots of the upstreams that remain in use.
    pub slots: u32,
}

impl ServiceLoad {
    /// Whether these upstreams can carry the work, with a reserve for its variation.
    pub fn allows_ejection(self) -> bool {
        f64::from(self.in_flight) <= f64::from(self.slots) * MAX_REMAINING_UTILIZATION
    }
}

impl Core {
    /// Whether a short answer of an upstream is a refusal for lack of capacity: by the joint view of the load or,
    /// without a view, if its service seems to be short of capacity and it is one of the busier upstreams.
    pub(super) fn is_short_of_capacity(&self, id: UpstreamId, now: Time) -> bool {
        if let Some(is_full) = is_full(&self.directory, &self.loads, id, now) {
            return is_full;
        }
        let Some(listed) = self.directory.get(id) else {
            return false;
        };
        let Some(service) = self.typical_services.get(&listed.upstream().service) else {
            return false;
        };
        let response = self.health.get(&id).and_then(|health| health.unbounded_response(now));
        service.is_short_of_capacity(id, now) && service.is_busy(response)
    }

    /// Whether another upstream of the same service may be ejected: at most half of the service's upstreams are, and
    /// the remaining ones can carry its work, if that is known.
    pub(super) fn may_eject(&self, id: UpstreamId, now: Time) -> bool {
        let Some(listed) = self.directory.get(id) else {
            return false;
        };
        let service = &listed.upstream().service;
        let mut all = 0;
        let mut ejected = 0;
        for (other, listed) in self.directory.of_service(service) {
            if listed.upstream().leaving || listed.gone_since.is_some() {
                continue;
            }
            all += 1;
            ejected += usize::from(self.is_ejected(other));
        }
        (ejected + 1) * EJECTED_ONE_IN <= all
            && self
                .load(service, Some(id), now)
                .is_none_or(ServiceLoad::allows_ejection)
    }

    fn is_ejected(&self, id: UpstreamId) -> bool {
        self.health.get(&id).is_some_and(|health| health.ejection.is_ejected())
    }

    /// Work and slots of a service without the slots of `except`, or `None` without a fresh view. Zones that the view
    /// lacks are left out on both sides.
    fn load(&self, service: &str, except: Option<UpstreamId>, now: Time) -> Option<ServiceLoad> {
        let zones = self.loads.zones(service, now)?;
        let mut slots = 0;
        for (id, listed) in self.directory.of_service(service) {
            let is_out = !listed.accepts_flows() || listed.gone_since.is_some() || Some(id) == except;
            if is_out || !zones.contains_key(&listed.upstream().zone) || self.is_unusable(id, now) {
                continue;
            }
            slots += u32::from(listed.upstream().slots.0);
        }
        Some(ServiceLoad {
            in_flight: zones.values().map(|zone| zone.in_flight).sum(),
            slots,
        })
    }

    fn is_unusable(&self, id: UpstreamId, now: Time) -> bool {
        let health = self.health.get(&id);
        health.is_some_and(|health| health.ejection.is_ejected() || health.is_dead(now))
    }
}

/// Whether all slots of an upstream are in use, or `None` without a fresh view.
pub(super) fn is_full(directory: &Directory, loads: &Loads, id: UpstreamId, now: Time) -> Option<bool> {
    let slots = u32::from(directory.get(id)?.upstream().slots.0.max(1));
    Some(loads.work(id, now)?.in_flight >= slots)
}

/// Whether an upstream is known to be full while it still completes requests. It may then refuse connections beyond its
/// limit, although it listens.
pub(super) fn is_working_at_capacity(directory: &Directory, loads: &Loads, id: UpstreamId, now: Time) -> bool {
    let is_working = || loads.work(id, now).is_some_and(|work| work.service_time.is_some());
    is_full(directory, loads, id, now) == Some(true) && is_working()
}
