//! The load that instances share: own work, reports, sums and views.

mod load_fleet;
mod priorities;
#[expect(dead_code, reason = "each program uses a part of it")]
#[path = "../benches/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::num::NonZeroU32;
use std::time::Duration;

use flow::Core;
use flow::DueDigest;
use flow::Flags;
use flow::LoadDigest;
use flow::LoadGroup;
use flow::LoadReport;
use flow::Packet;
use flow::ReportedWork;
use flow::ReporterId;
use flow::UpstreamId;
use flow::UpstreamSum;
use flow::Verdict;
use flow::WorkCounts;
use flow::ZoneLoad;
use load_fleet::Fleet;
use load_fleet::Network;
use support::START;
use support::core_with_zones;
use support::opening_packet;
use support::route;
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
fn digest(seq: u64, upstreams: &[(u64, u32)]) -> LoadDigest {
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
        classes: Vec::new(),
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
    assert_eq!(core.own_work(id), counts(0, 1, 1), "answered");
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

/// Guards against closed flows that count towards the connection limit until they would have been idle for too long.
#[test]
fn an_acknowledgement_that_arrives_after_the_end_of_its_flow_opens_none() {
    let mut core = core_with_zones(1, 1, 1);
    let (id, ack) = open(&mut core, 1, START);
    core.handle_packet(&ack, after(3));
    let fin = Flags::FIN | Flags::ACK;
    core.handle_packet(&Packet { flags: fin, ..ack }, after(4));
    core.handle_packet(&ack, after(5));
    assert_eq!(core.own_work(id), counts(0, 0, 0), "late");
    let request = Packet { len: 100, ..ack };
    core.handle_packet(&request, after(6));
    assert_eq!(
        core.own_work(id),
        counts(1, 1, 0),
        "a request shows that the flow is open"
    );
    core.handle_packet(&Packet { flags: fin, ..ack }, after(7));
    assert_eq!(core.own_work(id), counts(0, 0, 0), "closed");
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
    assert_eq!(
        core.own_work(id),
        counts(1, 3, 0),
        "nor does the request, nor the first flow as open"
    );
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

#[test]
fn every_instance_learns_the_work_of_all() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    fleet.run(3_000, &Network::default());
    fleet.assert_views_are_exact();
    let zones = fleet.cores[5].zone_loads("quotes", fleet.now).unwrap();
    let load = zones[&"z0".parse().unwrap()];
    assert_eq!((load.slots, load.in_flight), (4, 8));
}

#[test]
fn a_quiet_service_is_reported_as_a_sum_and_by_few_messages() {
    let mut fleet = Fleet::new(&[0; 8], 20, 1);
    fleet.open(3);
    fleet.run(3_000, &Network::default());
    let now = fleet.now;
    let load = fleet.cores[3].zone_loads("quotes", now).unwrap()[&"z0".parse().unwrap()];
    assert_eq!((load.slots, load.in_flight), (40, 1));
    assert!((1..=20).all(|id| fleet.cores[3].joint_work(UpstreamId(id), now).is_none()));
    assert!(
        fleet.cores[4].zone_loads("quotes", now).is_none(),
        "has reported nothing"
    );
    // One report a second to each of two collectors, and as many digests.
    assert!(fleet.messages <= 12, "{} messages in three seconds", fleet.messages);
}

#[test]
fn lost_messages_are_made_up_for_within_a_second() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    let lossy = Network {
        loses_one_in: Some(3),
        ..Network::default()
    };
    fleet.run(4_000, &lossy);
    for instance in 0..8 {
        assert!(fleet.cores[instance].joint_work(UpstreamId(1), fleet.now).is_some());
    }
    fleet.run(1_200, &Network::default());
    fleet.assert_views_are_exact();
}

#[test]
fn doubled_messages_change_nothing() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    let doubling = Network {
        doubles: true,
        ..Network::default()
    };
    fleet.run(3_000, &doubling);
    fleet.assert_views_are_exact();
}

#[test]
fn one_collector_suffices_and_without_any_there_is_no_view() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    fleet.run(3_000, &Network::default());
    fleet.kill(0);
    fleet.run(1_000, &Network::default());
    assert!(fleet.cores[5].joint_work(UpstreamId(1), fleet.now).is_some());
    fleet.kill(1);
    fleet.run(900, &Network::default());
    assert!(fleet.cores[5].joint_work(UpstreamId(1), fleet.now).is_some());
    fleet.run(200, &Network::default());
    assert!(fleet.cores[5].joint_work(UpstreamId(1), fleet.now).is_none());
    assert!(fleet.cores[5].zone_loads("quotes", fleet.now).is_none());
}

#[test]
fn a_collector_that_was_frozen_collects_anew_before_it_sends_digests() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    fleet.run(3_000, &Network::default());
    fleet.kill(1);
    fleet.is_frozen[0] = true;
    fleet.run(3_000, &Network::default());
    fleet.is_frozen[0] = false;
    fleet.run(700, &Network::default());
    assert!(fleet.cores[5].joint_work(UpstreamId(1), fleet.now).is_none());
    fleet.run(2_300, &Network::default());
    fleet.assert_views_are_exact();
}

#[test]
fn a_killed_instance_stops_counting_after_two_seconds_or_once_it_is_known_to_be_down() {
    for is_known in [false, true] {
        let mut fleet = Fleet::new(&[0; 8], 2, 1);
        for instance in 0..8 {
            fleet.open(instance);
        }
        fleet.run(3_000, &Network::default());
        fleet.kill(7);
        if is_known {
            for collector in 0..2 {
                let now = fleet.now;
                fleet.cores[collector].remove_load_reporter(Fleet::name(7), now);
            }
        }
        fleet.run(400, &Network::default());
        let in_flight = |fleet: &Fleet| -> u32 {
            let sums = [1, 2].map(|id| fleet.cores[5].joint_work(UpstreamId(id), fleet.now).unwrap());
            sums.iter().map(|sum| sum.in_flight).sum()
        };
        assert_eq!(in_flight(&fleet), if is_known { 7 } else { 8 });
        fleet.run(2_000, &Network::default());
        assert_eq!(in_flight(&fleet), 7);
    }
}

#[test]
fn half_of_the_instances_may_go_in_a_burst() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    fleet.run(3_000, &Network::default());
    for instance in [0, 4, 5, 6] {
        fleet.kill(instance);
    }
    fleet.run(2_500, &Network::default());
    fleet.assert_views_are_exact();
}

#[test]
fn a_restarted_instance_replaces_what_it_reported_before() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    fleet.run(3_000, &Network::default());
    fleet.restart(7);
    fleet.open(7);
    fleet.run(1_500, &Network::default());
    fleet.assert_views_are_exact();
}

#[test]
fn an_instance_of_an_earlier_release_leaves_the_sums_too_low_and_no_more() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    fleet.is_earlier_release[6] = true;
    fleet.run(3_000, &Network::default());
    let sums = [1, 2].map(|id| fleet.cores[5].joint_work(UpstreamId(id), fleet.now).unwrap());
    assert_eq!(sums.iter().map(|sum| sum.in_flight).sum::<u32>(), 7);
    assert!(fleet.cores[6].joint_work(UpstreamId(1), fleet.now).is_none());
}

#[test]
fn sums_cross_zones_and_those_of_a_cut_off_zone_end_within_a_second() {
    let mut fleet = Fleet::new(&[0, 0, 0, 1, 1, 1], 4, 2);
    for _ in 0..4 {
        fleet.open(1);
    }
    fleet.run(4_000, &Network::default());
    let zones = |fleet: &Fleet, instance: usize| -> Vec<(String, u32)> {
        let zones = fleet.cores[instance].zone_loads("quotes", fleet.now).unwrap();
        zones
            .iter()
            .map(|(zone, load)| (zone.to_string(), load.slots))
            .collect()
    };
    assert_eq!(zones(&fleet, 1), [("z0".to_owned(), 4), ("z1".to_owned(), 4)]);
    let cut = Network {
        is_cut: true,
        ..Network::default()
    };
    fleet.run(1_000, &cut);
    assert_eq!(zones(&fleet, 1), [("z0".to_owned(), 4)]);
}

/// Guards against less urgent openings that take queue places while urgent ones are refused at other instances.
#[test]
fn less_urgent_openings_yield_to_urgent_ones_of_another_zone() {
    let mut fleet = Fleet::new(&[0, 0, 1, 1], 8, 2);
    // Answers take 100 to 150 ms where all slots are in use.
    let aims = [60, 195].map(Duration::from_millis);
    fleet.set_document(&priorities::document(aims[0], aims[1]));
    for _ in 0..10 {
        fleet.open(0);
        fleet.open(2);
    }
    fleet.run(3_000, &Network::default());
    let admitted = |fleet: &mut Fleet, instance, address| {
        let mut admitted = 0;
        for _ in 0..10 {
            admitted += u32::from(fleet.try_open(instance, address));
            fleet.run(100, &Network::default());
        }
        admitted
    };
    let before = admitted(&mut fleet, 2, route());
    assert!(before >= 8, "{before} of 10 while nobody else asks");
    let urgent = admitted(&mut fleet, 0, priorities::urgent_route());
    assert_eq!(urgent, 0, "an answer would come too late");
    let during = admitted(&mut fleet, 2, route());
    assert!(during <= 2, "{during} of 10 while urgent ones are refused");
    fleet.run(1_500, &Network::default());
    let after = admitted(&mut fleet, 2, route());
    assert!(after >= 8, "{after} of 10 while no urgent ones ask");
}

#[test]
fn the_service_time_is_busy_time_over_completed_requests() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    fleet.run(4_000, &Network::default());
    // Each of two slots is busy all the time, and each flow ends a request every 100 milliseconds. The completions of
    // the last 100 milliseconds are still to be reported, a tenth of those that count.
    for id in [1, 2] {
        let sum = fleet.cores[5].joint_work(UpstreamId(id), fleet.now).unwrap();
        let expected = 1_000_000 * sum.in_flight.min(2) / (sum.in_flight * 10);
        assert!(
            sum.service_us.abs_diff(expected) < expected / 8,
            "{sum:?}, not {expected}"
        );
    }
}

#[test]
fn late_and_doubled_reports_are_ignored() {
    let mut core = core_with_zones(2, 1, 1);
    let report = |seq, in_flight| LoadReport {
        group: group(),
        seq,
        is_from_other_zone: false,
        work: ReportedWork::All(vec![(UpstreamId(1).echo(), counts(in_flight, in_flight, 0))]),
        classes: Vec::new(),
    };
    let reporter = ReporterId(9);
    let mut receive = |incarnation, seq, in_flight| {
        core.receive_load_report(
            reporter,
            Incarnation(incarnation),
            &report(seq, in_flight),
            after(1_000),
        )
    };
    assert!(receive(1, 2, 4));
    assert!(!receive(1, 2, 5), "doubled");
    assert!(!receive(1, 1, 5), "late");
    assert!(receive(2, 1, 3), "the sender has restarted");
    assert!(!receive(1, 3, 5), "from before its restart");
    let due = (10..=20).flat_map(|step| core.take_load_digests(after(step * 100)));
    let due: Vec<DueDigest> = due.collect();
    let sums = due[0].digest.upstreams.as_ref().unwrap();
    assert_eq!(sums.len(), 1);
    assert_eq!((sums[0].in_flight, sums[0].open_flows), (3, 3));
    assert_eq!(due[0].recipients[0].included, 1);
}

/// Guards against own work that a digest includes being counted twice, and own work since then being missed.
#[test]
fn own_work_that_a_digest_includes_is_not_counted_twice() {
    let mut fleet = Fleet::new(&[0; 3], 2, 1);
    for instance in 0..3 {
        fleet.open(instance);
    }
    fleet.run(3_000, &Network::default());
    fleet.open(2);
    let in_flight = |fleet: &Fleet, instance: usize| {
        let by_upstream = [1, 2].map(|id| in_flight(&fleet.cores[instance], id, fleet.now));
        Some(by_upstream[0]? + by_upstream[1]?)
    };
    assert_eq!(in_flight(&fleet, 2), Some(4), "begun since the digest");
    assert_eq!(in_flight(&fleet, 1), Some(3));
    let zone = "z0".parse().unwrap();
    assert_eq!(
        fleet.cores[2].zone_loads("quotes", fleet.now).unwrap()[&zone].in_flight,
        4
    );
    fleet.run(200, &Network::default());
    assert_eq!(in_flight(&fleet, 2), Some(4));
    assert_eq!(in_flight(&fleet, 1), Some(4));
    assert_eq!(
        fleet.cores[2].zone_loads("quotes", fleet.now).unwrap()[&zone].in_flight,
        4
    );
    fleet.assert_views_are_exact();
}

/// Guards against a burst of messages, and against groups that are never reported, where groups are many.
#[test]
fn reports_on_many_groups_are_spread_over_calls() {
    let mut core = core_with_zones(13_000, 1, 1);
    for client in 0..4_000 {
        let (_, ack) = open(&mut core, client, START);
        core.handle_packet(&Packet { len: 100, ..ack }, START);
    }
    let mut groups = BTreeSet::new();
    for step in 1..=19 {
        let reports = core.take_load_reports(after(step * 100));
        assert!(reports.len() <= 40, "{} reports at once", reports.len());
        for report in reports {
            groups.insert(report.group.number);
        }
    }
    assert_eq!(groups.len(), 13_000_usize.div_ceil(64));
}

/// Guards against a view that comes only when a burst is nearly over.
#[test]
fn a_burst_at_a_service_in_use_shows_within_half_a_second() {
    let mut fleet = Fleet::new(&[0; 8], 10, 1);
    for instance in 0..8 {
        fleet.open(instance);
    }
    fleet.run(5_000, &Network::default());
    assert!(fleet.cores[5].joint_work(UpstreamId(1), fleet.now).is_none(), "quiet");
    for instance in [0, 1, 2, 3, 4, 5, 6, 7, 0, 1] {
        fleet.open(instance);
    }
    fleet.run(500, &Network::default());
    assert!(fleet.cores[5].joint_work(UpstreamId(1), fleet.now).is_some());
    fleet.run(200, &Network::default());
    fleet.assert_views_are_exact();
}

/// Guards against numbers that start anew with a group, so that messages count as late.
#[test]
fn a_service_that_was_idle_for_a_while_gets_a_view_again() {
    for idle_ms in [3_000, 4_500, 6_000, 7_500] {
        let mut fleet = Fleet::new(&[0; 8], 2, 1);
        for instance in 0..8 {
            fleet.open(instance);
        }
        fleet.run(6_000, &Network::default());
        fleet.close_all();
        fleet.run(idle_ms, &Network::default());
        for instance in 0..8 {
            fleet.open(instance);
        }
        fleet.run(3_000, &Network::default());
        fleet.assert_views_are_exact();
    }
}

#[test]
fn a_burst_at_an_idle_service_shows_within_little_more_than_a_second() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    fleet.run(3_000, &Network::default());
    for instance in [0, 1, 2, 3, 4, 5, 6, 7, 0, 1, 2, 3, 4, 5, 6, 7] {
        fleet.open(instance);
    }
    fleet.run(1_300, &Network::default());
    assert!(fleet.cores[5].joint_work(UpstreamId(1), fleet.now).is_some());
    fleet.run(1_000, &Network::default());
    fleet.assert_views_are_exact();
}

/// Guards against an upstream that refuses most requests and looks fast, as refusals come soon.
#[test]
fn short_answers_do_not_count_as_completed() {
    let mut core = core_with_zones(1, 1, 1);
    let (id, mut packet) = open(&mut core, 1, START);
    packet.len = 100;
    let mut ask = |core: &mut Core, at: u64, answer_len: u32| {
        core.handle_packet(&packet, after(at));
        packet.seq = packet.seq.wrapping_add(100);
        packet.ack = packet.ack.wrapping_add(answer_len);
        core.handle_packet(&Packet { len: 0, ..packet }, after(at + 50));
    };
    // Checks of overdue requests run between requests, and must not hide that these were completed.
    for round in 0..30 {
        ask(&mut core, round * 400, 1_000);
    }
    assert_eq!(core.own_work(id).completed, 30);
    for round in 30..35 {
        ask(&mut core, round * 400, 150);
    }
    assert_eq!(core.own_work(id), counts(0, 1, 30));
}

/// Guards against a connection limit that isn't kept where flows are idle, so that few slots are in use.
#[test]
fn idle_flows_count_towards_the_connection_limit_while_no_slot_is_in_use() {
    let mut fleet = Fleet::new(&[0; 8], 2, 1);
    fleet.limit_connections(NonZeroU32::new(20).unwrap());
    fleet.run(1_000, &Network::default());
    let mut open_flows: BTreeMap<UpstreamId, u32> = BTreeMap::new();
    for attempt in 0..50 {
        if let Some(id) = fleet.open_idle(attempt % 8) {
            *open_flows.entry(id).or_default() += 1;
        }
        fleet.run(200, &Network::default());
    }
    let at_limit = BTreeMap::from([(UpstreamId(1), 20), (UpstreamId(2), 20)]);
    assert_eq!(open_flows, at_limit);
}

/// Guards against refusals for seconds after clients have given up on their openings, as when an instance reads many of
/// them at once after its start.
#[test]
fn abandoned_openings_do_not_count_towards_the_connection_limit() {
    let mut fleet = Fleet::new(&[0, 0], 2, 1);
    fleet.limit_connections(NonZeroU32::new(20).unwrap());
    for attempt in 0..24 {
        assert!(fleet.open_idle(attempt % 2).is_some());
        fleet.run(200, &Network::default());
    }
    let open_flows = |fleet: &Fleet| {
        let ids = [1, 2].map(UpstreamId).into_iter();
        let sums = ids.map(|id| fleet.cores[0].joint_work(id, fleet.now).expect("a fresh view"));
        sums.map(|sum| sum.open_flows).sum::<u32>()
    };
    assert_eq!(open_flows(&fleet), 24);
    for attempt in 0..10 {
        fleet.abandon_opening(attempt % 2);
    }
    fleet.run(500, &Network::default());
    assert_eq!(open_flows(&fleet), 34, "the openings may still succeed");
    fleet.run(1_500, &Network::default());
    assert_eq!(open_flows(&fleet), 24);
}

/// Guards against sums that vanish between the digests of a zone that is not busy, while another zone is.
#[test]
fn the_sums_of_a_quiet_zone_are_kept_while_another_zone_is_near_its_connection_limit() {
    let mut fleet = Fleet::new(&[0, 0, 0, 1, 1, 1], 20, 2);
    fleet.limit_connections(NonZeroU32::new(4).unwrap());
    fleet.open(4);
    for _ in 0..20 {
        fleet.open_idle(1);
    }
    // A flow of the first zone, which makes the instance get the digests of that zone as well.
    let adopted = Packet {
        flags: Flags::ACK,
        echo: UpstreamId(2).echo(),
        len: 100,
        ..opening_packet(1_000)
    };
    let now = fleet.now;
    fleet.cores[4].handle_packet(&adopted, now);
    fleet.run(3_000, &Network::default());
    for _ in 0..15 {
        fleet.run(100, &Network::default());
        let zones = fleet.cores[4].zone_loads("quotes", fleet.now).unwrap();
        assert!(zones.contains_key(&"z1".parse().unwrap()), "{zones:?}");
    }
}

/// Guards against a budget that is granted once for the sums and once more for the digests of the same call, as the
/// daemon reads the clock for each.
#[test]
fn digests_of_many_groups_keep_to_the_budget() {
    let mut core = core_with_zones(13_000, 1, 1);
    let mut sent = 0;
    // The service is quiet, so that no sums are due, which come out of the same budget.
    for step in 1..=100 {
        let now = after(step * 100);
        core.take_load_reports(now);
        for from in 0..300 {
            for number in 0..4 {
                let report = LoadReport {
                    group: LoadGroup { number, ..group() },
                    seq: step,
                    is_from_other_zone: false,
                    work: ReportedWork::Sum(0),
                    classes: Vec::new(),
                };
                core.receive_load_report(ReporterId(from), Incarnation(1), &report, now);
            }
        }
        core.take_zone_loads(now);
        let due = core.take_load_digests(now + Duration::from_micros(50));
        sent += due.iter().map(|due| due.recipients.len()).sum::<usize>();
    }
    // 204 groups: 6,400 / 204 messages at each call, and one digest to all reporters that may exceed it.
    let most = 100 * 6_400 / 204 + 300;
    assert!(sent > most / 2 && sent <= most, "{sent} of {most}");
}
