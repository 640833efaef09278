//! Contents and size of partial and repeated reads of the list.

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

/// Longer than the duration of any test.
const TTL: Millis = Millis(600_000);
/// Number of instances in each zone.
const INSTANCES: usize = 40;
/// Number of upstreams.
const UPSTREAMS: usize = 200;

fn entry(number: usize, zone: &str) -> Listed {
    Listed::Entry {
        name: format!("entry-{zone}-{number}").parse().expect("valid name"),
        incarnation: Incarnation(1),
        zone: zone.parse().expect("valid name"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7)),
        admin: None,
        leaving: false,
    }
}

fn upstream(number: usize) -> Listed {
    Listed::Upstream {
        name: format!("target-{number}").parse().expect("valid name"),
        incarnation: Incarnation(1),
        leaving: number == 0,
    }
}

/// Starts a platform that lists instances of three zones and many upstreams, one of which is leaving.
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

/// Reads a part of the list twice and returns its number of entries and the bytes transferred by each read.
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
    let zone = ListScope::Zone("south".parse().expect("valid name"));
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
    let mut list = List::new(ListScope::Zone("north".parse().expect("valid name")));
    assert_eq!(client.refresh(&mut list).await, Ok(true));
    client.renew(&mut leases[0]).await.expect("the platform serves");
    assert_eq!(client.refresh(&mut list).await, Ok(false));
    // A change in another zone does not affect this part of the list; a change in its own zone and a leaving upstream do.
    for (index, is_news) in [(INSTANCES, false), (0, true), (3 * INSTANCES + 1, true)] {
        leases[index].mark_leaving();
        client.renew(&mut leases[index]).await.expect("the platform serves");
        assert_eq!(client.refresh(&mut list).await, Ok(is_news), "{:?}", leases[index]);
    }
    assert_eq!(list.entries().len(), INSTANCES + 2);
    assert_eq!(platform.counts().lists_unchanged, 2);
}
