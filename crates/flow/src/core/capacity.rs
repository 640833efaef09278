//! What operators are told about the capacity of services: their load, the openings that capacity decided about, and
//! changes of state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use units::Time;
use units::ZoneName;

use super::Core;
use crate::capacity_state::CapacitySample;
use crate::capacity_state::CapacityState;
use crate::capacity_state::CapacityTracker;
use crate::decision::Decision;
use crate::load::ZoneLoad;
use crate::packet::Packet;
use crate::route::Priority;
use crate::upstream::UpstreamId;
use crate::verdict::Verdict;

/// Period over which openings are counted as demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);

/// The reason why a flow was placed in another zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SpillCause {
    /// The load of the local zone.
    Load,
    /// No upstream of the local zone takes new flows.
    NoSlots,
    /// There is no joint view, so the instance decided from its own observations.
    NoView,
}

impl SpillCause {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::NoSlots => "no-slots",
            Self::NoView => "no-view",
        }
    }
}

impl fmt::Display for SpillCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The load of a service over all instances, as far as this instance has a fresh view.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// The load of the upstreams by availability zone.
    pub zones: BTreeMap<ZoneName, ZoneLoad>,
    /// First copies of opening packets that this instance received in the last full second.
    pub demand: u64,
    /// Whether the service has capacity for its callers.
    pub state: CapacityState,
}

/// What this instance observes of the capacity of each service.
#[derive(Debug, Default)]
pub(super) struct Capacity {
    services: HashMap<CompactString, Observed>,
    /// Start of the current period of the demand.
    period_start: Time,
}

/// What this instance observes of a service.
#[derive(Debug, Default)]
struct Observed {
    tracker: CapacityTracker,
    /// Openings in the current period and in the one before.
    openings: u64,
    demand: u64,
    /// Whether flows were placed in other zones because of load in the current period.
    has_spilled: bool,
}

impl Core {
    /// The load of each service that a route leads to. Services without a fresh view are left out.
    pub fn capacities(&self, now: Time) -> BTreeMap<String, ServiceCapacity> {
        let mut capacities = BTreeMap::new();
        for service in self.routed_services() {
            let Some(zones) = self.loads.zones(service, now) else {
                continue;
            };
            let observed = self.capacity.services.get(service);
            let capacity = ServiceCapacity {
                zones: zones.clone(),
                demand: observed.map_or(0, |observed| observed.demand),
                state: observed.map(|observed| observed.tracker.state()).unwrap_or_default(),
            };
            capacities.insert(service.to_owned(), capacity);
        }
        capacities
    }

    fn routed_services(&self) -> BTreeSet<&str> {
        let document = self.knowledge.document();
        let routes = document.into_iter().flat_map(|(_, document)| document.routes.values());
        let shares = routes.flat_map(|route| &route.shares);
        shares.map(|share| share.service.as_str()).collect()
    }

    /// Counts an opening packet by what became of it. `is_placed` tells whether it was placed rather than forwarded to
    /// the upstream of an earlier copy.
    pub(super) fn count_verdict(&mut self, packet: &Packet, verdict: Verdict, is_placed: bool, now: Time) {
        let route = self.routes.to(packet.route);
        let priority = route.map(|route| route.priority).unwrap_or_default();
        let service = route.and_then(|route| route.service_for(packet.client));
        let service = service.map(CompactString::from);
        if let Some(service) = service.as_ref().filter(|_| packet.ack == 0) {
            self.observed(service).openings += 1;
        }
        match (verdict, service) {
            (Verdict::Reset(reset), _) => *self.stats.refused.entry((reset.cause, priority)).or_default() += 1,
            (Verdict::Drop(cause), _) => *self.stats.held.entry((cause, priority)).or_default() += 1,
            (Verdict::Forward { upstream, .. }, Some(service)) if is_placed => {
                self.count_spill(&service, upstream, priority, now);
            }
            (Verdict::Forward { .. }, _) => {}
        }
    }

    fn observed(&mut self, service: &CompactString) -> &mut Observed {
        self.capacity.services.entry(service.clone()).or_default()
    }

    /// Counts a flow that was placed in another zone.
    fn count_spill(&mut self, service: &CompactString, upstream: UpstreamId, priority: Priority, now: Time) {
        let zone = &self.options.zone;
        let listed = self.directory.get(upstream);
        if listed.is_none_or(|listed| listed.upstream().zone == *zone) {
            return;
        }
        let zones = self.loads.zones(service, now);
        let cause = match zones.map(|zones| zones.get(zone)) {
            None => SpillCause::NoView,
            Some(Some(local)) if local.slots > 0 => SpillCause::Load,
            Some(_) => SpillCause::NoSlots,
        };
        *self.stats.spilled.entry((cause, priority)).or_default() += 1;
        if cause == SpillCause::Load {
            self.observed(service).has_spilled = true;
        }
    }

    /// Ends a period of the demand, and records a decision for each service whose state has changed.
    pub(super) fn update_capacity(&mut self, now: Time) {
        if now.since(self.capacity.period_start) < DEMAND_PERIOD {
            return;
        }
        let services: Vec<CompactString> = self.routed_services().into_iter().map(CompactString::from).collect();
        self.capacity.period_start = now;
        self.capacity
            .services
            .retain(|service, _| services.binary_search(service).is_ok());
        for service in services {
            let utilization = self.loads.utilization(&service, now);
            let observed = self.observed(&service);
            let sample = CapacitySample {
                utilization,
                has_spilled: std::mem::take(&mut observed.has_spilled),
            };
            observed.demand = std::mem::take(&mut observed.openings);
            let Some(state) = observed.tracker.update(sample, now) else {
                continue;
            };
            let ZoneLoad { slots, in_flight, .. } = self.loads.total(&service, now).unwrap_or_default();
            self.decisions.push(Decision::CapacityChanged {
                service,
                state,
                slots,
                in_flight,
            });
        }
    }
}
