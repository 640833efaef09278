//! Routes and the document that defines them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Position;
use units::Rate;
use units::Revision;
use units::Weight;

use crate::admission::Class;
use crate::warning::Warning;

/// A service's share of the new flows of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service that receives the flows.
    pub service: String,
    /// The weight of this share, relative to the other shares of the route.
    pub weight: Weight,
}

/// The priority of a route's requests, from 0, the most urgent, to 9.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(u8);

impl Priority {
    /// The priority of routes without one.
    pub const LEAST_URGENT: Self = Self(9);

    /// Returns the priority of this number, or `None` if it is above 9.
    pub fn new(number: u8) -> Option<Self> {
        Some(Self(number)).filter(|priority| *priority <= Self::LEAST_URGENT)
    }

    #[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
    fn is_least_urgent(&self) -> bool {
        *self == Self::LEAST_URGENT
    }
}

impl Default for Priority {
    fn default() -> Self {
        Self::LEAST_URGENT
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Distributes the new flows to one address over services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address that clients connect to.
    pub address: SocketAddrV4,
    /// The services that share its new flows, at least one.
    pub shares: Vec<Share>,
    /// Whether requests are idempotent.
    pub idempotent: bool,
    /// The target response time of a request.
    pub aim: Duration,
    /// Which requests go first while their service is short of capacity.
    #[serde(default, skip_serializing_if = "Priority::is_least_urgent")]
    pub priority: Priority,
    /// The time after which a client gives up on a request, if operators have set one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout: Option<Duration>,
}

impl Route {
    /// Selects the service for a new flow. The choice is the same at every instance, also for retransmissions of the
    /// opening packet.
    pub fn service_for(&self, client: SocketAddrV4) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight.0)).sum();
        if self.shares.len() == 1 || total == 0 {
            return self.shares.first().map(|share| share.service.as_str());
        }
        let mut point = flow_hash(client, self.address) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight.0);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to", self.address)?;
        for share in &self.shares {
            write!(f, " {}:{}", share.service, share.weight)?;
        }
        let repeats = if self.idempotent {
            "idempotent"
        } else {
            "not idempotent"
        };
        write!(f, ", {repeats}, aim {} ms", self.aim.as_millis())?;
        if let Some(timeout) = self.timeout {
            write!(f, ", timeout {} ms", timeout.as_millis())?;
        }
        if !self.priority.is_least_urgent() {
            write!(f, ", priority {}", self.priority)?;
        }
        Ok(())
    }
}

/// A uniformly distributed hash of the addresses of a flow.
fn flow_hash(client: SocketAddrV4, route: SocketAddrV4) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&client.ip().octets());
    bytes[4..6].copy_from_slice(&client.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&route.ip().octets());
    bytes[10..].copy_from_slice(&route.port().to_be_bytes());
    let hash = blake3::hash(&bytes);
    let head = hash.as_bytes().first_chunk::<8>().copied().unwrap_or_default();
    u64::from_be_bytes(head)
}

/// The document that defines all routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The revision number that operators assigned. It only grows.
    pub revision: Revision,
    /// All routes by name.
    pub routes: BTreeMap<String, Route>,
    /// The time for which a flow may be idle before it may be forgotten.
    pub idle_timeout: Duration,
    /// The cold start limits by service, where operators have set them.
    #[serde(default)]
    pub cold_starts: BTreeMap<String, ColdStart>,
    /// The maximum number of open flows at each upstream by service, over all instances, where operators have set one.
    #[serde(default)]
    pub connection_limits: BTreeMap<String, NonZeroU32>,
    /// Warnings about values that could not be parsed. They are derived from the document as written, and affect no
    /// decision.
    #[serde(default)]
    pub warnings: Vec<Warning>,
}

/// The parts of a document that its digest covers, in this order.
///
/// Instances of the release before priorities, timeouts and connection limits compute the digest without them and
/// reject a document step whose digest differs, so these fields aren't covered.
#[derive(Serialize)]
struct DigestInput<'a> {
    revision: Revision,
    routes: BTreeMap<&'a str, RouteDigestInput<'a>>,
    idle_timeout: Duration,
    cold_starts: &'a BTreeMap<String, ColdStart>,
}

/// The parts of a route that the digest of its document covers, in this order.
#[derive(Serialize)]
struct RouteDigestInput<'a> {
    address: SocketAddrV4,
    shares: &'a [Share],
    idempotent: bool,
    aim: Duration,
}

impl<'a> From<&'a Route> for RouteDigestInput<'a> {
    fn from(route: &'a Route) -> Self {
        Self {
            address: route.address,
            shares: &route.shares,
            idempotent: route.idempotent,
            aim: route.aim,
        }
    }
}

/// The limit for new flows to a service's cold upstreams. Upstreams are cold for a while after their start, and after
/// operators have cancelled an evacuation of their availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long an upstream is cold.
    pub lasts: Duration,
    /// The rate of new flows to each cold upstream, over all instances. `None` means no limit.
    pub rate: Option<Rate>,
}

impl fmt::Display for ColdStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.rate {
            Some(rate) => write!(f, "{rate} for {} ms", self.lasts.as_millis()),
            None => write!(f, "unlimited for {} ms", self.lasts.as_millis()),
        }
    }
}

impl Document {
    /// The digest of the parts that all releases know. All instances that hold the same document compute the same
    /// digest.
    pub fn digest(&self) -> Digest {
        let routes = self.routes.iter();
        let in_force = DigestInput {
            revision: self.revision,
            routes: routes.map(|(name, route)| (name.as_str(), route.into())).collect(),
            idle_timeout: self.idle_timeout,
            cold_starts: &self.cold_starts,
        };
        let bytes = postcard::to_stdvec(&in_force).expect("serialising a document to a vector never fails");
        let hash = blake3::hash(&bytes);
        Digest(hash.as_bytes().first_chunk().copied().unwrap_or_default())
    }
}

/// The digest of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub [u8; 16]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Routes by the address that clients connect to.
#[derive(Debug, Default, Clone)]
pub(crate) struct Routes {
    /// The revision of the document that the routes come from, and its position in the store's history.
    source: (Revision, Position),
    by_address: HashMap<SocketAddrV4, Route>,
    /// The priorities of the routes to each service, the most urgent first.
    priorities: HashMap<String, BTreeSet<Priority>>,
    connection_limits: BTreeMap<String, NonZeroU32>,
}

impl Routes {
    /// Indexes the routes of a document at the given position in the store's history.
    pub(crate) fn new(at: Position, document: &Document) -> Self {
        let routes = document.routes.values().map(|route| (route.address, route.clone()));
        let mut priorities: HashMap<String, BTreeSet<Priority>> = HashMap::new();
        for route in document.routes.values() {
            for share in &route.shares {
                let priorities = priorities.entry(share.service.clone()).or_default();
                priorities.insert(route.priority);
            }
        }
        Self {
            source: (document.revision, at),
            by_address: routes.collect(),
            priorities,
            connection_limits: document.connection_limits.clone(),
        }
    }

    /// Whether these are the routes of the given document at the given position.
    pub(crate) fn are_from(&self, at: Position, document: &Document) -> bool {
        self.source == (document.revision, at)
    }

    /// The class of a priority among the routes to a service.
    pub(crate) fn class(&self, service: &str, priority: Priority) -> Class {
        let priorities = self.priorities.get(service);
        let rank = priorities.map_or(0, |priorities| priorities.range(..priority).count());
        let count = priorities.map_or(1, BTreeSet::len);
        Class {
            rank: u8::try_from(rank).unwrap_or(u8::MAX),
            count: u8::try_from(count).unwrap_or(u8::MAX),
        }
    }

    /// Whether the routes to a service have different priorities.
    pub(crate) fn has_classes(&self, service: &str) -> bool {
        self.priorities
            .get(service)
            .is_some_and(|priorities| priorities.len() > 1)
    }

    /// The maximum number of open flows at each upstream of a service, if operators have set one.
    pub(crate) fn connection_limit(&self, service: &str) -> Option<u32> {
        self.connection_limits.get(service).copied().map(NonZeroU32::get)
    }

    pub(crate) fn to(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address)
    }
}
