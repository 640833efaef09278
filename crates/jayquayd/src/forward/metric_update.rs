//! Metrics of the flow mode whose values are kept elsewhere and are copied when the metrics are read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use flow::CapacityState;
use flow::Knowledge;
use flow::ServiceCapacity;
use flow::Wait;
use flow::WaitKind;
use metrics::Histogram;
use units::ZoneName;

use super::metric;
use super::role::Role;
use super::shared::Shared;
use crate::metric::MEMBER_STATES;

/// Maximum number of pairs of a service and a zone that get gauges: the document names the services, and a fleet may
/// have thousands.
const MAX_CAPACITY_SERIES: usize = 256;

/// Updates all metrics.
pub(crate) fn update(shared: &Shared, gauges: &mut CapacityGauges) {
    update_flows(shared);
    update_capacity(shared, gauges);
    update_knowledge(shared.core().knowledge());
    let is_unreadable = shared.unreadable_document().is_some();
    metric::document_unreadable().set(f64::from(u8::from(is_unreadable)));
    update_members(shared);
}

fn update_flows(shared: &Shared) {
    let core = shared.core();
    let stats = core.stats();
    metric::placed().absolute(stats.placed);
    metric::forwarded().absolute(stats.forwarded);
    metric::remembered().set(core.flow_count() as f64);
    for (cause, count) in &stats.resets {
        metric::resets(cause.as_str()).absolute(*count);
    }
    for (cause, count) in &stats.drops {
        metric::drops(cause.as_str()).absolute(*count);
    }
    for ((cause, priority), count) in &stats.refused {
        metric::refused(cause.as_str(), &priority.to_string()).absolute(*count);
    }
    for ((cause, priority), count) in &stats.held {
        metric::held(cause.as_str(), &priority.to_string()).absolute(*count);
    }
    for ((cause, priority), count) in &stats.spilled {
        metric::spilled(cause.as_str(), &priority.to_string()).absolute(*count);
    }
    for (outcome, count) in &stats.outcomes {
        metric::outcomes(outcome.as_str()).absolute(*count);
    }
    let (own, joint) = core.work_in_flight(shared.now());
    metric::work_in_flight("own").set(f64::from(own));
    metric::work_in_flight("joint").set(f64::from(joint));
    metric::ejected().set(core.ejected().len() as f64);
    let evacuated = core.evacuated();
    metric::evacuated().set(evacuated.len() as f64);
    metric::evacuated_flows().set(f64::from(evacuated.values().sum::<u32>()));
}

fn update_capacity(shared: &Shared, gauges: &mut CapacityGauges) {
    let zone = shared.members().me().zone.clone();
    let capacities = shared.core().capacities(shared.now());
    for state in CapacityState::ALL {
        let count = capacities.values().filter(|capacity| capacity.state == state).count();
        metric::services(state.as_str()).set(count as f64);
    }
    gauges.update(&capacities, &zone);
}

/// The pairs of a service and a zone that have gauges. A pair keeps them until the process ends.
#[derive(Debug, Default)]
pub(crate) struct CapacityGauges {
    series: BTreeSet<(String, ZoneName)>,
}

impl CapacityGauges {
    /// Sets the gauges, and adds those of further services, the ones with the most work in flight first.
    fn update(&mut self, capacities: &BTreeMap<String, ServiceCapacity>, own_zone: &ZoneName) {
        let mut services: Vec<(&String, &ServiceCapacity)> = capacities.iter().collect();
        services.sort_by_key(|(_, capacity)| {
            let in_flight = capacity.zones.values().map(|zone| u64::from(zone.in_flight));
            std::cmp::Reverse(in_flight.sum::<u64>())
        });
        for (service, capacity) in services {
            for zone in capacity.zones.keys() {
                if self.series.len() < MAX_CAPACITY_SERIES {
                    self.series.insert((service.clone(), zone.clone()));
                }
            }
        }
        for (service, zone) in &self.series {
            let capacity = capacities.get(service);
            let load = capacity.and_then(|capacity| capacity.zones.get(zone));
            let value = |count: Option<u32>| count.map_or(f64::NAN, f64::from);
            metric::slots(service, zone.as_str()).set(value(load.map(|load| load.slots)));
            metric::in_flight(service, zone.as_str()).set(value(load.map(|load| load.in_flight)));
            if zone == own_zone {
                let demand = capacity.map_or(f64::NAN, |capacity| capacity.demand as f64);
                metric::demand(service, zone.as_str()).set(demand);
            }
        }
    }
}

fn update_knowledge(knowledge: &Knowledge) {
    let revision = knowledge.document().map(|(_, document)| document.revision);
    metric::document().set(revision.unwrap_or_default().0 as f64);
    let warnings = knowledge.document().map_or(0, |(_, document)| document.warnings.len());
    metric::document_warnings().set(warnings as f64);
    metric::upstreams_at().set(knowledge.upstreams_at().revision.0 as f64);
    let mut listed = 0_u32;
    let mut leaving = 0_u32;
    let mut gone = 0_u32;
    for (_, entry) in knowledge.upstreams() {
        if entry.gone {
            gone += 1;
        } else if entry.upstream.leaving {
            leaving += 1;
        } else {
            listed += 1;
        }
    }
    metric::upstreams("listed").set(listed);
    metric::upstreams("leaving").set(leaving);
    metric::upstreams("gone").set(gone);
}

fn update_members(shared: &Shared) {
    let watches = Role::of(shared).is_some();
    metric::watches().set(f64::from(u8::from(watches)));
    let members = shared.members();
    for (state, label) in MEMBER_STATES {
        let count = members.members().filter(|member| member.state == state).count();
        metric::members(label).set(count as f64);
    }
}

/// Histograms of the times that clients wait. Their handles are looked up once, since most packets end a wait.
#[derive(Debug)]
pub(crate) struct WaitHistograms {
    handshakes: ZoneHistograms,
    responses: ZoneHistograms,
}

/// Histograms by the upstream's availability zone.
#[derive(Debug)]
struct ZoneHistograms {
    own: Histogram,
    other: Histogram,
}

impl WaitHistograms {
    pub(crate) fn new() -> Self {
        Self {
            handshakes: ZoneHistograms {
                own: metric::handshake_seconds("own"),
                other: metric::handshake_seconds("other"),
            },
            responses: ZoneHistograms {
                own: metric::response_seconds("own"),
                other: metric::response_seconds("other"),
            },
        }
    }

    /// Records a completed wait.
    pub(crate) fn record(&self, wait: Wait) {
        let zones = match wait.kind {
            WaitKind::Handshake => &self.handshakes,
            WaitKind::Response => &self.responses,
        };
        let histogram = if wait.is_local_zone { &zones.own } else { &zones.other };
        histogram.record(wait.time);
    }
}
