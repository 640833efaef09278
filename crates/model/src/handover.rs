//! The planned stop, on both sides.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ledger::Book;
use crate::protocol::Protocol;
use crate::scope::Mutation;
use crate::state::Frame;
use crate::state::Handover;
use crate::state::Phase;
use crate::state::State;
use crate::state::Stop;

impl Protocol {
    /// An instance sends all its ledgers, and the requests that wait, to another. From here on it begins nothing.
    pub(crate) fn hand_over(&self, state: &mut State, at: u8, to: u8) {
        state.stops += 1;
        let instance = &mut state.instances[usize::from(at)];
        let waiting = |(request, phase): (&(u8, u8), &Phase)| (*phase == Phase::Waiting).then_some(*request);
        let queued: BTreeSet<(u8, u8)> = instance.tickets.iter().filter_map(waiting).collect();
        let goes_on = self.is_mutated(Mutation::OwnerGoesOn);
        if !goes_on {
            instance.tickets.retain(|request, _| !queued.contains(request));
        }
        let handed = |(owner, book): (&u8, &Book)| (*owner, book.handed_over(at));
        let books: BTreeMap<u8, Book> = instance.books.iter().map(handed).collect();
        if !goes_on {
            instance.books.clear();
        }
        instance.stop = Stop::HandedOver {
            to,
            acknowledged: false,
        };
        state.frames.insert(Frame::Handover(Handover {
            from: at,
            to,
            owned: instance.owned.clone(),
            books,
            queued,
        }));
    }

    /// The chosen successor gets the ledgers.
    pub(crate) fn take_handover(&self, state: &mut State, at: u8, handover: &Handover) {
        let from = handover.from;
        let instance = &mut state.instances[usize::from(at)];
        if instance.owned.contains(&from) {
            state.frames.insert(Frame::Done { from, to: at });
            return;
        }
        if instance.has_handed_over() {
            state.frames.insert(Frame::Refused { from, to: at });
            if !self.is_mutated(Mutation::RefusalBroken) {
                return;
            }
            instance.stop = Stop::Serving;
        }
        instance.owned.extend(&handover.owned);
        for (owner, book) in &handover.books {
            instance.books.entry(*owner).or_insert_with(|| book.clone());
        }
        for request in &handover.queued {
            let book = instance.books.get_mut(&request.0);
            if book.is_some_and(|book| book.resume(request.1)) {
                instance.tickets.insert(*request, Phase::Waiting);
            }
        }
        state.frames.insert(Frame::Done { from, to: at });
    }

    /// The successor has taken over.
    pub(crate) fn acknowledge(state: &mut State, at: u8, by: u8) {
        let instance = &mut state.instances[usize::from(at)];
        if let Stop::HandedOver { to, acknowledged } = &mut instance.stop
            && *to == by
        {
            *acknowledged = true;
        }
    }

    /// The chosen successor has taken nothing and never will, so another one may.
    pub(crate) fn choose_another(&self, state: &mut State, at: u8, by: u8) {
        let instance = &mut state.instances[usize::from(at)];
        let chosen = Stop::HandedOver {
            to: by,
            acknowledged: false,
        };
        if instance.stop != chosen {
            return;
        }
        let sent = state.frames.iter().find_map(|frame| match frame {
            Frame::Handover(handover) if handover.from == at && handover.to == by => Some(handover.clone()),
            _ => None,
        });
        let others = (0..self.scope.instances).filter(|other| *other != at && *other != by);
        let untried = |other: &u8| {
            !state
                .frames
                .iter()
                .any(|frame| matches!(frame, Frame::Handover(handover) if handover.from == at && handover.to == *other))
        };
        let (Some(sent), Some(to)) = (sent, others.into_iter().find(untried)) else {
            return;
        };
        let acknowledged = false;
        instance.stop = Stop::HandedOver { to, acknowledged };
        state.frames.insert(Frame::Handover(Handover { to, ..sent }));
    }
}
