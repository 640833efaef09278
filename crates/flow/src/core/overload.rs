//! Upstreams under overload: tells refusals for lack of capacity from failures, and limits ejections to what the
//! remaining upstreams can carry.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use units::Time;

use super::Core;
use crate::decision::Decision;
use crate::directory::Directory;
use crate::ejection_limit::ServiceLoad;
use crate::ejection_limit::select_readmission;
use crate::load::BUSY;
use crate::load::Loads;
use crate::typical::TypicalService;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// At most one in this many upstreams of a service may be ejected. If more fail, the cause usually lies elsewhere, and
/// the remaining upstreams couldn't carry the load.
const EJECTED_ONE_IN: usize = 2;

/// Minimum time between two readmissions in a service. The view shows the effect of the first after that.
const READMISSION_INTERVAL: Duration = Duration::from_millis(500);

impl Core {
    /// Readmits ejected upstreams, one after another, while their service is short of capacity.
    pub(super) fn readmit_if_short(&mut self, now: Time) {
        let mut ejected: BTreeMap<CompactString, Vec<(UpstreamId, f64)>> = BTreeMap::new();
        for (id, health) in &self.health {
            let (Some(share), Some(listed)) = (health.ejection.failing_share(), self.directory.get(*id)) else {
                continue;
            };
            ejected
                .entry(listed.upstream().service.clone())
                .or_default()
                .push((*id, share));
        }
        for (service, ejected) in ejected {
            let is_short_of_capacity = self
                .load(&service, None, now)
                .is_some_and(ServiceLoad::is_short_of_capacity);
            let typical = self.typical_services.entry(service.clone()).or_default();
            typical.short_of_capacity_since = typical
                .short_of_capacity_since
                .or(Some(now))
                .filter(|_| is_short_of_capacity);
            let Some(since) = typical.short_of_capacity_since else {
                continue;
            };
            let Some(id) = select_readmission(&ejected, now.since(since)) else {
                continue;
            };
            if !self.has_readmitted_within(&service, READMISSION_INTERVAL, now) {
                self.readmit(id, now);
            }
        }
    }

    fn has_readmitted_within(&self, service: &str, span: Duration, now: Time) -> bool {
        let ids = self.directory.service_ids(service).iter();
        let mut known = ids.filter_map(|id| self.health.get(id));
        known.any(|health| health.ejection.is_readmitted_within(span, now))
    }

    fn readmit(&mut self, id: UpstreamId, now: Time) {
        if let Some(health) = self.health.get_mut(&id) {
            health.ejection.end_early(now);
        }
        self.decisions.push(Decision::Readmitted(id));
        self.announce_ejection(id);
    }

    /// Expected response time of an upstream in seconds: the longer one of the mean response time seen from here and
    /// the mean service time by the joint view.
    pub(super) fn expected_response(&self, id: UpstreamId, now: Time) -> Option<f64> {
        let seen = self.health.get(&id).and_then(|health| health.response(now));
        let service_time = self.loads.work(id, now).and_then(|work| work.service_time);
        let joint = service_time.map(|time| time.as_secs_f64());
        [seen, joint].into_iter().flatten().max_by(f64::total_cmp)
    }

    /// Whether a short answer of an upstream is a refusal for lack of capacity: by the joint view of the load or,
    /// without a view, if its service seems to be short of capacity and it is one of the busier upstreams. As long as
    /// there can't be a view yet, every short answer may be one.
    pub(super) fn is_capacity_refusal(&self, id: UpstreamId, now: Time) -> bool {
        if let Some(is_full) = is_full(&self.directory, &self.loads, id, now) {
            return is_full;
        }
        let Some(listed) = self.directory.get(id) else {
            return false;
        };
        let Some(service) = self.typical_services.get(&listed.upstream().service) else {
            return false;
        };
        if self.is_at_low_load(listed.upstream(), now) {
            return false;
        }
        let has_view = self.loads.zones(&listed.upstream().service, now).is_some();
        if !has_view && service.is_awaiting_view(now) {
            return true;
        }
        let response = self.health.get(&id).and_then(|health| health.unbounded_response(now));
        service.is_short_of_capacity(id, now) && service.is_busy(response)
    }

    /// Whether an upstream's service is known to be at low load, so that a short answer is no refusal. The view of a
    /// service that isn't busy may be a second old, so a burst may show in the response times first.
    pub(super) fn is_at_low_load(&self, upstream: &Upstream, now: Time) -> bool {
        let service = self.typical_services.get(&upstream.service);
        let is_raised = service.is_some_and(TypicalService::are_responses_raised);
        !is_raised && has_spare_capacity(&self.loads, upstream, now)
    }

    /// Whether another upstream of the same service may be ejected: at most half of the service's upstreams are, and
    /// the remaining ones can carry its work, if that is known.
    pub(super) fn may_eject(&self, id: UpstreamId, now: Time) -> bool {
        let Some(listed) = self.directory.get(id) else {
            return false;
        };
        let service = &listed.upstream().service;
        let (ejected, allowed) = self.ejected_of(service);
        ejected.len() < allowed
            && self
                .load(service, Some(id), now)
                .is_none_or(ServiceLoad::allows_ejection)
    }

    /// Readmits the upstreams that this instance has ejected beyond the limit of their service, after it has learned of
    /// the ejection of `id` elsewhere. Instances may eject different upstreams at the same time; all of them keep those
    /// with the lowest ids ejected.
    pub(super) fn yield_excess_ejections(&mut self, id: UpstreamId, now: Time) {
        let Some(listed) = self.directory.get(id) else {
            return;
        };
        let (mut ejected, allowed) = self.ejected_of(&listed.upstream().service);
        ejected.sort_unstable();
        for id in ejected.into_iter().skip(allowed) {
            let health = self.health.get(&id);
            if health.is_some_and(|health| health.ejection.failing_share().is_some()) {
                self.readmit(id, now);
            }
        }
    }

    /// The ejected upstreams of a service, and the number of upstreams that may be.
    fn ejected_of(&self, service: &str) -> (Vec<UpstreamId>, usize) {
        let mut all = 0;
        let mut ejected = Vec::new();
        for (id, listed) in self.directory.of_service(service) {
            if listed.upstream().leaving || listed.gone_since.is_some() {
                continue;
            }
            all += 1;
            if self.is_ejected(id) {
                ejected.push(id);
            }
        }
        (ejected, all / EJECTED_ONE_IN)
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
            in_flight: self.loads.total(service, now)?.in_flight,
            slots,
        })
    }

    fn is_unusable(&self, id: UpstreamId, now: Time) -> bool {
        let health = self.health.get(&id);
        health.is_some_and(|health| health.ejection.is_ejected() || health.is_dead(now))
    }
}

/// Whether all slots of an upstream are in use, or `None` without a fresh view of it.
pub(super) fn is_full(directory: &Directory, loads: &Loads, id: UpstreamId, now: Time) -> Option<bool> {
    let slots = u32::from(directory.get(id)?.upstream().slots.0.max(1));
    Some(loads.work(id, now)?.free_slots(slots) == 0)
}

/// Whether the joint view shows that the service of an upstream, and its zone, use less than half of their slots.
fn has_spare_capacity(loads: &Loads, upstream: &Upstream, now: Time) -> bool {
    let zones = loads.zones(&upstream.service, now);
    let Some(zone) = zones.and_then(|zones| zones.get(&upstream.zone)) else {
        return false;
    };
    let is_spare = |utilization: f64| utilization < BUSY;
    zone.slots > 0 && is_spare(zone.utilization()) && loads.utilization(&upstream.service, now).is_some_and(is_spare)
}

/// Whether an upstream is known to be full while it still completes requests. It may then refuse connections beyond its
/// limit, although it listens.
pub(super) fn is_working_at_capacity(directory: &Directory, loads: &Loads, id: UpstreamId, now: Time) -> bool {
    let is_working = || loads.work(id, now).is_some_and(|work| work.service_time.is_some());
    is_full(directory, loads, id, now) == Some(true) && is_working()
}
