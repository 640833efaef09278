//! Ledgers in the form in which they are handed over.

use std::collections::BTreeMap;

use units::Incarnation;
use units::Millis;
use units::Time;
use wire::Body;
use wire::Entry;
use wire::HandoverFlow;
use wire::TicketId;

use crate::FlowKey;
use crate::Ledger;
use crate::State;
use crate::ticket::Ticket;

/// About how many bytes of ledgers go into one frame.
const PART_BYTES: usize = 128 * 1_024;

/// A waiting request, as it is handed over.
pub(crate) fn body_of(ticket: Ticket, now: Time) -> Body {
    let remaining = Millis::from(now.until(ticket.deadline));
    Body {
        caller: ticket.caller,
        zone: ticket.zone,
        in_doubt: ticket.in_doubt,
        avoid: ticket.avoid,
        request: ticket.request,
        remaining,
    }
}

/// Writes a ledger for the hand-over. `bodies` are the requests that wait, `me` is where the others run.
pub(crate) fn pack(
    key: FlowKey,
    ledger: Ledger,
    bodies: &mut BTreeMap<TicketId, Body>,
    me: Incarnation,
) -> HandoverFlow {
    let mut entries = Vec::new();
    for line in ledger.lines {
        let entry = match line.state {
            State::Running(ticket) => bodies.remove(&ticket).map_or(Entry::Running(me), Entry::Queued),
            State::Elsewhere(incarnation) => Entry::Running(incarnation),
            State::Answered(answer) => Entry::Answered(*answer),
            State::Forgotten => Entry::Forgotten,
            State::Refused(verdict, reason) => Entry::Refused(verdict, reason),
        };
        entries.push((line.seq, entry));
    }
    HandoverFlow {
        owner: key.owner,
        flow: key.flow,
        floor: ledger.floor,
        sent: ledger.sent,
        entries,
    }
}

/// Cuts ledgers into parts of about [`PART_BYTES`]. There is always at least one.
pub(crate) fn split(flows: &[HandoverFlow]) -> Vec<&[HandoverFlow]> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut size = 0;
    for (index, flow) in flows.iter().enumerate() {
        size += size_of_flow(flow);
        if size < PART_BYTES {
            continue;
        }
        parts.push(&flows[start..=index]);
        start = index + 1;
        size = 0;
    }
    if start < flows.len() || parts.is_empty() {
        parts.push(&flows[start..]);
    }
    parts
}

fn size_of_flow(flow: &HandoverFlow) -> usize {
    let mut size = 64;
    for (_, entry) in &flow.entries {
        size += match entry {
            Entry::Queued(body) => 256 + body.request.body.len(),
            Entry::Answered(answer) => 64 + answer.body.len(),
            Entry::Running(_) | Entry::Forgotten | Entry::Refused(..) => 16,
        };
    }
    size
}
