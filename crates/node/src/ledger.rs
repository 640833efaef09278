//! The ledger of a flow: the owner's record of the flow's requests.
//!
//! A ledger decides whether a request may still start. It is independent of upstreams, packets and other instances.
//! The invariant on which all guarantees rest: a request starts only if [`crate::Ledgers::look_up`] returns
//! [`crate::Lookup::New`], and its entry is kept until its number is at or below the floor, where no request starts.
//! Idempotent requests are included: otherwise a late copy could run after the request was refused as `not run`.

use thin_vec::ThinVec;
use units::FlowId;
use units::Incarnation;
use units::RequestSeq;
use units::Time;
use wire::Answer;
use wire::Reason;
use wire::TicketId;
use wire::Verdict;

/// The maximum number of entries in a ledger. Older entries are evicted and fall below the floor.
const MAX_ENTRIES: usize = 64;
/// Identifies a flow globally by the incarnation in its token and the flow's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The incarnation named in the flow's token.
    pub owner: Incarnation,
    /// The flow.
    pub flow: FlowId,
}

/// The state of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestState {
    /// It waits for a slot or is being called, under this ticket.
    Running(TicketId),
    /// It was in progress at this incarnation when its ledger was handed over.
    RunningElsewhere(Incarnation),
    /// It ran and returned this answer.
    Answered(Box<Answer>),
    /// It ran, but its answer is no longer held.
    AnswerDiscarded,
    /// It was refused with a final verdict.
    Refused(Verdict, Reason),
}

impl RequestState {
    pub(crate) fn is_final(&self) -> bool {
        !matches!(self, Self::Running(_) | Self::RunningElsewhere(_))
    }
}

/// A request's entry in its flow's ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerEntry {
    /// The sequence number of the request.
    pub seq: RequestSeq,
    /// The state of the request.
    pub state: RequestState,
}

/// One flow's ledger.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Ledger {
    /// Requests up to this number have ended or will never run, unless `entries` holds another state.
    pub floor: RequestSeq,
    /// The highest sequence number that the caller is known to have used.
    pub sent: RequestSeq,
    /// When the ledger expires. Every request extends this.
    pub keep_until: Time,
    /// The requests that are tracked individually, in order of arrival.
    pub entries: ThinVec<LedgerEntry>,
}

impl Ledger {
    pub(crate) fn entry(&self, seq: RequestSeq) -> Option<&LedgerEntry> {
        self.entries.iter().find(|entry| entry.seq == seq)
    }

    /// Makes room for one more entry by evicting the ended one with the lowest number. Returns whether there is room.
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
