//! Status of an instance for operators: what it holds and which members it knows.

use std::collections::BTreeMap;
use std::time::Duration;

use flow::CapacityState;
use flow::Document;
use flow::Priority;
use flow::ServiceCapacity;
use flow::Stats;
use flow::UpstreamId;
use flow::Warning;
use flow::ZoneLoad;
use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Position;
use units::Revision;
use units::ZoneName;
use wire::Member;

use super::role::Role;
use super::shared::Shared;

/// Path of the status, as JSON.
pub const PATH: &str = "/status";
/// Path of the document in force, as JSON. Without a document, the response is 404.
pub const DOCUMENT_PATH: &str = "/document";

/// An instance's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub name: InstanceName,
    /// Incarnation of the instance, which differs after each restart.
    pub incarnation: Incarnation,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Whether routers may send flows to it.
    pub is_ready: bool,
    /// Whether it is shutting down gracefully.
    pub is_stopping: bool,
    /// Whether it watches the store for its zone.
    pub watches: bool,
    /// The operators' revision of the document in force, if it holds one.
    pub document: Option<Revision>,
    /// Digest of that document, in hexadecimal.
    pub document_digest: Option<String>,
    /// Position in the store's history of a document that can't be parsed, because of which the one above stays in
    /// force.
    #[serde(default)]
    pub unreadable_document: Option<Position>,
    /// The reason why it can't be parsed.
    #[serde(default)]
    pub why_unreadable: Option<String>,
    /// Values of the document in force that can't be parsed, and what applies in their place.
    #[serde(default)]
    pub warnings: Vec<Warning>,
    /// Position in the store's history up to which it knows changes of upstreams.
    pub upstreams_at: Position,
    /// Number of upstreams that may receive flows, by service.
    pub upstreams: BTreeMap<String, usize>,
    /// Upstreams that receive no new flows from it, or only single trial flows, because of failed tries.
    #[serde(default)]
    pub ejected: Vec<UpstreamId>,
    /// The availability zones that it knows operators want evacuated, each with the number of flows seen here that are
    /// still open there.
    #[serde(default)]
    pub evacuated: BTreeMap<ZoneName, u32>,
    /// Load of the services of which it has a fresh view. Earlier releases don't report it.
    #[serde(default)]
    pub capacity: BTreeMap<String, ServiceStatus>,
    /// Openings that it refused, held or placed in another zone since its start.
    #[serde(default)]
    pub openings: Vec<OpeningCount>,
    /// Number of flows that it tracks.
    pub flows: usize,
    /// The members that it knows, itself first.
    pub members: Vec<Member>,
}

/// Load of a service over all instances, and the demand at one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Whether the service has capacity for its callers.
    pub state: CapacityState,
    /// First copies of opening packets in the last second, at this instance.
    pub demand: u64,
    /// Load of its upstreams by availability zone.
    pub zones: BTreeMap<ZoneName, ZoneStatus>,
}

impl From<ServiceCapacity> for ServiceStatus {
    fn from(capacity: ServiceCapacity) -> Self {
        let zones = capacity.zones.into_iter();
        Self {
            state: capacity.state,
            demand: capacity.demand,
            zones: zones.map(|(zone, load)| (zone, load.into())).collect(),
        }
    }
}

/// Load of a service's upstreams in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Slots of the upstreams that take new flows.
    pub slots: u32,
    /// Openings and requests without an answer yet.
    pub in_flight: u32,
    /// Mean time for which a request occupies a slot, in microseconds, if it is known.
    pub service_time_us: Option<u64>,
}

impl From<ZoneLoad> for ZoneStatus {
    fn from(load: ZoneLoad) -> Self {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Self {
            slots: load.slots,
            in_flight: load.in_flight,
            service_time_us: load.service_time.map(micros),
        }
    }
}

/// Openings that were not placed in the local zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpeningCount {
    /// What became of them: `refused`, `held` or `spilled`.
    pub result: String,
    /// The cause, as in the metrics.
    pub cause: String,
    /// The priority of their route.
    pub priority: Priority,
    /// Their number.
    pub count: u64,
}

fn opening_counts(stats: &Stats) -> Vec<OpeningCount> {
    let refused = stats.refused.iter();
    let refused = refused.map(|((cause, priority), count)| ("refused", cause.as_str(), *priority, *count));
    let held = stats.held.iter();
    let held = held.map(|((cause, priority), count)| ("held", cause.as_str(), *priority, *count));
    let spilled = stats.spilled.iter();
    let spilled = spilled.map(|((cause, priority), count)| ("spilled", cause.as_str(), *priority, *count));
    let counts = refused.chain(held).chain(spilled);
    let counts = counts.map(|(result, cause, priority, count)| OpeningCount {
        result: result.to_owned(),
        cause: cause.to_owned(),
        priority,
        count,
    });
    counts.collect()
}

impl Status {
    /// The status of this process.
    pub(crate) fn of(shared: &Shared) -> Self {
        let watches = Role::of(shared).is_some();
        let is_ready = shared.is_ready();
        let unreadable = shared.unreadable_document();
        let core = shared.core();
        let members = shared.members();
        let knowledge = core.knowledge();
        let document = knowledge.document().map(|(_, document)| document);
        let mut upstreams = BTreeMap::new();
        for (_, entry) in knowledge.upstreams() {
            if !entry.gone && !entry.upstream.leaving {
                *upstreams.entry(entry.upstream.service.to_string()).or_default() += 1;
            }
        }
        let me = members.me();
        Self {
            name: me.name.clone(),
            incarnation: me.incarnation,
            zone: me.zone.clone(),
            is_ready,
            is_stopping: shared.is_stopping(),
            watches,
            document: document.map(|document| document.revision),
            document_digest: document.map(|document| document.digest().to_string()),
            unreadable_document: unreadable.as_ref().map(|unreadable| unreadable.at),
            why_unreadable: unreadable.map(|unreadable| unreadable.reason),
            warnings: document.map(|document| document.warnings.clone()).unwrap_or_default(),
            upstreams_at: knowledge.upstreams_at(),
            upstreams,
            ejected: core.ejected(),
            evacuated: core.evacuated(),
            capacity: core
                .capacities(shared.now())
                .into_iter()
                .map(|(service, capacity)| (service, capacity.into()))
                .collect(),
            openings: opening_counts(core.stats()),
            flows: core.flow_count(),
            members: members.members().cloned().collect(),
        }
    }
}

/// The document in force.
pub(crate) fn document(shared: &Shared) -> Option<Document> {
    let core = shared.core();
    let (_, document) = core.knowledge().document()?;
    Some(document.clone())
}
