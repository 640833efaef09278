//! Client packets as the forwarding path sees them, and the reasons for resetting flows and dropping packets.

use std::fmt;
use std::net::SocketAddrV4;
use std::ops::BitOr;

use serde::Deserialize;
use serde::Serialize;

/// Four bytes set by this system that both ends of a flow return. Zero means that there is no echo.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Echo(pub u32);

impl Echo {
    /// No upstream has been selected yet.
    pub const NONE: Self = Self(0);
}

impl fmt::Display for Echo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// The TCP flags of a packet that the forwarding path uses.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Flags(u8);

impl Flags {
    /// The packet opens a flow.
    pub const SYN: Self = Self(1);
    /// The packet carries an acknowledgement.
    pub const ACK: Self = Self(2);
    /// The sender has no more data to send.
    pub const FIN: Self = Self(4);
    /// The flow is aborted.
    pub const RST: Self = Self(8);

    /// Whether all flags of `other` are set.
    pub fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

impl BitOr for Flags {
    type Output = Self;

    fn bitor(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }
}

/// The header fields of a packet from a client. The payload is not inspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// The client's end.
    pub client: SocketAddrV4,
    /// The address of the route that the client connected to.
    pub route: SocketAddrV4,
    /// The flags of the packet.
    pub flags: Flags,
    /// The echo that the client returned.
    pub echo: Echo,
    /// The sequence number of the first payload byte.
    pub seq: u32,
    /// The acknowledgement number: the client has received all upstream data before it. On an opening packet, the
    /// number of earlier transmissions of the same packet.
    pub ack: u32,
    /// The length of the payload in bytes.
    pub len: u16,
}

/// The reason why an instance resets a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResetCause {
    /// No route has the address that the client connected to.
    NoRoute,
    /// No upstream of the service can accept a flow.
    NoUpstream,
    /// No upstream of the service can accept a flow, and some of them are in availability zones that operators are
    /// evacuating.
    Evacuated,
    /// No upstream of the service can accept a flow, and some of them are cold and already at their rate limit for new
    /// flows.
    Cold,
    /// The service is short of capacity and the flow can't be served in time, or no upstream can get it while some are
    /// at their connection limit.
    Overload,
    /// The flow is waiting for an upstream that responds to no flow.
    Stalled,
    /// The upstream of the flow is considered dead.
    Dead,
}

impl ResetCause {
    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::NoUpstream => "no-upstream",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
            Self::Overload => "overload",
            Self::Stalled => "stalled",
            Self::Dead => "dead",
        }
    }
}

impl fmt::Display for ResetCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A reset to be sent to the client of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset {
    /// The client's end.
    pub client: SocketAddrV4,
    /// The address of the route.
    pub route: SocketAddrV4,
    /// The sequence number that the client expects next, or one close to it.
    pub seq: u32,
    /// The reason for the reset.
    pub cause: ResetCause,
}

/// The reason for dropping a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropCause {
    /// The echo of the packet identifies no known upstream, or more than one.
    UnknownEcho,
    /// The packet has no echo but does not open a flow.
    NoEcho,
    /// The route document or the list of upstreams has not been received yet.
    NotReady,
    /// The service is short of capacity; the client's retransmission of the opening packet can be served in time.
    Held,
    /// The packet is a client's reset of a flow whose upstream is unknown.
    Reset,
}

impl DropCause {
    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownEcho => "unknown-echo",
            Self::NoEcho => "no-echo",
            Self::NotReady => "not-ready",
            Self::Held => "held",
            Self::Reset => "reset",
        }
    }
}

impl fmt::Display for DropCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
