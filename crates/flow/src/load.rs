//! The load of upstreams as all instances together see it.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Time;
use units::ZoneName;

use crate::upstream::UpstreamId;

/// Work at one upstream, over all instances.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Work {
    /// Openings and requests without an answer yet.
    pub(crate) in_flight: u32,
    /// Open flows, idle ones included.
    pub(crate) open_flows: u32,
    /// Mean time that a request occupies a slot, if enough requests were finished recently.
    pub(crate) service_time: Option<Duration>,
}

/// Load of a service's upstreams in one availability zone, over all instances.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ZoneLoad {
    /// Slots of the upstreams that take new flows.
    pub slots: u32,
    /// Openings and requests without an answer yet.
    pub in_flight: u32,
    /// Mean time that a request occupies a slot, if enough requests were finished recently.
    pub service_time: Option<Duration>,
}

/// Joint view of the load of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    zones: BTreeMap<String, BTreeMap<ZoneName, ZoneLoad>>,
}

impl Loads {
    /// Returns the joint view of an upstream, including this instance's latest changes, or `None` without a fresh view.
    pub(crate) fn work(&self, _id: UpstreamId, _now: Time) -> Option<Work> {
        None
    }

    /// Returns the load of a service by availability zone, or `None` without a fresh view.
    pub(crate) fn zones(&self, service: &str, _now: Time) -> Option<&BTreeMap<ZoneName, ZoneLoad>> {
        self.zones.get(service)
    }

    /// Returns the work in flight per slot of a service, over all availability zones, or `None` without a fresh view.
    pub(crate) fn utilization(&self, service: &str, now: Time) -> Option<f64> {
        let zones = self.zones(service, now)?;
        let slots: u32 = zones.values().map(|zone| zone.slots).sum();
        let in_flight: u32 = zones.values().map(|zone| zone.in_flight).sum();
        (slots > 0).then(|| f64::from(in_flight) / f64::from(slots))
    }
}
