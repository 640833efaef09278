//! What reads of the list bring, and what they cost.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use platform::Client;
use platform::Lease;
use platform::List;
use platform::ListScope;
use platform::Listed;
use platform::Options;
use standin::platform as stand_in;
use standin::platform::Handle;
use units::Incarnation;
use units::Millis;

/// Longer than any test runs.
const TTL: Millis = Millis(600_000);
/// How many instances there are in each of the zones.
const INSTANCES: usize = 40;
/// How many upstreams there are.
const UPSTREAMS: usize = 200;

fn entry(number: usize, zone: &str) -> Listed {
    Listed::Entry {
        name: format!("entry-{zone}-{number}").parse().expect("a name"),
        incarnation: Incarnation(1),
        zone: zone.parse().expect("a name"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7)),
        admin: None,
        leaving: false,
    }
}

fn upstream(number: usize) -> Listed {
    Listed::Upstream {
        name: format!("target-{number}").parse().expect("a name"),
        incarnation: Incarnation(1),
        leaving: number == 0,
    }
}

/// A platform that lists three zones and many upstreams, one of which is leaving.
async fn start() -> (Handle, Client, Vec<Lease>) {
    let platform = stand_in::start(stand_in::Options::default())
        .await
        .expect("the stand-in starts");
    let client = Client::new(Options::new(vec![platform.address()]));
    let zones = ["north", "south", "west"];
    let instances = zones
        .iter()
        .flat_map(|zone| (0..INSTANCES).map(|number| entry(number, zone)));
    let entries = instances.chain((0..UPSTREAMS).map(upstream));
    let mut leases: Vec<Lease> = entries.map(|entry| Lease::new(entry, TTL)).collect();
    for lease in &mut leases {
        client.renew(lease).await.expect("the platform serves");
    }
    (platform, client, leases)
}

/// How many entries a part of the list has, and how many bytes a first and a second read of it take.
async fn read_twice(platform: &Handle, client: &Client, scope: ListScope) -> (usize, u64, u64) {
    let mut list = List::new(scope);
    let mut taken = Vec::new();
    for expected in [true, false] {
        let before = platform.counts().list_bytes;
        assert_eq!(client.refresh(&mut list).await, Ok(expected));
        taken.push(platform.counts().list_bytes - before);
    }
    (list.entries().len(), taken[0], taken[1])
}

#[tokio::test]
async fn partial_lists_are_smaller_and_unchanged_lists_are_not_resent() {
    let (platform, client, _leases) = start().await;
    let zone = ListScope::Zone("south".parse().expect("a name"));
    let (all_len, all, all_again) = read_twice(&platform, &client, ListScope::All).await;
    let (instances_len, instances, instances_again) = read_twice(&platform, &client, ListScope::Instances).await;
    let (zone_len, zone, zone_again) = read_twice(&platform, &client, zone).await;
    assert_eq!(all_len, 3 * INSTANCES + UPSTREAMS);
    assert_eq!(instances_len, 3 * INSTANCES + 1);
    assert_eq!(zone_len, INSTANCES + 1);
    assert_eq!((all_again, instances_again, zone_again), (0, 0, 0));
    println!("bytes of the whole list: {all}, of all instances: {instances}, of one zone: {zone}");
    assert!(2 * zone < instances && instances < all, "{zone} {instances} {all}");
    let counts = platform.counts();
    assert_eq!((counts.lists, counts.lists_unchanged), (6, 3));
}

#[tokio::test]
async fn renewals_leave_the_list_unchanged_and_changes_are_read() {
    let (platform, client, mut leases) = start().await;
    let mut list = List::new(ListScope::Zone("north".parse().expect("a name")));
    assert_eq!(client.refresh(&mut list).await, Ok(true));
    client.renew(&mut leases[0]).await.expect("the platform serves");
    assert_eq!(client.refresh(&mut list).await, Ok(false));
    // An instance of another zone is no news here; one of this zone is, and an upstream that leaves.
    for (index, is_news) in [(INSTANCES, false), (0, true), (3 * INSTANCES + 1, true)] {
        leases[index].mark_leaving();
        client.renew(&mut leases[index]).await.expect("the platform serves");
        assert_eq!(client.refresh(&mut list).await, Ok(is_news), "{:?}", leases[index]);
    }
    assert_eq!(list.entries().len(), INSTANCES + 2);
    assert_eq!(platform.counts().lists_unchanged, 2);
}
