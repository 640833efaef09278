//! Handling of received packets.

use units::FlowId;
use units::RequestSeq;
use units::Time;
use wire::Accepted;
use wire::Chunk;
use wire::Digest;
use wire::IssuedToken;
use wire::Opened;
use wire::Reason;
use wire::RefusalSubject;
use wire::Refused;
use wire::Reply;
use wire::Verdict;

use crate::Action;
use crate::Failure;
use crate::Flow;
use crate::Origin;
use crate::call::Attempt;
use crate::call::Call;
use crate::call::CallState;
use crate::call::Progress;
use crate::failure::is_retryable;
use crate::retransmit_timer::RetransmitTimer;
use crate::retransmit_timer::add_jitter;
use crate::session::OpenSession;
use crate::session::Session;

/// Maximum floor of an accepted token. The numbers above it are enough for any flow. Without this limit the last
/// number could be reused, and a request could receive the answer of another one.
const MAX_TOKEN_FLOOR: RequestSeq = RequestSeq(u64::MAX / 2);

impl Flow {
    pub(crate) fn receive(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Action>) {
        let Ok(reply) = wire::decode_reply(bytes) else {
            self.counters.malformed += 1;
            return;
        };
        match reply {
            Reply::Opened(opened) => self.on_opened(opened, out),
            Reply::Accepted(accepted) => self.on_accepted(now, &accepted),
            Reply::Chunk(chunk) => self.on_chunk(now, chunk, out),
            Reply::Refused(refused) => self.on_refused(now, refused, out),
        }
    }

    fn on_opened(&mut self, opened: Opened, out: &mut Vec<Action>) {
        let Session::Opening(opening) = &self.session else {
            self.counters.late += 1;
            return;
        };
        if opening.nonce != opened.nonce {
            self.counters.unmatched += 1;
            return;
        }
        if opened.granted.floor > MAX_TOKEN_FLOOR {
            self.counters.tokens_declined += 1;
            return;
        }
        self.session = Session::Open(OpenSession {
            flow: opened.flow,
            token: opened.granted.token,
        });
        self.owner_lost = false;
        // Request numbers are never reused, not even across flows.
        self.highest_seq = self.highest_seq.max(opened.granted.floor);
        if self.open_deadline.take().is_some() {
            out.push(Action::Opened(opened.flow));
        }
    }

    fn on_accepted(&mut self, now: Time, accepted: &Accepted) {
        let Some(index) = self.find(accepted.flow, accepted.seq) else {
            return self.handle_unmatched(accepted.flow, accepted.seq, None);
        };
        self.owner_lost = false;
        if let Some(attempt) = self.calls[index].attempt() {
            attempt.accept(now, &self.policy, &mut self.rng);
        }
    }

    fn on_chunk(&mut self, now: Time, chunk: Chunk, out: &mut Vec<Action>) {
        let Some(index) = self.find(chunk.flow, chunk.seq) else {
            return self.handle_unmatched(chunk.flow, chunk.seq, chunk.granted);
        };
        if chunk.head.len > self.policy.max_answer {
            let refusal = Failure::from_caller(Verdict::MayHaveRun, Reason::Limit);
            return self.fail(index, refusal, out);
        }
        self.owner_lost = false;
        self.adopt_token(chunk.flow, chunk.granted);
        let Some(attempt) = self.calls[index].attempt() else {
            return;
        };
        let progress = attempt.insert_chunk(chunk.head, chunk.index, chunk.data, &self.policy, &mut self.counters);
        match progress {
            Progress::Unchanged => return,
            Progress::Complete(body) => return self.complete(index, body, out),
            Progress::Partial => {}
        }
        let wait = if attempt.answer.is_some() {
            self.policy.retransmit_pull
        } else {
            self.policy.retransmit
        };
        attempt.timer = RetransmitTimer::start(now, wait, &self.policy, &mut self.rng);
        if let Some(packet) = attempt.next_pull(&self.service) {
            out.push(Action::Send(packet));
        }
    }

    fn on_refused(&mut self, now: Time, refused: Refused, out: &mut Vec<Action>) {
        let mut refusal = Failure {
            verdict: refused.verdict,
            reason: refused.reason,
            retry_after: refused.retry_after,
            origin: Origin::Instance,
        };
        let found = match refused.subject {
            RefusalSubject::Open(nonce) => return self.on_open_refused(now, nonce, refusal, out),
            RefusalSubject::Request(flow, seq) => self.find(flow, seq).ok_or((flow, seq)),
            RefusalSubject::Pull(flow, seq, digest) => {
                // A request that has an answer has run.
                refusal.verdict = Verdict::MayHaveRun;
                self.find_answer(flow, seq, digest).ok_or((flow, seq))
            }
            RefusalSubject::Unread(seq) => self.find_seq(seq).ok_or((self.flow_id(), seq)),
        };
        let index = match found {
            Ok(index) => index,
            Err((flow, seq)) => return self.handle_unmatched(flow, seq, refused.granted),
        };
        let is_pull = matches!(refused.subject, RefusalSubject::Pull(..));
        let answering = self.calls[index].attempt().is_some_and(|a| a.answer.is_some());
        if answering && !is_pull {
            // Another copy of the request was refused, but the answer to this one is arriving.
            self.counters.crossed += 1;
            return;
        }
        self.owner_lost &= refused.reason == Reason::OwnerGone;
        if let Some(flow) = self.calls[index].attempt().map(|attempt| attempt.flow) {
            self.adopt_token(flow, refused.granted);
        }
        if matches!(refused.reason, Reason::OwnerGone | Reason::AnswerGone)
            && self.resend_after_owner_gone(now, index, out)
        {
            return;
        }
        if refused.reason == Reason::Token {
            self.discard_token(now, index);
        }
        self.handle_refusal(now, index, refusal, out);
    }

    /// Resends the unanswered packets after an instance reported that the flow's owner, or its answer, is gone. During
    /// a partition between availability zones another instance may still reach the owner. Returns false once the
    /// resends are used up.
    fn resend_after_owner_gone(&mut self, now: Time, index: usize, out: &mut Vec<Action>) -> bool {
        let Some(attempt) = self.calls[index].attempt() else {
            return false;
        };
        attempt.owner_gone_count += 1;
        if attempt.owner_gone_count > self.policy.owner_gone_resends {
            return false;
        }
        attempt.timer = RetransmitTimer::start(now, self.policy.retransmit, &self.policy, &mut self.rng);
        for packet in attempt.unanswered_packets(&self.service) {
            self.counters.retransmitted += 1;
            out.push(Action::Send(packet));
        }
        true
    }

    fn on_open_refused(&mut self, now: Time, nonce: units::Nonce, refusal: Failure, out: &mut Vec<Action>) {
        if !matches!(&self.session, Session::Opening(opening) if opening.nonce == nonce) {
            self.counters.unmatched += 1;
            return;
        }
        let wait = add_jitter(
            refusal.retry_after.duration().max(self.policy.retry_backoff),
            &mut self.rng,
        );
        let not_before = now + wait;
        let is_permanent = !is_retryable(refusal.reason);
        self.session = Session::Idle(not_before);
        let failure = Failure {
            verdict: Verdict::NotRun,
            ..refusal
        };
        if self
            .open_deadline
            .is_some_and(|until| is_permanent || until <= not_before)
        {
            self.open_deadline = None;
            out.push(Action::OpenFailed(failure));
        }
        let cannot_be_sent = |call: &mut Call| {
            let waits = matches!(call.state, CallState::Waiting(_));
            waits && (is_permanent || call.deadline <= not_before)
        };
        for call in self.calls.extract_if(.., cannot_be_sent) {
            let failure = Failure {
                verdict: call.verdict(),
                ..refusal
            };
            out.push(Action::Ended(call.id, Err(failure)));
        }
    }

    /// Adopts a reissued token for the flow, unless a request number above its floor was used under another token. The
    /// token may arrive with a packet for a request that has already ended.
    fn adopt_token(&mut self, flow: FlowId, granted: Option<IssuedToken>) {
        let Some(granted) = granted else {
            return;
        };
        let Session::Open(open) = &mut self.session else {
            return;
        };
        if open.flow != flow || open.token == granted.token {
            return;
        }
        if granted.floor < self.highest_seq || granted.floor > MAX_TOKEN_FLOOR {
            self.counters.tokens_declined += 1;
            return;
        }
        open.token = granted.token;
        self.owner_lost = false;
        self.highest_seq = granted.floor;
        self.counters.tokens_adopted += 1;
    }

    /// Handles a refused token: if it is the flow's current one, later requests open a new flow.
    fn discard_token(&mut self, now: Time, index: usize) {
        let Some(attempt) = self.calls[index].attempt() else {
            return;
        };
        let refused = &attempt.token;
        if matches!(&self.session, Session::Open(open) if &open.token == refused) {
            self.session = Session::Idle(now);
            self.counters.reopened += 1;
        }
    }

    fn fail(&mut self, index: usize, failure: Failure, out: &mut Vec<Action>) {
        let call = self.calls.remove(index);
        out.push(Action::Ended(call.id, Err(failure)));
    }

    fn find(&self, flow: FlowId, seq: RequestSeq) -> Option<usize> {
        self.position(|attempt| attempt.flow == flow && attempt.seq == seq)
    }

    fn find_seq(&self, seq: RequestSeq) -> Option<usize> {
        self.position(|attempt| attempt.seq == seq)
    }

    fn find_answer(&self, flow: FlowId, seq: RequestSeq, digest: Digest) -> Option<usize> {
        let named = |attempt: &Attempt| attempt.answer.as_ref().is_some_and(|a| a.head.digest == digest);
        self.position(|attempt| attempt.flow == flow && attempt.seq == seq && named(attempt))
    }

    fn position(&self, wanted: impl Fn(&Attempt) -> bool) -> Option<usize> {
        self.calls.iter().position(|call| match &call.state {
            CallState::Waiting(_) => false,
            CallState::Sent(attempt) => wanted(attempt),
        })
    }

    fn flow_id(&self) -> FlowId {
        match &self.session {
            Session::Open(open) => open.flow,
            Session::Idle(_) | Session::Opening(_) => FlowId::default(),
        }
    }

    /// Counts a packet for a request that is not in progress. The token of a late one may still be adopted.
    fn handle_unmatched(&mut self, flow: FlowId, seq: RequestSeq, granted: Option<IssuedToken>) {
        if flow != self.flow_id() || seq > self.highest_seq {
            self.counters.unmatched += 1;
            return;
        }
        self.counters.late += 1;
        self.adopt_token(flow, granted);
    }
}
