//! The checked configuration document.

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

/// The one validated document that is the whole current truth.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Its revision, which only grows.
    pub revision: Revision,
    /// The digest of its text.
    pub digest: Digest,
    /// Its text, as it was approved.
    pub text: String,
    /// Who changed what, and why.
    pub change: Change,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The services.
    pub services: Vec<Service>,
}

impl Document {
    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| &service.name == name)
    }

    /// The service at this address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.addresses.contains(&address))
    }

    /// The region of an availability zone.
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
    /// The region it lies in. Requests do not leave their region.
    pub region: ZoneName,
}

/// A service: where callers reach it and who serves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The addresses that callers dial.
    pub addresses: Vec<SocketAddr>,
    /// The rules for sharing its traffic.
    pub sharing: Sharing,
    /// The kinds of request that it takes.
    pub kinds: Vec<Kind>,
    /// The upstreams that serve it.
    pub upstreams: Vec<Upstream>,
}

impl Service {
    /// The kind of request of this name.
    pub fn kind(&self, name: &KindName) -> Option<&Kind> {
        self.kinds.iter().find(|kind| &kind.name == name)
    }

    /// The upstream of this name.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.iter().find(|upstream| &upstream.name == name)
    }
}

/// Whether a flow keeps its upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Affinity {
    /// Each request may go to another upstream.
    #[default]
    Request,
    /// A flow keeps its upstream, and moves only between requests and only when that upstream leaves.
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

/// The rules for sharing a service's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sharing {
    /// Whether a flow keeps its upstream.
    pub affinity: Affinity,
    /// Whether a free slot in the packet's own availability zone goes first.
    pub prefer_local_zone: bool,
    /// The most requests that wait for a slot.
    pub queue_limit: u32,
    /// The most retries, in percent of successes.
    pub retry_budget_percent: u32,
    /// How long a cold upstream takes to get its full share.
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
    /// How much one completed request counts.
    pub weight: Weight,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
}

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its name, unique in the document.
    pub name: UpstreamName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// How many requests it serves at a time.
    pub slots: Slots,
    /// Whether it gets new work.
    pub state: UpstreamState,
}

/// Whether an upstream gets new work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It does.
    #[default]
    Active,
    /// It finishes what it has.
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
