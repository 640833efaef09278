//! Measures the CPU time and memory of one node at the size of a large region:
//! `cargo run --release -p node --example scale`.
//!
//! The target size is a region of 600 instances, 650 services and 3,250 upstreams. All other instances are silent, so
//! the figures cover the node itself, without sockets.

#![expect(unsafe_code, reason = "a global allocator can't be implemented in safe code")]

mod counting_allocator;

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use node::Event;
use node::Limits;
use node::MAX_TICK_INTERVAL;
use node::Node;
use node::NodeConfig;
use node::Peer;
use token::Keyring;
use units::Incarnation;
use units::Revision;
use units::Time;
use wire::Frame;
use wire::Gossip;
use wire::Member;
use wire::MemberState;

const ZONES: usize = 10;
const UPSTREAMS_PER_SERVICE: usize = 5;

fn main() {
    println!("services  members  text     memory    load     tick      view change");
    for (services, members) in [(10, 9), (65, 60), (260, 240), (650, 600), (2_000, 600)] {
        measure(services, members);
    }
}

fn measure(services: usize, members: usize) {
    let before = counting_allocator::allocated_bytes();
    let text = document(1, services);
    let len = text.len();
    let mut now = Time(1_000_000_000);
    let mut node = Node::new(setup(), now);
    let mut out = Vec::new();

    let load = timed(|| node.handle(now, Event::DocumentLoaded(Revision(1), text), &mut out));
    for index in 0..members {
        let peer = Peer {
            name: name(index),
            incarnation: Incarnation(1),
        };
        node.handle(now, Event::Frame(peer, gossip(index)), &mut out);
    }
    out.clear();
    // The first tick computes the homes of all services.
    let change = timed(|| node.handle(now, Event::Tick, &mut out));
    out = Vec::new();
    let memory = counting_allocator::allocated_bytes() - before;

    // Shorter in total than a probe's timeout, so that no silent member is suspected.
    let ticks = 20;
    let all = timed(|| {
        for _ in 0..ticks {
            now = now + MAX_TICK_INTERVAL;
            node.handle(now, Event::Tick, &mut out);
            out.clear();
        }
    });
    println!(
        "{services:>8}  {members:>7}  {:>5} KB  {:>5} KB  {:>5.1} ms  {:>6.1} us  {:>6.2} ms",
        len / 1_024,
        memory / 1_024,
        load.as_secs_f64() * 1e3,
        all.as_secs_f64() * 1e6 / f64::from(ticks),
        change.as_secs_f64() * 1e3,
    );
}

fn timed(work: impl FnOnce()) -> Duration {
    let start = Instant::now();
    work();
    start.elapsed()
}

fn setup() -> NodeConfig {
    let secret = "a secret of at least thirty-two characters"
        .parse()
        .expect("long enough");
    NodeConfig {
        name: "me".parse().expect("a name"),
        incarnation: Incarnation(1),
        zone: "zone-0".parse().expect("a name"),
        address: address(9_999),
        keyring: Keyring::new(&secret, &[], Duration::from_hours(1)),
        limits: Limits::default(),
        stop_within: Duration::from_secs(5),
        seed: 1,
    }
}

fn name(index: usize) -> units::InstanceName {
    format!("instance-{index}").parse().expect("a name")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

fn gossip(index: usize) -> Frame {
    let member = Member {
        name: name(index),
        incarnation: Incarnation(1),
        zone: format!("zone-{}", index % ZONES).parse().expect("a name"),
        address: address(index),
        state: MemberState::Alive,
        refutation: 0,
    };
    Frame::News(Gossip {
        members: vec![member],
        ..Gossip::default()
    })
}

fn document(revision: u64, services: usize) -> String {
    let mut text = format!("revision: {revision}\nchange: {{author: a, approver: b, reason: size}}\nzones:\n");
    for zone in 0..ZONES {
        writeln!(text, "  - {{name: zone-{zone}, region: north}}").expect("a string takes it");
    }
    text.push_str("services:\n");
    for service in 0..services {
        let (high, low) = (service / 250, service % 250);
        writeln!(
            text,
            "  - name: service-{service}\n    addresses: [\"10.1.{high}.{low}:4000\"]"
        )
        .expect("a string takes it");
        text.push_str("    kinds: [{name: feed, weight: 1, idempotent: true}]\n    upstreams:\n");
        for upstream in 0..UPSTREAMS_PER_SERVICE {
            let number = service * UPSTREAMS_PER_SERVICE + upstream;
            let (high, low) = (number / 250, number % 250);
            let zone = number % ZONES;
            writeln!(
                text,
                "      - {{name: u-{number}, zone: zone-{zone}, address: \"10.2.{high}.{low}:80\", slots: 2}}"
            )
            .expect("a string takes it");
        }
    }
    text
}
