//! The node's own ledger of the one flow, in a form that can be copied, compared and hashed.
//!
//! Every question and every entry goes through [`node::Ledgers`]; nothing of its rules is written here again.

use std::cmp::Ordering;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use node::FlowKey;
use node::Ledger;
use node::Ledgers;
use node::Lookup;
use units::Bytes;
use units::FlowId;
use units::Incarnation;
use units::RequestSeq;
use units::Time;
use wire::Answer;
use wire::Reason;
use wire::TicketId;
use wire::Verdict;

use crate::state::Packet;
use crate::state::Word;

const FLOW: FlowId = FlowId(1);
/// Ledgers are never dropped, since no token is too old here.
const KEEP_FLOWS: Duration = Duration::from_hours(24);
const KEEP_ANSWERS: Duration = Duration::from_secs(30);
const MAX_ANSWERS: Bytes = Bytes(1_000_000);
const NOW: Time = Time(1);

/// What a ledger says of a request that has just come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Found {
    New,
    InProgress,
    Ended(Word),
}

/// The ledger of the flow under one owner's tokens.
#[derive(Debug, Default, Clone)]
pub(crate) struct Book(Ledger);

impl Book {
    /// What is written, in a form that has an order. An answer's text follows from its request's number.
    fn lines(&self) -> impl Iterator<Item = (u64, u8, u64)> {
        let lines = self.0.entries.iter();
        lines.map(|line| {
            let (code, at) = code(&line.state);
            (line.seq.0, code, at)
        })
    }

    fn ledgers(&self) -> Ledgers {
        let mut ledgers = Ledgers::new(KEEP_FLOWS, KEEP_ANSWERS);
        ledgers.install(KEY, self.0.clone(), NOW);
        ledgers
    }

    fn take(&mut self, ledgers: &Ledgers) {
        if let Some(ledger) = ledgers.get(KEY) {
            self.0 = ledger.clone();
        }
    }

    /// Notes that a request has come and tells how it stands. `book` is made by the first one.
    pub(crate) fn look_up(book: &mut Option<Self>, packet: Packet) -> Found {
        let mut ledgers = match book {
            Some(book) => book.ledgers(),
            None => Ledgers::new(KEEP_FLOWS, KEEP_ANSWERS),
        };
        let floor = seq(packet.token.floor);
        let found = match ledgers.look_up(KEY, floor, seq(packet.seq), seq(packet.sent), NOW) {
            Lookup::New => Found::New,
            Lookup::TooOld | Lookup::Full => Found::Ended(Word::MayHaveRun),
            Lookup::Known(state) => found(state),
        };
        book.get_or_insert_default().take(&ledgers);
        found
    }

    pub(crate) fn begin(&mut self, number: u8) {
        let mut ledgers = self.ledgers();
        ledgers.begin(KEY, seq(number), TicketId(number.into()));
        self.take(&ledgers);
    }

    pub(crate) fn end(&mut self, number: u8, word: Word) {
        let state = match word {
            Word::Answer => node::RequestState::Answered(Box::new(Answer::new(vec![number]))),
            Word::NotRun => node::RequestState::Refused(Verdict::NotRun, Reason::Deadline),
            Word::MayHaveRun => node::RequestState::Refused(Verdict::MayHaveRun, Reason::Deadline),
        };
        let mut ledgers = self.ledgers();
        ledgers.end(KEY, seq(number), state, NOW);
        self.take(&ledgers);
    }

    /// Lets a request begin that was in progress elsewhere; tells whether it may.
    pub(crate) fn resume(&mut self, number: u8) -> bool {
        let mut ledgers = self.ledgers();
        let may = ledgers.resume(KEY, seq(number), TicketId(number.into()));
        self.take(&ledgers);
        may
    }

    /// The instance at which a request is in progress, if the ledger says that it is another one.
    pub(crate) fn elsewhere_at(&self, number: u8) -> Option<u8> {
        let at = self.ledgers().running_elsewhere_at(KEY, seq(number));
        at.map(|incarnation| incarnation.0 as u8)
    }

    /// The requests that are in progress at an instance.
    pub(crate) fn elsewhere(&self, at: u8) -> Vec<u8> {
        let found = self.ledgers().requests_running_at(Incarnation(at.into()));
        found.into_iter().map(|(_, seq)| seq.0 as u8).collect()
    }

    /// The ledger as it is handed over: what is in progress here is in progress at `from`.
    pub(crate) fn handed_over(&self, from: u8) -> Self {
        let mut ledger = self.0.clone();
        for line in &mut ledger.entries {
            if matches!(line.state, node::RequestState::Running(_)) {
                line.state = node::RequestState::RunningElsewhere(Incarnation(from.into()));
            }
        }
        Self(ledger)
    }

    /// Lets the lines sink whose answers were kept long enough.
    pub(crate) fn sink(&mut self) {
        let mut ledgers = self.ledgers();
        ledgers.expire(NOW + KEEP_ANSWERS, MAX_ANSWERS.0);
        self.take(&ledgers);
    }

    /// The highest number that the caller is known to have used.
    pub(crate) fn sent(&self) -> u8 {
        self.0.sent.0 as u8
    }
}

const KEY: FlowKey = FlowKey {
    owner: Incarnation(0),
    flow: FLOW,
};

fn seq(number: u8) -> RequestSeq {
    RequestSeq(number.into())
}

fn found(state: &node::RequestState) -> Found {
    match state {
        node::RequestState::Running(_) | node::RequestState::RunningElsewhere(_) => Found::InProgress,
        node::RequestState::Answered(_) => Found::Ended(Word::Answer),
        node::RequestState::AnswerDiscarded => Found::Ended(Word::MayHaveRun),
        node::RequestState::Refused(verdict, _) => Found::Ended((*verdict).into()),
    }
}

fn code(state: &node::RequestState) -> (u8, u64) {
    match state {
        node::RequestState::Running(ticket) => (0, ticket.0),
        node::RequestState::RunningElsewhere(incarnation) => (1, incarnation.0),
        node::RequestState::Answered(_) => (2, 0),
        node::RequestState::AnswerDiscarded => (3, 0),
        node::RequestState::Refused(Verdict::NotRun, _) => (4, 0),
        node::RequestState::Refused(Verdict::MayHaveRun, _) => (5, 0),
    }
}

impl Hash for Book {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.0.floor, self.0.sent).hash(hasher);
        self.lines().for_each(|line| line.hash(hasher));
        self.0.entries.len().hash(hasher);
    }
}

impl PartialOrd for Book {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Book {
    fn cmp(&self, other: &Self) -> Ordering {
        let heads = (self.0.floor, self.0.sent).cmp(&(other.0.floor, other.0.sent));
        heads.then_with(|| self.lines().cmp(other.lines()))
    }
}

impl PartialEq for Book {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Book {}
