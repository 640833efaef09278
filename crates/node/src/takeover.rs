//! The successor's side of a planned stop: installs the ledgers of another instance in one step.

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
use crate::LedgerEntry;
use crate::Node;
use crate::Peer;
use crate::RequestState;
use crate::node::Context;
use crate::node::ledger_retention;
use crate::ticket::Phase;
use crate::ticket::Ticket;

/// The parts of a hand-over that have been received so far.
#[derive(Debug, Default, Clone)]
pub(crate) struct PartialHandover {
    parts: BTreeMap<u32, Vec<HandoverFlow>>,
}

/// A request that was handed over while it waited for a slot.
struct HandedOverRequest {
    key: FlowKey,
    seq: RequestSeq,
    body: QueuedRequest,
}

impl Node {
    /// Handles a part of another instance's ledgers.
    pub(crate) fn handle_handover(&mut self, cx: &mut Context<'_>, peer: &Peer, handover: Handover) {
        let from = handover.successor.from_incarnation;
        let for_me =
            handover.successor.to == self.local.name && handover.successor.to_incarnation == self.local.incarnation;
        if !for_me || from != peer.incarnation || handover.successor.from != peer.name {
            return;
        }
        if self.owns(&peer.name, from) {
            // All ledgers have been installed already, and the acknowledgement was lost.
            return self.send(cx, peer, Frame::HandoverDone(from));
        }
        if self.stop.has_begun() {
            self.partial_handovers.remove(&from);
            return self.send(cx, peer, Frame::HandoverRefused(from));
        }
        let partial_handovers = self.partial_handovers.entry(from).or_default();
        partial_handovers.parts.insert(handover.part, handover.flows);
        if partial_handovers.parts.len() < handover.parts as usize {
            return;
        }
        let parts = std::mem::take(&mut partial_handovers.parts);
        self.partial_handovers.remove(&from);
        let flows = parts.into_values().flatten().collect();
        self.install_handover(cx, peer, handover.successor, &handover.inherited, flows);
    }

    fn install_handover(
        &mut self,
        cx: &mut Context<'_>,
        peer: &Peer,
        record: Successor,
        inherited: &[InstanceIncarnation],
        flows: Vec<HandoverFlow>,
    ) {
        self.expire_inherited(cx.now);
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
            let piece = unpack_ledger(key, flow, record.from_incarnation, &mut queued);
            match ledgers.get_mut(&key) {
                Some(ledger) => ledger.entries.extend(piece.entries),
                None => drop(ledgers.insert(key, piece)),
            }
        }
        for (key, ledger) in ledgers {
            self.ledgers.install(key, ledger, cx.now);
        }
        self.send(cx, peer, Frame::HandoverDone(record.from_incarnation));
        let mut outputs = Vec::new();
        self.membership.add_successor(record, cx.now, &mut outputs);
        self.apply_membership_outputs(cx, outputs);
        for request in queued {
            self.resume_request(cx, request);
        }
    }

    /// Drops inherited incarnations that are so old that every token which names them has expired.
    ///
    /// Otherwise each hand-over would include every incarnation that ever stopped.
    pub(crate) fn expire_inherited(&mut self, now: Time) {
        let keep = ledger_retention(&self.keyring);
        self.inherited.retain(|_, since| now.since(*since) < keep);
    }

    /// Starts a request that was waiting at another instance when it was handed over.
    fn resume_request(&mut self, cx: &mut Context<'_>, queued: HandedOverRequest) {
        let HandedOverRequest { key, seq, body } = queued;
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
                .end(key, seq, RequestState::Refused(verdict, Reason::Token), cx.now);
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
            home: self.local.clone(),
            phase: Phase::Waiting(cx.now),
            request: body.request,
        };
        self.start_ticket(cx, id, ticket);
    }

    /// Handles the end of a request that was in progress at the instance that handed its ledger over.
    pub(crate) fn handle_resolved(&mut self, cx: &mut Context<'_>, resolved: Resolved) {
        let key = FlowKey {
            owner: resolved.owner,
            flow: resolved.flow,
        };
        let seq = resolved.seq;
        if self.stop.has_handed_over() {
            // The ledger has been handed over again, and its current holder waits for this message.
            return self.send_resolved(cx, resolved);
        }
        let running_there = self.ledgers.running_elsewhere_at(key, seq) == Some(resolved.at);
        if !running_there {
            return;
        }
        let state = match resolved.entry {
            RequestRecord::Queued(body) => return self.resume_request(cx, HandedOverRequest { key, seq, body }),
            RequestRecord::Answered(answer) => RequestState::Answered(Box::new(answer)),
            RequestRecord::Refused(verdict, reason) => RequestState::Refused(verdict, reason),
            RequestRecord::Forgotten | RequestRecord::Running(_) => RequestState::AnswerDiscarded,
        };
        self.ledgers.end(key, seq, state, cx.now);
    }
}

fn unpack_ledger(key: FlowKey, flow: HandoverFlow, from: Incarnation, queued: &mut Vec<HandedOverRequest>) -> Ledger {
    let mut entries = ThinVec::new();
    for (seq, entry) in flow.entries {
        let state = match entry {
            RequestRecord::Queued(body) => {
                queued.push(HandedOverRequest { key, seq, body });
                RequestState::RunningElsewhere(from)
            }
            RequestRecord::Running(incarnation) => RequestState::RunningElsewhere(incarnation),
            RequestRecord::Answered(answer) => RequestState::Answered(Box::new(answer)),
            RequestRecord::Forgotten => RequestState::AnswerDiscarded,
            RequestRecord::Refused(verdict, reason) => RequestState::Refused(verdict, reason),
        };
        entries.push(LedgerEntry { seq, state });
    }
    Ledger {
        floor: flow.floor,
        sent: flow.sent,
        keep_until: Time::default(),
        entries,
    }
}
