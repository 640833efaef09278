//! What a node wants done.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use units::FlowId;
use units::Incarnation;
use units::InstanceName;
use units::KindName;
use units::RequestSeq;
use units::ServiceName;
use units::UpstreamName;
use wire::Frame;
use wire::Reply;

use crate::Record;

/// Names a call to an upstream, unique within the node's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One attempt to run a request at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Names the attempt.
    pub id: CallId,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// The kind of request.
    pub kind: KindName,
    /// The incarnation that issued the flow's first token; with flow and number it names the request everywhere.
    pub owner: Incarnation,
    /// The flow.
    pub flow: FlowId,
    /// The request's number.
    pub seq: RequestSeq,
    /// How long until the deadline.
    pub timeout: Duration,
    /// What the upstream gets.
    pub body: Vec<u8>,
}

/// What a node wants done. The order of actions is the order of effects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to a caller.
    Reply(SocketAddr, Reply),
    /// Send a frame to another instance, over a session that is made if there is none.
    Send {
        /// The instance.
        to: InstanceName,
        /// Where it listens for other instances.
        address: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Call an upstream.
    Call(Call),
    /// Close the connection of a call. Its result is no longer wanted.
    Cancel(CallId),
    /// Ask an upstream for its health and load.
    Poll(UpstreamName, SocketAddr),
    /// Start or stop watching the platform's configuration document.
    Watch(bool),
    /// Keep an event for the time line.
    Record(Record),
    /// Everything is done; the process may end.
    Stopped,
}
