//! One caller: its flow, and what it has asked for.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use caller::Action;
use caller::CallId;
use caller::CallRequest;
use caller::Event;
use caller::Flow;
use caller::Policy;
use units::KindName;
use units::RequestSeq;
use units::ServiceName;
use units::Time;
use wire::Packet;
use wire::Request;

use crate::job::Job;
use crate::job::JobId;

/// How many requests a caller remembers, for breaking the protocol with them.
const REMEMBERED: usize = 20;

/// One caller.
#[derive(Debug)]
pub(crate) struct Driver {
    /// Its number.
    pub(crate) id: u32,
    /// Where its packets come from, as instances see it.
    pub(crate) address: SocketAddr,
    /// The service that it uses.
    pub(crate) service: ServiceName,
    /// When it next wants something, if it asks by itself, and for how long it does so.
    pub(crate) load: Option<Load>,
    /// When its flow is woken next, so that a wake that was put off is not run.
    pub(crate) wake: Option<Time>,
    flow: Flow,
    asked: u32,
    numbers: BTreeMap<RequestSeq, JobId>,
    /// The last requests that it sent, repeated ones included.
    sent: VecDeque<Request>,
}

/// How a caller asks by itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    /// The mean time between two operations.
    pub(crate) every: Duration,
    /// When it ends.
    pub(crate) until: Time,
}

impl Driver {
    /// A caller that has not asked for anything yet.
    pub(crate) fn new(id: u32, address: SocketAddr, service: ServiceName, dialled: SocketAddr, seed: u64) -> Self {
        let flow = Flow::new(service.clone(), dialled, Policy::default(), seed);
        Self {
            id,
            address,
            service,
            load: None,
            wake: None,
            flow,
            asked: 0,
            numbers: BTreeMap::new(),
            sent: VecDeque::new(),
        }
    }

    /// The next operation.
    pub(crate) fn job(&mut self, kind: KindName, answer_len: u32) -> Job {
        self.asked += 1;
        Job {
            id: JobId {
                caller: self.id,
                number: self.asked,
            },
            service: self.service.clone(),
            kind,
            answer_len,
        }
    }

    /// Asks for an operation.
    pub(crate) fn ask(&mut self, now: Time, job: &Job, timeout: Duration, idempotent: bool) -> Vec<Action> {
        let work = CallRequest {
            kind: job.kind.clone(),
            body: job.body(),
            timeout,
            idempotent,
        };
        self.handle(now, Event::Request(CallId(job.id.number.into()), work))
    }

    /// Gives the flow an event.
    pub(crate) fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.flow.handle(now, event, &mut actions);
        for action in &actions {
            self.note(action);
        }
        actions
    }

    /// When the flow needs a tick.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.flow.next_wake()
    }

    /// An earlier request under the token of the latest one, as no caller may send it.
    pub(crate) fn rewrapped(&self, pick: usize) -> Option<Vec<u8>> {
        let latest = self.sent.iter().max_by_key(|request| request.seq)?;
        let other = |request: &&Request| request.token != latest.token;
        let earlier: Vec<&Request> = self.sent.iter().filter(other).collect();
        let request = earlier.get(pick % earlier.len().max(1))?;
        let rewrapped = Request {
            token: latest.token.clone(),
            ..(*request).clone()
        };
        Some(wire::encode_packet(&Packet::Request(rewrapped)))
    }

    /// Whether its flow was ever open.
    pub(crate) fn is_established(&self) -> bool {
        !self.numbers.is_empty()
    }

    /// The operation that a request number stands for.
    pub(crate) fn job_of(&self, seq: RequestSeq) -> Option<JobId> {
        self.numbers.get(&seq).copied()
    }

    /// The operation that a call of the flow stands for.
    pub(crate) fn job_id(&self, call: CallId) -> JobId {
        JobId {
            caller: self.id,
            number: call.0 as u32,
        }
    }

    fn note(&mut self, action: &Action) {
        let Action::Send(bytes) = action else {
            return;
        };
        let Ok(Packet::Request(request)) = wire::decode_packet(bytes) else {
            return;
        };
        if let Ok(job) = Job::parse(&request.body) {
            self.numbers.insert(request.seq, job.id);
            self.sent.push_back(request);
            if self.sent.len() > REMEMBERED {
                self.sent.pop_front();
            }
        }
    }
}
