//! The protocol in its barest form, and what must hold in every state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Action;
use crate::action::Step;
use crate::ledger::Book;
use crate::scope::Mutation;
use crate::scope::Scope;
use crate::search::Model;
use crate::state::Call;
use crate::state::Instance;
use crate::state::Packet;
use crate::state::Phase;
use crate::state::Reply;
use crate::state::Resolved;
use crate::state::State;
use crate::state::Stop;
use crate::state::Token;
use crate::state::Word;

/// The protocol at a given size.
#[derive(Debug, Clone)]
pub struct Protocol {
    pub(crate) scope: Scope,
}

impl Protocol {
    /// The protocol at this size.
    pub fn new(scope: Scope) -> Self {
        Self { scope }
    }

    pub(crate) fn is_mutated(&self, mutation: Mutation) -> bool {
        self.scope.mutation == mutation
    }

    /// Whether an instance lets requests begin under tokens that name this owner.
    pub(crate) fn owns(&self, instance: &Instance, owner: u8) -> bool {
        let goes_on = self.is_mutated(Mutation::OwnerGoesOn) || !instance.has_handed_over();
        goes_on && instance.owned.contains(&owner)
    }

    /// Whether a reply holds a token that the caller adopts.
    pub(crate) fn adopts(&self, state: &State, reply: Reply) -> bool {
        let Some(token) = reply.granted else {
            return false;
        };
        let covered = token.floor >= state.used || self.is_mutated(Mutation::NoFloor);
        covered && token != state.token
    }

    fn send(&self, state: &mut State) {
        assert!(state.used < self.scope.requests, "the caller counts up to its bound");
        state.used += 1;
        let packet = Packet {
            token: state.token,
            seq: state.used,
            sent: state.used,
        };
        state.packets.insert(packet);
    }

    /// Offers a token in place of one whose owner seems gone.
    fn reissue(&self, home: u8, floor: u8) -> Token {
        let floor = if self.is_mutated(Mutation::NoFloor) { 0 } else { floor };
        Token { owner: home, floor }
    }

    fn orphan(&self, state: &mut State, packet: Packet, home: u8) {
        let floor = packet.sent.max(packet.seq).max(packet.token.floor);
        let word = if self.is_mutated(Mutation::StrangerSaysNotRun) {
            Word::NotRun
        } else {
            Word::MayHaveRun
        };
        state.replies.insert(Reply {
            seq: packet.seq,
            word,
            granted: Some(self.reissue(home, floor)),
        });
    }

    fn call(state: &mut State, at: u8, request: (u8, u8)) {
        let index = state.calls.len() as u8;
        state.calls.push(Call {
            seq: request.1,
            ran: false,
            shed: false,
        });
        let tickets = &mut state.instances[usize::from(at)].tickets;
        tickets.insert(request, Phase::Calling(index));
    }

    fn run(state: &mut State, call: u8) {
        let call = &mut state.calls[usize::from(call)];
        call.ran = true;
        state.runs[usize::from(call.seq)] += 1;
    }

    fn answer(&self, state: &mut State, at: u8, request: (u8, u8), home: Option<u8>) {
        let instance = &state.instances[usize::from(at)];
        let sent = instance.books.get(&request.0).map_or(request.1, Book::sent);
        let granted = home.map(|home| self.reissue(home, sent.max(request.1)));
        self.finish(state, at, request, Word::Answer, granted);
    }

    fn shed(state: &mut State, at: u8, request: (u8, u8)) {
        state.sheds += 1;
        let instance = &mut state.instances[usize::from(at)];
        let Some(Phase::Calling(call)) = instance.tickets.get(&request).copied() else {
            return;
        };
        state.calls[usize::from(call)].shed = true;
        if !instance.has_handed_over() {
            instance.tickets.insert(request, Phase::Waiting);
            return;
        }
        instance.tickets.remove(&request);
        state.frames.insert(crate::state::Frame::Resolved(Resolved {
            at,
            owner: request.0,
            seq: request.1,
            word: None,
        }));
    }

    fn give_up(&self, state: &mut State, at: u8, request: (u8, u8)) {
        let phase = state.instances[usize::from(at)].tickets.get(&request);
        let waiting = phase == Some(&Phase::Waiting) || self.is_mutated(Mutation::DoubtIgnored);
        let word = if waiting { Word::NotRun } else { Word::MayHaveRun };
        self.finish(state, at, request, word, None);
    }

    /// Ends a request: in the ledger, or by word to whoever holds the ledger now.
    fn finish(&self, state: &mut State, at: u8, request: (u8, u8), word: Word, granted: Option<Token>) {
        let (owner, seq) = request;
        state.replies.insert(Reply { seq, word, granted });
        let instance = &mut state.instances[usize::from(at)];
        instance.tickets.remove(&request);
        if instance.has_handed_over() && !self.is_mutated(Mutation::OwnerGoesOn) {
            let word = Some(word);
            let resolved = Resolved { at, owner, seq, word };
            state.frames.insert(crate::state::Frame::Resolved(resolved));
            return;
        }
        if let Some(book) = instance.books.get_mut(&owner) {
            book.end(seq, word);
        }
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Action;

    fn start(&self) -> State {
        let instance = |index| Instance {
            alive: true,
            stop: Stop::Serving,
            owned: BTreeSet::from([index]),
            books: BTreeMap::new(),
            tickets: BTreeMap::new(),
        };
        State {
            token: Token { owner: 0, floor: 0 },
            used: 0,
            packets: BTreeSet::new(),
            replies: BTreeSet::new(),
            frames: BTreeSet::new(),
            instances: (0..self.scope.instances).map(instance).collect(),
            calls: Vec::new(),
            runs: vec![0; usize::from(self.scope.requests) + 1],
            crashes: 0,
            stops: 0,
            sheds: 0,
        }
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        self.steps(state).into_iter().map(Action).collect()
    }

    fn step(&self, state: &State, action: &Action) -> State {
        let mut next = state.clone();
        match &action.0 {
            Step::Send => self.send(&mut next),
            Step::Restamp(seq) => {
                next.packets.insert(Packet {
                    token: next.token,
                    seq: *seq,
                    sent: next.used,
                });
            }
            Step::Receive(reply) => next.token = reply.granted.unwrap_or(next.token),
            Step::Own(at, packet) => self.own(&mut next, *at, *packet),
            Step::Orphan(_, packet, home) => self.orphan(&mut next, *packet, *home),
            Step::Call(at, request) => Self::call(&mut next, *at, *request),
            Step::Run(call) => Self::run(&mut next, *call),
            Step::Answer(at, request, home) => self.answer(&mut next, *at, *request, *home),
            Step::Shed(at, request) => Self::shed(&mut next, *at, *request),
            Step::GiveUp(at, request) => self.give_up(&mut next, *at, *request),
            Step::HandOver(at, to) => self.hand_over(&mut next, *at, *to),
            Step::Deliver(at, frame) => self.deliver(&mut next, *at, frame),
            Step::TakeForDead(at, other) => Self::take_for_dead(&mut next, *at, *other),
            Step::Sink(at) => {
                let books = next.instances[usize::from(*at)].books.values_mut();
                books.for_each(Book::sink);
            }
            Step::Crash(at) => {
                next.crashes += 1;
                next.instances[usize::from(*at)].alive = false;
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<String> {
        for seq in 1..=self.scope.requests {
            let runs = state.runs[usize::from(seq)];
            if runs > 1 {
                return Some(format!("request {seq} ran {runs} times"));
            }
            let said = |word| state.replies.iter().any(|reply| reply.seq == seq && reply.word == word);
            if runs > 0 && said(Word::NotRun) {
                return Some(format!("request {seq} ran, and the caller was told `not run`"));
            }
            if runs == 0 && said(Word::Answer) {
                return Some(format!("request {seq} was answered and never ran"));
            }
        }
        None
    }
}
