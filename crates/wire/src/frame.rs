//! Frames exchanged between instances.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;
use units::FlowId;
use units::Incarnation;
use units::InstanceName;
use units::KindName;
use units::Millis;
use units::RequestSeq;
use units::Revision;
use units::ServiceName;
use units::UpstreamName;
use units::ZoneName;

use crate::Answer;
use crate::Digest;
use crate::Gossip;
use crate::Packet;
use crate::Reason;
use crate::Request;
use crate::Successor;
use crate::Verdict;

/// A frame from one instance to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Forwards a caller's packet to the instance that owns its flow.
    Forward(Forward),
    /// Requests an upstream slot from the home of a service.
    Acquire(Acquire),
    /// Cancels an `Acquire`.
    Withdraw(TicketId),
    /// Grants a slot.
    Grant(Grant),
    /// Denies a slot.
    Deny(Deny),
    /// Releases a slot and reports the outcome of the call.
    Settle(Settle),
    /// Reports a slot that is already in use to the new home of a service.
    Hold(Hold),
    /// Transfers a part of the request records of an instance that is stopping.
    Handover(Handover),
    /// Confirms that all parts of this incarnation's handover have arrived.
    HandoverDone(Incarnation),
    /// Rejects the handover of this incarnation, because the receiver is stopping too. The receiver has taken over none
    /// of it and never will.
    HandoverRefused(Incarnation),
    /// Reports the end of a request that was in progress during a handover.
    Resolved(Resolved),
    /// Checks whether the receiver is alive.
    Probe(u64, Gossip),
    /// Acknowledges a probe.
    ProbeAck(u64, Gossip),
    /// Asks the receiver to probe another member on behalf of the sender.
    ProbeFor(u64, InstanceName),
    /// Gossip that is sent at once, without waiting for the next probe.
    News(Gossip),
    /// Requests the configuration document, stating the revision that the sender already has.
    Want(Option<Revision>),
    /// Sends a complete configuration document.
    Document(Document),
    /// Sends the difference between two configuration documents.
    Delta(Delta),
}

/// A caller's packet, forwarded to the owner of its flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The address to which the reply is sent.
    pub caller: SocketAddr,
    /// The availability zone in which the packet arrived.
    pub zone: ZoneName,
    /// The packet.
    pub packet: Packet,
    /// Number of instances that have forwarded the packet.
    pub hops: u8,
}

/// Identifies a slot request. Unique within the incarnation of the flow's owner.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Requests an upstream slot from the home of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// Identifies this slot request.
    pub ticket: TicketId,
    /// The service.
    pub service: ServiceName,
    /// The kind of request.
    pub kind: KindName,
    /// The availability zone in which the packet arrived.
    pub zone: ZoneName,
    /// Time remaining until the deadline.
    pub remaining: Millis,
    /// The upstream that the flow is pinned to, if the service pins flows.
    pub pinned: Option<UpstreamName>,
    /// Upstreams to avoid, because a call for this request has already failed there.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub avoid: Vec<UpstreamName>,
}

/// Grants a slot at an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The slot request.
    pub ticket: TicketId,
    /// The upstream to call.
    pub upstream: UpstreamName,
}

/// Denies a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deny {
    /// The slot request.
    pub ticket: TicketId,
    /// The reason for the denial.
    pub reason: Reason,
    /// How long to wait before retrying.
    pub retry_after: Millis,
}

/// The outcome of a call to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A complete answer was received.
    Completed,
    /// The upstream shed the request before starting it; the request has not run.
    Shed,
    /// The upstream is draining and accepts no new requests; the request has not run.
    Draining,
    /// No connection could be established; the request has not run.
    Unreachable,
    /// The call failed after the request was sent; the request may have run.
    Failed,
    /// The deadline expired; the request may have run.
    TimedOut,
    /// The slot was not used.
    Unused,
}

impl Outcome {
    /// Returns whether a request with this outcome may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Shed | Self::Draining | Self::Unreachable | Self::Unused => Verdict::NotRun,
            Self::Completed | Self::Failed | Self::TimedOut => Verdict::MayHaveRun,
        }
    }
}

/// Releases a slot and reports the outcome of the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The slot request.
    pub ticket: TicketId,
    /// The service.
    pub service: ServiceName,
    /// The outcome of the call.
    pub outcome: Outcome,
    /// How long the call took.
    pub took: Duration,
}

/// Reports a slot that is already in use to the new home of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The slot request.
    pub ticket: TicketId,
    /// The service.
    pub service: ServiceName,
    /// The upstream in use.
    pub upstream: UpstreamName,
    /// Time remaining until the deadline.
    pub remaining: Millis,
}

/// The recorded state of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestRecord {
    /// The request is waiting for a slot. The new owner runs it.
    Queued(QueuedRequest),
    /// The request is in progress at this incarnation, which reports its end.
    Running(Incarnation),
    /// The request ended with this answer.
    Answered(Answer),
    /// The request ran, and its answer has been discarded.
    Forgotten,
    /// The request was finally refused.
    Refused(Verdict, Reason),
}

/// A request that is waiting for a slot, as transferred in a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRequest {
    /// The address to which the reply is sent.
    pub caller: SocketAddr,
    /// The availability zone in which the request arrived.
    pub zone: ZoneName,
    /// Whether an earlier call may have run the request.
    pub in_doubt: bool,
    /// Upstreams to avoid, because a call for this request has already failed there.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub avoid: Vec<UpstreamName>,
    /// The request, including its token.
    pub request: Request,
    /// Time remaining until the deadline.
    pub remaining: Millis,
}

/// The request records of a flow, as transferred in a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverFlow {
    /// The incarnation that issued the flow's token.
    pub owner: Incarnation,
    /// The flow.
    pub flow: FlowId,
    /// Requests with sequence numbers up to this one have ended or will never run, unless `entries` says otherwise.
    pub floor: RequestSeq,
    /// The highest sequence number that the caller is known to have used.
    pub sent: RequestSeq,
    /// The requests whose state is still recorded individually.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub entries: Vec<(RequestSeq, RequestRecord)>,
}

/// The name and incarnation of an instance. The incarnation alone is not unique: two instances that start in the same
/// millisecond may draw the same number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// The name of the instance.
    pub name: InstanceName,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
}

/// A part of the request records of an instance that is stopping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The successor record, which takes effect once all parts have arrived.
    pub successor: Successor,
    /// Incarnations whose request records the stopping instance had itself taken over.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub inherited: Vec<InstanceIncarnation>,
    /// The flows in this part.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub flows: Vec<HandoverFlow>,
    /// Zero-based index of this part.
    pub part: u32,
    /// Total number of parts. The handover takes effect only once all parts have arrived.
    pub parts: u32,
}

/// Reports the end of a request that was in progress during a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolved {
    /// The incarnation at which the request was in progress.
    pub at: Incarnation,
    /// The incarnation that issued the flow's token.
    pub owner: Incarnation,
    /// The flow.
    pub flow: FlowId,
    /// The request.
    pub seq: RequestSeq,
    /// The final state of the request.
    pub entry: RequestRecord,
}

/// A complete configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The revision of the document.
    pub revision: Revision,
    /// The text of the document, as approved.
    pub text: ByteBuf,
}

/// The difference between two configuration documents: one replaced byte range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Digest of the document to which the delta applies.
    pub base: Digest,
    /// Revision of the resulting document.
    pub revision: Revision,
    /// Digest of the resulting document.
    pub digest: Digest,
    /// Start of the replaced byte range in the old text.
    pub start: u64,
    /// End of the replaced byte range, exclusive.
    pub end: u64,
    /// The replacement bytes.
    pub insert: ByteBuf,
}
