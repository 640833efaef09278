//! Ledgers in the form in which they are handed over.

use std::collections::BTreeMap;

use units::Incarnation;
use units::Millis;
use units::Time;
use wire::HandoverFlow;
use wire::QueuedRequest;
use wire::RequestRecord;
use wire::TicketId;

use crate::FlowKey;
use crate::Ledger;
use crate::State;
use crate::ticket::Ticket;

/// About how many bytes of ledgers go into one frame: few enough frames for a session's queue, even with long answers.
const PART_BYTES: usize = 1_024 * 1_024;
/// About what a flow takes besides its entries.
const FLOW_BYTES: usize = 64;
/// About what a waiting request takes besides its body.
const REQUEST_BYTES: usize = 640;
/// About what an answer takes besides its body.
const ANSWER_BYTES: usize = 64;
/// About what any other entry takes.
const LINE_BYTES: usize = 32;

/// A waiting request, as it is handed over.
pub(crate) fn body_of(ticket: Ticket, now: Time) -> QueuedRequest {
    let remaining = Millis::from(now.until(ticket.deadline));
    QueuedRequest {
        caller: ticket.caller,
        zone: ticket.zone,
        in_doubt: ticket.in_doubt,
        avoid: ticket.avoid,
        request: ticket.request,
        remaining,
    }
}

/// Writes a ledger for the hand-over, in several pieces if it holds long answers. `bodies` are the requests that
/// wait, `me` is where the others run.
pub(crate) fn pack(
    key: FlowKey,
    ledger: Ledger,
    bodies: &mut BTreeMap<TicketId, QueuedRequest>,
    me: Incarnation,
) -> Vec<HandoverFlow> {
    let empty = HandoverFlow {
        owner: key.owner,
        flow: key.flow,
        floor: ledger.floor,
        sent: ledger.sent,
        entries: Vec::new(),
    };
    let mut pieces = vec![empty.clone()];
    let mut size = 0;
    for line in ledger.lines {
        let entry = match line.state {
            State::Running(ticket) => bodies
                .remove(&ticket)
                .map_or(RequestRecord::Running(me), RequestRecord::Queued),
            State::Elsewhere(incarnation) => RequestRecord::Running(incarnation),
            State::Answered(answer) => RequestRecord::Answered(*answer),
            State::Forgotten => RequestRecord::Forgotten,
            State::Refused(verdict, reason) => RequestRecord::Refused(verdict, reason),
        };
        size += size_of_entry(&entry);
        if size > PART_BYTES {
            size = size_of_entry(&entry);
            pieces.push(empty.clone());
        }
        if let Some(piece) = pieces.last_mut() {
            piece.entries.push((line.seq, entry));
        }
    }
    pieces
}

/// Cuts ledgers into parts of at most [`PART_BYTES`] or one piece. There is always at least one part.
///
/// A piece of one entry fits a frame, since the daemon takes no longer answer than that from an upstream.
pub(crate) fn split(flows: &[HandoverFlow]) -> Vec<&[HandoverFlow]> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut size = 0;
    for (index, flow) in flows.iter().enumerate() {
        size += size_of_flow(flow);
        if size <= PART_BYTES || index == start {
            continue;
        }
        parts.push(&flows[start..index]);
        start = index;
        size = size_of_flow(flow);
    }
    parts.push(&flows[start..]);
    parts
}

fn size_of_flow(flow: &HandoverFlow) -> usize {
    let entries = flow.entries.iter().map(|(_, entry)| size_of_entry(entry));
    FLOW_BYTES + entries.sum::<usize>()
}

fn size_of_entry(entry: &RequestRecord) -> usize {
    match entry {
        RequestRecord::Queued(body) => REQUEST_BYTES + body.request.body.len(),
        RequestRecord::Answered(answer) => ANSWER_BYTES + answer.body.len(),
        RequestRecord::Running(_) | RequestRecord::Forgotten | RequestRecord::Refused(..) => LINE_BYTES,
    }
}
