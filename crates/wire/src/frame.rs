//! Frames between instances.

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
    /// A caller's packet, for the instance that owns its flow.
    Forward(Forward),
    /// Asks the home of a service for a slot.
    Acquire(Acquire),
    /// Takes an `Acquire` back.
    Withdraw(TicketId),
    /// Lends a slot.
    Grant(Grant),
    /// Refuses a slot.
    Deny(Deny),
    /// Gives a slot back and tells how it went.
    Settle(Settle),
    /// Tells a new home about a slot that is already in use.
    Hold(Hold),
    /// A part of the ledgers of an instance that stops.
    Handover(Handover),
    /// All parts of this incarnation's ledgers have arrived.
    HandoverDone(Incarnation),
    /// The receiver stops too: it has taken over nothing of this incarnation and never will.
    HandoverRefused(Incarnation),
    /// A request that was in progress at hand-over has ended.
    Resolved(Resolved),
    /// Asks whether the receiver is alive.
    Probe(u64, Gossip),
    /// Answers a probe.
    ProbeAck(u64, Gossip),
    /// Asks the receiver to probe another member.
    ProbeFor(u64, InstanceName),
    /// News that should not wait for a probe.
    News(Gossip),
    /// Asks for the configuration document, naming the revision already held.
    Want(Option<Revision>),
    /// A whole configuration document.
    Document(Document),
    /// What changed between two configuration documents.
    Delta(Delta),
}

/// A caller's packet on its way to the owner of its flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Where the reply goes.
    pub caller: SocketAddr,
    /// The availability zone in which the packet arrived.
    pub zone: ZoneName,
    /// The packet.
    pub packet: Packet,
    /// How many instances have passed the packet on.
    pub hops: u8,
}

/// Names a slot request. Unique within the owner's incarnation.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Asks the home of a service for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// Names this request for a slot.
    pub ticket: TicketId,
    /// The service.
    pub service: ServiceName,
    /// The kind of request.
    pub kind: KindName,
    /// The availability zone in which the packet arrived.
    pub zone: ZoneName,
    /// How long until the deadline.
    pub remaining: Millis,
    /// The upstream that the flow keeps, if the service pins flows.
    pub pinned: Option<UpstreamName>,
    /// Upstreams that have failed this request.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub avoid: Vec<UpstreamName>,
}

/// Lends a slot of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The request for a slot.
    pub ticket: TicketId,
    /// The upstream to call.
    pub upstream: UpstreamName,
}

/// Refuses a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deny {
    /// The request for a slot.
    pub ticket: TicketId,
    /// Why.
    pub reason: Reason,
    /// When asking again makes sense.
    pub retry_after: Millis,
}

/// How a call to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A whole answer came.
    Completed,
    /// The upstream refused before it began; the request has not run.
    Shed,
    /// The upstream says that it takes no more work; the request has not run.
    Draining,
    /// No connection could be made; the request has not run.
    Unreachable,
    /// The call failed after it was sent; the request may have run.
    Failed,
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The slot was not used.
    Unused,
}

impl Outcome {
    /// Whether a request with this outcome has run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Shed | Self::Draining | Self::Unreachable | Self::Unused => Verdict::NotRun,
            Self::Completed | Self::Failed | Self::TimedOut => Verdict::MayHaveRun,
        }
    }
}

/// Gives a slot back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The request for a slot.
    pub ticket: TicketId,
    /// The service.
    pub service: ServiceName,
    /// How the call ended.
    pub outcome: Outcome,
    /// How long the call took.
    pub took: Duration,
}

/// Tells a new home about a slot that is already in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The request for a slot.
    pub ticket: TicketId,
    /// The service.
    pub service: ServiceName,
    /// The upstream in use.
    pub upstream: UpstreamName,
    /// How long until the deadline.
    pub remaining: Millis,
}

/// What a ledger holds of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestRecord {
    /// It waits for a slot. The new owner runs it.
    Queued(QueuedRequest),
    /// It is in progress at this incarnation, which tells how it ends.
    Running(Incarnation),
    /// It ended with this answer.
    Answered(Answer),
    /// It ran, and its answer is no longer held.
    Forgotten,
    /// It was refused for good.
    Refused(Verdict, Reason),
}

/// A request that waits, as it is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRequest {
    /// Where the reply goes.
    pub caller: SocketAddr,
    /// The availability zone in which it arrived.
    pub zone: ZoneName,
    /// Whether an earlier call may have run it.
    pub in_doubt: bool,
    /// Upstreams that have failed it.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub avoid: Vec<UpstreamName>,
    /// The request, with its token.
    pub request: Request,
    /// How long until its deadline.
    pub remaining: Millis,
}

/// A flow's ledger, as it is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverFlow {
    /// The incarnation that issued the flow's token.
    pub owner: Incarnation,
    /// The flow.
    pub flow: FlowId,
    /// Requests up to this number have ended or will never run, unless `entries` tells otherwise.
    pub floor: RequestSeq,
    /// The highest number that the caller is known to have used.
    pub sent: RequestSeq,
    /// The requests still known one by one.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub entries: Vec<(RequestSeq, RequestRecord)>,
}

/// One life of an instance. Its number alone doesn't name it: two that start in the same millisecond may draw the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// The instance.
    pub name: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A part of the ledgers of an instance that stops.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The successor record that takes effect once all parts have arrived.
    pub successor: Successor,
    /// Those whose ledgers the stopping instance had taken over itself.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub inherited: Vec<InstanceIncarnation>,
    /// This part's ledgers.
    #[serde(deserialize_with = "crate::vec_without_prealloc::deserialize")]
    pub flows: Vec<HandoverFlow>,
    /// This part's number, from zero.
    pub part: u32,
    /// How many parts there are. Nothing takes effect before all have arrived.
    pub parts: u32,
}

/// A request that was in progress at hand-over has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolved {
    /// The incarnation at which it was in progress.
    pub at: Incarnation,
    /// The incarnation that issued the flow's token.
    pub owner: Incarnation,
    /// The flow.
    pub flow: FlowId,
    /// The request.
    pub seq: RequestSeq,
    /// How it ended.
    pub entry: RequestRecord,
}

/// A whole configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its revision.
    pub revision: Revision,
    /// Its text, as it was approved.
    pub text: ByteBuf,
}

/// What changed between two configuration documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The digest of the document it applies to.
    pub base: Digest,
    /// The revision that results.
    pub revision: Revision,
    /// The digest of the document that results.
    pub digest: Digest,
    /// The byte range of the old text that is replaced.
    pub start: u64,
    /// The end of that range.
    pub end: u64,
    /// What replaces it.
    pub insert: ByteBuf,
}
