//! The events that a node handles.

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

/// One incarnation of another instance, as identified by its authenticated session.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The name.
    pub name: InstanceName,
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// An input to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event is moved only once, and most events are of the large variants"
)]
pub enum Event {
    /// A datagram arrived from a caller.
    Datagram(SocketAddr, Vec<u8>),
    /// A frame arrived from another instance.
    Frame(Peer, Frame),
    /// The session with another instance ended or could not be established.
    SessionLost(InstanceName),
    /// A call to an upstream ended.
    CallEnded(CallId, CallResult),
    /// A poll of an upstream's health and load ended.
    PollEnded(UpstreamName, Result<UpstreamReport, PollError>),
    /// The platform's list of instances and upstreams was received.
    InstanceList(Vec<Listed>),
    /// The platform's configuration document was received.
    DocumentLoaded(Revision, String),
    /// Whether the platform can be reached has changed.
    PlatformReachable(bool),
    /// Time has passed. Delivered at least once every [`crate::MAX_TICK_INTERVAL`].
    Tick,
    /// Starts a planned stop.
    Stop,
}

/// How a call to an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The upstream returned a complete answer that carries this call's id.
    Answered(Vec<u8>),
    /// The upstream refused the request before starting it; the request has not run.
    Shed,
    /// The upstream is draining and accepts no new work; the request has not run.
    Draining,
    /// No connection could be established; the request has not run.
    Unreachable,
    /// The call failed after the request was sent.
    Failed,
    /// The answer belongs to another call, is truncated or is too long.
    Mismatched,
    /// The deadline passed.
    TimedOut,
}

/// An upstream returned no usable report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollError;

/// An upstream's report on its own health and load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// Whether it reports itself as healthy.
    pub healthy: bool,
    /// Whether it reports that it accepts no new work.
    pub draining: bool,
    /// The number of requests that it reports to be serving.
    pub busy: Slots,
    /// The time since it started.
    pub age: Duration,
}

/// An instance or an upstream on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listed {
    /// An entry instance.
    Entry {
        /// The name.
        name: InstanceName,
        /// The incarnation.
        incarnation: Incarnation,
        /// The availability zone.
        zone: ZoneName,
        /// The address at which it listens for other instances.
        address: SocketAddr,
        /// The address of its admin interface, if published.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        admin: Option<SocketAddr>,
        /// Whether it has announced that it is leaving.
        leaving: bool,
    },
    /// An upstream.
    Upstream {
        /// The name.
        name: UpstreamName,
        /// The incarnation.
        incarnation: Incarnation,
        /// Whether it has announced that it is leaving.
        leaving: bool,
    },
}
