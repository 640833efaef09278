//! An upstream as the directory lists it.

use std::fmt;
use std::net::SocketAddrV4;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use units::Slots;
use units::ZoneName;

use crate::packet::Echo;

/// Names an upstream. A later start at the same address has another id as a rule; one that starts again under its old id
/// tells by its [`Start`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamId(pub u64);

/// When an upstream started, by its own clock, in milliseconds since the Unix epoch. It tells two starts under one id apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Start(pub u64);

impl fmt::Display for Start {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

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
    pub service: CompactString,
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
    /// When it started, if its entry tells.
    pub started: Option<Start>,
}

impl Upstream {
    /// Whether this is another start than `other`. An entry that doesn't tell is taken for the same one.
    pub(crate) fn is_other_start(&self, other: &Self) -> bool {
        let starts = self.started.zip(other.started);
        starts.is_some_and(|(started, other)| started != other)
    }

    /// Whether this is an earlier start than `other`.
    pub(crate) fn is_earlier_start(&self, other: &Self) -> bool {
        let starts = self.started.zip(other.started);
        starts.is_some_and(|(started, other)| started < other)
    }
}

/// What the platform's directory says of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sighting {
    /// It is listed.
    Listed(Upstream),
    /// There is an entry that can't be read: it names no upstream to use, and tells nothing of the one that it named
    /// before.
    Unreadable,
    /// It is no longer listed.
    Gone,
}

impl From<Upstream> for Sighting {
    fn from(upstream: Upstream) -> Self {
        Self::Listed(upstream)
    }
}

impl From<Option<Upstream>> for Sighting {
    fn from(upstream: Option<Upstream>) -> Self {
        upstream.map_or(Self::Gone, Self::Listed)
    }
}

/// An upstream as instances tell it: service, address, zone, slots, whether it leaves, for how many milliseconds it
/// was cold, and when it started.
type Told = (CompactString, SocketAddrV4, ZoneName, Slots, bool, u64, Option<Start>);

impl From<Told> for Upstream {
    fn from((service, address, zone, slots, leaving, cold_ms, started): Told) -> Self {
        Self {
            service,
            address,
            zone,
            slots,
            leaving,
            cold_for: Duration::from_millis(cold_ms),
            started,
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
            upstream.started,
        )
    }
}
