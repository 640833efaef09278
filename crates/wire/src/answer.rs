//! Upstream answers, split into chunks that fit into a datagram.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

/// Maximum number of answer bytes in one packet. Leaves room in the datagram for the largest token.
pub const CHUNK_LEN: usize = 800;

/// A BLAKE3 hash truncated to its first 16 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(#[serde(with = "serde_bytes")] pub [u8; 16]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let hash = blake3::hash(bytes);
        let mut short = [0; 16];
        short.copy_from_slice(&hash.as_bytes()[..16]);
        Self(short)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Length and digest of an answer, which a caller uses to reassemble and verify it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHeader {
    /// Length of the complete answer in bytes.
    pub len: u32,
    /// Digest of the complete answer.
    pub digest: Digest,
}

impl AnswerHeader {
    /// Number of chunks in the answer. An empty answer still has one.
    pub fn chunks(self) -> u32 {
        self.len.div_ceil(CHUNK_LEN as u32).max(1)
    }
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Length and digest of the body.
    pub head: AnswerHeader,
    /// The body of the answer.
    pub body: ByteBuf,
}

impl Answer {
    /// Creates an answer and computes the length and digest of `body`.
    pub fn new(body: Vec<u8>) -> Self {
        let len = u32::try_from(body.len()).unwrap_or(u32::MAX);
        let head = AnswerHeader {
            len,
            digest: Digest::of(&body),
        };
        Self {
            head,
            body: ByteBuf::from(body),
        }
    }

    /// Returns the chunk at `index`, or `None` if the index is out of range.
    pub fn chunk(&self, index: u32) -> Option<&[u8]> {
        if index >= self.head.chunks() {
            return None;
        }
        let start = index as usize * CHUNK_LEN;
        let end = self.body.len().min(start + CHUNK_LEN);
        self.body.get(start..end)
    }
}
