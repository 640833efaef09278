//! The successor's side of a planned stop: the ledgers of another instance take effect here, all at once.

use std::collections::BTreeMap;

use thin_vec::ThinVec;
use units::Incarnation;
use units::RequestSeq;
use units::Time;
use wire::Frame;
use wire::Handover;
use wire::HandoverFlow;
use wire::InstanceIncarnation;
use wire::QueuedRequest;
use wire::Reason;
use wire::RequestRecord;
use wire::Resolved;
use wire::Successor;
use wire::Verdict;

use crate::FlowKey;
use crate::Ledger;
use crate::Line;
use crate::Node;
use crate::Peer;
use crate::State;
use crate::node::Cx;
use crate::node::keep_flows;
use crate::ticket::Phase;
use crate::ticket::Ticket;

/// The parts of a hand-over that have arrived so far.
#[derive(Debug, Default, Clone)]
pub(crate) struct Incoming {
    parts: BTreeMap<u32, Vec<HandoverFlow>>,
}

/// A request that was handed over while it waited.
struct Queued {
    key: FlowKey,
    seq: RequestSeq,
    body: QueuedRequest,
}

impl Node {
    /// Takes a part of another instance's ledgers.
    pub(crate) fn take_handover(&mut self, cx: &mut Cx<'_>, peer: &Peer, handover: Handover) {
        let from = handover.successor.from_incarnation;
        let for_me = handover.successor.to == self.me.name && handover.successor.to_incarnation == self.me.incarnation;
        if !for_me || from != peer.incarnation || handover.successor.from != peer.name {
            return;
        }
        if self.owns(&peer.name, from) {
            // All of it is here already, and the word of that was lost.
            return self.send(cx, peer, Frame::HandoverDone(from));
        }
        if self.stop.has_begun() {
            self.incoming.remove(&from);
            return self.send(cx, peer, Frame::HandoverRefused(from));
        }
        let incoming = self.incoming.entry(from).or_default();
        incoming.parts.insert(handover.part, handover.flows);
        if incoming.parts.len() < handover.parts as usize {
            return;
        }
        let parts = std::mem::take(&mut incoming.parts);
        self.incoming.remove(&from);
        let flows = parts.into_values().flatten().collect();
        self.take_over(cx, peer, handover.successor, &handover.inherited, flows);
    }

    fn take_over(
        &mut self,
        cx: &mut Cx<'_>,
        peer: &Peer,
        record: Successor,
        inherited: &[InstanceIncarnation],
        flows: Vec<HandoverFlow>,
    ) {
        self.forget_inherited(cx.now);
        let from = InstanceIncarnation {
            name: record.from.clone(),
            incarnation: record.from_incarnation,
        };
        self.inherited.insert(from, cx.now);
        for life in inherited {
            self.inherited.entry(life.clone()).or_insert(cx.now);
        }
        let mut queued = Vec::new();
        let mut ledgers: BTreeMap<FlowKey, Ledger> = BTreeMap::new();
        for flow in flows {
            let key = FlowKey {
                owner: flow.owner,
                flow: flow.flow,
            };
            let piece = unpack(key, flow, record.from_incarnation, &mut queued);
            match ledgers.get_mut(&key) {
                Some(ledger) => ledger.lines.extend(piece.lines),
                None => drop(ledgers.insert(key, piece)),
            }
        }
        for (key, ledger) in ledgers {
            self.ledgers.install(key, ledger, cx.now);
        }
        self.send(cx, peer, Frame::HandoverDone(record.from_incarnation));
        let mut outputs = Vec::new();
        self.membership.add_successor(record, cx.now, &mut outputs);
        self.take_outputs(cx, outputs);
        for one in queued {
            self.resume(cx, one);
        }
    }

    /// Drops incarnations that were inherited so long ago that every token which names them has expired.
    ///
    /// Otherwise each hand-over would pass on all that ever stopped before.
    pub(crate) fn forget_inherited(&mut self, now: Time) {
        let keep = keep_flows(&self.keyring);
        self.inherited.retain(|_, since| now.since(*since) < keep);
    }

    /// Lets a request begin here that another instance had let wait.
    fn resume(&mut self, cx: &mut Cx<'_>, queued: Queued) {
        let Queued { key, seq, body } = queued;
        let id = self.next_ticket();
        if !self.ledgers.resume(key, seq, id) {
            return;
        }
        let Ok(claims) = self.keyring.open(&body.request.token, cx.now) else {
            let verdict = if body.in_doubt {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            };
            return self
                .ledgers
                .end(key, seq, State::Refused(verdict, Reason::Token), cx.now);
        };
        let service = self.documents.service(&claims.service);
        let kind = service.and_then(|service| service.kind(&body.request.kind));
        let idempotent = kind.is_some_and(|kind| kind.idempotent);
        let deadline = cx.now + body.remaining.duration();
        let ticket = Ticket {
            claims,
            caller: body.caller,
            zone: body.zone,
            idempotent,
            deadline,
            avoid: body.avoid,
            in_doubt: body.in_doubt,
            home: self.me.clone(),
            phase: Phase::Waiting(cx.now),
            request: body.request,
        };
        self.start_ticket(cx, id, ticket);
    }

    /// Takes the end of a request that was in progress at the instance that handed it over.
    pub(crate) fn take_resolved(&mut self, cx: &mut Cx<'_>, resolved: Resolved) {
        let key = FlowKey {
            owner: resolved.owner,
            flow: resolved.flow,
        };
        let seq = resolved.seq;
        if self.stop.has_handed_over() {
            // The ledger has moved on meanwhile, and whoever holds it waits for this word.
            return self.tell_resolved(cx, resolved);
        }
        let running_there = self.ledgers.elsewhere_at(key, seq) == Some(resolved.at);
        if !running_there {
            return;
        }
        let state = match resolved.entry {
            RequestRecord::Queued(body) => return self.resume(cx, Queued { key, seq, body }),
            RequestRecord::Answered(answer) => State::Answered(Box::new(answer)),
            RequestRecord::Refused(verdict, reason) => State::Refused(verdict, reason),
            RequestRecord::Forgotten | RequestRecord::Running(_) => State::Forgotten,
        };
        self.ledgers.end(key, seq, state, cx.now);
    }
}

fn unpack(key: FlowKey, flow: HandoverFlow, from: Incarnation, queued: &mut Vec<Queued>) -> Ledger {
    let mut lines = ThinVec::new();
    for (seq, entry) in flow.entries {
        let state = match entry {
            RequestRecord::Queued(body) => {
                queued.push(Queued { key, seq, body });
                State::Elsewhere(from)
            }
            RequestRecord::Running(incarnation) => State::Elsewhere(incarnation),
            RequestRecord::Answered(answer) => State::Answered(Box::new(answer)),
            RequestRecord::Forgotten => State::Forgotten,
            RequestRecord::Refused(verdict, reason) => State::Refused(verdict, reason),
        };
        lines.push(Line { seq, state });
    }
    Ledger {
        floor: flow.floor,
        sent: flow.sent,
        keep_until: Time::default(),
        lines,
    }
}
