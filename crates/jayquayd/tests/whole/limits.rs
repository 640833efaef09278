//! Limits of a running instance, each tested by exceeding it with hand-made packets.

use std::net::SocketAddr;

use config::Settings;
use serde_bytes::ByteBuf;
use tokio::net::UdpSocket;
use units::Bytes;
use units::Millis;
use units::Nonce;
use units::RequestSeq;
use wire::Chunk;
use wire::Packet;
use wire::Reason;
use wire::Reply;
use wire::Request;
use wire::SealedToken;
use wire::Verdict;

use crate::fleet::Fleet;
use crate::fleet::TEST_TIMEOUT;
use crate::fleet::wait_until;

/// A flow without automatic retransmission or pulls.
struct Flow {
    socket: UdpSocket,
    instance: SocketAddr,
    token: SealedToken,
}

impl Flow {
    async fn open(fleet: &Fleet) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let mut flow = Self {
            socket,
            instance: fleet.instances[0].addresses().callers,
            token: SealedToken(ByteBuf::new()),
        };
        let open = Packet::Open(wire::Open {
            nonce: Nonce(1),
            service: "availability".parse().unwrap(),
            address: fleet.fabric.services()[0],
        });
        let Reply::Opened(opened) = flow.request_reply(&open).await else {
            panic!("the flow was not opened");
        };
        flow.token = opened.granted.token;
        flow
    }

    fn hold(&self, seq: u64) -> Packet {
        Packet::Request(Request {
            token: self.token.clone(),
            service: "availability".parse().unwrap(),
            seq: RequestSeq(seq),
            sent: RequestSeq(seq),
            kind: "hold".parse().unwrap(),
            timeout: Millis(20_000),
            body: ByteBuf::from(format!("room {seq}").into_bytes()),
        })
    }

    fn pull(&self, chunk: &Chunk) -> Packet {
        Packet::Pull(wire::Pull {
            token: self.token.clone(),
            service: "availability".parse().unwrap(),
            seq: chunk.seq,
            digest: chunk.head.digest,
            first: 1,
            count: 1,
        })
    }

    async fn send(&self, packet: &Packet) {
        let bytes = wire::encode_packet(packet);
        self.socket.send_to(&bytes, self.instance).await.unwrap();
    }

    /// Sends a packet, and returns the first reply other than [`Reply::Accepted`].
    async fn request_reply(&self, packet: &Packet) -> Reply {
        self.send(packet).await;
        let mut buffer = [0; wire::MAX_PACKET_LEN];
        loop {
            let received = tokio::time::timeout(TEST_TIMEOUT, self.socket.recv(&mut buffer)).await;
            let len = received.expect("a reply arrives in time").unwrap();
            let reply = wire::decode_reply(&buffer[..len]).unwrap();
            if !matches!(reply, Reply::Accepted(_)) {
                return reply;
            }
        }
    }
}

async fn fleet(service_ms: u32, answer_len: u64, set_limits: impl Fn(&mut Settings)) -> Fleet {
    let mut fleet = Fleet::with(|options| {
        options.service_time = standin::upstream::ServiceTime::Fixed(Millis(service_ms));
        options.answer_len = Bytes(answer_len);
    })
    .await;
    fleet.put_document(1);
    let mut settings = fleet.settings("one", "a");
    set_limits(&mut settings);
    fleet.join_with(&settings).await;
    fleet
}

fn refusal(reply: &Reply) -> Option<(Verdict, Reason)> {
    match reply {
        Reply::Refused(refused) => Some((refused.verdict, refused.reason)),
        _ => None,
    }
}

#[tokio::test]
async fn flows_are_limited() {
    // One caller's address may have as many ledgers as remain free, which is half of four.
    let fleet = fleet(5, 100, |settings| settings.limits.flows = 4).await;
    let flows = [
        Flow::open(&fleet).await,
        Flow::open(&fleet).await,
        Flow::open(&fleet).await,
    ];
    for flow in &flows[..2] {
        let reply = flow.request_reply(&flow.hold(1)).await;
        assert!(matches!(reply, Reply::Chunk(_)), "{reply:?}");
    }
    let reply = flows[2].request_reply(&flows[2].hold(1)).await;
    assert_eq!(refusal(&reply).map(|(_, reason)| reason), Some(Reason::Limit));
    let reply = flows[0].request_reply(&flows[0].hold(2)).await;
    assert!(matches!(reply, Reply::Chunk(_)), "{reply:?}");
    assert_eq!(fleet.instances[0].status().await.unwrap().flows, 2);
}

#[tokio::test]
async fn requests_are_limited() {
    let fleet = fleet(10_000, 100, |settings| settings.limits.requests = 3).await;
    let flow = Flow::open(&fleet).await;
    for seq in 1..=3 {
        flow.send(&flow.hold(seq)).await;
    }
    wait_until(async || fleet.instances[0].status().await.unwrap().requests == 3).await;
    let reply = flow.request_reply(&flow.hold(4)).await;
    assert_eq!(refusal(&reply), Some((Verdict::NotRun, Reason::Limit)));
    assert_eq!(fleet.instances[0].status().await.unwrap().requests, 3);
}

#[tokio::test]
async fn stored_answers_are_limited() {
    let fleet = fleet(5, 400_000, |settings| settings.limits.answer_bytes = Bytes(1_000_000)).await;
    let flow = Flow::open(&fleet).await;
    let mut first_chunks = Vec::new();
    for seq in 1..=5 {
        let Reply::Chunk(chunk) = flow.request_reply(&flow.hold(seq)).await else {
            panic!("hold {seq} was not answered");
        };
        first_chunks.push(chunk);
    }
    wait_until(async || fleet.instances[0].status().await.unwrap().answer_bytes <= 1_000_000).await;
    let newest = flow.request_reply(&flow.pull(&first_chunks[4])).await;
    assert!(matches!(newest, Reply::Chunk(_)), "{newest:?}");
    let oldest = flow.request_reply(&flow.pull(&first_chunks[0])).await;
    assert_eq!(refusal(&oldest), Some((Verdict::MayHaveRun, Reason::AnswerGone)));
}
