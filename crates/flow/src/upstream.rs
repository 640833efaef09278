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

/// Identifies an upstream. A restart at the same address usually has another id; a restart under the same id is
/// distinguished by its [`StartTime`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamId(pub u64);

/// The start time of an upstream by its own clock, in milliseconds since the Unix epoch. It distinguishes restarts
/// under the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The error for a string that is not a valid upstream id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseUpstreamIdError(ParseIntError);

impl fmt::Display for ParseUpstreamIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid upstream id: {}", self.0)
    }
}

impl std::error::Error for ParseUpstreamIdError {}

impl UpstreamId {
    /// The echo for this id. It is a hash, as an id is longer than four bytes.
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
/// Instances exchange it as a tuple without field names, which halves its size to about 50 bytes. This matters because
/// each instance that starts receives thousands of entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "UpstreamTuple", into = "UpstreamTuple")]
pub struct Upstream {
    /// The service that the upstream runs, as named in the route document.
    pub service: CompactString,
    /// The address that packets are forwarded to.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The number of requests that it serves concurrently.
    pub slots: Slots,
    /// Whether a planned shutdown is in progress: existing flows continue, and it should receive no new ones.
    pub leaving: bool,
    /// The remaining time for which it was cold after its start, as of the writing of this entry.
    pub cold_for: Duration,
    /// The start time, if the entry has one.
    pub started: Option<StartTime>,
}

impl Upstream {
    /// Whether the start time differs from that of `other`. An entry without a start time is assumed to have the same
    /// one.
    pub(crate) fn is_other_start(&self, other: &Self) -> bool {
        let starts = self.started.zip(other.started);
        starts.is_some_and(|(started, other)| started != other)
    }

    /// Whether the start time is earlier than that of `other`.
    pub(crate) fn is_earlier_start(&self, other: &Self) -> bool {
        let starts = self.started.zip(other.started);
        starts.is_some_and(|(started, other)| started < other)
    }
}

/// The state of an upstream in the platform's directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListingState {
    /// The upstream is listed.
    Listed(Upstream),
    /// The entry can't be parsed: it identifies no usable upstream, and says nothing about the previously listed one.
    Unreadable,
    /// The upstream is no longer listed.
    Gone,
}

impl From<Upstream> for ListingState {
    fn from(upstream: Upstream) -> Self {
        Self::Listed(upstream)
    }
}

impl From<Option<Upstream>> for ListingState {
    fn from(upstream: Option<Upstream>) -> Self {
        upstream.map_or(Self::Gone, Self::Listed)
    }
}

/// The serialised form of an upstream between instances: service, address, zone, slots, whether it is leaving, the
/// remaining cold time in milliseconds, and the start time.
type UpstreamTuple = (
    CompactString,
    SocketAddrV4,
    ZoneName,
    Slots,
    bool,
    u64,
    Option<StartTime>,
);

impl From<UpstreamTuple> for Upstream {
    fn from((service, address, zone, slots, leaving, cold_ms, started): UpstreamTuple) -> Self {
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

impl From<Upstream> for UpstreamTuple {
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
