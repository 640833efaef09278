//! A planned stop: the ledgers go to a successor, what is in progress ends here, late packets are passed on.
//!
//! Once a ledger has been sent, this node begins nothing of its flows again, acknowledged or not. Only a refusal by
//! the chosen successor, which promises that nothing was taken over, lets the node choose another.

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
use crate::State;
use crate::fleet::Place;
use crate::node::Cx;
use crate::pack::body_of;
use crate::pack::pack;
use crate::pack::split;

/// How long the others get to hear of the stop before the ledgers move.
const NOTICE: Duration = Duration::from_millis(300);
/// How long packets are passed on after the ledgers have moved.
const LINGER: Duration = Duration::from_millis(700);
/// How long to wait for the successor's word before the ledgers are sent again.
const SEND_AGAIN: Duration = Duration::from_millis(500);

/// How far a planned stop has come.
#[derive(Debug, Clone)]
pub(crate) enum Stop {
    /// None has begun.
    Serving,
    /// The others are told.
    Announced(Announced),
    /// The ledgers have been sent.
    HandedOver(HandedOver),
    /// The process may end. The ledgers are with this successor, if there is one.
    Ended(Option<Peer>),
}

/// A stop that the others are told of.
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
    /// Ends of requests that wait for the successor's word.
    resolved: Vec<Resolved>,
}

impl Stop {
    pub(crate) fn has_begun(&self) -> bool {
        !matches!(self, Self::Serving)
    }

    pub(crate) fn has_handed_over(&self) -> bool {
        matches!(self, Self::HandedOver(_))
    }

    /// Whether the process may end, so that nothing begins here any more.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(self, Self::Ended(_))
    }

    /// Who owns this node's flows, if that is no longer the node itself.
    pub(crate) fn successor(&self) -> Option<&Peer> {
        match self {
            Self::HandedOver(state) => Some(&state.successor),
            Self::Ended(successor) => successor.as_ref(),
            Self::Serving | Self::Announced(_) => None,
        }
    }
}

impl Node {
    pub(crate) fn begin_stop(&mut self, cx: &mut Cx<'_>) {
        if self.stop.has_begun() {
            return;
        }
        cx.record(Record::Stopping);
        let handover_at = cx.now + NOTICE.min(self.stop_within / 4);
        let end_by = cx.now + self.stop_within;
        self.stop = Stop::Announced(Announced { handover_at, end_by });
        let mut outputs = Vec::new();
        self.membership.leave(cx.now, &mut outputs);
        self.take_outputs(cx, outputs);
        self.rehome(cx);
    }

    pub(crate) fn tick_stop(&mut self, cx: &mut Cx<'_>) {
        match &self.stop {
            Stop::Serving | Stop::Ended(_) => {}
            Stop::Announced(state) => {
                let end_by = state.end_by;
                if cx.now >= end_by {
                    return self.end_stop(cx);
                }
                if cx.now >= state.handover_at {
                    self.choose_successor(cx, end_by, BTreeSet::new());
                }
            }
            Stop::HandedOver(state) => {
                let lingered = state.acknowledged.is_some_and(|at| cx.now.since(at) >= LINGER);
                let lost = self.locate_successor_lost(&state.successor);
                let idle = self.tickets.is_empty();
                if cx.now >= state.end_by || (idle && (lingered || lost)) {
                    return self.end_stop(cx);
                }
                let silent = state.acknowledged.is_none() && cx.now.since(state.sent_at) >= SEND_AGAIN;
                if silent {
                    self.send_ledgers(cx);
                }
            }
        }
    }

    fn locate_successor_lost(&self, successor: &Peer) -> bool {
        let standing = self.membership.standing(&successor.name, successor.incarnation);
        matches!(standing, membership::Standing::Gone)
    }

    fn choose_successor(&mut self, cx: &mut Cx<'_>, end_by: Time, refused_by: BTreeSet<Peer>) {
        let candidate = self.membership.successor_candidate();
        let peer = candidate.map(|member| Peer {
            name: member.name.clone(),
            incarnation: member.incarnation,
        });
        let chosen = peer.filter(|peer| !refused_by.contains(peer));
        let Some(successor) = chosen else {
            // Nobody can take the ledgers. The node goes on as owner until it is idle.
            if self.tickets.is_empty() && refused_by.is_empty() {
                self.end_stop(cx);
            }
            return;
        };
        // What has ended since the ledgers were packed is not in them, and goes along to the next successor.
        let (flows, resolved) = match std::mem::replace(&mut self.stop, Stop::Serving) {
            Stop::HandedOver(state) => (state.flows, state.resolved),
            _ => (self.pack_ledgers(cx), Vec::new()),
        };
        self.stop = Stop::HandedOver(HandedOver {
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

    /// Takes the ledgers out, with the requests that still wait.
    fn pack_ledgers(&mut self, cx: &mut Cx<'_>) -> Vec<HandoverFlow> {
        let waiting: Vec<TicketId> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| ticket.is_waiting())
            .map(|(id, _)| *id)
            .collect();
        let mut bodies = BTreeMap::new();
        for id in waiting {
            self.withdraw(cx, id);
            if let Some(ticket) = self.remove_ticket(id) {
                bodies.insert(id, body_of(ticket, cx.now));
            }
        }
        let me = self.me.incarnation;
        let mut flows = Vec::new();
        for (key, ledger) in self.ledgers.take() {
            flows.extend(pack(key, ledger, &mut bodies, me));
        }
        flows
    }

    fn send_ledgers(&mut self, cx: &mut Cx<'_>) {
        self.forget_inherited(cx.now);
        let Stop::HandedOver(state) = &mut self.stop else {
            return;
        };
        state.sent_at = cx.now;
        let peer = state.successor.clone();
        let successor = record_of(&self.me, &peer);
        let inherited: Vec<InstanceIncarnation> = self.inherited.keys().cloned().collect();
        let chunks = split(&state.flows);
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

    /// The session with an instance broke. Parts of the ledgers may be lost.
    pub(crate) fn repeat_handover(&mut self, cx: &mut Cx<'_>, name: &InstanceName) {
        let Stop::HandedOver(state) = &self.stop else {
            return;
        };
        // A session that can't be made at once must not be tried at once again and again.
        let due = cx.now.since(state.sent_at) >= SEND_AGAIN / 2;
        if &state.successor.name == name && state.acknowledged.is_none() && due {
            self.send_ledgers(cx);
        }
    }

    /// The successor has taken over.
    pub(crate) fn end_handover(&mut self, cx: &mut Cx<'_>, peer: &Peer, incarnation: Incarnation) {
        let Stop::HandedOver(state) = &mut self.stop else {
            return;
        };
        if peer != &state.successor || incarnation != self.me.incarnation || state.acknowledged.is_some() {
            return;
        }
        state.acknowledged = Some(cx.now);
        state.flows.clear();
        let resolved = std::mem::take(&mut state.resolved);
        for one in resolved {
            self.send(cx, peer, Frame::Resolved(one));
        }
        let record = record_of(&self.me, peer);
        cx.record(Record::HandedOver(record.from.clone(), record.to.clone()));
        let mut outputs = Vec::new();
        self.membership.add_successor(record, cx.now, &mut outputs);
        self.take_outputs(cx, outputs);
    }

    /// The chosen successor stops too, and has taken over nothing.
    pub(crate) fn refuse_handover(&mut self, cx: &mut Cx<'_>, peer: &Peer, incarnation: Incarnation) {
        let Stop::HandedOver(state) = &mut self.stop else {
            return;
        };
        if peer != &state.successor || incarnation != self.me.incarnation || state.acknowledged.is_some() {
            return;
        }
        let mut refused_by = std::mem::take(&mut state.refused_by);
        refused_by.insert(peer.clone());
        let end_by = state.end_by;
        self.choose_successor(cx, end_by, refused_by);
    }

    /// Tells the successor how a request ended that was in progress here.
    pub(crate) fn resolve(&mut self, cx: &mut Cx<'_>, key: FlowKey, seq: RequestSeq, state: &State) {
        let entry = match state {
            State::Answered(answer) => RequestRecord::Answered((**answer).clone()),
            State::Refused(verdict, reason) => RequestRecord::Refused(*verdict, *reason),
            State::Forgotten | State::Running(_) | State::Elsewhere(_) => RequestRecord::Forgotten,
        };
        self.tell_end(cx, key, seq, entry);
    }

    /// Gives the successor a request that was in progress here but has not run to an end.
    pub(crate) fn pass_on(&mut self, cx: &mut Cx<'_>, id: TicketId) {
        let Some(ticket) = self.remove_ticket(id) else {
            return;
        };
        let key = ticket.key();
        let seq = ticket.request.seq;
        let entry = RequestRecord::Queued(body_of(ticket, cx.now));
        self.tell_end(cx, key, seq, entry);
    }

    fn tell_end(&mut self, cx: &mut Cx<'_>, key: FlowKey, seq: RequestSeq, entry: RequestRecord) {
        let resolved = Resolved {
            at: self.me.incarnation,
            owner: key.owner,
            flow: key.flow,
            seq,
            entry,
        };
        self.tell_resolved(cx, resolved);
    }

    /// Sends the end of a request to whoever holds its ledger by now.
    pub(crate) fn tell_resolved(&mut self, cx: &mut Cx<'_>, resolved: Resolved) {
        let Stop::HandedOver(state) = &mut self.stop else {
            return;
        };
        if state.acknowledged.is_none() {
            state.resolved.push(resolved);
            return;
        }
        let successor = state.successor.clone();
        if let Place::There(peer, _) = self.locate_successor(&successor) {
            self.send(cx, &peer, Frame::Resolved(resolved));
        }
    }

    fn end_stop(&mut self, cx: &mut Cx<'_>) {
        let left: Vec<TicketId> = self.tickets.keys().copied().collect();
        let count = left.len() as u32;
        for id in left {
            self.give_up(cx, id, Reason::Deadline);
        }
        self.stop = Stop::Ended(self.stop.successor().cloned());
        cx.record(Record::Stopped(count));
        cx.push(Action::Stopped);
    }
}

/// The record that the ledgers of one incarnation are at another.
fn record_of(from: &Peer, to: &Peer) -> Successor {
    Successor {
        from: from.name.clone(),
        from_incarnation: from.incarnation,
        to: to.name.clone(),
        to_incarnation: to.incarnation,
    }
}
