//! Tests of the client over loopback, with a service that drops, duplicates and reorders datagrams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use caller::CallRequest;
use caller::Client;
use caller::Failure;
use caller::OpenError;
use caller::Origin;
use caller::Policy;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_bytes::ByteBuf;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use units::FlowId;
use units::Millis;
use units::RequestSeq;
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

/// The probability that a datagram is dropped, in either direction.
const LOSS_RATE: f64 = 0.15;
/// The probability that a reply is duplicated.
const DUPLICATION_RATE: f64 = 0.1;
const FLOW: FlowId = FlowId(7);
const TIMEOUT: Duration = Duration::from_secs(30);

/// Answers each request with its body repeated 1000 times.
struct LossyService {
    socket: UdpSocket,
    rng: SmallRng,
    answers: HashMap<RequestSeq, Answer>,
    /// A duplicate that is sent after the next datagram.
    delayed: Option<Vec<u8>>,
}

impl LossyService {
    async fn start() -> SocketAddr {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = socket.local_addr().expect("the socket is bound");
        let service = Self {
            socket,
            rng: SmallRng::seed_from_u64(1),
            answers: HashMap::new(),
            delayed: None,
        };
        tokio::spawn(service.run());
        address
    }

    async fn run(mut self) {
        let mut buffer = [0; wire::MAX_PACKET_LEN];
        loop {
            let (len, from) = self.socket.recv_from(&mut buffer).await.expect("loopback works");
            if self.rng.random_bool(LOSS_RATE) {
                continue;
            }
            let packet = wire::decode_packet(&buffer[..len]).expect("the client sends valid packets");
            for reply in self.replies(packet) {
                self.send(wire::encode_reply(&reply), from).await;
            }
        }
    }

    async fn send(&mut self, bytes: Vec<u8>, to: SocketAddr) {
        if self.rng.random_bool(LOSS_RATE) {
            return;
        }
        if self.rng.random_bool(DUPLICATION_RATE) {
            self.delayed = Some(bytes.clone());
        }
        let overtaken = self.delayed.take_if(|delayed| *delayed != bytes);
        for bytes in std::iter::once(bytes).chain(overtaken) {
            self.socket.send_to(&bytes, to).await.expect("loopback works");
        }
    }

    fn replies(&mut self, packet: Packet) -> Vec<Reply> {
        match packet {
            Packet::Open(open) => vec![Reply::Opened(Opened {
                nonce: open.nonce,
                flow: FLOW,
                granted: IssuedToken {
                    token: SealedToken(ByteBuf::from("token")),
                    floor: RequestSeq(0),
                },
            })],
            Packet::Request(request) if request.kind.as_str() == "refuse" => vec![refusal(request.seq)],
            Packet::Request(request) => {
                let answer = Answer::new(request.body.repeat(1_000));
                self.answers.insert(request.seq, answer);
                self.chunks(request.seq, 0, 1)
            }
            Packet::Pull(pull) => self.chunks(pull.seq, pull.first, u32::from(pull.count)),
            Packet::Done(_) | Packet::Close(_) => Vec::new(),
        }
    }

    fn chunks(&self, seq: RequestSeq, first: u32, count: u32) -> Vec<Reply> {
        let Some(answer) = self.answers.get(&seq) else {
            return Vec::new();
        };
        let chunk = |index| {
            Some(Reply::Chunk(Chunk {
                flow: FLOW,
                seq,
                head: answer.head,
                index,
                data: ByteBuf::from(answer.chunk(index)?),
                granted: None,
            }))
        };
        (first..first + count).filter_map(chunk).collect()
    }
}

fn refusal(seq: RequestSeq) -> Reply {
    Reply::Refused(Refused {
        subject: RefusalSubject::Request(FLOW, seq),
        verdict: Verdict::NotRun,
        reason: Reason::Unknown,
        retry_after: Millis(5),
        granted: None,
    })
}

/// Short timeouts, so that the test ends soon despite a loss rate higher than that of real networks.
fn policy() -> Policy {
    let short = Duration::from_millis(5);
    Policy {
        open_timeout: TIMEOUT,
        retransmit: short,
        retransmit_max: short * 4,
        retransmit_pull: short,
        ..Policy::default()
    }
}

async fn open(fabric: SocketAddr) -> Client {
    let service = "availability".parse().expect("a valid name");
    let address = "10.0.0.1:7000".parse().expect("a valid address");
    let opened = Client::open_with(service, address, fabric, policy(), 1).await;
    opened.expect("the service opens flows")
}

#[tokio::test]
async fn many_requests_in_flight_get_their_own_answers() {
    let client = open(LossyService::start().await).await;
    assert_eq!(client.flow(), FLOW);
    let mut calls = JoinSet::new();
    for number in 0..40_usize {
        let client = client.clone();
        calls.spawn(async move {
            let body = format!("{number} ").into_bytes();
            let kind = "sheet".parse().expect("a valid name");
            let answer = client.request(kind, body.clone(), TIMEOUT).await;
            assert_eq!(answer, Ok(body.repeat(1_000)));
        });
    }
    while let Some(ended) = calls.join_next().await {
        ended.expect("every request is answered");
    }
    let counters = client.counters().await;
    assert!(counters.retransmitted > 0 && counters.duplicate > 0, "{counters:?}");
    assert_eq!((counters.malformed, counters.unmatched, counters.corrupt), (0, 0, 0));
}

#[tokio::test]
async fn a_refusal_ends_the_request() {
    let client = open(LossyService::start().await).await;
    let request = CallRequest {
        kind: "refuse".parse().expect("a valid name"),
        body: Vec::new(),
        timeout: TIMEOUT,
        idempotent: true,
    };
    let refused = Failure {
        verdict: Verdict::NotRun,
        reason: Reason::Unknown,
        retry_after: Millis(5),
        origin: Origin::Instance,
    };
    assert_eq!(client.submit(request).await, Err(refused));
}

#[tokio::test(start_paused = true)]
async fn silence_ends_the_opening() {
    let silent = UdpSocket::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let fabric = silent.local_addr().expect("the socket is bound");
    let service = "availability".parse().expect("a valid name");
    let opened = Client::open(service, fabric, fabric).await;
    let Err(OpenError::Refused(failure)) = opened else {
        panic!("a silent service opened a flow");
    };
    assert_eq!(failure.to_string(), "not run: deadline, retry after 0 ms");
}
