//! Placement by the joint view of load, at the pure interface and over virtual time.

#[path = "placement/service.rs"]
mod service;

use std::collections::BTreeMap;
use std::time::Duration;

use flow::Contender;
use flow::Spillover;
use flow::UpstreamId;
use flow::View;
use flow::Warmth;
use flow::ZoneLoad;
use flow::choose;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Time;

use service::Service;
use service::zone;

const SERVICE_TIME: Duration = Duration::from_millis(72);

/// A burst at all instances while they hold one and the same view. Guards against herd behaviour: all instances choose
/// the upstream that looked best 100 ms ago.
#[test]
fn a_burst_is_spread_although_all_instances_hold_the_same_view() {
    for seed in 1..=5 {
        let mut service = Service::tills(seed, SERVICE_TIME);
        for name in ["a", "b", "c"] {
            service.set_demand(name, 0.7);
        }
        service.run(Duration::from_secs(1));
        service.refresh_views();
        service.reset_counts();
        for _ in 0..400 {
            service.place(&zone("a"));
        }
        let busiest = service.servers.iter().map(|server| server.placed).max();
        let share = 400 / 40;
        assert!(
            busiest.unwrap() <= 3 * share,
            "seed {seed}: {busiest:?} flows at one upstream"
        );
    }
}

/// 40% of the upstreams are six times as slow, at 0.9 of the capacity that remains. Guards against starving them, which
/// would leave their capacity unused, and against queues at them.
#[test]
fn slow_upstreams_get_their_share_and_none_is_starved() {
    let mut service = Service::new(1);
    for name in ["a", "b", "c"] {
        service.add(name, 24, 2, SERVICE_TIME);
        service.add(name, 16, 2, SERVICE_TIME * 6);
        service.set_demand(name, 0.9);
    }
    service.run(Duration::from_secs(2));
    service.reset_counts();
    service.run(Duration::from_secs(10));
    let slow = || {
        service
            .servers
            .iter()
            .filter(|server| server.service_time > SERVICE_TIME)
    };
    let placed: u32 = service.servers.iter().map(|server| server.placed).sum();
    let share = f64::from(slow().map(|server| server.placed).sum::<u32>()) / f64::from(placed);
    let capacity = (16.0 / 6.0) / (24.0 + 16.0 / 6.0);
    assert!(
        share > capacity / 2.0 && share < capacity * 1.2,
        "{share} of {capacity}"
    );
    assert!(service.refused() * 100 < placed, "{} refused", service.refused());
    let least = slow().map(|server| server.placed).min().unwrap();
    assert!(f64::from(least) > f64::from(placed) * capacity / 48.0 / 4.0);
}

/// One zone has five times the callers of the others. Guards against requests that fail in that zone while others have
/// free slots, against flooding one of these, and against flows that are sent back.
#[test]
fn a_zone_with_five_times_the_callers_spills_over_in_proportion() {
    for (seed, load) in [(1, 0.6), (2, 0.7), (3, 0.8)] {
        let mut service = Service::tills(seed, SERVICE_TIME);
        let share = load * 3.0 / 7.0;
        service.set_demand("a", 5.0 * share);
        service.set_demand("b", share);
        service.set_demand("c", share);
        service.run(Duration::from_secs(2));
        service.reset_counts();
        service.run(Duration::from_secs(6));
        let away = 1.0 - service.share("a", "a");
        let least = 1.0 - 1.0 / (5.0 * share);
        assert!(
            away > least - 0.05 && away < least + 0.2,
            "load {load}: {away} sent away, {least} needed"
        );
        assert!((service.share("a", "b") / away - 0.5).abs() < 0.1);
        let placed: u32 = service.flows.values().sum();
        assert!(service.refused() * 100 < placed * 3, "{} refused", service.refused());
        for (from, to) in [("b", "a"), ("c", "a"), ("b", "c"), ("c", "b")] {
            assert!(service.share(from, to) < 0.01, "{from} sends to {to}");
        }
    }
}

/// A zone's upstreams become four times as slow, and recover. Guards against queues in the slow zone, and against flows
/// that stay away from it later.
#[test]
fn a_zone_that_becomes_slow_spills_over_within_a_second() {
    let mut service = Service::tills(1, SERVICE_TIME);
    for name in ["a", "b", "c"] {
        service.set_demand(name, 0.55);
    }
    service.run(Duration::from_secs(2));
    service.set_service_time("a", SERVICE_TIME * 4);
    service.run(Duration::from_secs(1));
    service.reset_counts();
    service.run(Duration::from_secs(5));
    let placed: u32 = service.flows.values().sum();
    assert!(service.refused() * 100 < placed, "{} refused", service.refused());
    let kept = service.share("a", "a") / (1.0 / (4.0 * 0.55));
    assert!((0.6..1.05).contains(&kept), "{kept} of what the slow zone can serve");
    service.set_service_time("a", SERVICE_TIME);
    service.run(Duration::from_secs(1));
    service.reset_counts();
    service.run(Duration::from_secs(2));
    assert!(service.share("a", "a") > 0.99);
}

/// The same load in all zones, below and above their capacity. Guards against two zones that exchange load.
#[test]
fn equally_loaded_zones_exchange_nothing() {
    for load in [0.6, 0.9, 1.0, 1.3] {
        let mut service = Service::tills(1, SERVICE_TIME);
        for name in ["a", "b", "c"] {
            service.set_demand(name, load);
        }
        service.run(Duration::from_secs(6));
        for name in ["a", "b", "c"] {
            assert!(service.share(name, name) > 0.99, "load {load}, zone {name}");
        }
    }
}

/// The demand of an overloaded zone falls. Guards against flows that remain in other zones.
#[test]
fn load_returns_to_the_local_zone() {
    let mut service = Service::tills(1, SERVICE_TIME);
    service.set_demand("a", 1.8);
    service.run(Duration::from_secs(4));
    assert!(service.share("a", "a") < 0.8);
    service.set_demand("a", 0.6);
    service.run(Duration::from_secs(1));
    service.reset_counts();
    service.run(Duration::from_secs(2));
    assert!(service.share("a", "a") > 0.99);
}

/// An overloaded zone beside one that is cut off, so that its sums are missing. Guards against flows to upstreams that
/// can't be reached.
#[test]
fn a_zone_without_sums_gets_nothing() {
    let mut service = Service::tills(1, SERVICE_TIME);
    service.set_demand("a", 1.5);
    service.cut_off = Some(zone("b"));
    service.run(Duration::from_secs(3));
    assert!(service.share("a", "b") < f64::EPSILON);
    assert!(service.share("a", "c") > 0.1);
}

/// An overloaded zone beside one that is short itself. Guards against moving the overload to a zone whose own callers
/// need its slots.
#[test]
fn a_zone_that_is_short_itself_gets_nothing() {
    let mut service = Service::tills(1, SERVICE_TIME);
    service.set_demand("a", 1.5);
    service.set_demand("b", 1.5);
    service.set_demand("c", 0.3);
    service.run(Duration::from_secs(4));
    assert!(service.share("a", "b") < 0.05 && service.share("b", "a") < 0.05);
    assert!(service.share("a", "c") > 0.1);
}

/// The callers of an evacuated zone. Guards against refusing them, and against flooding the smaller of the remaining
/// zones.
#[test]
fn callers_of_an_evacuated_zone_are_spread_by_room() {
    let mut service = Service::new(1);
    service.add("b", 40, 2, SERVICE_TIME);
    service.add("c", 20, 2, SERVICE_TIME);
    service.set_demand("b", 0.3);
    service.set_demand("c", 0.3);
    let demand = service.capacity("b") * 0.6;
    service.demand.insert(zone("a"), demand);
    service.run(Duration::from_secs(4));
    let share = service.share("a", "b");
    assert!((share - 2.0 / 3.0).abs() < 0.08, "{share}");
}

/// Upstreams of one, two and eight slots. Guards against equal shares, which overload the small ones.
#[test]
fn upstreams_get_flows_by_their_slots() {
    let mut service = Service::new(1);
    for slots in [1, 2, 8] {
        service.add("a", 20, slots, SERVICE_TIME);
    }
    service.set_demand("a", 0.8);
    service.run(Duration::from_secs(5));
    let placed: u32 = service.servers.iter().map(|server| server.placed).sum();
    for slots in [1, 2, 8] {
        let of_size = service.servers.iter().filter(|server| server.slots == slots);
        let count: u32 = of_size.map(|server| server.placed).sum();
        let share = f64::from(count) / f64::from(placed) / (f64::from(slots) / 11.0);
        assert!((0.5..1.3).contains(&share), "{slots} slots: {share} of the share");
    }
}

/// The upstreams chosen by 1,000 flows from zone a between three of two slots: a busy one in zone a, another one there
/// that is described by `second`, and one in zone b that is described by `other`. `sums` are the zones with a view. Zone b
/// has finished no requests, so its service time is unknown.
fn chosen(second: Warmth, other: Warmth, sums: &[&str]) -> [u32; 3] {
    let (local, remote) = (zone("a"), zone("b"));
    let contender = |id, zone, warmth, in_flight| Contender {
        id: UpstreamId(id),
        zone,
        slots: 2,
        in_flight,
        service_time: Some(SERVICE_TIME),
        warmth,
    };
    let near = [
        contender(0, &local, Warmth::Warm, Some(8)),
        contender(1, &local, second, Some(6)),
    ];
    let far = [contender(2, &remote, other, None)];
    let load = |name: &&str| ZoneLoad {
        slots: 4,
        in_flight: if *name == "a" { 14 } else { 1 },
        service_time: (*name == "a").then_some(SERVICE_TIME),
    };
    let zones: BTreeMap<_, _> = sums.iter().map(|name| (zone(name), load(name))).collect();
    let view = View {
        local: &local,
        zones: &zones,
    };
    let (mut spillover, mut rng) = (Spillover::default(), SmallRng::seed_from_u64(1));
    let mut counts = [0; 3];
    for millis in 1..=1_000 {
        let now = Time(millis * 1_000);
        if let Some(choice) = choose(&near, |_, _| far.to_vec(), view, &mut spillover, now, &mut rng) {
            counts[choice.id.0 as usize] += 1;
        }
    }
    counts
}

/// Cold upstreams beside an overload. Guards against a burst at an upstream in another zone that isn't warm yet, and
/// against a permitted flow to a cold one that no instance uses.
#[test]
fn cold_upstreams_get_few_flows_unless_their_rate_permits_them() {
    let (warm, cold, permitted) = (Warmth::Warm, Warmth::Cold, Warmth::Permitted);
    assert!(chosen(warm, warm, &["a", "b"])[2] > 500);
    assert_eq!(chosen(warm, cold, &["a", "b"])[2], 0);
    assert!(chosen(warm, permitted, &["a", "b"])[2] > 500);
    assert_eq!(
        chosen(cold, cold, &["a", "b"])[0],
        1_000,
        "six at a cold one count as twelve"
    );
}

/// Views with gaps. Guards against sending all flows of a zone away because only its own sums are missing.
#[test]
fn the_earlier_rules_apply_without_sums_of_the_local_zone() {
    assert_eq!(chosen(Warmth::Warm, Warmth::Warm, &["b"]), [0, 0, 0]);
    assert_eq!(chosen(Warmth::Warm, Warmth::Warm, &["a"])[2], 0);
}
