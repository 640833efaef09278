//! Request handling at the owner of a flow, the instance that keeps the ledger of the flow's requests.
//!
//! Only the owner starts calls to upstreams for requests of its flows, and only the owner may refuse a request with
//! [`Verdict::NotRun`]. The home of a service is the instance that holds the queue and grants the slots of its
//! upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use token::Claims;
use units::Millis;
use units::RequestSeq;
use units::Time;
use units::UpstreamName;
use wire::Accepted;
use wire::Answer;
use wire::Outcome;
use wire::Packet;
use wire::Reason;
use wire::Reply;
use wire::Request;
use wire::TicketId;
use wire::Verdict;

use crate::Action;
use crate::Call;
use crate::CallId;
use crate::CallResult;
use crate::FlowKey;
use crate::Lookup;
use crate::Node;
use crate::Record;
use crate::RequestState;
use crate::flow_table::CallerGroup;
use crate::ingress::RETRY_SOON;
use crate::ingress::RoutedPacket;
use crate::node::Context;
use crate::replies::push_chunk;
use crate::ticket::Phase;
use crate::ticket::Ticket;

/// How long to wait for the home to grant or deny a slot request before sending the request again.
const SLOT_REQUEST_RETRY: Duration = Duration::from_millis(400);

/// Why a new request is refused before it starts.
struct Rejection {
    reason: Reason,
    retry_after: Millis,
}

impl Node {
    /// Handles a packet of a flow that this instance owns.
    pub(crate) fn handle_owned_packet(&mut self, cx: &mut Context<'_>, claims: Claims, routed: &RoutedPacket) {
        let key = FlowKey {
            owner: claims.incarnation,
            flow: claims.flow,
        };
        match routed.packet.clone() {
            Packet::Request(request) => self.handle_request(cx, claims, request, routed),
            Packet::Pull(pull) => self.handle_pull(cx, key, routed.caller, &pull),
            // The caller acknowledges that the answer has arrived.
            Packet::Done(done) => self.ledgers.forget_answer(key, done.seq),
            Packet::Close(_) => self.ledgers.close(key, cx.now),
            // `route` has answered it already, because it carries no token.
            Packet::Open(_) => {}
        }
    }

    fn handle_request(&mut self, cx: &mut Context<'_>, claims: Claims, request: Request, routed: &RoutedPacket) {
        let key = FlowKey {
            owner: claims.incarnation,
            flow: claims.flow,
        };
        let seq = request.seq;
        let is_new_flow = !self.ledgers.contains(key);
        let group = CallerGroup::of(routed.caller.ip(), self.seed);
        if is_new_flow && !self.ledgers.has_room(group, self.limits.flows) {
            // Without a ledger, it is unknown whether an earlier copy of the request has run.
            let refusal = (Verdict::MayHaveRun, Reason::Limit);
            return self.reply_refused(cx, routed.caller, key, seq, refusal, RETRY_SOON, None);
        }
        // Also records the arrival, and creates the ledger of a new flow.
        let existing_state = match self.ledgers.look_up(key, claims.floor, seq, request.sent, cx.now) {
            Lookup::New => None,
            Lookup::TooOld => Some(RequestState::Refused(Verdict::MayHaveRun, Reason::TooOld)),
            Lookup::Full => Some(RequestState::Refused(Verdict::MayHaveRun, Reason::Limit)),
            Lookup::Known(state) => Some(state.clone()),
        };
        if is_new_flow {
            self.ledgers.assign_group(key, group);
        }
        if let Some(state) = existing_state {
            return self.reply_without_starting(cx, key, seq, &state, routed.caller);
        }
        match self.check_new_request(&request) {
            Ok(idempotent) => self.accept_request(cx, claims, request, idempotent, routed),
            Err(rejection) => {
                self.ledgers.refuse(key, seq, rejection.reason, cx.now);
                let refusal = (Verdict::NotRun, rejection.reason);
                self.reply_refused(cx, routed.caller, key, seq, refusal, rejection.retry_after, None);
            }
        }
    }

    /// Replies to a request that does not start now: it has been received before, is too old, or finds the ledger full.
    fn reply_without_starting(
        &mut self,
        cx: &mut Context<'_>,
        key: FlowKey,
        seq: RequestSeq,
        state: &RequestState,
        caller: SocketAddr,
    ) {
        match state {
            RequestState::Running(ticket) => {
                if let Some(ticket) = self.tickets.get_mut(ticket) {
                    ticket.caller = caller;
                }
                cx.push(Action::Reply(caller, Reply::Accepted(Accepted { flow: key.flow, seq })));
            }
            RequestState::RunningElsewhere(_) => {
                cx.push(Action::Reply(caller, Reply::Accepted(Accepted { flow: key.flow, seq })));
            }
            RequestState::Answered(answer) => push_chunk(cx, caller, key, seq, answer, 0, None),
            RequestState::AnswerDiscarded => {
                let refusal = (Verdict::MayHaveRun, Reason::AnswerGone);
                self.reply_refused(cx, caller, key, seq, refusal, Millis(0), None);
            }
            RequestState::Refused(verdict, reason) => {
                self.reply_refused(cx, caller, key, seq, (*verdict, *reason), RETRY_SOON, None);
            }
        }
    }

    /// Checks that the request's service and kind are known and that the limit of concurrent requests allows another.
    /// Returns whether the request is idempotent.
    fn check_new_request(&self, request: &Request) -> Result<bool, Rejection> {
        let rejection = |reason| Rejection {
            reason,
            retry_after: RETRY_SOON,
        };
        if self.documents.current().is_none() {
            return Err(rejection(Reason::NoDocument));
        }
        let service = self
            .documents
            .service(&request.service)
            .ok_or(rejection(Reason::Unknown))?;
        let kind = service.kind(&request.kind).ok_or(rejection(Reason::Unknown))?;
        if self.tickets.len() >= self.limits.requests {
            return Err(rejection(Reason::Limit));
        }
        Ok(kind.idempotent)
    }

    fn accept_request(
        &mut self,
        cx: &mut Context<'_>,
        claims: Claims,
        request: Request,
        idempotent: bool,
        routed: &RoutedPacket,
    ) {
        let key = FlowKey {
            owner: claims.incarnation,
            flow: claims.flow,
        };
        let id = self.next_ticket();
        self.ledgers.begin(key, request.seq, id);
        cx.record(Record::Accepted(claims.service.clone(), claims.flow, request.seq));
        let deadline = cx.now + request.timeout.duration().min(self.limits.max_timeout);
        let ticket = Ticket {
            request,
            claims,
            caller: routed.caller,
            zone: routed.zone.clone(),
            idempotent,
            deadline,
            avoid: Vec::new(),
            in_doubt: false,
            // The home and the phase are set when the slot is requested.
            home: self.local.clone(),
            phase: Phase::Waiting(cx.now),
        };
        self.start_ticket(cx, id, ticket);
    }

    pub(crate) fn next_ticket(&mut self) -> TicketId {
        self.last_ticket += 1;
        TicketId(self.last_ticket)
    }

    /// Stores the ticket of a request and requests a slot from the home of its service, or refuses the request if there
    /// is no home. The ledger entry already refers to this ticket.
    pub(crate) fn start_ticket(&mut self, cx: &mut Context<'_>, id: TicketId, ticket: Ticket) {
        self.deadlines.insert((ticket.deadline, id));
        self.tickets.insert(id, ticket);
        self.request_slot(cx, id);
    }

    /// Calls the upstream for which a slot was granted.
    pub(crate) fn call_upstream(&mut self, cx: &mut Context<'_>, id: TicketId, upstream: &UpstreamName) {
        let Some(address) = self.upstream_address(id, upstream) else {
            // The request no longer waits, or this instance's document is older than the home's. In the latter case
            // `handle_request_timers` requests a slot again if the home is another instance.
            return self.release_slot(cx, id, Outcome::Unused, Duration::ZERO);
        };
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        self.last_call += 1;
        let call = CallId(self.last_call);
        ticket.phase = Phase::Calling {
            call,
            upstream: upstream.clone(),
            since: cx.now,
        };
        // An existing pin follows the upstream even if the service has no flow affinity any more.
        if ticket.claims.pinned.is_some() || self.documents.has_flow_affinity(&ticket.claims.service) {
            ticket.claims.pinned = Some(upstream.clone());
        }
        self.calls.insert(call, id);
        cx.record(Record::Called(upstream.clone(), ticket.claims.flow, ticket.request.seq));
        cx.push(Action::Call(Call {
            id: call,
            upstream: upstream.clone(),
            address,
            service: ticket.claims.service.clone(),
            kind: ticket.request.kind.clone(),
            owner: ticket.claims.incarnation,
            flow: ticket.claims.flow,
            seq: ticket.request.seq,
            timeout: cx.now.until(ticket.deadline),
            body: ticket.request.body.to_vec(),
        }));
    }

    /// The address at which to call an upstream, if the request still waits for a slot and the current document lists
    /// the service and the upstream.
    fn upstream_address(&self, id: TicketId, upstream: &UpstreamName) -> Option<SocketAddr> {
        let ticket = self.tickets.get(&id)?;
        if !matches!(ticket.phase, Phase::Waiting(_)) {
            return None;
        }
        let service = self.documents.service(&ticket.claims.service)?;
        service.upstream(upstream).map(|upstream| upstream.address)
    }

    pub(crate) fn handle_call_result(&mut self, cx: &mut Context<'_>, call: CallId, result: CallResult) {
        let Some(id) = self.calls.remove(&call) else {
            return;
        };
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        let Phase::Calling { upstream, since, .. } = ticket.phase.clone() else {
            return;
        };
        let outcome = outcome_of(&result);
        let flow = ticket.claims.flow;
        let seq = ticket.request.seq;
        // No call is in progress any more. The time matters only if another slot is requested, which sets it again.
        ticket.phase = Phase::Waiting(cx.now);
        ticket.in_doubt |= outcome.verdict() == Verdict::MayHaveRun;
        cx.record(Record::Ended(upstream.clone(), flow, seq, outcome));
        self.release_slot(cx, id, outcome, cx.now.since(since));
        match result {
            CallResult::Answered(body) => self.complete_request(cx, id, Answer::new(body)),
            _ => self.retry_or_refuse(cx, id, upstream, outcome),
        }
    }

    /// Requests another slot if the request may be retried, or hands the request over if a planned stop has
    /// handed the ledgers over. Refuses the request if it may not be retried.
    fn retry_or_refuse(&mut self, cx: &mut Context<'_>, id: TicketId, upstream: UpstreamName, outcome: Outcome) {
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        let may_retry = outcome.verdict() == Verdict::NotRun || ticket.idempotent;
        if !may_retry || cx.now >= ticket.deadline {
            let reason = if outcome == Outcome::TimedOut {
                Reason::Deadline
            } else {
                Reason::Upstream
            };
            return self.refuse_request(cx, id, reason, RETRY_SOON);
        }
        if !ticket.avoid.contains(&upstream) {
            ticket.avoid.push(upstream);
        }
        if self.stop.has_handed_over() {
            return self.hand_over_request(cx, id);
        }
        self.request_slot(cx, id);
    }

    fn complete_request(&mut self, cx: &mut Context<'_>, id: TicketId, answer: Answer) {
        let Some(ticket) = self.remove_ticket(id) else {
            return;
        };
        let key = ticket.key();
        let seq = ticket.request.seq;
        let last_seq = self.ledgers.get(key).map_or(ticket.request.sent, |ledger| ledger.sent);
        let new_token = self.renew_token(cx, &ticket.claims, &ticket.request.token, last_seq.max(seq));
        push_chunk(cx, ticket.caller, key, seq, &answer, 0, new_token);
        cx.record(Record::Answered(key.flow, seq));
        self.counters.answered += 1;
        self.record_final_state(cx, key, seq, RequestState::Answered(Box::new(answer)));
    }

    /// Refuses a request with a final verdict. A call of it must have ended, or been cancelled and marked in doubt.
    pub(crate) fn refuse_request(&mut self, cx: &mut Context<'_>, id: TicketId, reason: Reason, retry_after: Millis) {
        let Some(ticket) = self.remove_ticket(id) else {
            return;
        };
        let key = ticket.key();
        let seq = ticket.request.seq;
        let verdict = ticket.verdict();
        self.record_final_state(cx, key, seq, RequestState::Refused(verdict, reason));
        let last_seq = self.ledgers.get(key).map_or(ticket.request.sent, |ledger| ledger.sent);
        let new_token = self.renew_token(cx, &ticket.claims, &ticket.request.token, last_seq.max(seq));
        self.reply_refused(cx, ticket.caller, key, seq, (verdict, reason), retry_after, new_token);
    }

    /// Records the final state of a request in the ledger, or sends that state to the successor if a planned stop has
    /// handed the ledger over.
    fn record_final_state(&mut self, cx: &mut Context<'_>, key: FlowKey, seq: RequestSeq, state: RequestState) {
        if self.stop.has_handed_over() {
            return self.send_final_state(cx, key, seq, &state);
        }
        self.ledgers.end(key, seq, state, cx.now);
    }

    pub(crate) fn remove_ticket(&mut self, id: TicketId) -> Option<Ticket> {
        let ticket = self.tickets.remove(&id)?;
        self.deadlines.remove(&(ticket.deadline, id));
        if let Phase::Calling { call, .. } = &ticket.phase {
            self.calls.remove(call);
        }
        Some(ticket)
    }

    /// Aborts requests that are past their deadline, and repeats slot requests that the home has neither granted nor
    /// denied.
    pub(crate) fn handle_request_timers(&mut self, cx: &mut Context<'_>) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > cx.now {
                break;
            }
            self.deadlines.remove(&(deadline, id));
            self.abort_request(cx, id, Reason::Deadline);
        }
        let timed_out: Vec<TicketId> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| self.slot_request_timed_out(ticket, cx.now))
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            self.request_slot(cx, id);
        }
    }

    fn slot_request_timed_out(&self, ticket: &Ticket, now: Time) -> bool {
        let Phase::Waiting(requested_at) = ticket.phase else {
            return false;
        };
        // A slot request to the local home is a function call and cannot be lost.
        ticket.home != self.local && now.since(requested_at) > SLOT_REQUEST_RETRY
    }

    /// Ends a request in any phase: withdraws its slot request or cancels its call, and refuses it.
    pub(crate) fn abort_request(&mut self, cx: &mut Context<'_>, id: TicketId, reason: Reason) {
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        match ticket.phase.clone() {
            Phase::Waiting(_) => self.withdraw_slot_request(cx, id),
            Phase::Calling { call, since, .. } => {
                ticket.in_doubt = true;
                cx.push(Action::Cancel(call));
                self.release_slot(cx, id, Outcome::TimedOut, cx.now.since(since));
            }
        }
        self.refuse_request(cx, id, reason, RETRY_SOON);
    }
}

/// The outcome that is reported to the home. An unusable answer counts as a failed call: the request may have run.
fn outcome_of(result: &CallResult) -> Outcome {
    match result {
        CallResult::Answered(_) => Outcome::Completed,
        CallResult::Shed => Outcome::Shed,
        CallResult::Draining => Outcome::Draining,
        CallResult::Unreachable => Outcome::Unreachable,
        CallResult::Failed | CallResult::Mismatched => Outcome::Failed,
        CallResult::TimedOut => Outcome::TimedOut,
    }
}
