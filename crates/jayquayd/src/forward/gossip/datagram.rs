//! Messages as datagrams: CBOR, compressed where that saves much and the receiver reads it.
//!
//! Lists of members are the longest messages, and most of each record stands in the next one too: names, zones, addresses.

use ciborium::de;

use super::Message;
use crate::forward::compression;

/// From how many bytes on a message is compressed. Below, the head and the time are not worth it.
const COMPRESSED_FROM: usize = 512;
/// The longest message that a compressed datagram may hold.
const MAX_LEN: usize = 262_144;
/// How deeply a message may nest.
const MAX_DEPTH: usize = 16;
/// What a compressed datagram begins with. A message in CBOR begins with the head of a map.
const COMPRESSED: u8 = 0x78;

/// Reads a datagram. `None` if it holds no message.
pub(super) fn read(bytes: &[u8]) -> Option<Message> {
    if bytes.first() == Some(&COMPRESSED) {
        return parse(&compression::expand(bytes, MAX_LEN)?);
    }
    parse(bytes)
}

fn parse(bytes: &[u8]) -> Option<Message> {
    de::from_reader_with_recursion_limit(bytes, MAX_DEPTH).ok()
}

/// Writes a message for a receiver that may read compressed ones.
pub(super) fn write(message: &Message, is_read_compressed: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes).expect("a vector takes every write, and a message has a CBOR form");
    if !is_read_compressed || bytes.len() < COMPRESSED_FROM {
        return bytes;
    }
    compression::compress(&bytes)
}
