//! The form in which ledgers are handed over.

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
use crate::RequestState;
use crate::ticket::Ticket;

/// The approximate number of bytes of ledgers in one frame. Large enough that the frames of a hand-over fit into a
/// session's queue, even with long answers.
const PART_BYTES: usize = 1_024 * 1_024;
/// The approximate size of a flow without its entries.
const FLOW_BYTES: usize = 64;
/// The approximate size of a waiting request without its body.
const REQUEST_BYTES: usize = 640;
/// The approximate size of an answer without its body.
const ANSWER_BYTES: usize = 64;
/// The approximate size of any other entry.
const OTHER_ENTRY_BYTES: usize = 32;

/// Converts a waiting request into the form in which it is handed over.
pub(crate) fn handover_body(ticket: Ticket, now: Time) -> QueuedRequest {
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

/// Packs a ledger for the hand-over, in several pieces if it holds long answers. `bodies` holds the requests that
/// wait for a slot; the other running ones are in progress at `local`.
pub(crate) fn pack_ledger(
    key: FlowKey,
    ledger: Ledger,
    bodies: &mut BTreeMap<TicketId, QueuedRequest>,
    local: Incarnation,
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
    for recorded in ledger.entries {
        let entry = match recorded.state {
            RequestState::Running(ticket) => bodies
                .remove(&ticket)
                .map_or(RequestRecord::Running(local), RequestRecord::Queued),
            RequestState::RunningElsewhere(incarnation) => RequestRecord::Running(incarnation),
            RequestState::Answered(answer) => RequestRecord::Answered(*answer),
            RequestState::AnswerDiscarded => RequestRecord::Forgotten,
            RequestState::Refused(verdict, reason) => RequestRecord::Refused(verdict, reason),
        };
        size += size_of_entry(&entry);
        if size > PART_BYTES {
            size = size_of_entry(&entry);
            pieces.push(empty.clone());
        }
        if let Some(piece) = pieces.last_mut() {
            piece.entries.push((recorded.seq, entry));
        }
    }
    pieces
}

/// Splits ledgers into parts of at most [`PART_BYTES`] or a single piece. There is always at least one part.
///
/// A piece with one entry fits into a frame, since the daemon accepts no longer answer from an upstream.
pub(crate) fn split_into_parts(flows: &[HandoverFlow]) -> Vec<&[HandoverFlow]> {
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
        RequestRecord::Running(_) | RequestRecord::Forgotten | RequestRecord::Refused(..) => OTHER_ENTRY_BYTES,
    }
}
