//! Puts an answer together from its chunks.

use std::collections::BTreeMap;

use serde_bytes::ByteBuf;
use wire::AnswerHeader;
use wire::CHUNK_LEN;
use wire::Digest;

/// What became of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InsertOutcome {
    /// It was new.
    New,
    /// It had already arrived.
    Duplicate,
    /// It is not of this answer, or was not asked for.
    Unexpected,
}

/// Some chunks in a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ChunkRange {
    pub(crate) first: u32,
    pub(crate) count: u8,
}

/// An answer of which some chunks have arrived.
///
/// Memory grows with what arrives, never with the claimed length: only chunks that were asked
/// for are taken, and never more than a window of them is.
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

    /// Takes a chunk.
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

    /// Whether every chunk has arrived.
    pub(crate) fn is_complete(&self) -> bool {
        self.next == self.head.chunks()
    }

    /// Whether the chunks that have arrived are the answer that the head names.
    pub(crate) fn matches_digest(&self) -> bool {
        self.body.len() == self.head.len as usize && Digest::of(&self.body) == self.head.digest
    }

    pub(crate) fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// The chunks to ask for next, once enough of the window is free to be worth a packet.
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

    /// The chunks that were asked for and have not arrived. Asking for them again halves the window.
    pub(crate) fn request_missing(&mut self) -> Vec<ChunkRange> {
        self.window = (self.window / 2).max(1);
        let mut runs: Vec<ChunkRange> = Vec::new();
        for index in self.next..self.requested {
            if self.out_of_order.contains_key(&index) {
                continue;
            }
            match runs.last_mut() {
                Some(run) if run.first + u32::from(run.count) == index => run.count += 1,
                _ => runs.push(ChunkRange { first: index, count: 1 }),
            }
        }
        runs
    }

    /// A pull was answered without loss: the window grows again.
    pub(crate) fn grow_window(&mut self) {
        self.window = (self.window + 1).min(self.max_window);
    }
}
