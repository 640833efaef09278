//! CBOR to and from packets, replies and frames.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Frame;
use crate::Packet;
use crate::Reply;

/// The longest datagram to or from a caller, in bytes.
pub const MAX_PACKET_LEN: usize = 1_200;

/// The longest frame between instances, in bytes.
pub const MAX_FRAME_LEN: usize = 4 * 1_024 * 1_024;

/// How deeply packets and frames may nest.
const MAX_NESTING_DEPTH: usize = 16;

/// Why bytes could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DecodeError {
    /// There are more bytes than the kind of message may have.
    TooLong,
    /// The bytes end too soon.
    Truncated,
    /// The bytes are not CBOR, or not of the expected shape.
    Malformed,
    /// Bytes follow after the item.
    Trailing,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::TooLong => "the message is too long",
            Self::Truncated => "the message ends too soon",
            Self::Malformed => "the message is malformed",
            Self::Trailing => "the message has bytes after its end",
        };
        f.write_str(text)
    }
}

impl std::error::Error for DecodeError {}

/// Reads a datagram from a caller.
pub fn decode_packet(bytes: &[u8]) -> Result<Packet, DecodeError> {
    decode(bytes, MAX_PACKET_LEN)
}

/// Reads a datagram from an instance.
pub fn decode_reply(bytes: &[u8]) -> Result<Reply, DecodeError> {
    decode(bytes, MAX_PACKET_LEN)
}

/// Reads a frame from another instance.
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, DecodeError> {
    decode(bytes, MAX_FRAME_LEN)
}

/// Writes a datagram for an instance.
pub fn encode_packet(packet: &Packet) -> Vec<u8> {
    encode(packet)
}

/// Writes a datagram for a caller.
pub fn encode_reply(reply: &Reply) -> Vec<u8> {
    encode(reply)
}

/// Writes a frame for another instance.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    encode(frame)
}

fn encode<T: Serialize>(item: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(item, &mut bytes).expect("a vector takes every write, and every message has a CBOR form");
    bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8], max_len: usize) -> Result<T, DecodeError> {
    if bytes.len() > max_len {
        return Err(DecodeError::TooLong);
    }
    let mut rest = bytes;
    let item = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_NESTING_DEPTH)
        .map_err(|error| decode_error(&error))?;
    if !rest.is_empty() {
        return Err(DecodeError::Trailing);
    }
    Ok(item)
}

fn decode_error<E>(error: &ciborium::de::Error<E>) -> DecodeError {
    match error {
        ciborium::de::Error::Io(_) => DecodeError::Truncated,
        _ => DecodeError::Malformed,
    }
}
