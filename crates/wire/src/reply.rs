//! What an instance sends to a caller: one CBOR item per datagram.

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

/// A packet to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A flow was started.
    Opened(Opened),
    /// The request is known, and its answer will follow.
    Accepted(Accepted),
    /// A chunk of an answer. The first one comes unasked.
    Chunk(Chunk),
    /// The final answer to a packet that was refused.
    Refused(Refused),
}

/// A token, and what a caller must know to adopt it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedToken {
    /// The flow's token from now on.
    pub token: SealedToken,
    /// Requests up to this number are not run under this token.
    ///
    /// A caller that has used a higher number keeps its old token and asks again.
    pub floor: RequestSeq,
}

/// A flow was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opened {
    /// The nonce of the `Open`.
    pub nonce: Nonce,
    /// The flow, for logs and the time line.
    pub flow: FlowId,
    /// The token.
    pub granted: IssuedToken,
}

/// The request is known, and its answer will follow.
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
    /// The whole answer's length and digest.
    pub head: AnswerHeader,
    /// This chunk's number, from zero.
    pub index: u32,
    /// This chunk's bytes.
    pub data: ByteBuf,
    /// A new token for the flow, when it has changed.
    pub granted: Option<IssuedToken>,
}

/// What a refusal is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalSubject {
    /// The `Open` with this nonce.
    Open(Nonce),
    /// This request of this flow.
    Request(FlowId, RequestSeq),
    /// The pull of this answer.
    Pull(FlowId, RequestSeq, Digest),
    /// A packet whose token could not be read: the request number it claims.
    Unread(RequestSeq),
}

/// A final refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// What is refused.
    pub subject: RefusalSubject,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it is refused.
    pub reason: Reason,
    /// How long to wait before asking again.
    pub retry_after: Millis,
    /// A new token for the flow, when it has changed.
    pub granted: Option<IssuedToken>,
}
