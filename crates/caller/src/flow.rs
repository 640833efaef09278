//! A flow as a sans-I/O state machine.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_bytes::ByteBuf;
use units::FlowId;
use units::KindName;
use units::Millis;
use units::RequestSeq;
use units::ServiceName;
use units::Time;
use wire::Packet;
use wire::Reason;
use wire::Verdict;

use crate::Failure;
use crate::FlowCounters;
use crate::Policy;
use crate::call::Attempt;
use crate::call::Call;
use crate::call::CallState;
use crate::failure::is_retryable;
use crate::retransmit_timer::RetransmitTimer;
use crate::retransmit_timer::add_jitter;
use crate::retry_budget::RetryBudget;
use crate::session::Opening;
use crate::session::Session;

/// Identifies a call within a flow. The driver of the flow chooses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A request to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// The kind of request, which the service's document describes.
    pub kind: KindName,
    /// The body passed to the upstream.
    pub body: Vec<u8>,
    /// Time limit for the answer, including retries.
    pub timeout: Duration,
    /// Whether the request may safely run twice. If not, it is retried only if it is known not to have run.
    pub idempotent: bool,
}

/// Input of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Open the flow before there is a request.
    Open,
    /// Start a call.
    Request(CallId, CallRequest),
    /// A datagram was received.
    Datagram(Vec<u8>),
    /// Time has passed. The driver sends this no later than [`Flow::next_wake`].
    Tick,
    /// The flow is no longer needed.
    Close,
}

/// Output of a flow, for the driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram to the fabric.
    Send(Vec<u8>),
    /// The flow was opened.
    Opened(FlowId),
    /// The flow was refused or could not be opened in time.
    OpenFailed(Failure),
    /// A call ended.
    Ended(CallId, Result<Vec<u8>, Failure>),
}

/// The client end of a flow.
#[derive(Debug)]
pub struct Flow {
    pub(crate) service: ServiceName,
    address: SocketAddr,
    pub(crate) policy: Policy,
    pub(crate) rng: SmallRng,
    retry_budget: RetryBudget,
    pub(crate) counters: FlowCounters,
    pub(crate) session: Session,
    /// Deadline of a requested [`Event::Open`], if it is pending.
    pub(crate) open_deadline: Option<Time>,
    /// The highest request number used or excluded by a token's floor. It is kept when the flow is reopened.
    pub(crate) highest_seq: RequestSeq,
    /// Whether an unresponsive request ended at its deadline and no sign of an owner has arrived since.
    pub(crate) owner_lost: bool,
    pub(crate) calls: Vec<Call>,
}

impl Flow {
    /// Creates a flow to `service`, whose public address is `address`. `seed` determines nonces and jitter.
    pub fn new(service: ServiceName, address: SocketAddr, policy: Policy, seed: u64) -> Self {
        Self {
            service,
            address,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            retry_budget: RetryBudget::new(&policy),
            counters: FlowCounters::default(),
            session: Session::Idle(Time::default()),
            open_deadline: None,
            highest_seq: RequestSeq::default(),
            owner_lost: false,
            calls: Vec::new(),
        }
    }

    /// The counters of the flow.
    pub fn counters(&self) -> FlowCounters {
        self.counters
    }

    /// When the next [`Event::Tick`] is due, if any.
    pub fn next_wake(&self) -> Option<Time> {
        let opening = match &self.session {
            Session::Opening(opening) => Some(opening.timer.due),
            Session::Idle(not_before) if self.open_deadline.is_some() => Some(*not_before),
            Session::Idle(_) | Session::Open(_) => None,
        };
        let session_due = opening.into_iter().chain(self.open_deadline);
        let blocked = matches!(self.session, Session::Opening(_))
            || self.is_seq_span_full()
            || self.is_unresponsive()
            || self.is_probing();
        let calls_due = self.calls.iter().map(|call| self.call_due(call, blocked));
        calls_due.chain(session_due).min()
    }

    /// When a call next needs handling. A waiting call that others block only needs handling at its deadline.
    fn call_due(&self, call: &Call, blocked: bool) -> Time {
        match (&self.session, &call.state) {
            (_, CallState::Waiting(_)) if blocked => call.deadline,
            (Session::Idle(not_before), CallState::Waiting(_)) => call.due().max(*not_before).min(call.deadline),
            _ => call.due(),
        }
    }

    /// Whether any request in progress is unresponsive, in which case new requests wait. If the owner is gone, requests
    /// sent to it end as `may have run`, while those that wait go to the next owner and are known not to have run.
    fn is_unresponsive(&self) -> bool {
        self.calls.iter().any(Call::is_unresponsive)
    }

    /// Whether a request is in progress as a probe for a new owner.
    fn is_probing(&self) -> bool {
        self.owner_lost && self.calls.iter().any(|call| call.seq().is_some())
    }

    /// The call to send as a probe while the owner is lost: the one with the most time left, so that few calls end as
    /// `may have run`.
    fn probe(&self, now: Time) -> Option<CallId> {
        if !self.owner_lost {
            return None;
        }
        let due = self.calls.iter().filter(|call| call.is_due(now));
        due.max_by_key(|call| call.deadline).map(|call| call.id)
    }

    /// Whether the next request number would be too far ahead of the oldest one in progress.
    fn is_seq_span_full(&self) -> bool {
        let numbers = self.calls.iter().filter_map(Call::seq);
        let next = self.highest_seq.next();
        numbers
            .min()
            .is_some_and(|oldest| next.0 - oldest.0 >= self.policy.max_seq_span)
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Open => self.open_deadline = Some(now + self.policy.open_timeout),
            Event::Request(id, request) => self.enqueue(now, id, request, out),
            Event::Datagram(bytes) => self.receive(now, &bytes, out),
            Event::Tick => {}
            Event::Close => return self.close(out),
        }
        self.expire(now, out);
        self.resend(now, out);
        self.open_if_needed(now, out);
        self.send_queued(now, out);
    }

    fn enqueue(&mut self, now: Time, id: CallId, request: CallRequest, out: &mut Vec<Action>) {
        if self.calls.len() >= self.policy.max_in_flight {
            let failure = Failure::from_caller(Verdict::NotRun, Reason::Limit);
            return out.push(Action::Ended(id, Err(failure)));
        }
        self.calls.push(Call::new(now, id, request, &self.policy));
    }

    fn close(&mut self, out: &mut Vec<Action>) {
        for call in self.calls.drain(..) {
            out.push(Action::Ended(call.id, Err(call.deadline_failure())));
        }
        if let Session::Open(open) = &self.session {
            let close = wire::Close {
                token: open.token.clone(),
                service: self.service.clone(),
            };
            out.push(Action::Send(wire::encode_packet(&Packet::Close(close))));
        }
        self.session = Session::Idle(Time::default());
        self.open_deadline = None;
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.open_deadline.is_some_and(|until| until <= now) {
            self.open_deadline = None;
            let failure = Failure::from_caller(Verdict::NotRun, Reason::Deadline);
            out.push(Action::OpenFailed(failure));
        }
        for call in self.calls.extract_if(.., |call| call.deadline <= now) {
            self.owner_lost |= call.is_unresponsive();
            out.push(Action::Ended(call.id, Err(call.deadline_failure())));
        }
    }

    fn resend(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Session::Opening(opening) = &mut self.session
            && opening.timer.due <= now
        {
            // Retransmission of an `Open` is not limited by a deadline.
            opening.timer.back_off(now, Time(u64::MAX), &mut self.rng);
            self.counters.retransmitted += 1;
            out.push(Action::Send(opening.packet.clone()));
        }
        for call in &mut self.calls {
            let CallState::Sent(attempt) = &mut call.state else {
                continue;
            };
            if attempt.timer.due > now {
                continue;
            }
            attempt.timer.back_off(now, call.deadline, &mut self.rng);
            for packet in attempt.timed_out_packets(&self.service) {
                self.counters.retransmitted += 1;
                out.push(Action::Send(packet));
            }
        }
    }

    /// Sends an `Open` if a token is needed.
    fn open_if_needed(&mut self, now: Time, out: &mut Vec<Action>) {
        let needed = self.open_deadline.is_some() || self.calls.iter().any(|call| call.is_due(now));
        match &self.session {
            Session::Idle(not_before) if needed && *not_before <= now => {}
            // Nothing needs the token any more.
            Session::Opening(_) if self.open_deadline.is_none() && !self.has_waiting() => {
                self.session = Session::Idle(now);
                return;
            }
            _ => return,
        }
        let opening = Opening::new(now, &self.service, self.address, &self.policy, &mut self.rng);
        out.push(Action::Send(opening.packet.clone()));
        self.session = Session::Opening(opening);
    }

    fn has_waiting(&self) -> bool {
        let waits = |call: &Call| matches!(call.state, CallState::Waiting(_));
        self.calls.iter().any(waits)
    }

    /// Sends the waiting calls that are due, each under a new request number.
    fn send_queued(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.is_unresponsive() || self.is_probing() {
            return;
        }
        let probe = self.probe(now);
        let Session::Open(open) = &self.session else {
            return;
        };
        let mut oversized = Vec::new();
        let mut oldest = self.calls.iter().filter_map(Call::seq).min();
        for call in &mut self.calls {
            if !call.is_due(now) || probe.is_some_and(|probe| probe != call.id) {
                continue;
            }
            let seq = self.highest_seq.next();
            let oldest = *oldest.get_or_insert(seq);
            if seq.0 - oldest.0 >= self.policy.max_seq_span {
                break;
            }
            let remaining = now.until(call.deadline);
            let margin = self.policy.deadline_margin.min(remaining / 10);
            let packet = wire::encode_packet(&Packet::Request(wire::Request {
                token: open.token.clone(),
                service: self.service.clone(),
                seq,
                sent: seq,
                kind: call.request.kind.clone(),
                timeout: whole_millis(remaining.saturating_sub(margin)),
                body: ByteBuf::from(call.request.body.as_slice()),
            }));
            if packet.len() > wire::MAX_PACKET_LEN {
                oversized.push(call.id);
                continue;
            }
            self.highest_seq = seq;
            out.push(Action::Send(packet.clone()));
            call.state = CallState::Sent(Box::new(Attempt {
                flow: open.flow,
                seq,
                token: open.token.clone(),
                packet,
                accepted: false,
                unresponsive: false,
                owner_gone_count: 0,
                timer: RetransmitTimer::start(now, self.policy.retransmit, &self.policy, &mut self.rng),
                answer: None,
            }));
        }
        for call in self.calls.extract_if(.., |call| oversized.contains(&call.id)) {
            let failure = Failure::from_caller(call.verdict(), Reason::Limit);
            out.push(Action::Ended(call.id, Err(failure)));
        }
    }

    /// Ends a call whose answer is complete.
    pub(crate) fn complete(&mut self, index: usize, body: Vec<u8>, out: &mut Vec<Action>) {
        self.retry_budget.deposit();
        let call = self.calls.remove(index);
        if let CallState::Sent(attempt) = &call.state {
            let done = wire::Done {
                token: attempt.token.clone(),
                service: self.service.clone(),
                seq: attempt.seq,
            };
            out.push(Action::Send(wire::encode_packet(&Packet::Done(done))));
        }
        out.push(Action::Ended(call.id, Ok(body)));
    }

    /// Schedules a retry of a refused call, or ends it.
    pub(crate) fn handle_refusal(&mut self, now: Time, index: usize, refusal: Failure, out: &mut Vec<Action>) {
        let call = &mut self.calls[index];
        call.may_have_run |= refusal.verdict == Verdict::MayHaveRun;
        call.reason = refusal.reason;
        let wait = add_jitter(refusal.retry_after.duration().max(call.backoff), &mut self.rng);
        let allowed = call.request.idempotent || !call.may_have_run;
        let useful = is_retryable(refusal.reason) && now + wait < call.deadline;
        if allowed && useful && self.retry_budget.try_withdraw() {
            call.backoff *= 2;
            call.state = CallState::Waiting(now + wait);
            self.counters.retried += 1;
            return;
        }
        let failure = Failure {
            verdict: call.verdict(),
            ..refusal
        };
        let call = self.calls.remove(index);
        out.push(Action::Ended(call.id, Err(failure)));
    }
}

/// Converts to milliseconds, rounding down (to at least 1) so that the instances' deadline is not later than the
/// caller's.
fn whole_millis(span: Duration) -> Millis {
    Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX).max(1))
}
