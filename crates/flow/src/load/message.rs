//! Messages by which instances share the load of upstreams.
//!
//! Field names are short and entries are tuples, since these messages are the most frequent ones between instances.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use units::ZoneName;

use super::ClassLoad;
use super::ZoneLoad;
use crate::packet::Echo;

/// Upstreams whose load is collected together: those of one service in one availability zone, or a part of them if
/// they are many.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "LoadGroupTuple", into = "LoadGroupTuple")]
pub struct LoadGroup {
    /// The service.
    pub service: CompactString,
    /// The availability zone of the upstreams.
    pub zone: ZoneName,
    /// Number of the group among those of the service in this zone.
    pub number: u16,
}

type LoadGroupTuple = (CompactString, ZoneName, u16);

impl From<LoadGroupTuple> for LoadGroup {
    fn from((service, zone, number): LoadGroupTuple) -> Self {
        Self { service, zone, number }
    }
}

impl From<LoadGroup> for LoadGroupTuple {
    fn from(group: LoadGroup) -> Self {
        (group.service, group.zone, group.number)
    }
}

/// Work of one instance at one upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct WorkCounts {
    /// Openings and requests without an answer yet.
    pub in_flight: u32,
    /// Open flows, idle ones included.
    pub open_flows: u32,
    /// Requests answered since the instance started, modulo 2^32. Answers that are far shorter than usual don't count.
    pub completed: u32,
}

impl From<(u32, u32, u32)> for WorkCounts {
    fn from((in_flight, open_flows, completed): (u32, u32, u32)) -> Self {
        Self {
            in_flight,
            open_flows,
            completed,
        }
    }
}

impl From<WorkCounts> for (u32, u32, u32) {
    fn from(counts: WorkCounts) -> Self {
        (counts.in_flight, counts.open_flows, counts.completed)
    }
}

/// The values that a report carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedWork {
    /// Work in flight at all upstreams of the group, sent while the service is not busy.
    #[serde(rename = "s")]
    Sum(u32),
    /// The same for a service with a connection limit, and the largest number of open flows at an upstream of the
    /// group.
    #[serde(rename = "f")]
    SumWithFlows(u32, u32),
    /// The values of all upstreams with open flows or work in flight.
    #[serde(rename = "a")]
    All(Vec<(Echo, WorkCounts)>),
    /// The values that have changed since the previous report.
    #[serde(rename = "c")]
    Changed(Vec<(Echo, WorkCounts)>),
}

/// Work of one instance at the upstreams of a group, sent to the collectors of the group. All values are absolute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The upstreams.
    #[serde(rename = "g")]
    pub group: LoadGroup,
    /// Number of the report, growing within the incarnation of the sender.
    #[serde(rename = "n")]
    pub seq: u64,
    /// Whether the sender is in another availability zone than the upstreams.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_from_other_zone: bool,
    /// The values.
    #[serde(rename = "w")]
    pub work: ReportedWork,
    /// Openings at the sender for the service, by class. Only reports on the first group of the sender's own zone have
    /// them, so that each opening counts once.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<ClassLoad>,
}

/// Joint load of one upstream, in a digest.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "UpstreamSumTuple", into = "UpstreamSumTuple")]
pub struct UpstreamSum {
    /// The upstream.
    pub echo: Echo,
    /// Openings and requests without an answer yet.
    pub in_flight: u32,
    /// Open flows, idle ones included.
    pub open_flows: u32,
    /// Mean time in microseconds that a request occupies a slot, zero if too few requests were finished recently.
    pub service_us: u32,
}

type UpstreamSumTuple = (Echo, u32, u32, u32);

impl From<UpstreamSumTuple> for UpstreamSum {
    fn from((echo, in_flight, open_flows, service_us): UpstreamSumTuple) -> Self {
        Self {
            echo,
            in_flight,
            open_flows,
            service_us,
        }
    }
}

impl From<UpstreamSum> for UpstreamSumTuple {
    fn from(sum: UpstreamSum) -> Self {
        (sum.echo, sum.in_flight, sum.open_flows, sum.service_us)
    }
}

/// Joint load of the upstreams of a group, sent by a collector to an instance that reports to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// The upstreams.
    #[serde(rename = "g")]
    pub group: LoadGroup,
    /// Number of the digest, growing within the incarnation of the sender.
    #[serde(rename = "n")]
    pub seq: u64,
    /// Number of the latest report of the receiver that the sums include, zero if they include none.
    #[serde(rename = "i", default)]
    pub included: u64,
    /// Whether the service is busy, so that reports and digests are sent in detail and more often.
    #[serde(rename = "b", default)]
    pub is_busy: bool,
    /// The upstreams of the group with open flows or work in flight, all others being idle. `None` if the digest
    /// carries only sums.
    #[serde(rename = "u", default)]
    pub upstreams: Option<Vec<UpstreamSum>>,
    /// Load of the service by availability zone, without those that have not been heard of recently.
    #[serde(rename = "z", default)]
    pub zones: Vec<(ZoneName, ZoneLoad)>,
    /// Openings at all instances for the service, by class.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<ClassLoad>,
}

/// Sums that collectors of a service exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoads {
    /// The group whose collectors the message is for.
    #[serde(rename = "g")]
    pub to: LoadGroup,
    /// Number of the message, growing within the incarnation of the sender.
    #[serde(rename = "n")]
    pub seq: u64,
    /// The sums.
    #[serde(rename = "z")]
    pub zones: Vec<ZoneSum>,
    /// Openings at the instances of the sender's zone, if it collects the first group there.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub classes: Option<ZoneClasses>,
}

/// Openings for a service at the instances of one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneClasses {
    /// The availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The openings by class.
    #[serde(rename = "c")]
    pub loads: Vec<ClassLoad>,
}

/// Load of a zone or a group in it, with the age of the sums.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ZoneSumTuple", into = "ZoneSumTuple")]
pub struct ZoneSum {
    /// The availability zone.
    pub zone: ZoneName,
    /// Number of the group within the zone, or `None` if the load is that of the whole zone.
    pub group: Option<u16>,
    /// The load.
    pub load: ZoneLoad,
    /// Age of the load in milliseconds.
    pub age_ms: u32,
}

type ZoneSumTuple = (ZoneName, Option<u16>, ZoneLoad, u32);

impl From<ZoneSumTuple> for ZoneSum {
    fn from((zone, group, load, age_ms): ZoneSumTuple) -> Self {
        Self {
            zone,
            group,
            load,
            age_ms,
        }
    }
}

impl From<ZoneSum> for ZoneSumTuple {
    fn from(sum: ZoneSum) -> Self {
        (sum.zone, sum.group, sum.load, sum.age_ms)
    }
}
