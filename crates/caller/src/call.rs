//! A call and its attempts.

use std::time::Duration;

use rand::rngs::SmallRng;
use serde_bytes::ByteBuf;
use units::FlowId;
use units::RequestSeq;
use units::ServiceName;
use units::Time;
use wire::AnswerHeader;
use wire::Packet;
use wire::Reason;
use wire::SealedToken;
use wire::Verdict;

use crate::CallId;
use crate::CallRequest;
use crate::Failure;
use crate::FlowCounters;
use crate::Policy;
use crate::assembly::Assembly;
use crate::assembly::ChunkRange;
use crate::assembly::InsertOutcome;
use crate::retransmit_timer::RetransmitTimer;

/// A call, from its submission until it succeeds or fails.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) request: CallRequest,
    pub(crate) deadline: Time,
    /// Whether an earlier attempt may have been executed.
    pub(crate) may_have_run: bool,
    /// The reason why the last attempt ended.
    pub(crate) reason: Reason,
    /// The minimum delay before the next retry.
    pub(crate) backoff: Duration,
    pub(crate) state: CallState,
}

/// The state of a call.
#[derive(Debug)]
pub(crate) enum CallState {
    /// Waiting for a token, and not to be sent before this time.
    Waiting(Time),
    /// An attempt is in progress.
    Sent(Box<Attempt>),
}

impl Call {
    pub(crate) fn new(now: Time, id: CallId, request: CallRequest, policy: &Policy) -> Self {
        let deadline = now + request.timeout;
        Self {
            id,
            request,
            deadline,
            may_have_run: false,
            reason: Reason::Deadline,
            backoff: policy.retry_backoff,
            state: CallState::Waiting(now),
        }
    }

    /// The failure to report when the deadline passes.
    pub(crate) fn deadline_failure(&self) -> Failure {
        match self.state {
            CallState::Waiting(_) => Failure::from_caller(self.verdict(), self.reason),
            CallState::Sent(_) => Failure::from_caller(Verdict::MayHaveRun, Reason::Deadline),
        }
    }

    /// Whether any of the ended attempts may have been executed.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.may_have_run {
            return Verdict::MayHaveRun;
        }
        Verdict::NotRun
    }

    pub(crate) fn attempt(&mut self) -> Option<&mut Attempt> {
        match &mut self.state {
            CallState::Waiting(_) => None,
            CallState::Sent(attempt) => Some(attempt),
        }
    }

    /// The request number of the attempt in progress.
    pub(crate) fn seq(&self) -> Option<RequestSeq> {
        match &self.state {
            CallState::Waiting(_) => None,
            CallState::Sent(attempt) => Some(attempt.seq),
        }
    }

    /// Whether the call is waiting and may be sent now.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        matches!(self.state, CallState::Waiting(not_before) if not_before <= now)
    }

    /// Whether the attempt in progress was retransmitted and has received no reply since.
    pub(crate) fn is_unresponsive(&self) -> bool {
        matches!(&self.state, CallState::Sent(attempt) if attempt.unresponsive)
    }

    /// When the call next needs handling: to be sent, retransmitted or expired.
    pub(crate) fn due(&self) -> Time {
        let due = match &self.state {
            CallState::Waiting(not_before) => *not_before,
            CallState::Sent(attempt) => attempt.timer.due,
        };
        due.min(self.deadline)
    }
}

/// One attempt of a call, sent under its own request number.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) flow: FlowId,
    pub(crate) seq: RequestSeq,
    /// The token the request was sent with. Its owner stores the answer, so pulls carry this token even if the flow
    /// has adopted another one since.
    pub(crate) token: SealedToken,
    /// The encoded request. Retransmissions repeat it byte for byte.
    pub(crate) packet: Vec<u8>,
    pub(crate) accepted: bool,
    /// Whether a packet was retransmitted and no reply has arrived since, which may mean that the flow's owner is gone.
    pub(crate) unresponsive: bool,
    /// How many replies reported that the flow's owner, or its answer, is gone.
    pub(crate) owner_gone_count: u32,
    pub(crate) timer: RetransmitTimer,
    pub(crate) answer: Option<Assembly>,
}

/// The effect of a chunk on an attempt.
#[derive(Debug)]
pub(crate) enum Progress {
    /// The chunk was ignored.
    Unchanged,
    /// Chunks of the answer are still missing.
    Partial,
    /// The answer is complete.
    Complete(Vec<u8>),
}

impl Attempt {
    /// Records that the request has arrived, and slows down its retransmission.
    pub(crate) fn accept(&mut self, now: Time, policy: &Policy, rng: &mut SmallRng) {
        self.unresponsive = false;
        if self.accepted || self.answer.is_some() {
            return;
        }
        self.accepted = true;
        self.timer = RetransmitTimer::start(now, policy.retransmit_accepted, policy, rng);
    }

    /// Adds a chunk to the answer. A complete answer with a wrong digest is dropped, so that it is requested again.
    pub(crate) fn insert_chunk(
        &mut self,
        head: AnswerHeader,
        index: u32,
        data: ByteBuf,
        policy: &Policy,
        counters: &mut FlowCounters,
    ) -> Progress {
        self.unresponsive = false;
        let answer = self.answer.get_or_insert_with(|| Assembly::new(head, policy.window));
        if answer.head != head {
            counters.crossed += 1;
            return Progress::Unchanged;
        }
        match answer.insert(index, data) {
            InsertOutcome::New => {}
            InsertOutcome::Duplicate => {
                counters.duplicate += 1;
                return Progress::Unchanged;
            }
            InsertOutcome::Unexpected => {
                counters.crossed += 1;
                return Progress::Unchanged;
            }
        }
        if !answer.is_complete() {
            answer.grow_window();
            return Progress::Partial;
        }
        let digest_matches = answer.matches_digest();
        let Some(answer) = self.answer.take() else {
            return Progress::Unchanged;
        };
        if digest_matches {
            return Progress::Complete(answer.into_body());
        }
        counters.corrupt += 1;
        Progress::Partial
    }

    /// Marks the attempt as unresponsive and returns the packets to retransmit when the timer fires.
    pub(crate) fn timed_out_packets(&mut self, service: &ServiceName) -> Vec<Vec<u8>> {
        self.unresponsive = true;
        self.unanswered_packets(service)
    }

    /// The packets to retransmit: the request, or pulls for the missing chunks.
    pub(crate) fn unanswered_packets(&mut self, service: &ServiceName) -> Vec<Vec<u8>> {
        let Some(answer) = &mut self.answer else {
            return vec![self.packet.clone()];
        };
        let ranges = answer.request_missing();
        let head = answer.head;
        ranges
            .into_iter()
            .map(|range| self.pull(service, head, range))
            .collect()
    }

    /// The next pull packet, if enough of the window is free.
    pub(crate) fn next_pull(&mut self, service: &ServiceName) -> Option<Vec<u8>> {
        let answer = self.answer.as_mut()?;
        let range = answer.request_next()?;
        let head = answer.head;
        Some(self.pull(service, head, range))
    }

    fn pull(&self, service: &ServiceName, head: AnswerHeader, range: ChunkRange) -> Vec<u8> {
        wire::encode_packet(&Packet::Pull(wire::Pull {
            token: self.token.clone(),
            service: service.clone(),
            seq: self.seq,
            digest: head.digest,
            first: range.first,
            count: range.count,
        }))
    }
}
