//! Data-driven tests of the flow state machine: replies and time as input, packets and results as output.

use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

use caller::Action;
use caller::CallId;
use caller::CallRequest;
use caller::Event;
use caller::Flow;
use caller::Policy;
use datadriven::TestCase;
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

/// Runs one scenario file and checks the invariants of every packet sent.
struct Script {
    flow: Flow,
    now: Time,
    nonce: Nonce,
    sent: HashMap<RequestSeq, Vec<u8>>,
}

impl Script {
    fn new(policy: Policy) -> Self {
        let service = "availability".parse().expect("a valid name");
        let address = "10.0.0.1:7000".parse().expect("a valid address");
        Self {
            flow: Flow::new(service, address, policy, 1),
            now: Time(1_000_000_000),
            nonce: Nonce(0),
            sent: HashMap::new(),
        }
    }

    fn handle(&mut self, event: Event) -> String {
        let mut actions = Vec::new();
        self.flow.handle(self.now, event, &mut actions);
        let mut text = String::new();
        for action in actions {
            let line = self.show(action);
            writeln!(text, "{line}").expect("a string takes every write");
        }
        text
    }

    fn show(&mut self, action: Action) -> String {
        match action {
            Action::Send(bytes) => self.show_packet(&bytes),
            Action::Opened(flow) => format!("opened {flow}"),
            Action::OpenFailed(failure) => format!("not opened, {failure}"),
            Action::Ended(id, Ok(body)) => format!("end {}: answer of {} bytes", id.0, body.len()),
            Action::Ended(id, Err(failure)) => format!("end {}: {failure}", id.0),
        }
    }

    fn show_packet(&mut self, bytes: &[u8]) -> String {
        assert!(bytes.len() <= wire::MAX_PACKET_LEN, "a packet is too long");
        match wire::decode_packet(bytes).expect("the flow sends valid packets") {
            Packet::Open(open) => {
                let again = if self.nonce == open.nonce { " again" } else { "" };
                self.nonce = open.nonce;
                format!("send open{again}")
            }
            Packet::Request(request) => {
                let first = self.sent.entry(request.seq).or_insert_with(|| bytes.to_vec());
                assert_eq!(first, bytes, "request {} was not repeated byte for byte", request.seq);
                let token = String::from_utf8_lossy(&request.token.0).into_owned();
                format!(
                    "send request {} under {token}: {}, sent {}, timeout {}",
                    request.seq, request.kind, request.sent, request.timeout
                )
            }
            Packet::Pull(pull) => {
                let token = String::from_utf8_lossy(&pull.token.0).into_owned();
                format!(
                    "send pull {} under {token}: {} from {}",
                    pull.seq, pull.count, pull.first
                )
            }
            Packet::Done(done) => format!("send done {}", done.seq),
            Packet::Close(_) => "send close".to_owned(),
        }
    }

    /// Advances the time and ticks the flow whenever it is due.
    fn pass(&mut self, span: Duration) -> String {
        let end = self.now + span;
        let mut text = String::new();
        while let Some(wake) = self.flow.next_wake().filter(|wake| *wake <= end) {
            assert!(wake > self.now, "the flow asks to be woken in the past");
            let waited = wake.since(self.now);
            self.now = wake;
            for line in self.handle(Event::Tick).lines() {
                writeln!(text, "{line}, after {} ms", waited.as_millis()).expect("a string takes every write");
            }
        }
        self.now = end;
        text
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let text = match case.directive.as_str() {
            "open" => self.handle(Event::Open),
            "close" => self.handle(Event::Close),
            "pass" => self.pass(Duration::from_millis(arg(case, "ms"))),
            "request" => {
                let id = CallId(arg(case, "id"));
                let request = request(case);
                self.handle(Event::Request(id, request))
            }
            "garbage" => self.handle(Event::Datagram(case.input.clone().into_bytes())),
            "counters" => format!("{:#?}\n", self.flow.counters())
                .lines()
                .filter(|line| !line.ends_with(": 0,"))
                .fold(String::new(), |text, line| text + line.trim_start() + "\n"),
            _ => {
                let reply = self.reply(case);
                self.handle(Event::Datagram(wire::encode_reply(&reply)))
            }
        };
        case.expect_empty().expect("every argument is used");
        text
    }

    fn reply(&mut self, case: &mut TestCase) -> Reply {
        match case.directive.as_str() {
            "opened" => Reply::Opened(Opened {
                nonce: self.nonce(case),
                flow: FlowId(arg(case, "flow")),
                granted: granted(case).expect("a token"),
            }),
            "accepted" => Reply::Accepted(Accepted {
                flow: FlowId(arg(case, "flow")),
                seq: RequestSeq(arg(case, "seq")),
            }),
            "chunk" => chunk(case),
            "refused" => self.refused(case),
            other => panic!("no such directive: {other}"),
        }
    }

    fn nonce(&self, case: &mut TestCase) -> Nonce {
        let wrong = case.take_flag("wrong-nonce").expect("a flag");
        Nonce(self.nonce.0.wrapping_add(u64::from(wrong)))
    }

    fn refused(&self, case: &mut TestCase) -> Reply {
        let about: String = arg(case, "about");
        let subject = match about.as_str() {
            "open" => RefusalSubject::Open(self.nonce(case)),
            "request" => RefusalSubject::Request(FlowId(arg(case, "flow")), RequestSeq(arg(case, "seq"))),
            "pull" => {
                let digest = answer(case).head.digest;
                RefusalSubject::Pull(FlowId(arg(case, "flow")), RequestSeq(arg(case, "seq")), digest)
            }
            "unread" => RefusalSubject::Unread(RequestSeq(arg(case, "seq"))),
            other => panic!("no such subject: {other}"),
        };
        let may_have_run = case.take_flag("may-have-run").expect("a flag");
        let verdict = if may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let reason: String = arg(case, "reason");
        Reply::Refused(Refused {
            subject,
            verdict,
            reason: reason_of(&reason),
            retry_after: Millis(opt(case, "retry").unwrap_or(0)),
            granted: granted(case),
        })
    }
}

fn arg<T: std::str::FromStr>(case: &mut TestCase, name: &str) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.take_arg(name).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn opt<T: std::str::FromStr>(case: &mut TestCase, name: &str) -> Option<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name)
        .unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn request(case: &mut TestCase) -> CallRequest {
    let kind: String = arg(case, "kind");
    CallRequest {
        kind: kind.parse().expect("a valid kind"),
        body: vec![b'.'; opt(case, "body").unwrap_or(10)],
        timeout: Duration::from_millis(arg(case, "timeout")),
        idempotent: case.take_flag("idempotent").expect("a flag"),
    }
}

fn granted(case: &mut TestCase) -> Option<IssuedToken> {
    let token: String = opt(case, "token")?;
    Some(IssuedToken {
        token: SealedToken(ByteBuf::from(token.into_bytes())),
        floor: RequestSeq(arg(case, "floor")),
    })
}

/// An answer of the given length. The `answer` letter distinguishes answers of the same length.
fn answer(case: &mut TestCase) -> Answer {
    let letter: char = opt(case, "answer").unwrap_or('a');
    let len: usize = arg(case, "len");
    Answer::new((0..len).map(|i| letter as u8 ^ (i / wire::CHUNK_LEN) as u8).collect())
}

fn chunk(case: &mut TestCase) -> Reply {
    let answer = answer(case);
    let index = opt(case, "index").unwrap_or(0);
    let mut data = answer.chunk(index).unwrap_or_default().to_vec();
    if case.take_flag("bad").expect("a flag") {
        data[0] ^= 1;
    }
    Reply::Chunk(Chunk {
        flow: FlowId(arg(case, "flow")),
        seq: RequestSeq(arg(case, "seq")),
        head: answer.head,
        index,
        data: ByteBuf::from(data),
        granted: granted(case),
    })
}

fn reason_of(text: &str) -> Reason {
    let all = [
        Reason::Overload,
        Reason::Deadline,
        Reason::WrongService,
        Reason::Unknown,
        Reason::Token,
        Reason::OwnerGone,
        Reason::NoUpstream,
        Reason::Upstream,
        Reason::AnswerGone,
        Reason::NoDocument,
    ];
    let found = all.into_iter().find(|reason| reason.as_str() == text);
    found.unwrap_or_else(|| panic!("no such reason: {text}"))
}

#[test]
fn scripts() {
    datadriven::walk("tests/flow", |file| {
        // Scenarios do not resend after `owner_gone`, unless their policy says so.
        let plain = Policy {
            owner_gone_resends: 0,
            ..Policy::default()
        };
        let mut script = Script::new(plain);
        file.run(|case| {
            if case.directive != "policy" {
                return script.run(case);
            }
            let mut policy = plain;
            policy.owner_gone_resends = opt(case, "owner-gone-resends").unwrap_or(policy.owner_gone_resends);
            policy.window = opt(case, "window").unwrap_or(policy.window);
            policy.max_seq_span = opt(case, "span").unwrap_or(policy.max_seq_span);
            policy.max_answer = opt(case, "max-answer").unwrap_or(policy.max_answer);
            policy.max_in_flight = opt(case, "max-in-flight").unwrap_or(policy.max_in_flight);
            policy.retry_reserve = opt(case, "retry-reserve").unwrap_or(policy.retry_reserve);
            policy.retry_percent = opt(case, "retry-percent").unwrap_or(policy.retry_percent);
            script = Script::new(policy);
            String::new()
        });
    });
}
