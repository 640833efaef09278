//! What an owner knows of the requests of its flows.
//!
//! A ledger decides whether a request may still begin. It knows nothing of upstreams, packets or other instances.
//! The rule that all else rests on: a request begins only when [`crate::Ledgers::look_up`] says [`crate::Lookup::New`], and its
//! line stays until its number lies at or below the floor, where nothing begins. This holds for idempotent requests
//! too: were they left out, a late copy could run after its refusal had said `not run`.

use thin_vec::ThinVec;
use units::FlowId;
use units::Incarnation;
use units::RequestSeq;
use units::Time;
use wire::Answer;
use wire::Reason;
use wire::TicketId;
use wire::Verdict;

/// The most requests of one flow that a ledger tells apart. Older ones sink below the floor.
const MAX_ENTRIES: usize = 64;
/// Names a flow everywhere: the incarnation in its token, and the flow's own number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The incarnation that the flow's token names.
    pub owner: Incarnation,
    /// The flow.
    pub flow: FlowId,
}

/// How a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestState {
    /// It waits for a slot or runs, under this ticket.
    Running(TicketId),
    /// It was in progress at this incarnation when that one handed it over.
    RunningElsewhere(Incarnation),
    /// It ran, and this is its answer.
    Answered(Box<Answer>),
    /// It ran, and its answer is no longer held.
    AnswerDiscarded,
    /// It was refused for good.
    Refused(Verdict, Reason),
}

impl RequestState {
    pub(crate) fn is_final(&self) -> bool {
        !matches!(self, Self::Running(_) | Self::RunningElsewhere(_))
    }
}

/// A request's line in its flow's ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerEntry {
    /// The request.
    pub seq: RequestSeq,
    /// How it stands.
    pub state: RequestState,
}

/// One flow's ledger.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Ledger {
    /// Requests up to this number have ended or will never run, unless `entries` tells otherwise.
    pub floor: RequestSeq,
    /// The highest number that the caller is known to have used.
    pub sent: RequestSeq,
    /// Until when the ledger is kept. Every request moves this on.
    pub keep_until: Time,
    /// The requests known one by one, in the order in which they came.
    pub entries: ThinVec<LedgerEntry>,
}

impl Ledger {
    pub(crate) fn entry(&self, seq: RequestSeq) -> Option<&LedgerEntry> {
        self.entries.iter().find(|entry| entry.seq == seq)
    }

    /// Makes room for one more line by letting the oldest ended one sink below the floor.
    pub(crate) fn make_room(&mut self) -> bool {
        if self.entries.len() < MAX_ENTRIES {
            return true;
        }
        let ended = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.state.is_final());
        let Some((index, _)) = ended.min_by_key(|(_, entry)| entry.seq) else {
            return false;
        };
        self.evict(index);
        true
    }

    pub(crate) fn evict(&mut self, index: usize) {
        let entry = self.entries.remove(index);
        self.floor = self.floor.max(entry.seq);
    }
}
