//! Property test: a flow receives valid and invalid replies in any order, and invariants are checked at every step.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use caller::Action;
use caller::CallId;
use caller::CallRequest;
use caller::Event;
use caller::Failure;
use caller::Flow;
use caller::Policy;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_bytes::ByteBuf;
use units::FlowId;
use units::Millis;
use units::Nonce;
use units::RequestSeq;
use units::Time;
use wire::Accepted;
use wire::Answer;
use wire::Chunk;
use wire::IssuedToken;
use wire::Opened;
use wire::Packet;
use wire::Reason;
use wire::RefusalSubject;
use wire::Refused;
use wire::Reply;
use wire::SealedToken;
use wire::Verdict;

/// The timeout of every request.
const TIMEOUT: Duration = Duration::from_secs(3);

/// One step of the simulation. `pick` selects one of the request numbers sent.
#[derive(Debug, Clone, Copy)]
enum Step {
    Request {
        idempotent: bool,
    },
    Pass {
        millis: u64,
    },
    Opened {
        current: bool,
        floor: u64,
    },
    Accepted {
        pick: usize,
    },
    Chunk {
        pick: usize,
        answer: u8,
        index: u32,
        token: Option<u64>,
    },
    Refused {
        pick: usize,
        about: u8,
        may_have_run: bool,
        reason: u8,
        retry: u32,
        token: Option<u64>,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let token = || proptest::option::weighted(0.3, 0..3_u64);
    let pick = || any::<usize>();
    prop_oneof![
        3 => any::<bool>().prop_map(|idempotent| Step::Request { idempotent }),
        4 => (0..400_u64).prop_map(|millis| Step::Pass { millis }),
        3 => (prop::bool::weighted(0.8), 0..5_u64).prop_map(|(current, floor)| Step::Opened { current, floor }),
        1 => pick().prop_map(|pick| Step::Accepted { pick }),
        8 => (pick(), 0..2_u8, 0..6_u32, token())
            .prop_map(|(pick, answer, index, token)| Step::Chunk { pick, answer, index, token }),
        3 => (pick(), 0..3_u8, any::<bool>(), 0..4_u8, 0..500_u32, token()).prop_map(
            |(pick, about, may_have_run, reason, retry, token)|
                Step::Refused { pick, about, may_have_run, reason, retry, token }
        ),
    ]
}

/// What the simulation knows of one request number.
struct Sent {
    bytes: Vec<u8>,
    call: CallId,
    flow: FlowId,
}

struct Simulation {
    flow: Flow,
    now: Time,
    nonce: Nonce,
    opened: FlowId,
    sent: BTreeMap<RequestSeq, Sent>,
    requests: HashMap<CallId, CallRequest>,
    ended: HashMap<CallId, Result<Vec<u8>, Failure>>,
    /// The earliest time at which a refused call may be retried, if it may be.
    retry_not_before: HashMap<CallId, Time>,
}

impl Simulation {
    fn new() -> Self {
        let service = "availability".parse().expect("a valid name");
        let address = "10.0.0.1:7000".parse().expect("a valid address");
        let policy = Policy {
            retry_reserve: 100,
            window: 3,
            max_seq_span: 3,
            ..Policy::default()
        };
        Self {
            flow: Flow::new(service, address, policy, 1),
            now: Time(1_000_000_000),
            nonce: Nonce(0),
            opened: FlowId(0),
            sent: BTreeMap::new(),
            requests: HashMap::new(),
            ended: HashMap::new(),
            retry_not_before: HashMap::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.flow.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(bytes) => self.on_sent(&bytes),
                Action::Opened(_) | Action::OpenFailed(_) => {}
                Action::Ended(id, result) => {
                    assert!(self.requests.contains_key(&id), "a call that was never requested ended");
                    assert!(self.ended.insert(id, result).is_none(), "a call ended twice");
                }
            }
        }
        let wake = self.flow.next_wake();
        assert!(
            wake.is_none_or(|wake| wake > self.now),
            "the next wake is not in the future, so the driver would spin"
        );
    }

    fn on_sent(&mut self, bytes: &[u8]) {
        match wire::decode_packet(bytes).expect("the flow sends valid packets") {
            Packet::Open(open) => self.nonce = open.nonce,
            Packet::Request(request) => self.on_request(&request, bytes),
            Packet::Pull(_) | Packet::Done(_) | Packet::Close(_) => {}
        }
    }

    fn on_request(&mut self, request: &wire::Request, bytes: &[u8]) {
        if let Some(sent) = self.sent.get(&request.seq) {
            assert_eq!(
                sent.bytes, bytes,
                "a number was sent under another token or with other content"
            );
            return;
        }
        let highest = self.sent.last_key_value().map(|(seq, _)| *seq);
        assert!(
            highest.is_none_or(|highest| highest < request.seq),
            "request numbers must increase"
        );
        self.check_seq_span(request.seq);
        assert_eq!(request.sent, request.seq);
        let call = CallId(request.body[0].into());
        let earlier = self.sent.values().any(|sent| sent.call == call);
        if earlier {
            let not_before = self.retry_not_before.get(&call);
            assert!(
                not_before.is_some_and(|not_before| self.now >= *not_before),
                "a call was retried too early or without a refusal"
            );
        }
        self.retry_not_before.remove(&call);
        self.sent.insert(
            request.seq,
            Sent {
                bytes: bytes.to_vec(),
                call,
                flow: self.opened,
            },
        );
    }

    /// Checks that the new number is within the span of every number in progress.
    fn check_seq_span(&self, newest: RequestSeq) {
        for (seq, sent) in &self.sent {
            let latest = !self
                .sent
                .iter()
                .any(|(other, newer)| other > seq && newer.call == sent.call);
            let ended = self.ended.contains_key(&sent.call) || self.retry_not_before.contains_key(&sent.call);
            assert!(
                !latest || ended || newest.0 - seq.0 < 3,
                "number {newest} is too far ahead of {seq}, which is in progress"
            );
        }
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(wake) = self.flow.next_wake().filter(|wake| *wake <= end) {
            self.now = wake;
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Request { idempotent } => self.request(idempotent),
            Step::Pass { millis } => self.pass(Duration::from_millis(millis)),
            Step::Opened { current, floor } => {
                self.opened = if current {
                    FlowId(self.opened.0 + 1)
                } else {
                    self.opened
                };
                let nonce = if current { self.nonce } else { Nonce(0) };
                self.reply(&Reply::Opened(Opened {
                    nonce,
                    flow: self.opened,
                    granted: issued_token(floor, RequestSeq(floor)),
                }));
            }
            Step::Accepted { pick } => {
                let (flow, seq) = self.pick(pick);
                self.reply(&Reply::Accepted(Accepted { flow, seq }));
            }
            Step::Chunk {
                pick,
                answer,
                index,
                token,
            } => {
                let (flow, seq) = self.pick(pick);
                let answer = answer_of(seq, answer);
                let Some(data) = answer.chunk(index) else { return };
                self.reply(&Reply::Chunk(Chunk {
                    flow,
                    seq,
                    head: answer.head,
                    index,
                    data: ByteBuf::from(data),
                    granted: self.granted(token),
                }));
            }
            Step::Refused {
                pick,
                about,
                may_have_run,
                reason,
                retry,
                token,
            } => {
                let (flow, seq) = self.pick(pick);
                let subject = match about {
                    0 => RefusalSubject::Request(flow, seq),
                    1 => RefusalSubject::Pull(flow, seq, answer_of(seq, 0).head.digest),
                    _ => RefusalSubject::Unread(seq),
                };
                let reasons = [Reason::Overload, Reason::OwnerGone, Reason::Token, Reason::Unknown];
                self.record_refusal(seq, may_have_run || about == 1, retry);
                self.reply(&Reply::Refused(Refused {
                    subject,
                    verdict: if may_have_run {
                        Verdict::MayHaveRun
                    } else {
                        Verdict::NotRun
                    },
                    reason: reasons[usize::from(reason)],
                    retry_after: Millis(retry),
                    granted: self.granted(token),
                }));
            }
        }
    }

    /// Records when the call of a refused number may be retried, if it may be.
    fn record_refusal(&mut self, seq: RequestSeq, may_have_run: bool, retry: u32) {
        let Some(sent) = self.sent.get(&seq) else { return };
        let newer = self
            .sent
            .range(seq..)
            .any(|(other, newer)| *other > seq && newer.call == sent.call);
        let allowed = self.requests[&sent.call].idempotent || !may_have_run;
        if newer || !allowed {
            return;
        }
        // The first refusal counts, unless the flow ignores it, as it does while an answer is arriving.
        let due = self.now + Millis(retry).duration();
        let earliest = self.retry_not_before.entry(sent.call).or_insert(due);
        *earliest = due.min(*earliest);
    }

    fn request(&mut self, idempotent: bool) {
        let id = CallId(self.requests.len() as u64);
        let request = CallRequest {
            kind: "hold".parse().expect("a valid name"),
            body: vec![id.0 as u8],
            timeout: TIMEOUT,
            idempotent,
        };
        self.requests.insert(id, request.clone());
        self.handle(Event::Request(id, request));
    }

    /// Selects one of the numbers sent, or one that was not sent.
    fn pick(&self, pick: usize) -> (FlowId, RequestSeq) {
        let at = pick % (self.sent.len() + 1);
        match self.sent.iter().nth(at) {
            Some((seq, sent)) => (sent.flow, *seq),
            None => (self.opened, RequestSeq(1_000)),
        }
    }

    /// A token whose floor lies below, at or above the highest number sent.
    fn granted(&self, token: Option<u64>) -> Option<IssuedToken> {
        let highest = self.sent.last_key_value().map_or(0, |(seq, _)| seq.0);
        let token = token?;
        Some(issued_token(
            100 + highest + token,
            RequestSeq((highest + token).saturating_sub(1)),
        ))
    }

    fn reply(&mut self, reply: &Reply) {
        self.handle(Event::Datagram(wire::encode_reply(reply)));
    }

    /// Checks that every successful call got an answer to one of its own requests.
    fn check_answers(&self) {
        for (id, result) in &self.ended {
            let Ok(body) = result else { continue };
            let own = self.sent.iter().filter(|(_, sent)| sent.call == *id);
            let fits = own.flat_map(|(seq, _)| [answer_of(*seq, 0), answer_of(*seq, 1)]);
            assert!(
                fits.into_iter().any(|answer| answer.body == *body),
                "call {} got the answer of another one",
                id.0
            );
        }
    }
}

fn issued_token(token: u64, floor: RequestSeq) -> IssuedToken {
    IssuedToken {
        token: SealedToken(ByteBuf::from(token.to_be_bytes())),
        floor,
    }
}

/// One of the answers that a request may get. The second one is that of a duplicate execution of an idempotent request.
fn answer_of(seq: RequestSeq, which: u8) -> Answer {
    let len = (seq.0 % 4) as usize * 700 + usize::from(which);
    Answer::new((0..len).map(|at| (at as u64 + seq.0) as u8 ^ which).collect())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants(steps in vec(step(), 1..120)) {
        let mut simulation = Simulation::new();
        simulation.handle(Event::Open);
        for step in steps {
            simulation.apply(step);
        }
        simulation.pass(TIMEOUT);
        prop_assert_eq!(simulation.ended.len(), simulation.requests.len(), "every call must end by its deadline");
        simulation.check_answers();
    }
}
