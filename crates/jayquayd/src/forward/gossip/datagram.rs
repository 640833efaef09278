//! Encoding of messages as datagrams: CBOR, compressed where that saves much and the receiver supports it.
//!
//! Lists of members are the longest messages, and compress well, since most of each record (names, zones, addresses)
//! recurs in the next one.

use ciborium::de;

use super::Message;
use crate::forward::compression;

/// Minimum length of a message to compress, in bytes. Below it, the savings are not worth the header and the CPU time.
const MIN_COMPRESSED_LEN: usize = 512;
/// Maximum length of a decompressed message.
const MAX_MESSAGE_LEN: usize = 262_144;
/// Maximum nesting depth of a message.
const MAX_DEPTH: usize = 16;
/// First byte of a compressed datagram. An uncompressed message begins with the head of a CBOR map.
const COMPRESSED_FIRST_BYTE: u8 = 0x78;

/// Decodes a datagram. `None` if it holds no valid message.
pub(super) fn decode(bytes: &[u8]) -> Option<Message> {
    if bytes.first() == Some(&COMPRESSED_FIRST_BYTE) {
        return decode_cbor(&compression::expand(bytes, MAX_MESSAGE_LEN)?);
    }
    decode_cbor(bytes)
}

fn decode_cbor(bytes: &[u8]) -> Option<Message> {
    de::from_reader_with_recursion_limit(bytes, MAX_DEPTH).ok()
}

/// Encodes a message for a receiver that may support compression.
pub(super) fn encode(message: &Message, may_compress: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes)
        .expect("writing to a vector cannot fail, and a message is serializable as CBOR");
    if !may_compress || bytes.len() < MIN_COMPRESSED_LEN {
        return bytes;
    }
    compression::compress(&bytes)
}
