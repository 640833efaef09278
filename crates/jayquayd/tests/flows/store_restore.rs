//! The store is restored from a backup of itself that is some seconds old.
//!
//! These tests guard against a fault in which instances served a route four seconds after a document without that
//! route had been accepted. The store had been restored from a backup and assigned the later revisions a second time,
//! so instances took newer data for older than what they held: their logs showed a document at position 4 ignored in
//! favour of the one at position 7. Upstreams and zone evacuations were affected in the same way.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use adapter_standin::Client;
use adapter_standin::Reply;
use adapter_standin::Upstream;
use flow::UpstreamId;

use crate::cluster::Cluster;
use crate::cluster::PAUSE;
use crate::cluster::ROUTE;
use crate::cluster::TRIES;
use crate::cluster::wait_until;
use crate::cluster::wait_until_open;

/// A route that only this version of the document has.
fn route_of_version(version: u64) -> SocketAddrV4 {
    SocketAddrV4::new(*ROUTE.ip(), 1_000 + u16::try_from(version).unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn documents_are_in_force_after_the_store_was_restored_from_a_backup() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = cluster.upstream(0x81, "one", "search").await;
    let instances = [cluster.start_ready(1).await, cluster.start_ready(2).await];
    let mut client = cluster.client(1).await;
    let backup = cluster.store.snapshot();
    for version in 2..=5 {
        cluster
            .store
            .put_document(version, &[(ROUTE, "search"), (route_of_version(version), "search")]);
    }
    for instance in &instances {
        wait_until_open(&mut client, route_of_version(5), instance.packets(), &Reply::Opened).await;
    }
    cluster.store.restore_snapshot(&backup);
    cluster
        .store
        .put_document(6, &[(ROUTE, "search"), (route_of_version(6), "search")]);
    for instance in &instances {
        wait_until_open(&mut client, route_of_version(6), instance.packets(), &Reply::Opened).await;
        let removed = client.open(route_of_version(5), instance.packets()).await.unwrap();
        assert_eq!(removed, Reply::Reset);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_while_the_store_is_outdated_gets_the_newest_document_from_others() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = cluster.upstream(0x89, "one", "search").await;
    let first = cluster.start_ready(1).await;
    let backup = cluster.store.snapshot();
    let mut client = cluster.client(1).await;
    cluster
        .store
        .put_document(2, &[(ROUTE, "search"), (route_of_version(2), "search")]);
    wait_until_open(&mut client, route_of_version(2), first.packets(), &Reply::Opened).await;
    cluster.store.restore_snapshot(&backup);
    let second = cluster.start_ready(2).await;
    for instance in [&second, &first] {
        wait_until_open(&mut client, route_of_version(2), instance.packets(), &Reply::Opened).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_leaving_after_the_store_was_restored_from_a_backup_gets_no_new_flows() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let leaving = cluster.upstream(0x91, "leaving", "search").await;
    let staying = cluster.upstream(0x92, "staying", "search").await;
    let instances = [cluster.start_ready(1).await, cluster.start_ready(2).await];
    let mut client = cluster.client(1).await;
    let backup = cluster.store.snapshot();
    // Adding and removing upstreams raises the revision. Once the permanent one is known, so are these.
    for id in 0x93..0x99 {
        let passing = cluster.upstream(id, "passing", "photos").await;
        cluster.store.remove_upstream(UpstreamId(id));
        drop(passing);
    }
    let mark = SocketAddrV4::new(*ROUTE.ip(), 444);
    let _mark = cluster.upstream(0xa0, "mark", "mark").await;
    cluster.store.put_document(2, &[(ROUTE, "search"), (mark, "mark")]);
    for instance in &instances {
        wait_until_open(&mut client, mark, instance.packets(), &Reply::Opened).await;
    }
    cluster.store.restore_snapshot(&backup);
    cluster
        .store
        .put_upstream(UpstreamId(0x91), "search", leaving.address(), "zone-a", "draining");
    for instance in &instances {
        wait_until_only(&mut client, instance.packets(), &staying).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_evacuated_after_the_store_was_restored_from_a_backup_gets_no_new_flows() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let _evacuated = cluster.upstream(0xb1, "here", "search").await;
    let other = cluster.upstream_in("zone-b", 0xb2, "there", "search").await;
    let instances = [cluster.start_ready(1).await, cluster.start_ready(2).await];
    let mut client = cluster.client(1).await;
    let backup = cluster.store.snapshot();
    for _ in 0..4 {
        cluster.store.evacuate("zone-b");
        cluster.store.restore("zone-b");
    }
    cluster.store.evacuate("zone-x");
    wait_until("both instances know of the evacuation", || {
        [1, 2].iter().all(|number| cluster.log(*number).contains("zone=zone-x"))
    })
    .await;
    cluster.store.restore_snapshot(&backup);
    cluster.store.evacuate("zone-a");
    for instance in &instances {
        wait_until_only(&mut client, instance.packets(), &other).await;
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
async fn an_instance_of_an_earlier_release_can_read_changes_after_the_store_was_restored() {
    const DIGEST_LEN: usize = 32;
    let cluster = Cluster::new().await;
    cluster.store.restore_snapshot(&cluster.store.snapshot());
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = cluster.upstream(0xc1, "one", "search").await;
    let _entry = cluster.start_ready(1).await;
    let answer = cluster.page(1, "/v1/changes?document_at=0&upstreams_at=0").await;
    let change: EarlierChange = ciborium::from_reader(&answer[DIGEST_LEN..]).unwrap();
    let [(id, entry)] = change.upstreams.as_slice() else {
        panic!("{change:?}");
    };
    assert_eq!(*id, UpstreamId(0xc1));
    assert!(entry.revision <= change.upstreams_at);
}

/// Opens flows until a long run of them has gone to one upstream.
async fn wait_until_only(client: &mut Client, through: SocketAddr, expected: &Upstream) {
    const MANY: u64 = 12;
    for _ in 0..TRIES {
        let before = expected.opened();
        for _ in 0..MANY {
            assert_eq!(client.open(ROUTE, through).await.unwrap(), Reply::Opened);
            client.ask(b"q", through).await.unwrap();
        }
        if expected.opened() - before == MANY {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("flows never all go to one upstream");
}
