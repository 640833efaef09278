//! One piece of work and its attempts.

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
use crate::Failure;
use crate::Policy;
use crate::Tally;
use crate::Work;
use crate::assembly::Assembly;
use crate::assembly::Inserted;
use crate::assembly::Run;
use crate::timer::Timer;

/// One piece of work, from the caller's asking to its end.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) work: Work,
    pub(crate) deadline: Time,
    /// Whether an earlier attempt may have run.
    pub(crate) doubt: bool,
    /// Why the last attempt ended.
    pub(crate) reason: Reason,
    /// The shortest wait before the next retry.
    pub(crate) backoff: Duration,
    pub(crate) stage: Stage,
}

/// How far a piece of work has come.
#[derive(Debug)]
pub(crate) enum Stage {
    /// It waits for a token and for this time.
    Waiting(Time),
    /// An attempt is in progress.
    Sent(Box<Attempt>),
}

impl Call {
    pub(crate) fn new(now: Time, id: CallId, work: Work, policy: &Policy) -> Self {
        let deadline = now + work.timeout;
        Self {
            id,
            work,
            deadline,
            doubt: false,
            reason: Reason::Deadline,
            backoff: policy.retry,
            stage: Stage::Waiting(now),
        }
    }

    /// How the work ends when its deadline passes now.
    pub(crate) fn lapse(&self) -> Failure {
        match self.stage {
            Stage::Waiting(_) => Failure::local(self.verdict(), self.reason),
            Stage::Sent(_) => Failure::local(Verdict::MayHaveRun, Reason::Deadline),
        }
    }

    /// Whether any attempt that has ended may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.doubt {
            return Verdict::MayHaveRun;
        }
        Verdict::NotRun
    }

    pub(crate) fn attempt(&mut self) -> Option<&mut Attempt> {
        match &mut self.stage {
            Stage::Waiting(_) => None,
            Stage::Sent(attempt) => Some(attempt),
        }
    }

    /// The number of the attempt in progress.
    pub(crate) fn seq(&self) -> Option<RequestSeq> {
        match &self.stage {
            Stage::Waiting(_) => None,
            Stage::Sent(attempt) => Some(attempt.seq),
        }
    }

    /// Whether it waits for nothing but to be sent.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        matches!(self.stage, Stage::Waiting(not_before) if not_before <= now)
    }

    /// Whether the attempt in progress waits for a sign of life.
    pub(crate) fn is_silent(&self) -> bool {
        matches!(&self.stage, Stage::Sent(attempt) if attempt.silent)
    }

    /// When something is to be done for this work.
    pub(crate) fn due(&self) -> Time {
        let due = match &self.stage {
            Stage::Waiting(not_before) => *not_before,
            Stage::Sent(attempt) => attempt.timer.due,
        };
        due.min(self.deadline)
    }
}

/// One request number's life.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) flow: FlowId,
    pub(crate) seq: RequestSeq,
    /// The request's token. Its owner keeps the answer, so pulls carry it too, whatever token the flow has since.
    pub(crate) token: SealedToken,
    /// The request as it was first sent. Every retransmission repeats it byte for byte.
    pub(crate) packet: Vec<u8>,
    pub(crate) accepted: bool,
    /// Whether a packet was sent again and nothing has come since, as when the flow's owner is gone.
    pub(crate) silent: bool,
    /// How often an instance has said that the flow's owner, or its answer, is gone.
    pub(crate) disowned: u32,
    pub(crate) timer: Timer,
    pub(crate) answer: Option<Assembly>,
}

/// What a chunk did to an attempt.
#[derive(Debug)]
pub(crate) enum Progress {
    /// Nothing.
    None,
    /// Some of the answer has arrived.
    Some,
    /// All of it has.
    Whole(Vec<u8>),
}

impl Attempt {
    /// Retransmission can slow down: the request has arrived.
    pub(crate) fn accept(&mut self, now: Time, policy: &Policy, rng: &mut SmallRng) {
        self.silent = false;
        if self.accepted || self.answer.is_some() {
            return;
        }
        self.accepted = true;
        self.timer = Timer::start(now, policy.retransmit_accepted, policy, rng);
    }

    /// Takes a chunk.
    pub(crate) fn take(
        &mut self,
        head: AnswerHeader,
        index: u32,
        data: ByteBuf,
        policy: &Policy,
        tally: &mut Tally,
    ) -> Progress {
        self.silent = false;
        let answer = self.answer.get_or_insert_with(|| Assembly::new(head, policy.window));
        if answer.head != head {
            tally.crossed += 1;
            return Progress::None;
        }
        match answer.insert(index, data) {
            Inserted::New => {}
            Inserted::Duplicate => {
                tally.duplicate += 1;
                return Progress::None;
            }
            Inserted::Unfit => {
                tally.crossed += 1;
                return Progress::None;
            }
        }
        if !answer.is_whole() {
            answer.widen();
            return Progress::Some;
        }
        let genuine = answer.is_genuine();
        let Some(answer) = self.answer.take() else {
            return Progress::None;
        };
        if genuine {
            return Progress::Whole(answer.into_body());
        }
        tally.corrupt += 1;
        Progress::Some
    }

    /// The packets to send when the timer is due.
    pub(crate) fn overdue(&mut self, service: &ServiceName) -> Vec<Vec<u8>> {
        self.silent = true;
        self.unanswered(service)
    }

    /// The packets whose answers have not arrived.
    pub(crate) fn unanswered(&mut self, service: &ServiceName) -> Vec<Vec<u8>> {
        let Some(answer) = &mut self.answer else {
            return vec![self.packet.clone()];
        };
        let runs = answer.lost();
        let head = answer.head;
        runs.into_iter().map(|run| self.pull(service, head, run)).collect()
    }

    /// The next packet that asks for chunks, if it is time.
    pub(crate) fn next_pull(&mut self, service: &ServiceName) -> Option<Vec<u8>> {
        let answer = self.answer.as_mut()?;
        let run = answer.advance()?;
        let head = answer.head;
        Some(self.pull(service, head, run))
    }

    fn pull(&self, service: &ServiceName, head: AnswerHeader, run: Run) -> Vec<u8> {
        wire::encode_packet(&Packet::Pull(wire::Pull {
            token: self.token.clone(),
            service: service.clone(),
            seq: self.seq,
            digest: head.digest,
            first: run.first,
            count: run.count,
        }))
    }
}
