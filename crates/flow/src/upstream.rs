//! An upstream as the directory lists it.

use std::fmt;
use std::net::SocketAddrV4;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Slots;
use units::ZoneName;

use crate::packet::Echo;

/// One start of an upstream. A later start at the same address has another id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamId(pub u64);

/// A text is not an upstream's id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseUpstreamIdError(ParseIntError);

impl fmt::Display for ParseUpstreamIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not an upstream's id: {}", self.0)
    }
}

impl std::error::Error for ParseUpstreamIdError {}

impl UpstreamId {
    /// The echo that stands for this id: a hash, as an id has more than four bytes.
    pub fn echo(self) -> Echo {
        let hash = blake3::hash(&self.0.to_be_bytes());
        let bytes = hash.as_bytes();
        let value = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        Echo(value.max(1))
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:010x}", self.0)
    }
}

impl FromStr for UpstreamId {
    type Err = ParseUpstreamIdError;

    fn from_str(text: &str) -> Result<Self, ParseUpstreamIdError> {
        u64::from_str_radix(text, 16).map(Self).map_err(ParseUpstreamIdError)
    }
}

/// An upstream as the directory lists it.
///
/// Between instances it is told without the names of its fields, which halves it to about 50 bytes: thousands of entries
/// go to each instance that starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Told", into = "Told")]
pub struct Upstream {
    /// The service that it runs, as the document names it.
    pub service: String,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How many requests it serves at a time.
    pub slots: Slots,
    /// Whether it is on its planned stop: it keeps its flows and should get no new ones.
    pub leaving: bool,
    /// How much longer it was slow after its start, when this entry was written.
    pub cold_for: Duration,
}

/// An upstream as instances tell it: service, address, zone, slots, whether it leaves, and for how many milliseconds it
/// was cold.
type Told = (String, SocketAddrV4, ZoneName, Slots, bool, u64);

impl From<Told> for Upstream {
    fn from((service, address, zone, slots, leaving, cold_ms): Told) -> Self {
        Self {
            service,
            address,
            zone,
            slots,
            leaving,
            cold_for: Duration::from_millis(cold_ms),
        }
    }
}

impl From<Upstream> for Told {
    fn from(upstream: Upstream) -> Self {
        let cold_ms = u64::try_from(upstream.cold_for.as_millis()).unwrap_or(u64::MAX);
        (
            upstream.service,
            upstream.address,
            upstream.zone,
            upstream.slots,
            upstream.leaving,
            cold_ms,
        )
    }
}
