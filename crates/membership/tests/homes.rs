//! Tests the choice of homes and ledger successors, and which services move when the fleet changes.

#[expect(dead_code, reason = "each target uses only a part of it")]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use support::Condition;
use support::Fleet;
use support::name;
use units::InstanceName;
use units::ServiceName;

const SERVICES: usize = 4_000;

fn service(index: usize) -> ServiceName {
    format!("s{index}").parse().expect("a valid service name")
}

fn homes(fleet: &Fleet, at: usize) -> Vec<InstanceName> {
    let home = |index| fleet.membership(at).home(&service(index), |_| true).expect("a home");
    (0..SERVICES).map(|index| home(index).name.clone()).collect()
}

fn converged_fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(4, 3);
    fleet.start_all(count, count);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.is_converged());
    fleet
}

#[test]
fn all_instances_choose_the_same_evenly_spread_homes() {
    let fleet = converged_fleet(16);
    let mut shares: BTreeMap<InstanceName, usize> = BTreeMap::new();
    for home in homes(&fleet, 0) {
        *shares.entry(home).or_default() += 1;
    }
    assert_eq!(homes(&fleet, 0), homes(&fleet, 15));
    assert_eq!(shares.len(), 16);
    // The standard deviation of a share of 250 is about 15.
    assert!(shares.values().all(|share| (175..=325).contains(share)), "{shares:?}");
}

#[test]
fn only_the_services_of_a_lost_or_leaving_member_move() {
    let mut fleet = converged_fleet(16);
    let before = homes(&fleet, 0);
    fleet.set(5, Condition::Crashed);
    fleet.run(Duration::from_secs(10));
    let after = homes(&fleet, 0);
    for (old, new) in before.iter().zip(&after) {
        assert_eq!(
            *old == name(5),
            old != new,
            "a service moves if and only if its home is gone"
        );
    }
    fleet.act(6, membership::Membership::leave);
    fleet.run(Duration::from_millis(10));
    assert!(homes(&fleet, 0).iter().all(|home| *home != name(6)));
    assert_eq!(homes(&fleet, 0), homes(&fleet, 6), "the leaving instance agrees");
    fleet.start(5, &[0]);
    fleet.run(Duration::from_secs(5));
    let back = homes(&fleet, 0);
    for (old, new) in before.iter().zip(&back).filter(|(old, _)| **old != name(6)) {
        assert_eq!(old, new, "a restart under the same name takes its services back");
    }
}

#[test]
fn a_region_without_members_has_no_home() {
    let fleet = converged_fleet(4);
    let membership = fleet.membership(0);
    assert_eq!(membership.home(&service(0), |_| false), None);
    let zone = fleet.zone(2);
    let home = membership.home(&service(0), |candidate| *candidate == zone);
    assert_eq!(home.map(|home| &home.name), Some(&name(2)));
}

#[test]
fn ledgers_go_to_a_recently_started_member_of_the_same_zone() {
    let mut fleet = converged_fleet(16);
    fleet.start(16, &[0]);
    fleet.run(Duration::from_secs(5));
    let candidate = |fleet: &Fleet, at| {
        fleet
            .membership(at)
            .successor_candidate()
            .map(|member| member.name.clone())
    };
    // Of the four other members of the zone, 12 and 16 started last.
    assert!([Some(name(12)), Some(name(16))].contains(&candidate(&fleet, 0)));
    let listed = fleet.incarnation(16);
    fleet.act(0, |membership, _, _| membership.set_listed_leaving(&name(16), listed));
    assert_ne!(
        candidate(&fleet, 0),
        Some(name(16)),
        "the platform's list reports it as leaving"
    );
    for index in [0, 4, 8, 12] {
        fleet.set(index, Condition::Crashed);
    }
    fleet.run(Duration::from_secs(10));
    let other = candidate(&fleet, 16).expect("a candidate of another zone");
    assert_ne!(fleet.processes[&other].membership.me().zone, fleet.zone(16));
}
