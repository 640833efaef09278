//! CBOR encoding and decoding of packets, replies and frames.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Frame;
use crate::Packet;
use crate::Reply;

/// Maximum length of a datagram to or from a caller, in bytes.
pub const MAX_PACKET_LEN: usize = 1_200;

/// Maximum length of a frame between instances, in bytes.
pub const MAX_FRAME_LEN: usize = 4 * 1_024 * 1_024;

/// Maximum nesting depth of CBOR items in a message.
const MAX_NESTING_DEPTH: usize = 16;

/// An error while decoding a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DecodeError {
    /// The input exceeds the maximum length for this type of message.
    TooLong,
    /// The input ends before the message is complete.
    Truncated,
    /// The input is not valid CBOR, or does not match the expected type.
    Malformed,
    /// The input continues after the end of the message.
    Trailing,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::TooLong => "the message exceeds the maximum length",
            Self::Truncated => "the message is truncated",
            Self::Malformed => "the message is not valid CBOR of the expected type",
            Self::Trailing => "unexpected bytes after the end of the message",
        };
        f.write_str(text)
    }
}

impl std::error::Error for DecodeError {}

/// Decodes a datagram sent by a caller.
pub fn decode_packet(bytes: &[u8]) -> Result<Packet, DecodeError> {
    decode(bytes, MAX_PACKET_LEN)
}

/// Decodes a datagram sent by an instance to a caller.
pub fn decode_reply(bytes: &[u8]) -> Result<Reply, DecodeError> {
    decode(bytes, MAX_PACKET_LEN)
}

/// Decodes a frame sent by another instance.
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, DecodeError> {
    decode(bytes, MAX_FRAME_LEN)
}

/// Encodes a datagram to be sent to an instance.
pub fn encode_packet(packet: &Packet) -> Vec<u8> {
    encode(packet)
}

/// Encodes a datagram to be sent to a caller.
pub fn encode_reply(reply: &Reply) -> Vec<u8> {
    encode(reply)
}

/// Encodes a frame to be sent to another instance.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    encode(frame)
}

fn encode<T: Serialize>(item: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(item, &mut bytes)
        .expect("writing to a Vec cannot fail, and every message type can be encoded as CBOR");
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
