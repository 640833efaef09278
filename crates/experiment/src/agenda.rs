//! What happens next in the model.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use balance::Report;
use units::Time;
use wire::Outcome;

use crate::job::Ticket;
use crate::traffic::Arrival;

/// Something that happens in the model.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    /// A request reaches an instance.
    Arrive(Arrival),
    /// An attempt reaches the instance that decides.
    Ask(Ticket),
    /// A call reaches an upstream.
    Reach(Ticket, usize),
    /// An upstream is done with a call.
    Finish(Ticket, usize, Outcome),
    /// The end of a call reaches the instance that decided.
    Settle(Ticket, usize, Outcome),
    /// Upstreams are asked for their reports.
    Poll,
    /// A report comes, or none.
    Report(usize, Option<Report>),
    /// Policies are told that time has passed.
    Tick,
    /// A window in which loads are compared ends.
    Window,
    /// The second home ends.
    Merge,
    /// A refused caller comes back.
    Return(u32),
}

#[derive(Debug)]
struct Due {
    at: Time,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// All that is to happen, in order of time and then of entry.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    due: BinaryHeap<Reverse<Due>>,
    order: u64,
}

impl Agenda {
    pub(crate) fn push(&mut self, at: Time, event: Event) {
        self.order += 1;
        let order = self.order;
        self.due.push(Reverse(Due { at, order, event }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Time, Event)> {
        let Reverse(due) = self.due.pop()?;
        Some((due.at, due.event))
    }
}
