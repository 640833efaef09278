//! The owner's part: it alone lets requests of its flows begin, and it alone says that one has not run.

use std::net::SocketAddr;
use std::time::Duration;

use token::Claims;
use units::Millis;
use units::RequestSeq;
use units::Time;
use units::UpstreamName;
use wire::Accepted;
use wire::Answer;
use wire::IssuedToken;
use wire::Outcome;
use wire::Packet;
use wire::Reason;
use wire::RefusalSubject;
use wire::Refused;
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
use crate::State;
use crate::answers::push_chunk;
use crate::flows::Group;
use crate::ingress::Arrival;
use crate::ingress::RETRY_SOON;
use crate::node::Cx;
use crate::ticket::Phase;
use crate::ticket::Ticket;

/// How long a home may leave a request for a slot unanswered before it is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// Why a request may not begin.
struct Bar {
    reason: Reason,
    retry_after: Millis,
}

impl Node {
    /// Takes a packet of a flow that this node owns.
    pub(crate) fn own(&mut self, cx: &mut Cx<'_>, claims: Claims, arrival: &Arrival) {
        let key = FlowKey {
            owner: claims.incarnation,
            flow: claims.flow,
        };
        match arrival.packet.clone() {
            Packet::Request(request) => self.take_request(cx, claims, request, arrival),
            Packet::Pull(pull) => self.take_pull(cx, key, arrival.caller, &pull),
            Packet::Done(done) => self.ledgers.forget_answer(key, done.seq),
            Packet::Close(_) => self.ledgers.close(key, cx.now),
            Packet::Open(_) => {}
        }
    }

    fn take_request(&mut self, cx: &mut Cx<'_>, claims: Claims, request: Request, arrival: &Arrival) {
        let key = FlowKey {
            owner: claims.incarnation,
            flow: claims.flow,
        };
        let seq = request.seq;
        let fresh = !self.ledgers.contains(key);
        let group = Group::of(arrival.caller.ip(), self.seed);
        if fresh && !self.ledgers.has_room(group, self.limits.flows) {
            let refusal = (Verdict::MayHaveRun, Reason::Limit);
            return self.reply_refused(cx, arrival.caller, key, seq, refusal, RETRY_SOON, None);
        }
        let known = match self.ledgers.look_up(key, claims.floor, seq, request.sent, cx.now) {
            Lookup::New => None,
            Lookup::TooOld => Some(State::Refused(Verdict::MayHaveRun, Reason::TooOld)),
            Lookup::Full => Some(State::Refused(Verdict::MayHaveRun, Reason::Limit)),
            Lookup::Known(state) => Some(state.clone()),
        };
        if fresh {
            self.ledgers.charge(key, group);
        }
        if let Some(state) = known {
            return self.repeat(cx, key, seq, &state, arrival.caller);
        }
        match self.check_kind(&request) {
            Ok(idempotent) => self.begin(cx, claims, request, idempotent, arrival),
            Err(bar) => {
                self.ledgers.refuse(key, seq, bar.reason, cx.now);
                let refusal = (Verdict::NotRun, bar.reason);
                self.reply_refused(cx, arrival.caller, key, seq, refusal, bar.retry_after, None);
            }
        }
    }

    /// Answers a request that has come before.
    fn repeat(&mut self, cx: &mut Cx<'_>, key: FlowKey, seq: RequestSeq, state: &State, caller: SocketAddr) {
        match state {
            State::Running(ticket) => {
                if let Some(ticket) = self.tickets.get_mut(ticket) {
                    ticket.caller = caller;
                }
                cx.push(Action::Reply(caller, Reply::Accepted(Accepted { flow: key.flow, seq })));
            }
            State::Elsewhere(_) => cx.push(Action::Reply(caller, Reply::Accepted(Accepted { flow: key.flow, seq }))),
            State::Answered(answer) => push_chunk(cx, caller, key, seq, answer, 0, None),
            State::Forgotten => {
                let refusal = (Verdict::MayHaveRun, Reason::AnswerGone);
                self.reply_refused(cx, caller, key, seq, refusal, Millis(0), None);
            }
            State::Refused(verdict, reason) => {
                self.reply_refused(cx, caller, key, seq, (*verdict, *reason), RETRY_SOON, None);
            }
        }
    }

    fn check_kind(&self, request: &Request) -> Result<bool, Bar> {
        let bar = |reason| Bar {
            reason,
            retry_after: RETRY_SOON,
        };
        if self.documents.current().is_none() {
            return Err(bar(Reason::NoDocument));
        }
        let service = self.documents.service(&request.service).ok_or(bar(Reason::Unknown))?;
        let kind = service.kind(&request.kind).ok_or(bar(Reason::Unknown))?;
        if self.tickets.len() >= self.limits.requests {
            return Err(bar(Reason::Limit));
        }
        Ok(kind.idempotent)
    }

    fn begin(&mut self, cx: &mut Cx<'_>, claims: Claims, request: Request, idempotent: bool, arrival: &Arrival) {
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
            caller: arrival.caller,
            zone: arrival.zone.clone(),
            idempotent,
            deadline,
            avoid: Vec::new(),
            in_doubt: false,
            home: self.me.clone(),
            phase: Phase::Waiting(cx.now),
        };
        self.start_ticket(cx, id, ticket);
    }

    pub(crate) fn next_ticket(&mut self) -> TicketId {
        self.last_ticket += 1;
        TicketId(self.last_ticket)
    }

    /// Puts a request whose ledger line names this ticket in the queue of its service's home.
    pub(crate) fn start_ticket(&mut self, cx: &mut Cx<'_>, id: TicketId, ticket: Ticket) {
        self.deadlines.insert((ticket.deadline, id));
        self.tickets.insert(id, ticket);
        self.ask(cx, id);
    }

    /// Calls the upstream whose slot was lent.
    pub(crate) fn use_slot(&mut self, cx: &mut Cx<'_>, id: TicketId, upstream: &UpstreamName) {
        let Some(address) = self.callable(id, upstream) else {
            // This instance's document may lag the home's. The home is asked again after a while.
            return self.settle(cx, id, Outcome::Unused, Duration::ZERO);
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
        if ticket.claims.pinned.is_some() || self.documents.pins(&ticket.claims.service) {
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

    /// Where to call an upstream for a request that still waits.
    fn callable(&self, id: TicketId, upstream: &UpstreamName) -> Option<SocketAddr> {
        let ticket = self.tickets.get(&id)?;
        if !matches!(ticket.phase, Phase::Waiting(_)) {
            return None;
        }
        let service = self.documents.service(&ticket.claims.service)?;
        service.upstream(upstream).map(|upstream| upstream.address)
    }

    /// Takes the end of a call.
    pub(crate) fn end_call(&mut self, cx: &mut Cx<'_>, call: CallId, result: CallResult) {
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
        ticket.phase = Phase::Waiting(cx.now);
        ticket.in_doubt |= outcome.verdict() == Verdict::MayHaveRun;
        cx.record(Record::Ended(upstream.clone(), flow, seq, outcome));
        self.settle(cx, id, outcome, cx.now.since(since));
        match result {
            CallResult::Answered(body) => self.answer(cx, id, Answer::new(body)),
            _ => self.retry(cx, id, upstream, outcome),
        }
    }

    /// Asks for another slot if the request may still run, else refuses it.
    fn retry(&mut self, cx: &mut Cx<'_>, id: TicketId, upstream: UpstreamName, outcome: Outcome) {
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        let may_run = outcome.verdict() == Verdict::NotRun || ticket.idempotent;
        if !may_run || cx.now >= ticket.deadline {
            let reason = if outcome == Outcome::TimedOut {
                Reason::Deadline
            } else {
                Reason::Upstream
            };
            return self.refuse(cx, id, reason, RETRY_SOON);
        }
        if !ticket.avoid.contains(&upstream) {
            ticket.avoid.push(upstream);
        }
        if self.stop.has_handed_over() {
            return self.pass_on(cx, id);
        }
        self.ask(cx, id);
    }

    fn answer(&mut self, cx: &mut Cx<'_>, id: TicketId, answer: Answer) {
        let Some(ticket) = self.remove_ticket(id) else {
            return;
        };
        let key = ticket.key();
        let seq = ticket.request.seq;
        let sent = self.ledgers.get(key).map_or(ticket.request.sent, |ledger| ledger.sent);
        let granted = self.renew(cx, &ticket.claims, &ticket.request.token, sent.max(seq));
        push_chunk(cx, ticket.caller, key, seq, &answer, 0, granted);
        cx.record(Record::Answered(key.flow, seq));
        self.counters.answered += 1;
        self.write_end(cx, key, seq, State::Answered(Box::new(answer)));
    }

    /// Refuses a request for good. No call of it is in progress any more.
    pub(crate) fn refuse(&mut self, cx: &mut Cx<'_>, id: TicketId, reason: Reason, retry_after: Millis) {
        let Some(ticket) = self.remove_ticket(id) else {
            return;
        };
        let key = ticket.key();
        let seq = ticket.request.seq;
        let verdict = ticket.verdict();
        self.write_end(cx, key, seq, State::Refused(verdict, reason));
        let sent = self.ledgers.get(key).map_or(ticket.request.sent, |ledger| ledger.sent);
        let granted = self.renew(cx, &ticket.claims, &ticket.request.token, sent.max(seq));
        self.reply_refused(cx, ticket.caller, key, seq, (verdict, reason), retry_after, granted);
    }

    /// Writes an end to the ledger, or tells whoever holds the ledger now.
    fn write_end(&mut self, cx: &mut Cx<'_>, key: FlowKey, seq: RequestSeq, state: State) {
        if self.stop.has_handed_over() {
            return self.resolve(cx, key, seq, &state);
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

    #[expect(
        clippy::too_many_arguments,
        reason = "each is a field of the reply, and a struct would only copy it"
    )]
    pub(crate) fn reply_refused(
        &mut self,
        cx: &mut Cx<'_>,
        caller: SocketAddr,
        key: FlowKey,
        seq: RequestSeq,
        (verdict, reason): (Verdict, Reason),
        retry_after: Millis,
        granted: Option<IssuedToken>,
    ) {
        self.counters.refuse(verdict, reason);
        cx.record(Record::Refused(key.flow, seq, verdict, reason));
        let subject = RefusalSubject::Request(key.flow, seq);
        let refused = Refused {
            subject,
            verdict,
            reason,
            retry_after,
            granted,
        };
        cx.push(Action::Reply(caller, Reply::Refused(refused)));
    }

    /// Gives up what is past its deadline, and asks again for slots whose home stays silent.
    pub(crate) fn tick_owner(&mut self, cx: &mut Cx<'_>) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > cx.now {
                break;
            }
            self.deadlines.remove(&(deadline, id));
            self.give_up(cx, id, Reason::Deadline);
        }
        let silent: Vec<TicketId> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| self.is_silent(ticket, cx.now))
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            self.ask(cx, id);
        }
    }

    fn is_silent(&self, ticket: &Ticket, now: Time) -> bool {
        let Phase::Waiting(asked) = ticket.phase else {
            return false;
        };
        ticket.home != self.me && now.since(asked) > ASK_AGAIN
    }

    /// Ends a request whatever it is doing.
    pub(crate) fn give_up(&mut self, cx: &mut Cx<'_>, id: TicketId, reason: Reason) {
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        match ticket.phase.clone() {
            Phase::Waiting(_) => self.withdraw(cx, id),
            Phase::Calling { call, since, .. } => {
                ticket.in_doubt = true;
                cx.push(Action::Cancel(call));
                self.settle(cx, id, Outcome::TimedOut, cx.now.since(since));
            }
        }
        self.refuse(cx, id, reason, RETRY_SOON);
    }
}

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
