//! What an instance does with packets and frames that reach it.

use crate::ledger::Book;
use crate::ledger::Found;
use crate::protocol::Protocol;
use crate::scope::Mutation;
use crate::state::Frame;
use crate::state::Packet;
use crate::state::Phase;
use crate::state::Reply;
use crate::state::Resolved;
use crate::state::State;

impl Protocol {
    /// An owner gets a packet of its flow.
    pub(crate) fn own(&self, state: &mut State, at: u8, packet: Packet) {
        let instance = &mut state.instances[usize::from(at)];
        let owner = packet.token.owner;
        let request = (owner, packet.seq);
        if self.is_mutated(Mutation::NoLedger) {
            instance.tickets.entry(request).or_insert(Phase::Waiting);
            return;
        }
        let mut book = instance.books.remove(&owner);
        let found = Book::look_up(&mut book, packet);
        let mut book = book.unwrap_or_default();
        match found {
            Found::New => {
                book.begin(packet.seq);
                instance.tickets.insert(request, Phase::Waiting);
            }
            Found::InProgress => {}
            Found::Ended(word) => {
                state.replies.insert(Reply {
                    seq: packet.seq,
                    word,
                    granted: None,
                });
            }
        }
        instance.books.insert(owner, book);
    }

    /// An instance gets a frame.
    pub(crate) fn deliver(&self, state: &mut State, at: u8, frame: &Frame) {
        match frame {
            Frame::Handover(handover) => self.take_handover(state, at, handover),
            Frame::Done { to, .. } => Self::acknowledge(state, at, *to),
            Frame::Refused { to, .. } => self.choose_another(state, at, *to),
            Frame::Resolved(resolved) => self.take_resolved(state, at, resolved),
        }
    }

    /// A request that was in progress elsewhere has ended there, or goes on here.
    fn take_resolved(&self, state: &mut State, at: u8, resolved: &Resolved) {
        let instance = &mut state.instances[usize::from(at)];
        if instance.has_handed_over() {
            return;
        }
        let Some(book) = instance.books.get_mut(&resolved.owner) else {
            return;
        };
        let there = book.elsewhere_at(resolved.seq) == Some(resolved.at);
        if !there && !self.is_mutated(Mutation::ResumeUnchecked) {
            return;
        }
        if let Some(word) = resolved.word {
            return book.end(resolved.seq, word);
        }
        if book.resume(resolved.seq) {
            let request = (resolved.owner, resolved.seq);
            instance.tickets.insert(request, Phase::Waiting);
        }
    }

    /// Another instance is taken for dead, rightly or not: what was in progress there is in doubt.
    pub(crate) fn take_for_dead(state: &mut State, at: u8, other: u8) {
        let instance = &mut state.instances[usize::from(at)];
        for book in instance.books.values_mut() {
            for seq in book.elsewhere(other) {
                book.end(seq, crate::state::Word::MayHaveRun);
            }
        }
    }
}
