//! What an instance gives to another that asks for news: the document and the upstreams that changed, in CBOR.

use flow::Change;

/// The path that other instances ask, with GET.
pub(crate) const PATH: &str = "/v1/changes";

/// The longest change that is read from another instance, in bytes.
pub(crate) const MAX_CHANGE_LEN: usize = 8 * 1_024 * 1_024;

/// A change with a digest over it, so that one that was damaged on its way is not taken in.
pub(crate) fn encode(change: &Change) -> Vec<u8> {
    let mut bytes = vec![0; blake3::OUT_LEN];
    ciborium::into_writer(change, &mut bytes).expect("a vector takes every write, and a change has a CBOR form");
    let digest = blake3::hash(&bytes[blake3::OUT_LEN..]);
    bytes[..blake3::OUT_LEN].copy_from_slice(digest.as_bytes());
    bytes
}

/// Reads a change. `None` if it is damaged or malformed.
pub(crate) fn decode(bytes: &[u8]) -> Option<Change> {
    let (digest, item) = bytes.split_first_chunk::<{ blake3::OUT_LEN }>()?;
    if blake3::hash(item) != *digest {
        return None;
    }
    ciborium::from_reader(item).ok()
}
