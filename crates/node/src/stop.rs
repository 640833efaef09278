//! Planned stops: the ledgers are handed over to a successor, calls in progress finish here, and late packets are
//! forwarded.
//!
//! Once the ledgers have been sent, this node starts no further requests of their flows, even if the hand-over is
//! not acknowledged. The node chooses another successor only if the first refuses, which guarantees that nothing was
//! taken over.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use units::Incarnation;
use units::InstanceName;
use units::RequestSeq;
use units::Time;
use wire::Frame;
use wire::Handover;
use wire::HandoverFlow;
use wire::InstanceIncarnation;
use wire::Reason;
use wire::RequestRecord;
use wire::Resolved;
use wire::Successor;
use wire::TicketId;

use crate::Action;
use crate::FlowKey;
use crate::Node;
use crate::Peer;
use crate::Record;
use crate::RequestState;
use crate::handover::handover_body;
use crate::handover::pack_ledger;
use crate::handover::split_into_parts;
use crate::node::Context;
use crate::peers::OwnerLocation;

/// How long the other instances have to learn of the stop before the ledgers are handed over.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(300);
/// How long packets are forwarded after the hand-over was acknowledged.
const FORWARDING_PERIOD: Duration = Duration::from_millis(700);
/// How long to wait for the successor's acknowledgement before sending the ledgers again.
const HANDOVER_RETRY: Duration = Duration::from_millis(500);

/// The progress of a planned stop.
#[derive(Debug, Clone)]
pub(crate) enum StopState {
    /// No stop has started.
    Serving,
    /// The stop has been announced to the other instances.
    Announced(Announced),
    /// The ledgers have been sent.
    HandedOver(HandedOver),
    /// The process may exit. The ledgers are at this successor, if there is one.
    Ended(Option<Peer>),
}

/// A stop that has been announced.
#[derive(Debug, Clone)]
pub(crate) struct Announced {
    handover_at: Time,
    end_by: Time,
}

/// A stop whose ledgers have been sent.
#[derive(Debug, Clone)]
pub(crate) struct HandedOver {
    successor: Peer,
    refused_by: BTreeSet<Peer>,
    flows: Vec<HandoverFlow>,
    sent_at: Time,
    end_by: Time,
    acknowledged: Option<Time>,
    /// Ends of requests that are held back until the successor acknowledges the hand-over.
    resolved: Vec<Resolved>,
}

impl StopState {
    pub(crate) fn has_begun(&self) -> bool {
        !matches!(self, Self::Serving)
    }

    pub(crate) fn has_handed_over(&self) -> bool {
        matches!(self, Self::HandedOver(_))
    }

    /// Whether the process may exit, so that no request starts here any more.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(self, Self::Ended(_))
    }

    /// The owner of this node's flows, if that is no longer the node itself.
    pub(crate) fn successor(&self) -> Option<&Peer> {
        match self {
            Self::HandedOver(state) => Some(&state.successor),
            Self::Ended(successor) => successor.as_ref(),
            Self::Serving | Self::Announced(_) => None,
        }
    }
}

impl Node {
    pub(crate) fn begin_stop(&mut self, cx: &mut Context<'_>) {
        if self.stop.has_begun() {
            return;
        }
        cx.record(Record::Stopping);
        let handover_at = cx.now + ANNOUNCEMENT_PERIOD.min(self.stop_within / 4);
        let end_by = cx.now + self.stop_within;
        self.stop = StopState::Announced(Announced { handover_at, end_by });
        let mut outputs = Vec::new();
        self.membership.leave(cx.now, &mut outputs);
        self.apply_membership_outputs(cx, outputs);
        self.recompute_homes(cx);
    }

    pub(crate) fn tick_stop(&mut self, cx: &mut Context<'_>) {
        match &self.stop {
            StopState::Serving | StopState::Ended(_) => {}
            StopState::Announced(state) => {
                let end_by = state.end_by;
                if cx.now >= end_by {
                    return self.finish_stop(cx);
                }
                if cx.now >= state.handover_at {
                    self.choose_successor(cx, end_by, BTreeSet::new());
                }
            }
            StopState::HandedOver(state) => {
                let lingered = state
                    .acknowledged
                    .is_some_and(|at| cx.now.since(at) >= FORWARDING_PERIOD);
                let lost = self.is_successor_gone(&state.successor);
                let idle = self.tickets.is_empty();
                if cx.now >= state.end_by || (idle && (lingered || lost)) {
                    return self.finish_stop(cx);
                }
                let silent = state.acknowledged.is_none() && cx.now.since(state.sent_at) >= HANDOVER_RETRY;
                if silent {
                    self.send_ledgers(cx);
                }
            }
        }
    }

    fn is_successor_gone(&self, successor: &Peer) -> bool {
        let standing = self.membership.standing(&successor.name, successor.incarnation);
        matches!(standing, membership::Standing::Gone)
    }

    fn choose_successor(&mut self, cx: &mut Context<'_>, end_by: Time, refused_by: BTreeSet<Peer>) {
        let candidate = self.membership.successor_candidate();
        let peer = candidate.map(|member| Peer {
            name: member.name.clone(),
            incarnation: member.incarnation,
        });
        let chosen = peer.filter(|peer| !refused_by.contains(peer));
        let Some(successor) = chosen else {
            // No instance can take the ledgers. The node remains the owner until it is idle.
            if self.tickets.is_empty() && refused_by.is_empty() {
                self.finish_stop(cx);
            }
            return;
        };
        // Requests that have ended since the ledgers were packed are not in them; their ends go to the new successor
        // too.
        let (flows, resolved) = match std::mem::replace(&mut self.stop, StopState::Serving) {
            StopState::HandedOver(state) => (state.flows, state.resolved),
            _ => (self.pack_ledgers(cx), Vec::new()),
        };
        self.stop = StopState::HandedOver(HandedOver {
            successor,
            refused_by,
            flows,
            sent_at: cx.now,
            end_by,
            acknowledged: None,
            resolved,
        });
        self.send_ledgers(cx);
    }

    /// Removes all ledgers and the requests that wait for a slot, and packs them for the hand-over.
    fn pack_ledgers(&mut self, cx: &mut Context<'_>) -> Vec<HandoverFlow> {
        let waiting: Vec<TicketId> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| ticket.is_waiting())
            .map(|(id, _)| *id)
            .collect();
        let mut bodies = BTreeMap::new();
        for id in waiting {
            self.withdraw_slot_request(cx, id);
            if let Some(ticket) = self.remove_ticket(id) {
                bodies.insert(id, handover_body(ticket, cx.now));
            }
        }
        let local = self.local.incarnation;
        let mut flows = Vec::new();
        for (key, ledger) in self.ledgers.drain() {
            flows.extend(pack_ledger(key, ledger, &mut bodies, local));
        }
        flows
    }

    fn send_ledgers(&mut self, cx: &mut Context<'_>) {
        self.expire_inherited(cx.now);
        let StopState::HandedOver(state) = &mut self.stop else {
            return;
        };
        state.sent_at = cx.now;
        let peer = state.successor.clone();
        let successor = successor_record(&self.local, &peer);
        let inherited: Vec<InstanceIncarnation> = self.inherited.keys().cloned().collect();
        let chunks = split_into_parts(&state.flows);
        let parts = chunks.len() as u32;
        let mut frames = Vec::new();
        for (part, flows) in chunks.into_iter().enumerate() {
            frames.push(Frame::Handover(Handover {
                successor: successor.clone(),
                inherited: inherited.clone(),
                flows: flows.to_vec(),
                part: part as u32,
                parts,
            }));
        }
        for frame in frames {
            self.send(cx, &peer, frame);
        }
    }

    /// Sends the ledgers again if the session with the successor broke, as parts of them may be lost.
    pub(crate) fn resend_handover(&mut self, cx: &mut Context<'_>, name: &InstanceName) {
        let StopState::HandedOver(state) = &self.stop else {
            return;
        };
        // If the session can't be established, do not retry in a tight loop.
        let due = cx.now.since(state.sent_at) >= HANDOVER_RETRY / 2;
        if &state.successor.name == name && state.acknowledged.is_none() && due {
            self.send_ledgers(cx);
        }
    }

    /// Handles the successor's acknowledgement that it has taken over.
    pub(crate) fn handle_handover_done(&mut self, cx: &mut Context<'_>, peer: &Peer, incarnation: Incarnation) {
        let StopState::HandedOver(state) = &mut self.stop else {
            return;
        };
        if peer != &state.successor || incarnation != self.local.incarnation || state.acknowledged.is_some() {
            return;
        }
        state.acknowledged = Some(cx.now);
        state.flows.clear();
        let resolved = std::mem::take(&mut state.resolved);
        for message in resolved {
            self.send(cx, peer, Frame::Resolved(message));
        }
        let record = successor_record(&self.local, peer);
        cx.record(Record::HandedOver(record.from.clone(), record.to.clone()));
        let mut outputs = Vec::new();
        self.membership.add_successor(record, cx.now, &mut outputs);
        self.apply_membership_outputs(cx, outputs);
    }

    /// Handles the refusal of the chosen successor, which is stopping too and has taken over nothing.
    pub(crate) fn handle_handover_refused(&mut self, cx: &mut Context<'_>, peer: &Peer, incarnation: Incarnation) {
        let StopState::HandedOver(state) = &mut self.stop else {
            return;
        };
        if peer != &state.successor || incarnation != self.local.incarnation || state.acknowledged.is_some() {
            return;
        }
        let mut refused_by = std::mem::take(&mut state.refused_by);
        refused_by.insert(peer.clone());
        let end_by = state.end_by;
        self.choose_successor(cx, end_by, refused_by);
    }

    /// Sends the successor the final state of a request that was in progress here.
    pub(crate) fn send_final_state(
        &mut self,
        cx: &mut Context<'_>,
        key: FlowKey,
        seq: RequestSeq,
        state: &RequestState,
    ) {
        let entry = match state {
            RequestState::Answered(answer) => RequestRecord::Answered((**answer).clone()),
            RequestState::Refused(verdict, reason) => RequestRecord::Refused(*verdict, *reason),
            RequestState::AnswerDiscarded | RequestState::Running(_) | RequestState::RunningElsewhere(_) => {
                RequestRecord::Forgotten
            }
        };
        self.send_request_end(cx, key, seq, entry);
    }

    /// Hands a request that was in progress here and may be retried over to the successor.
    pub(crate) fn hand_over_request(&mut self, cx: &mut Context<'_>, id: TicketId) {
        let Some(ticket) = self.remove_ticket(id) else {
            return;
        };
        let key = ticket.key();
        let seq = ticket.request.seq;
        let entry = RequestRecord::Queued(handover_body(ticket, cx.now));
        self.send_request_end(cx, key, seq, entry);
    }

    fn send_request_end(&mut self, cx: &mut Context<'_>, key: FlowKey, seq: RequestSeq, entry: RequestRecord) {
        let resolved = Resolved {
            at: self.local.incarnation,
            owner: key.owner,
            flow: key.flow,
            seq,
            entry,
        };
        self.send_resolved(cx, resolved);
    }

    /// Sends the end of a request to the current holder of its ledger.
    pub(crate) fn send_resolved(&mut self, cx: &mut Context<'_>, resolved: Resolved) {
        let StopState::HandedOver(state) = &mut self.stop else {
            return;
        };
        if state.acknowledged.is_none() {
            state.resolved.push(resolved);
            return;
        }
        let successor = state.successor.clone();
        if let OwnerLocation::Remote(peer, _) = self.locate_successor(&successor) {
            self.send(cx, &peer, Frame::Resolved(resolved));
        }
    }

    fn finish_stop(&mut self, cx: &mut Context<'_>) {
        let left: Vec<TicketId> = self.tickets.keys().copied().collect();
        let count = left.len() as u32;
        for id in left {
            self.abort_request(cx, id, Reason::Deadline);
        }
        self.stop = StopState::Ended(self.stop.successor().cloned());
        cx.record(Record::Stopped(count));
        cx.push(Action::Stopped);
    }
}

/// The successor record that states that the ledgers of `from` are at `to`.
fn successor_record(from: &Peer, to: &Peer) -> Successor {
    Successor {
        from: from.name.clone(),
        from_incarnation: from.incarnation,
        to: to.name.clone(),
        to_incarnation: to.incarnation,
    }
}
