//! How many bytes an instance remembers for each flow: resident memory before and after so many were opened.

use std::collections::BTreeMap;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::Core;
use flow::Document;
use flow::Echo;
use flow::Flags;
use flow::Options;
use flow::Packet;
use flow::Route;
use flow::Share;
use flow::Upstream;
use flow::UpstreamId;
use units::Revision;
use units::Slots;
use units::Time;
use units::Weight;

const START: Time = Time(1_000_000_000);

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes * 1_024
}

fn core(route: SocketAddrV4) -> Core {
    let mut core = Core::new(Options {
        zone: "z0".parse().unwrap(),
        max_flow: Duration::from_mins(1),
        seed: 1,
    });
    let upstream = Upstream {
        service: "quotes".to_owned(),
        address: route,
        zone: "z0".parse().unwrap(),
        slots: Slots(2),
        leaving: false,
        cold_for: Duration::ZERO,
    };
    let shares = vec![Share {
        service: "quotes".to_owned(),
        weight: Weight(1),
    }];
    let route = Route {
        address: route,
        shares,
        idempotent: true,
        aim: Duration::from_millis(100),
    };
    let document = Document {
        revision: Revision(1),
        routes: BTreeMap::from([("r".to_owned(), route)]),
        idle_timeout: Duration::from_secs(15),
    };
    core.learn(START, |knowledge| {
        let list = vec![(UpstreamId(1), Revision(1), upstream)];
        knowledge.take_list(Revision(2), list, START) | knowledge.take_document(Revision(1), document)
    });
    core
}

fn main() {
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    for flows in [28_000_u32, 100_000, 300_000] {
        let mut core = core(route);
        let before = resident();
        for client in 0..flows {
            let packet = Packet {
                client: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + client / 60_000), (client % 60_000) as u16),
                route,
                flags: Flags::SYN,
                echo: Echo::NONE,
                seq: 1,
                ack: 0,
                len: 0,
            };
            core.packet(&packet, START);
            core.take_decisions();
        }
        let bytes = resident() - before;
        println!("{flows} flows: {} bytes each", bytes / u64::from(flows));
    }
}
