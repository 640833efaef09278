//! The store is restored from a backup of itself that is some seconds old.
//!
//! These tests guard against a fault in which instances served a route four seconds after a document without that
//! route had been accepted. The store had been restored from a backup and assigned the later revisions a second time,
//! so instances took newer data for older than what they held: their logs showed a document at position 4 ignored in
//! favour of the one at position 7. Upstreams and zone evacuations were affected in the same way.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use adapter_standin::Client;
use adapter_standin::Seen;
use adapter_standin::Upstream;
use flow::UpstreamId;

use crate::cluster::PAUSE;
use crate::cluster::ROUTE;
use crate::cluster::TRIES;
use crate::cluster::World;
use crate::cluster::until;
use crate::cluster::until_open;

/// A route that only this version of the document has.
fn own_route(version: u64) -> SocketAddrV4 {
    SocketAddrV4::new(*ROUTE.ip(), 1_000 + u16::try_from(version).unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn documents_are_in_force_after_the_store_came_back_from_an_older_copy() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = world.upstream(0x81, "one", "search").await;
    let instances = [world.start_ready(1).await, world.start_ready(2).await];
    let mut client = world.client(1).await;
    let copy = world.store.copy();
    for version in 2..=5 {
        world
            .store
            .put_document(version, &[(ROUTE, "search"), (own_route(version), "search")]);
    }
    for instance in &instances {
        until_open(&mut client, own_route(5), instance.packets(), &Seen::Opened).await;
    }
    world.store.come_back_from(&copy);
    world
        .store
        .put_document(6, &[(ROUTE, "search"), (own_route(6), "search")]);
    for instance in &instances {
        until_open(&mut client, own_route(6), instance.packets(), &Seen::Opened).await;
        let taken_away = client.open(own_route(5), instance.packets()).await.unwrap();
        assert_eq!(taken_away, Seen::Reset);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_while_the_store_shows_a_copy_gets_the_newest_document_from_others() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = world.upstream(0x89, "one", "search").await;
    let first = world.start_ready(1).await;
    let copy = world.store.copy();
    let mut client = world.client(1).await;
    world
        .store
        .put_document(2, &[(ROUTE, "search"), (own_route(2), "search")]);
    until_open(&mut client, own_route(2), first.packets(), &Seen::Opened).await;
    world.store.come_back_from(&copy);
    let second = world.start_ready(2).await;
    for instance in [&second, &first] {
        until_open(&mut client, own_route(2), instance.packets(), &Seen::Opened).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_leaves_after_the_store_came_back_from_an_older_copy_gets_no_new_flows() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let leaving = world.upstream(0x91, "leaving", "search").await;
    let staying = world.upstream(0x92, "staying", "search").await;
    let instances = [world.start_ready(1).await, world.start_ready(2).await];
    let mut client = world.client(1).await;
    let copy = world.store.copy();
    // Adding and removing upstreams raises the revision. Once the permanent one is known, so are these.
    for id in 0x93..0x99 {
        let passing = world.upstream(id, "passing", "photos").await;
        world.store.remove_upstream(UpstreamId(id));
        drop(passing);
    }
    let mark = SocketAddrV4::new(*ROUTE.ip(), 444);
    let _mark = world.upstream(0xa0, "mark", "mark").await;
    world.store.put_document(2, &[(ROUTE, "search"), (mark, "mark")]);
    for instance in &instances {
        until_open(&mut client, mark, instance.packets(), &Seen::Opened).await;
    }
    world.store.come_back_from(&copy);
    world
        .store
        .put_upstream(UpstreamId(0x91), "search", leaving.address(), "zone-a", "draining");
    for instance in &instances {
        until_only(&mut client, instance.packets(), &staying).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_emptied_after_the_store_came_back_from_an_older_copy_gets_no_new_flows() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let _emptied = world.upstream(0xb1, "here", "search").await;
    let other = world.upstream_in("zone-b", 0xb2, "there", "search").await;
    let instances = [world.start_ready(1).await, world.start_ready(2).await];
    let mut client = world.client(1).await;
    let copy = world.store.copy();
    for _ in 0..4 {
        world.store.evacuate("zone-b");
        world.store.restore("zone-b");
    }
    world.store.evacuate("zone-x");
    until("both instances know of the evacuation", || {
        [1, 2].iter().all(|number| world.log(*number).contains("zone=zone-x"))
    })
    .await;
    world.store.come_back_from(&copy);
    world.store.evacuate("zone-a");
    for instance in &instances {
        until_only(&mut client, instance.packets(), &other).await;
    }
}

/// A response as an instance of an earlier release decodes it: positions are plain revisions.
#[derive(Debug, serde::Deserialize)]
struct EarlierChange {
    upstreams_at: u64,
    upstreams: Vec<(UpstreamId, EarlierEntry)>,
}

#[derive(Debug, serde::Deserialize)]
struct EarlierEntry {
    revision: u64,
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_of_an_earlier_release_can_read_what_it_is_told_after_the_store_came_back() {
    const DIGEST_LEN: usize = 32;
    let world = World::new().await;
    world.store.come_back_from(&world.store.copy());
    world.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = world.upstream(0xc1, "one", "search").await;
    let _entry = world.start_ready(1).await;
    let answer = world.page(1, "/v1/changes?document_at=0&upstreams_at=0").await;
    let change: EarlierChange = ciborium::from_reader(&answer[DIGEST_LEN..]).unwrap();
    let [(id, entry)] = change.upstreams.as_slice() else {
        panic!("{change:?}");
    };
    assert_eq!(*id, UpstreamId(0xc1));
    assert!(entry.revision <= change.upstreams_at);
}

/// Opens flows until a long run of them has gone to one upstream.
async fn until_only(client: &mut Client, through: SocketAddr, expected: &Upstream) {
    const MANY: u64 = 12;
    for _ in 0..TRIES {
        let before = expected.opened();
        for _ in 0..MANY {
            assert_eq!(client.open(ROUTE, through).await.unwrap(), Seen::Opened);
            client.ask(b"q", through).await.unwrap();
        }
        if expected.opened() - before == MANY {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("flows never all go to one upstream");
}
