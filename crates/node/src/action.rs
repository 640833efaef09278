//! The actions that a node returns to its driver.

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

/// Identifies a call to an upstream. Unique within the node's incarnation.
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
    /// Identifies the attempt.
    pub id: CallId,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The upstream's HTTP address.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// The kind of request.
    pub kind: KindName,
    /// The incarnation named in the flow's token. With `flow` and `seq` it identifies the request globally.
    pub owner: Incarnation,
    /// The flow.
    pub flow: FlowId,
    /// The request's sequence number.
    pub seq: RequestSeq,
    /// The time left until the deadline.
    pub timeout: Duration,
    /// The body sent to the upstream.
    pub body: Vec<u8>,
}

/// An action for the driver. Actions must be carried out in the order in which they are returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a datagram to a caller.
    Reply(SocketAddr, Reply),
    /// Sends a frame to another instance, connecting to it first if there is no session.
    Send {
        /// The receiving instance.
        to: InstanceName,
        /// The address at which it listens for other instances.
        address: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Calls an upstream.
    Call(Call),
    /// Closes the connection of a call whose result is no longer needed.
    Cancel(CallId),
    /// Polls an upstream for its health and load.
    Poll(UpstreamName, SocketAddr),
    /// Starts or stops watching the platform's configuration document.
    Watch(bool),
    /// Adds a record to the timeline.
    Record(Record),
    /// The planned stop is complete; the process may exit.
    Stopped,
}
