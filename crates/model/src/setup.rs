//! The nodes that the exploration of whole nodes starts from.

use std::net::SocketAddr;
use std::time::Duration;

use node::Limits;
use node::Listed;
use node::Node;
use node::NodeConfig;
use serde_bytes::ByteBuf;
use token::Keyring;
use token::Secret;
use units::Incarnation;
use units::InstanceName;
use units::Millis;
use units::Nonce;
use units::RequestSeq;
use units::Time;
use wire::IssuedToken;
use wire::Member;
use wire::MemberState;
use wire::Open;
use wire::Packet;
use wire::Request;

const SECRET: &str = "a secret of at least thirty-two characters";
const SERVICE: &str = "availability";
const SERVICE_ADDRESS: &str = "10.1.0.1:4000";
/// How long a request may take. It passes within a few steps of time.
const TIMEOUT: Millis = Millis(900);
/// How long a planned stop may take.
const STOP_WITHIN: Duration = Duration::from_secs(2);

/// One service, one upstream with one slot, so that a second request waits.
pub(crate) const DOCUMENT: &str = r#"
revision: 1
change: {author: an, approver: joost, reason: model}
zones:
  - {name: brugge, region: flanders}
services:
  - name: availability
    addresses: ["10.1.0.1:4000"]
    kinds:
      - {name: hold, weight: 1, idempotent: false}
    upstreams:
      - {name: search-1, zone: brugge, address: "10.2.0.1:8080", slots: 1}
"#;

pub(crate) fn name(index: usize) -> InstanceName {
    let letter = char::from(b'a' + index as u8);
    letter.to_string().parse().expect("a letter is a name")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 3, 0, index as u8 + 1], 7_000))
}

pub(crate) fn caller() -> SocketAddr {
    SocketAddr::from(([10, 9, 0, 1], 5_000))
}

pub(crate) fn node(index: usize, incarnation: Incarnation, now: Time) -> Node {
    let secret: Secret = SECRET.parse().expect("the secret is long enough");
    let setup = NodeConfig {
        name: name(index),
        incarnation,
        zone: "brugge".parse().expect("a zone"),
        address: address(index),
        keyring: Keyring::new(&secret, &[], Duration::from_hours(1)),
        limits: Limits::default(),
        stop_within: STOP_WITHIN,
        seed: incarnation.0,
    };
    Node::new(setup, now)
}

pub(crate) fn member(index: usize, incarnation: Incarnation) -> Member {
    Member {
        name: name(index),
        incarnation,
        zone: "brugge".parse().expect("a zone"),
        address: address(index),
        state: MemberState::Alive,
        refutation: 0,
    }
}

/// The platform's list.
pub(crate) fn list(incarnations: &[Incarnation]) -> Vec<Listed> {
    let entry = |(index, incarnation): (usize, &Incarnation)| Listed::Entry {
        name: name(index),
        incarnation: *incarnation,
        zone: "brugge".parse().expect("a zone"),
        address: address(index),
        admin: None,
        leaving: false,
    };
    incarnations.iter().enumerate().map(entry).collect()
}

pub(crate) fn open() -> Packet {
    Packet::Open(Open {
        nonce: Nonce(1),
        service: SERVICE.parse().expect("a name"),
        address: SERVICE_ADDRESS.parse().expect("an address"),
    })
}

pub(crate) fn request(granted: &IssuedToken, seq: u64) -> Packet {
    Packet::Request(Request {
        token: granted.token.clone(),
        service: SERVICE.parse().expect("a name"),
        seq: RequestSeq(seq),
        sent: RequestSeq(seq),
        kind: "hold".parse().expect("a name"),
        timeout: TIMEOUT,
        body: ByteBuf::from(vec![seq as u8]),
    })
}
