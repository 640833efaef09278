//! What a caller sends: one CBOR item per datagram.

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

/// A flow token as callers see it: opaque bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SealedToken(pub ByteBuf);

/// A packet from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Starts a flow.
    Open(Open),
    /// Asks for one piece of work.
    Request(Request),
    /// Asks for further chunks of a long answer.
    Pull(Pull),
    /// Says that an answer has arrived whole and need not be kept.
    Done(Done),
    /// Ends a flow.
    Close(Close),
}

impl Packet {
    /// The service that the caller means.
    pub fn service(&self) -> &ServiceName {
        match self {
            Self::Open(open) => &open.service,
            Self::Request(request) => &request.service,
            Self::Pull(pull) => &pull.service,
            Self::Done(done) => &done.service,
            Self::Close(close) => &close.service,
        }
    }

    /// The flow token, which only an `Open` lacks.
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

/// Starts a flow at a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Matches the answer to this packet.
    pub nonce: Nonce,
    /// The service that the caller means.
    pub service: ServiceName,
    /// The service address that the caller dialled.
    pub address: SocketAddr,
}

/// One piece of work. A retransmission repeats the packet byte for byte.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The flow's token.
    pub token: SealedToken,
    /// The service that the caller means.
    pub service: ServiceName,
    /// This request's number within the flow.
    pub seq: RequestSeq,
    /// The highest number that the caller has used in this flow.
    pub sent: RequestSeq,
    /// The kind of request, which the document describes.
    pub kind: KindName,
    /// How long the caller waits for the answer, from the first transmission on.
    pub timeout: Millis,
    /// What the upstream gets.
    pub body: ByteBuf,
}

/// Asks for chunks of a long answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The flow's token.
    pub token: SealedToken,
    /// The service that the caller means.
    pub service: ServiceName,
    /// The request whose answer is meant.
    pub seq: RequestSeq,
    /// The digest from the answer's head.
    pub digest: Digest,
    /// The first chunk wanted.
    pub first: u32,
    /// How many chunks are wanted, at most [`Pull::MAX_COUNT`].
    pub count: u8,
}

impl Pull {
    /// The most chunks that one packet may ask for.
    pub const MAX_COUNT: u8 = 16;
}

/// Says that an answer has arrived whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The flow's token.
    pub token: SealedToken,
    /// The service that the caller means.
    pub service: ServiceName,
    /// The request whose answer has arrived.
    pub seq: RequestSeq,
}

/// Ends a flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Close {
    /// The flow's token.
    pub token: SealedToken,
    /// The service that the caller means.
    pub service: ServiceName,
}
