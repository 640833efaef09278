//! The validated configuration document.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use units::KindName;
use units::Revision;
use units::ServiceName;
use units::Slots;
use units::UpstreamName;
use units::Weight;
use units::ZoneName;
use wire::Digest;

/// A validated configuration document, the complete description of zones and services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The revision, which increases monotonically.
    pub revision: Revision,
    /// The digest of `text`.
    pub digest: Digest,
    /// The source text, as it was approved.
    pub text: String,
    /// Who changed what, and why.
    pub change: Change,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The services.
    pub services: Vec<Service>,
}

impl Document {
    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| &service.name == name)
    }

    /// Returns the service that callers reach at this address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.addresses.contains(&address))
    }

    /// Returns the region of an availability zone.
    pub fn region(&self, zone: &ZoneName) -> Option<&ZoneName> {
        self.zones
            .iter()
            .find(|candidate| &candidate.name == zone)
            .map(|zone| &zone.region)
    }
}

/// Who made a revision, who approved it, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Who wrote it.
    pub author: String,
    /// Who approved it.
    pub approver: String,
    /// Why.
    pub reason: String,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Its name.
    pub name: ZoneName,
    /// The region that contains the zone. Requests are never routed to another region.
    pub region: ZoneName,
}

/// A service: the addresses callers connect to and the upstreams that serve it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The addresses that callers connect to.
    pub addresses: Vec<SocketAddr>,
    /// How its traffic is distributed over the upstreams.
    pub sharing: Sharing,
    /// The kinds of request that it accepts.
    pub kinds: Vec<Kind>,
    /// The upstreams that serve it.
    pub upstreams: Vec<Upstream>,
}

impl Service {
    /// Returns the request kind with this name.
    pub fn kind(&self, name: &KindName) -> Option<&Kind> {
        self.kinds.iter().find(|kind| &kind.name == name)
    }

    /// Returns the upstream with this name.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.iter().find(|upstream| &upstream.name == name)
    }
}

/// Whether all requests of a flow go to the same upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Affinity {
    /// Each request may go to another upstream.
    #[default]
    Request,
    /// All requests of a flow go to one upstream. The flow moves only between requests, and only when that upstream
    /// leaves.
    Flow,
}

impl fmt::Display for Affinity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Request => "request",
            Self::Flow => "flow",
        };
        f.write_str(text)
    }
}

/// How the traffic of a service is distributed over its upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sharing {
    /// Whether all requests of a flow go to the same upstream.
    pub affinity: Affinity,
    /// Whether free slots in the availability zone of the packet are preferred.
    pub prefer_local_zone: bool,
    /// The maximum number of requests that wait for a slot.
    pub queue_limit: u32,
    /// The maximum number of retries, as a percentage of successful requests.
    pub retry_budget_percent: u32,
    /// How long a cold upstream takes to ramp up to its full share.
    pub slow_start: Duration,
}

impl Default for Sharing {
    fn default() -> Self {
        Self {
            affinity: Affinity::Request,
            prefer_local_zone: true,
            queue_limit: 200,
            retry_budget_percent: 10,
            slow_start: Duration::from_secs(5),
        }
    }
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kind {
    /// Its name.
    pub name: KindName,
    /// How much one completed request counts, relative to other kinds.
    pub weight: Weight,
    /// Whether the request is safe to run twice.
    pub idempotent: bool,
}

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its name, unique within the document.
    pub name: UpstreamName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address of its HTTP server.
    pub address: SocketAddr,
    /// The maximum number of concurrent requests.
    pub slots: Slots,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
}

/// Whether an upstream accepts new requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts new requests.
    #[default]
    Active,
    /// It finishes the requests in progress and gets no new ones.
    Draining,
}

impl fmt::Display for UpstreamState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Active => "active",
            Self::Draining => "draining",
        };
        f.write_str(text)
    }
}
