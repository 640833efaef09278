//! What a node is told.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::Slots;
use units::UpstreamName;
use units::ZoneName;
use wire::Frame;

use crate::CallId;

/// One life of another instance, as its authenticated session names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
}

/// What happened outside a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event is moved once, and most that come are the large ones"
)]
pub enum Event {
    /// A datagram came from a caller.
    Datagram(SocketAddr, Vec<u8>),
    /// A frame came from another instance.
    Frame(Peer, Frame),
    /// The session with another instance ended or could not be made.
    SessionLost(InstanceName),
    /// A call to an upstream ended.
    CallEnded(CallId, CallResult),
    /// An upstream's health and load were asked for.
    PollEnded(UpstreamName, Result<UpstreamReport, PollError>),
    /// The platform's list of instances came.
    InstanceList(Vec<Listed>),
    /// The platform gave its configuration document.
    DocumentLoaded(Revision, String),
    /// The platform answered, or stopped answering.
    PlatformReachable(bool),
    /// Time has passed. This comes at least every [`crate::MAX_TICK_INTERVAL`].
    Tick,
    /// A planned stop begins.
    Stop,
}

/// How a call to an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer came, and it names this call.
    Answered(Vec<u8>),
    /// The upstream refused before it began; the request has not run.
    Shed,
    /// The upstream takes no more work; the request has not run.
    Draining,
    /// No connection could be made; the request has not run.
    Unreachable,
    /// The call failed after it was sent.
    Failed,
    /// The upstream answered another request's call, or the answer was cut or too long.
    Mismatched,
    /// The deadline passed.
    TimedOut,
}

/// An upstream gave no usable report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollError;

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The upstream's life.
    pub incarnation: Incarnation,
    /// Whether it says that it is fit to serve.
    pub healthy: bool,
    /// Whether it says that it takes no new work.
    pub draining: bool,
    /// How many requests it says it is serving.
    pub busy: Slots,
    /// How long ago it started.
    pub age: Duration,
}

/// An instance or an upstream on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listed {
    /// An entry instance.
    Entry {
        /// Its name.
        name: InstanceName,
        /// Its life.
        incarnation: Incarnation,
        /// Its availability zone.
        zone: ZoneName,
        /// Where it listens for other instances.
        address: SocketAddr,
        /// Where operators reach it, if it says so.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        admin: Option<SocketAddr>,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// An upstream.
    Upstream {
        /// Its name.
        name: UpstreamName,
        /// Its life.
        incarnation: Incarnation,
        /// Whether it is leaving.
        leaving: bool,
    },
}
