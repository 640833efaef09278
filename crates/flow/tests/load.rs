//! The load that instances share: own work, reports, sums and views.

#[path = "../benches/support/mod.rs"]
mod support;

use std::time::Duration;

use flow::Core;
use flow::Flags;
use flow::LoadDigest;
use flow::LoadGroup;
use flow::Packet;
use flow::ReporterId;
use flow::UpstreamId;
use flow::UpstreamSum;
use flow::Verdict;
use flow::WorkCounts;
use flow::ZoneLoad;
use support::START;
use support::core_with_zones;
use support::opening_packet;
use units::Incarnation;
use units::Time;

const COLLECTOR: ReporterId = ReporterId(1);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Opens a flow of a client number. Returns its upstream and a packet template of the flow.
fn open(core: &mut Core, client: u32, now: Time) -> (UpstreamId, Packet) {
    let syn = opening_packet(client);
    let Verdict::Forward { upstream, echo, .. } = core.handle_packet(&syn, now) else {
        panic!("the flow is placed");
    };
    let packet = Packet {
        flags: Flags::ACK,
        echo,
        seq: syn.seq.wrapping_add(1),
        ack: 1,
        len: 0,
        ..syn
    };
    (upstream, packet)
}

fn counts(in_flight: u32, open_flows: u32, completed: u32) -> WorkCounts {
    WorkCounts {
        in_flight,
        open_flows,
        completed,
    }
}

fn group() -> LoadGroup {
    LoadGroup {
        service: "quotes".into(),
        zone: "z0".parse().unwrap(),
        number: 0,
    }
}

/// A digest that gives each of these upstreams this work in flight.
fn digest(seq: u32, upstreams: &[(u64, u32)]) -> LoadDigest {
    let sums = upstreams.iter().map(|(id, in_flight)| UpstreamSum {
        echo: UpstreamId(*id).echo(),
        in_flight: *in_flight,
        open_flows: 10,
        service_us: 50_000,
    });
    let load = ZoneLoad {
        slots: 4,
        in_flight: upstreams.iter().map(|(_, in_flight)| in_flight).sum(),
        service_time: None,
    };
    LoadDigest {
        group: group(),
        seq,
        included: 0,
        is_busy: true,
        upstreams: Some(sums.collect()),
        zones: vec![("z0".parse().unwrap(), load)],
    }
}

fn in_flight(core: &Core, id: u64, now: Time) -> Option<u32> {
    Some(core.joint_work(UpstreamId(id), now)?.in_flight)
}

#[test]
fn work_is_in_flight_from_the_opening_packet_and_each_request_to_its_answer() {
    let mut core = core_with_zones(1, 1, 1);
    let (id, ack) = open(&mut core, 1, START);
    assert_eq!(core.own_work(id), counts(1, 1, 0), "opening");
    core.handle_packet(&ack, after(3));
    assert_eq!(core.own_work(id), counts(0, 1, 0), "idle");
    core.handle_packet(&Packet { len: 100, ..ack }, after(4));
    assert_eq!(core.own_work(id), counts(1, 1, 0), "request");
    let seq = ack.seq.wrapping_add(100);
    core.handle_packet(&Packet { seq, ack: 1_001, ..ack }, after(50));
    assert_eq!(core.own_work(id), counts(0, 1, 0), "answered");
    let fin = Flags::FIN | Flags::ACK;
    core.handle_packet(
        &Packet {
            seq,
            ack: 1_001,
            flags: fin,
            ..ack
        },
        after(51),
    );
    assert_eq!(core.own_work(id), counts(0, 0, 1), "closed");
}

#[test]
fn work_that_never_ends_stops_counting() {
    let mut core = core_with_zones(1, 1, 1);
    let (id, _) = open(&mut core, 1, START);
    let (_, ack) = open(&mut core, 2, START);
    core.handle_packet(&Packet { len: 100, ..ack }, after(10));
    assert_eq!(core.own_work(id).in_flight, 2);
    let _third = open(&mut core, 3, after(1_001));
    assert_eq!(core.own_work(id), counts(2, 3, 0), "the first opening no longer counts");
    let _fourth = open(&mut core, 4, after(2_011));
    assert_eq!(core.own_work(id), counts(1, 4, 0), "nor does the request");
}

#[test]
fn a_view_adds_own_changes_and_expires() {
    let mut core = core_with_zones(2, 1, 1);
    assert_eq!(in_flight(&core, 1, START), None, "no digest yet");
    assert!(core.receive_load_digest(COLLECTOR, Incarnation(1), &digest(1, &[(1, 3)]), START));
    assert_eq!(in_flight(&core, 1, START), Some(3));
    assert_eq!(in_flight(&core, 2, START), Some(0), "not in the digest, so idle");
    let (id, _) = open(&mut core, 1, after(10));
    assert_eq!(in_flight(&core, id.0, after(10)), Some(if id.0 == 1 { 4 } else { 1 }));
    let zones = core.zone_loads("quotes", after(10)).unwrap();
    assert_eq!(zones[&"z0".parse().unwrap()].in_flight, 4);
    assert_eq!(in_flight(&core, 1, after(1_000)), None, "stale");
    assert!(core.zone_loads("quotes", after(1_000)).is_none(), "stale");
}

#[test]
fn late_and_doubled_digests_are_ignored() {
    let mut core = core_with_zones(2, 1, 1);
    let mut receive = |incarnation, seq, in_flight| {
        core.receive_load_digest(
            COLLECTOR,
            Incarnation(incarnation),
            &digest(seq, &[(1, in_flight)]),
            START,
        )
    };
    assert!(receive(5, 7, 1));
    assert!(!receive(5, 7, 2), "doubled");
    assert!(!receive(5, 6, 2), "late");
    assert!(receive(6, 1, 3), "the collector has restarted");
    assert!(!receive(5, 8, 2), "from before its restart");
    assert_eq!(in_flight(&core, 1, START), Some(3));
}
