//! Packets sent by callers, encoded as one CBOR item per datagram.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;
use units::KindName;
use units::Millis;
use units::Nonce;
use units::RequestSeq;
use units::ServiceName;

use crate::Digest;

/// A flow token in sealed form, which callers treat as opaque bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SealedToken(pub ByteBuf);

/// A packet from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Starts a flow.
    Open(Open),
    /// Submits a request.
    Request(Request),
    /// Requests further chunks of a long answer.
    Pull(Pull),
    /// Acknowledges a complete answer, which the instance may then discard.
    Done(Done),
    /// Ends a flow.
    Close(Close),
}

impl Packet {
    /// The service that the caller addresses.
    pub fn service(&self) -> &ServiceName {
        match self {
            Self::Open(open) => &open.service,
            Self::Request(request) => &request.service,
            Self::Pull(pull) => &pull.service,
            Self::Done(done) => &done.service,
            Self::Close(close) => &close.service,
        }
    }

    /// The flow token. Only `Open` has none.
    pub fn token(&self) -> Option<&SealedToken> {
        match self {
            Self::Open(_) => None,
            Self::Request(request) => Some(&request.token),
            Self::Pull(pull) => Some(&pull.token),
            Self::Done(done) => Some(&done.token),
            Self::Close(close) => Some(&close.token),
        }
    }
}

/// Starts a flow with a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Correlates the reply with this packet.
    pub nonce: Nonce,
    /// The service that the caller addresses.
    pub service: ServiceName,
    /// The service address to which the caller sent the packet.
    pub address: SocketAddr,
}

/// A request within a flow. A retransmission repeats the packet byte for byte.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The flow's token.
    pub token: SealedToken,
    /// The service that the caller addresses.
    pub service: ServiceName,
    /// The sequence number of this request within the flow.
    pub seq: RequestSeq,
    /// The highest sequence number that the caller has used in this flow.
    pub sent: RequestSeq,
    /// The kind of request, as defined in the configuration document.
    pub kind: KindName,
    /// How long the caller waits for the answer, measured from the first transmission.
    pub timeout: Millis,
    /// The payload passed to the upstream.
    pub body: ByteBuf,
}

/// Requests chunks of a long answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The flow's token.
    pub token: SealedToken,
    /// The service that the caller addresses.
    pub service: ServiceName,
    /// The request that the answer belongs to.
    pub seq: RequestSeq,
    /// The digest from the [`AnswerHeader`](crate::AnswerHeader).
    pub digest: Digest,
    /// Index of the first requested chunk.
    pub first: u32,
    /// Number of requested chunks, at most [`Pull::MAX_COUNT`].
    pub count: u8,
}

impl Pull {
    /// Maximum number of chunks that one packet may request.
    pub const MAX_COUNT: u8 = 16;
}

/// Acknowledges that a complete answer has arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The flow's token.
    pub token: SealedToken,
    /// The service that the caller addresses.
    pub service: ServiceName,
    /// The request whose answer has arrived.
    pub seq: RequestSeq,
}

/// Ends a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Close {
    /// The flow's token.
    pub token: SealedToken,
    /// The service that the caller addresses.
    pub service: ServiceName,
}
