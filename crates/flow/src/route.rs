//! The routes in force.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Position;
use units::Rate;
use units::Revision;
use units::Weight;

use crate::warning::Warning;

/// A part of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service that gets it.
    pub service: String,
    /// Its size, relative to the route's other shares.
    pub weight: Weight,
}

/// Where new flows to one address go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address that clients dial.
    pub address: SocketAddrV4,
    /// The services that share its new flows, at least one.
    pub shares: Vec<Share>,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// How soon a request should be answered.
    pub aim: Duration,
}

impl Route {
    /// The service for a new flow: the same for all copies of its opening packet, at every instance.
    pub fn service_for(&self, client: SocketAddrV4) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight.0)).sum();
        if self.shares.len() == 1 || total == 0 {
            return self.shares.first().map(|share| share.service.as_str());
        }
        let mut point = spread(client, self.address) % total;
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
        write!(f, ", {repeats}, aim {} ms", self.aim.as_millis())
    }
}

/// A number that is spread evenly over flows.
fn spread(client: SocketAddrV4, route: SocketAddrV4) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&client.ip().octets());
    bytes[4..6].copy_from_slice(&client.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&route.ip().octets());
    bytes[10..].copy_from_slice(&route.port().to_be_bytes());
    let hash = blake3::hash(&bytes);
    let head = hash.as_bytes().first_chunk::<8>().copied().unwrap_or_default();
    u64::from_be_bytes(head)
}

/// The routes in force, as one document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The number that operators gave it. It only grows.
    pub revision: Revision,
    /// All routes by name.
    pub routes: BTreeMap<String, Route>,
    /// How long a flow may be silent before it may be forgotten.
    pub idle_timeout: Duration,
    /// What the upstreams of services bear after their start, where operators tell.
    #[serde(default)]
    pub cold_starts: BTreeMap<String, ColdStart>,
    /// What could not be read of it. It follows from the document as it was written, and decides nothing.
    #[serde(default)]
    pub warnings: Vec<Warning>,
}

/// The parts of a document that something hangs on, in the order in which its digest covers them.
#[derive(Serialize)]
struct InForce<'a> {
    revision: Revision,
    routes: &'a BTreeMap<String, Route>,
    idle_timeout: Duration,
    cold_starts: &'a BTreeMap<String, ColdStart>,
}

/// What a service's upstreams bear while they are cold: for a while after their start, and after operators have taken back that
/// their availability zone be emptied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// For how long.
    pub lasts: Duration,
    /// How many new flows each bears meanwhile, over all instances; any number, if none is told.
    pub rate: Option<Rate>,
}

impl fmt::Display for ColdStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.rate {
            Some(rate) => write!(f, "{rate} for {} ms", self.lasts.as_millis()),
            None => write!(f, "any number for {} ms", self.lasts.as_millis()),
        }
    }
}

impl Document {
    /// A digest over all that something hangs on. Two instances that hold the same document compute the same.
    pub fn digest(&self) -> Digest {
        let in_force = InForce {
            revision: self.revision,
            routes: &self.routes,
            idle_timeout: self.idle_timeout,
            cold_starts: &self.cold_starts,
        };
        let bytes =
            postcard::to_stdvec(&in_force).expect("a document has a binary form, and a vector takes every write");
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

/// Routes by the address that clients dial.
#[derive(Debug, Default, Clone)]
pub(crate) struct Routes {
    /// The number of their document, and the place at which it stood.
    of: (Revision, Position),
    by_address: HashMap<SocketAddrV4, Route>,
}

impl Routes {
    /// Indexes a document that stood at a place in the store's history.
    pub(crate) fn new(at: Position, document: &Document) -> Self {
        let routes = document.routes.values().map(|route| (route.address, route.clone()));
        Self {
            of: (document.revision, at),
            by_address: routes.collect(),
        }
    }

    /// Whether they are those of a document that stood at a place.
    pub(crate) fn are_of(&self, at: Position, document: &Document) -> bool {
        self.of == (document.revision, at)
    }

    pub(crate) fn to(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address)
    }
}
