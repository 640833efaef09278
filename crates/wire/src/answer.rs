//! Answers of upstreams, cut into chunks that fit a datagram.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

/// How many bytes of an answer one packet carries at most. It leaves room for the largest token beside it.
pub const CHUNK_LEN: usize = 800;

/// The first 16 bytes of a BLAKE3 hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(#[serde(with = "serde_bytes")] pub [u8; 16]);

impl Digest {
    /// The digest of `bytes`.
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

/// What a caller needs to put an answer together and to check it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHeader {
    /// The whole answer's length in bytes.
    pub len: u32,
    /// The whole answer's digest.
    pub digest: Digest,
}

impl AnswerHeader {
    /// How many chunks the answer has, at least one.
    pub fn chunks(self) -> u32 {
        self.len.div_ceil(CHUNK_LEN as u32).max(1)
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Length and digest of the body.
    pub head: AnswerHeader,
    /// The body.
    pub body: ByteBuf,
}

impl Answer {
    /// An answer with this body.
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

    /// The chunk with this number, if the answer has it.
    pub fn chunk(&self, index: u32) -> Option<&[u8]> {
        if index >= self.head.chunks() {
            return None;
        }
        let start = index as usize * CHUNK_LEN;
        let end = self.body.len().min(start + CHUNK_LEN);
        self.body.get(start..end)
    }
}
