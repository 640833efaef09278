//! Reassembles an answer from its chunks.

use std::collections::BTreeMap;

use serde_bytes::ByteBuf;
use wire::AnswerHeader;
use wire::CHUNK_LEN;
use wire::Digest;

/// The result of inserting a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InsertOutcome {
    /// The chunk was new and has been stored.
    New,
    /// The chunk had already been received.
    Duplicate,
    /// The chunk does not belong to this answer, or was not requested.
    Unexpected,
}

/// A range of consecutive chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ChunkRange {
    pub(crate) first: u32,
    pub(crate) count: u8,
}

/// A partially received answer.
///
/// Memory use is bounded by the data received, not by the length that the header claims: only requested chunks
/// are stored, and at most one window of chunks is requested at a time.
#[derive(Debug)]
pub(crate) struct Assembly {
    pub(crate) head: AnswerHeader,
    body: Vec<u8>,
    out_of_order: BTreeMap<u32, ByteBuf>,
    next: u32,
    requested: u32,
    window: u32,
    max_window: u32,
}

impl Assembly {
    pub(crate) fn new(head: AnswerHeader, window: u8) -> Self {
        let window = u32::from(window.clamp(1, wire::Pull::MAX_COUNT));
        Self {
            head,
            body: Vec::new(),
            out_of_order: BTreeMap::new(),
            next: 0,
            requested: 1,
            window,
            max_window: window,
        }
    }

    /// Stores a requested chunk.
    pub(crate) fn insert(&mut self, index: u32, data: ByteBuf) -> InsertOutcome {
        if index >= self.head.chunks() || data.len() != self.len_of(index) {
            return InsertOutcome::Unexpected;
        }
        if index < self.next || self.out_of_order.contains_key(&index) {
            return InsertOutcome::Duplicate;
        }
        if index >= self.requested {
            return InsertOutcome::Unexpected;
        }
        self.out_of_order.insert(index, data);
        while let Some(data) = self.out_of_order.remove(&self.next) {
            self.body.extend_from_slice(&data);
            self.next += 1;
        }
        InsertOutcome::New
    }

    fn len_of(&self, index: u32) -> usize {
        let start = index as usize * CHUNK_LEN;
        CHUNK_LEN.min((self.head.len as usize).saturating_sub(start))
    }

    /// Whether all chunks have been received.
    pub(crate) fn is_complete(&self) -> bool {
        self.next == self.head.chunks()
    }

    /// Whether the body has the length and the digest of the header.
    pub(crate) fn matches_digest(&self) -> bool {
        self.body.len() == self.head.len as usize && Digest::of(&self.body) == self.head.digest
    }

    pub(crate) fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Returns the next chunks to request, once at least half of the window is free, or the last chunks fit in it.
    /// A smaller range is not worth a packet.
    pub(crate) fn request_next(&mut self) -> Option<ChunkRange> {
        let chunks = self.head.chunks();
        let limit = self.next.saturating_add(self.window).min(chunks);
        let free = limit.saturating_sub(self.requested);
        if free == 0 || (limit < chunks && free < self.window.div_ceil(2)) {
            return None;
        }
        let first = self.requested;
        self.requested = limit;
        Some(ChunkRange {
            first,
            count: free as u8,
        })
    }

    /// Returns the requested chunks that are still missing, and halves the window.
    pub(crate) fn request_missing(&mut self) -> Vec<ChunkRange> {
        self.window = (self.window / 2).max(1);
        let mut ranges: Vec<ChunkRange> = Vec::new();
        for index in self.next..self.requested {
            if self.out_of_order.contains_key(&index) {
                continue;
            }
            match ranges.last_mut() {
                Some(range) if range.first + u32::from(range.count) == index => range.count += 1,
                _ => ranges.push(ChunkRange { first: index, count: 1 }),
            }
        }
        ranges
    }

    /// Grows the window by one after a chunk arrived.
    pub(crate) fn grow_window(&mut self) {
        self.window = (self.window + 1).min(self.max_window);
    }
}
