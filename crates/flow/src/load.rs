//! The load of upstreams as all instances together see it.
//!
//! Each instance counts its own work (`own`) and reports it to the collectors of each group of upstreams. A collector
//! sums the reports (`collector`) and answers with digests, from which each instance has its joint view (`view`).

mod budget;
mod class_load;
mod collector;
mod group_sums;
mod message;
mod own;
mod own_group;
mod service_time;
mod view;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Time;
use units::ZoneName;

use crate::upstream::UpstreamId;
pub(crate) use budget::MessageBudget;
pub(crate) use budget::Purpose;
pub use class_load::ClassLoad;
pub(crate) use collector::Collector;
pub use collector::DueDigest;
pub(crate) use group_sums::ListedSlots;
pub use group_sums::LoadRecipient;
pub use message::LoadDigest;
pub use message::LoadGroup;
pub use message::LoadReport;
pub use message::ReportedWork;
pub use message::UpstreamSum;
pub use message::WorkCounts;
pub use message::ZoneClasses;
pub use message::ZoneLoads;
pub use message::ZoneSum;
pub(crate) use own::OwnWork;
pub(crate) use own::WorkDeadline;
pub(crate) use own::WorkKind;
pub(crate) use view::Member;
pub(crate) use view::Views;

/// Number of collectors of each group: one may be down for a second before the others notice.
pub const COLLECTOR_COUNT: usize = 2;
/// Maximum number of upstreams of a group, so that a digest fits a packet of 1,500 bytes.
pub(crate) const GROUP_LEN: usize = 64;

/// How often the load of a service is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pace {
    /// Work in flight is sampled once a second.
    Quiet,
    /// Work in flight is sampled more often, so that a burst shows soon.
    Rising,
    /// Values are reported by upstream, as many slots are in use, or connections of the connection limit.
    Busy,
}

/// Work in flight in percent of the slots, or open flows in percent of the connection limit of an upstream, from which
/// collectors call a service busy.
const BUSY_PERCENT: u32 = 50;
/// Work in flight per slot from which a service is busy: decisions go by the joint view of load.
pub(crate) const BUSY: f64 = BUSY_PERCENT as f64 / 100.0;

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

impl Work {
    /// Slots without work, of this many.
    pub(crate) fn free_slots(&self, slots: u32) -> u32 {
        slots.saturating_sub(self.in_flight)
    }
}

/// Load of a service's upstreams in one availability zone, over all instances.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct ZoneLoad {
    /// Slots of the upstreams that take new flows.
    pub slots: u32,
    /// Openings and requests without an answer yet.
    pub in_flight: u32,
    /// Mean time that a request occupies a slot, if enough requests were finished recently.
    pub service_time: Option<Duration>,
}

impl ZoneLoad {
    /// Work in flight per slot.
    pub(crate) fn utilization(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }

    /// The load of both together. Their service times count by their slots.
    fn combined(self, other: Self) -> Self {
        let weighted = |load: Self| load.service_time.map(|time| (time, load.slots.max(1)));
        let service_time = match (weighted(self), weighted(other)) {
            (Some((time, slots)), Some((other_time, other_slots))) => {
                Some((time * slots + other_time * other_slots) / slots.saturating_add(other_slots))
            }
            (known, other_known) => known.or(other_known).map(|(time, _)| time),
        };
        Self {
            slots: self.slots.saturating_add(other.slots),
            in_flight: self.in_flight.saturating_add(other.in_flight),
            service_time,
        }
    }
}

impl From<(u32, u32, u32)> for ZoneLoad {
    fn from((slots, in_flight, service_us): (u32, u32, u32)) -> Self {
        Self {
            slots,
            in_flight,
            service_time: from_micros(service_us),
        }
    }
}

impl From<ZoneLoad> for (u32, u32, u32) {
    fn from(load: ZoneLoad) -> Self {
        (load.slots, load.in_flight, to_micros(load.service_time))
    }
}

/// A service time from its encoded form, in which zero means that it is unknown.
fn from_micros(micros: u32) -> Option<Duration> {
    (micros > 0).then(|| Duration::from_micros(micros.into()))
}

pub(crate) fn to_micros(time: Option<Duration>) -> u32 {
    time.map_or(0, |time| u32::try_from(time.as_micros()).unwrap_or(u32::MAX))
}

/// The groups from `first` on, and then those before it. Messages that were put off for lack of budget go first then.
fn iter_from<'a, T>(
    groups: &'a mut BTreeMap<LoadGroup, T>,
    first: Option<&LoadGroup>,
) -> impl Iterator<Item = (&'a LoadGroup, &'a mut T)> + use<'a, T> {
    let is_later = |key: &LoadGroup| first.is_none_or(|first| key >= first);
    let (later, earlier): (Vec<_>, Vec<_>) = groups.iter_mut().partition(|(key, _)| is_later(key));
    later.into_iter().chain(earlier)
}

/// Joint view of the load of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    pub(crate) own: OwnWork,
    pub(crate) views: Views,
    pub(crate) collector: Collector,
    /// When the groups of own work were last compared with the directory.
    pub(crate) regrouped_at: Time,
}

impl Loads {
    /// Returns the joint view of an upstream, including this instance's latest changes, or `None` without a fresh view.
    pub(crate) fn work(&self, id: UpstreamId, now: Time) -> Option<Work> {
        let others = self.views.upstream(id, now)?;
        let own = self.own.counts(id);
        Some(Work {
            in_flight: others.in_flight.saturating_add(own.in_flight),
            open_flows: others.open_flows.saturating_add(own.open_flows),
            service_time: others.service_time,
        })
    }

    /// Returns the load of a service by availability zone, or `None` without a fresh view.
    pub(crate) fn zones(&self, service: &str, now: Time) -> Option<&BTreeMap<ZoneName, ZoneLoad>> {
        self.views.zones(service, now)
    }

    /// Returns the load of a service over all availability zones, or `None` without a fresh view.
    pub(crate) fn total(&self, service: &str, now: Time) -> Option<ZoneLoad> {
        let zones = self.zones(service, now)?.values().copied();
        Some(zones.reduce(ZoneLoad::combined).unwrap_or_default())
    }

    /// Returns the work in flight per slot of a service, over all availability zones, or `None` without a fresh view or
    /// without slots.
    pub(crate) fn utilization(&self, service: &str, now: Time) -> Option<f64> {
        let total = self.total(service, now)?;
        (total.slots > 0).then(|| total.utilization())
    }
}
