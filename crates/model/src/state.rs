//! The state of the explored system.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wire::Verdict;

use crate::ledger::Book;

/// A flow token: the instance that owns the flow, and the numbers that never begin under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Token {
    pub(crate) owner: u8,
    pub(crate) floor: u8,
}

/// A request on its way. Retransmissions are the same bytes, so they are the same packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Packet {
    pub(crate) token: Token,
    pub(crate) seq: u8,
    pub(crate) sent: u8,
}

/// What the caller is told of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Word {
    Answer,
    NotRun,
    MayHaveRun,
}

impl From<Verdict> for Word {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => Self::NotRun,
            Verdict::MayHaveRun => Self::MayHaveRun,
        }
    }
}

/// A final reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Reply {
    pub(crate) seq: u8,
    pub(crate) word: Word,
    pub(crate) granted: Option<Token>,
}

/// A frame between instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Frame {
    /// The ledgers of `from`, for `to`.
    Handover(Handover),
    /// `to` has taken over.
    Done { from: u8, to: u8 },
    /// `to` has not taken over and never will.
    Refused { from: u8, to: u8 },
    /// A request that was in progress at `at` has ended, or goes on elsewhere.
    Resolved(Resolved),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Handover {
    pub(crate) from: u8,
    pub(crate) to: u8,
    pub(crate) owned: BTreeSet<u8>,
    pub(crate) books: BTreeMap<u8, Book>,
    /// The requests that wait, by owner in the token and number.
    pub(crate) queued: BTreeSet<(u8, u8)>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Resolved {
    pub(crate) at: u8,
    pub(crate) owner: u8,
    pub(crate) seq: u8,
    /// The end, or `None` for a request that has not run and waits for a slot.
    pub(crate) word: Option<Word>,
}

/// A request in progress at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Phase {
    Waiting,
    /// Call by its index.
    Calling(u8),
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Stop {
    Serving,
    HandedOver { to: u8, acknowledged: bool },
}

/// An instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Instance {
    pub(crate) alive: bool,
    pub(crate) stop: Stop,
    /// The incarnations whose flows it owns.
    pub(crate) owned: BTreeSet<u8>,
    /// The flow's ledgers, by the owner that the token names.
    pub(crate) books: BTreeMap<u8, Book>,
    pub(crate) tickets: BTreeMap<(u8, u8), Phase>,
}

impl Instance {
    pub(crate) fn has_handed_over(&self) -> bool {
        self.stop != Stop::Serving
    }
}

/// A call at an upstream. It may run as long as it has not run and was not turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Call {
    pub(crate) seq: u8,
    pub(crate) ran: bool,
    pub(crate) shed: bool,
}

/// The state of the explored system.
///
/// Whatever was sent stays, and can be delivered any number of times, at any time, or never. So loss, doubling and
/// reordering need no steps of their own.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub(crate) token: Token,
    /// The highest number that the caller has used.
    pub(crate) used: u8,
    pub(crate) packets: BTreeSet<Packet>,
    pub(crate) replies: BTreeSet<Reply>,
    pub(crate) frames: BTreeSet<Frame>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) calls: Vec<Call>,
    /// How often each request has run.
    pub(crate) runs: Vec<u8>,
    pub(crate) crashes: u8,
    pub(crate) stops: u8,
    pub(crate) sheds: u8,
}
