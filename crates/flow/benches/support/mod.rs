//! Shared fixtures of the tests, benches and examples: a core with upstreams and a route, and opening packets.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::Core;
use flow::Document;
use flow::Echo;
use flow::Flags;
use flow::Options;
use flow::Packet;
use flow::Priority;
use flow::Route;
use flow::Share;
use flow::Upstream;
use flow::UpstreamId;
use units::Revision;
use units::Slots;
use units::Time;
use units::Weight;

/// The start time of tests and benches.
pub const START: Time = Time(1_000_000_000);

/// The address of the only route.
pub fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// A core in the first of ten zones, with `upstreams` of one service spread over them.
pub fn core(upstreams: u64) -> Core {
    core_with_zones(upstreams, 10, 1)
}

/// A core in the first of `zones` zones, with `upstreams` of one service spread over them.
pub fn core_with_zones(upstreams: u64, zones: u64, seed: u64) -> Core {
    core_in_zone(0, upstreams, zones, seed)
}

/// A core in zone number `zone`, with `upstreams` of one service spread over `zones` zones.
pub fn core_in_zone(zone: u64, upstreams: u64, zones: u64, seed: u64) -> Core {
    let mut core = Core::new(Options {
        zone: format!("z{zone}").parse().unwrap(),
        max_flow: Duration::from_mins(1),
        awaits_evacuations: false,
        seed,
    });
    let list = (1..=upstreams).map(|id| {
        let upstream = upstream(id, zones);
        (UpstreamId(id), Revision(1), upstream)
    });
    let list = list.collect();
    let document = document();
    core.learn(START, |knowledge| {
        knowledge.apply_list(Revision(2), list, START) | knowledge.apply_document(Revision(1), document)
    });
    core
}

/// The document with the only route.
pub fn document() -> Document {
    let share = Share {
        service: "quotes".into(),
        weight: Weight(1),
    };
    let route = Route {
        address: route(),
        shares: vec![share],
        idempotent: true,
        aim: Duration::from_millis(100),
        priority: Priority::LEAST_URGENT,
        timeout: None,
    };
    Document {
        revision: Revision(1),
        routes: BTreeMap::from([("r".to_owned(), route)]),
        idle_timeout: Duration::from_secs(15),
        cold_starts: BTreeMap::new(),
        connection_limits: BTreeMap::new(),
        warnings: Vec::new(),
    }
}

/// An upstream of the only service. Its zone follows from its id.
pub fn upstream(id: u64, zones: u64) -> Upstream {
    Upstream {
        service: "quotes".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        zone: format!("z{}", id % zones).parse().unwrap(),
        slots: Slots(2),
        leaving: false,
        cold_for: Duration::ZERO,
        started: None,
    }
}

/// The opening packet of a client number.
pub fn opening_packet(client: u32) -> Packet {
    Packet {
        client: SocketAddrV4::new(
            Ipv4Addr::from(0x6440_0000 + client / 60_000),
            (client % 60_000) as u16 + 1_024,
        ),
        route: route(),
        flags: Flags::SYN,
        echo: Echo::NONE,
        seq: 1,
        ack: 0,
        len: 0,
    }
}
