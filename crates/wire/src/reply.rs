//! Packets sent to callers, encoded as one CBOR item per datagram.

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;
use units::FlowId;
use units::Millis;
use units::Nonce;
use units::RequestSeq;

use crate::AnswerHeader;
use crate::Digest;
use crate::Reason;
use crate::SealedToken;
use crate::Verdict;

/// A packet from an instance to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Confirms that a flow was started.
    Opened(Opened),
    /// Acknowledges a request whose answer will follow.
    Accepted(Accepted),
    /// A chunk of an answer. The first chunk is sent without a [`Pull`](crate::Pull).
    Chunk(Chunk),
    /// Refuses a packet. The refusal is final.
    Refused(Refused),
}

/// A token issued for a flow, with the sequence number that decides whether the caller may adopt it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedToken {
    /// The token that replaces any earlier token of the flow.
    pub token: SealedToken,
    /// Requests with sequence numbers up to this one do not run under this token.
    ///
    /// A caller that has already used a higher sequence number keeps its old token and asks again.
    pub floor: RequestSeq,
}

/// Confirms that a flow was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opened {
    /// The nonce of the `Open` packet.
    pub nonce: Nonce,
    /// The flow, for logs and the timeline.
    pub flow: FlowId,
    /// The token.
    pub granted: IssuedToken,
}

/// Acknowledges a request whose answer will follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The flow.
    pub flow: FlowId,
    /// The request.
    pub seq: RequestSeq,
}

/// A chunk of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The flow.
    pub flow: FlowId,
    /// The request.
    pub seq: RequestSeq,
    /// Length and digest of the complete answer.
    pub head: AnswerHeader,
    /// Zero-based index of this chunk.
    pub index: u32,
    /// The bytes of this chunk.
    pub data: ByteBuf,
    /// A new token for the flow, if it has changed.
    pub granted: Option<IssuedToken>,
}

/// Identifies the packet that a refusal refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalSubject {
    /// The `Open` packet with this nonce.
    Open(Nonce),
    /// The request with this flow and sequence number.
    Request(FlowId, RequestSeq),
    /// The `Pull` of the answer with this flow, sequence number and digest.
    Pull(FlowId, RequestSeq, Digest),
    /// A packet whose token could not be opened, identified by the sequence number that it states.
    Unread(RequestSeq),
}

/// The final refusal of a packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The packet that is refused.
    pub subject: RefusalSubject,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The reason for the refusal.
    pub reason: Reason,
    /// How long to wait before retrying.
    pub retry_after: Millis,
    /// A new token for the flow, if it has changed.
    pub granted: Option<IssuedToken>,
}
