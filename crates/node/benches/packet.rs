//! Benchmarks of the time a node takes to handle an event: `cargo bench -p node`.

use std::time::Duration;

use divan::Bencher;
use divan::black_box;
use node::Action;
use node::CallResult;
use node::Event;
use node::Limits;
use node::Node;
use node::NodeConfig;
use serde_bytes::ByteBuf;
use token::Keyring;
use units::Incarnation;
use units::Millis;
use units::Nonce;
use units::RequestSeq;
use units::Revision;
use units::Time;
use wire::IssuedToken;
use wire::Open;
use wire::Packet;
use wire::Reply;
use wire::Request;
use wire::encode_packet;

const DOCUMENT: &str = include_str!("../../../examples/verblijfnet.yaml");
const SERVICE: &str = "availability";

fn main() {
    divan::main();
}

struct Bench {
    node: Node,
    now: Time,
    address: std::net::SocketAddr,
    kind: units::KindName,
}

impl Bench {
    fn new() -> Self {
        let document = config::parse(DOCUMENT).expect("the example is valid");
        let service = document
            .service(&SERVICE.parse().expect("a name"))
            .expect("the example has it");
        let address = service.addresses[0];
        let kind = service.kinds[0].name.clone();
        let now = Time(1_000_000_000);
        let secret = "a secret of at least thirty-two characters"
            .parse()
            .expect("long enough");
        let setup = NodeConfig {
            name: "a".parse().expect("a name"),
            incarnation: Incarnation(1),
            zone: document.zones[0].name.clone(),
            address: "127.0.0.1:7000".parse().expect("an address"),
            keyring: Keyring::new(&secret, &[], Duration::from_hours(1)),
            limits: Limits::default(),
            stop_within: Duration::from_secs(5),
            seed: 1,
        };
        let mut node = Node::new(setup, now);
        let mut out = Vec::new();
        node.handle(
            now,
            Event::DocumentLoaded(Revision(document.revision.0), DOCUMENT.to_owned()),
            &mut out,
        );
        Self {
            node,
            now,
            address,
            kind,
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.now = self.now + Duration::from_micros(10);
        let mut out = Vec::new();
        self.node.handle(self.now, event, &mut out);
        out
    }

    fn datagram(&mut self, packet: &Packet) -> Vec<Action> {
        self.handle(Event::Datagram(self.address, encode_packet(packet)))
    }

    fn open(&mut self) -> IssuedToken {
        let service = SERVICE.parse().expect("a name");
        let open = Open {
            nonce: Nonce(1),
            service,
            address: self.address,
        };
        for action in self.datagram(&Packet::Open(open)) {
            if let Action::Reply(_, Reply::Opened(opened)) = action {
                return opened.granted;
            }
        }
        panic!("no flow was opened");
    }

    fn request(&self, granted: &IssuedToken, seq: u64) -> Packet {
        Packet::Request(Request {
            token: granted.token.clone(),
            service: SERVICE.parse().expect("a name"),
            seq: RequestSeq(seq),
            sent: RequestSeq(seq),
            kind: self.kind.clone(),
            timeout: Millis(10_000),
            body: ByteBuf::from(vec![7; 200]),
        })
    }

    /// Runs one request until it is answered.
    fn run(&mut self, granted: &IssuedToken, seq: u64) {
        let packet = self.request(granted, seq);
        let actions = self.datagram(&packet);
        for action in actions {
            if let Action::Call(call) = action {
                self.handle(Event::CallEnded(call.id, CallResult::Answered(vec![1; 200])));
            }
        }
    }
}

/// Opening a flow.
#[divan::bench]
fn open(bencher: Bencher<'_, '_>) {
    let mut bench = Bench::new();
    bencher.bench_local(|| black_box(bench.open()));
}

/// A repeated request of an established flow: decoding, token check, ledger look-up and reply.
#[divan::bench]
fn established_packet(bencher: Bencher<'_, '_>) {
    let mut bench = Bench::new();
    let granted = bench.open();
    bench.run(&granted, 1);
    let bytes = encode_packet(&bench.request(&granted, 1));
    let address = bench.address;
    bencher.bench_local(|| black_box(bench.handle(Event::Datagram(address, bytes.clone()))));
}

/// A complete request at the owner: packet, slot, call and answer.
#[divan::bench]
fn whole_request(bencher: Bencher<'_, '_>) {
    let mut bench = Bench::new();
    let granted = bench.open();
    let mut seq = 0;
    bencher.bench_local(|| {
        seq += 1;
        bench.run(&granted, seq);
    });
}

/// A packet with an invalid token.
#[divan::bench]
fn forged_packet(bencher: Bencher<'_, '_>) {
    let mut bench = Bench::new();
    let mut granted = bench.open();
    granted.token.0[3] ^= 1;
    let bytes = encode_packet(&bench.request(&granted, 1));
    let address = bench.address;
    bencher.bench_local(|| black_box(bench.handle(Event::Datagram(address, bytes.clone()))));
}
