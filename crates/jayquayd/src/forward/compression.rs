//! Compression of messages between instances.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Compresses with zlib, optimized for speed over size.
pub(crate) fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.expect("writing to a vector cannot fail")
}

/// Decompresses. `None` if the input is invalid or expands to more than `max_len` bytes.
pub(crate) fn expand(bytes: &[u8], max_len: usize) -> Option<Vec<u8>> {
    let mut expanded = Vec::new();
    let limit = max_len as u64 + 1;
    ZlibDecoder::new(bytes).take(limit).read_to_end(&mut expanded).ok()?;
    (expanded.len() <= max_len).then_some(expanded)
}
