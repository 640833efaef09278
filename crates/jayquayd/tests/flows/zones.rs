//! Operators evacuate an availability zone and restore it.

use adapter_standin::Fault;
use adapter_standin::Reply;

use crate::cluster::Cluster;
use crate::cluster::PAUSE;
use crate::cluster::ROUTE;
use crate::cluster::TRIES;
use crate::cluster::answer;
use crate::cluster::wait_until;
use crate::cluster::wait_until_open;

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_keeps_its_flows_and_gets_new_ones_once_restored() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let evacuated = cluster.upstream(0x51, "here", "search").await;
    let instance = cluster.start_ready(1).await;
    let mut old = cluster.client(1).await;
    assert_eq!(old.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
    cluster.store.evacuate("zone-a");
    // The service has no other upstream, so new flows are reset at once.
    let mut new = cluster.client(2).await;
    wait_until_open(&mut new, ROUTE, instance.packets(), &Reply::Reset).await;
    assert_eq!(old.ask(b"a", instance.packets()).await.unwrap(), answer("here: a"));
    let other = cluster.upstream_in("zone-b", 0x52, "there", "search").await;
    wait_until_open(&mut new, ROUTE, instance.packets(), &Reply::Opened).await;
    assert_eq!(new.ask(b"b", instance.packets()).await.unwrap(), answer("there: b"));
    let before = evacuated.opened();
    for _ in 0..20 {
        assert_eq!(new.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
    }
    assert_eq!((evacuated.opened(), other.opened()), (before, 21));
    cluster.store.restore("zone-a");
    wait_until("the zone is restored", || {
        cluster.log(1).contains("zones: restored zone=zone-a")
    })
    .await;
    assert_eq!(new.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
    assert_eq!(evacuated.opened(), before + 1);
    let log = cluster.log(1);
    assert!(log.contains("zones: evacuated zone=zone-a"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newcomer_knows_of_it_before_its_first_flow_also_while_the_store_is_away() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    cluster.store.evacuate("zone-a");
    let evacuated = cluster.upstream(0x61, "here", "search").await;
    let _other = cluster.upstream_in("zone-b", 0x62, "there", "search").await;
    let first = cluster.start_ready(1).await;
    // The store's history is gone and its calls fail, so the second instance learns everything from the first one.
    cluster.store.compact();
    cluster.store.set_fault(Fault::Unavailable);
    let second = cluster.start_ready(2).await;
    let mut client = cluster.client(1).await;
    for through in [&first, &second] {
        for _ in 0..10 {
            assert_eq!(client.open(ROUTE, through.packets()).await.unwrap(), Reply::Opened);
        }
    }
    assert_eq!(evacuated.opened(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_evacuation_is_counted_and_evacuates_nothing() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = cluster.upstream(0x71, "here", "search").await;
    let instance = cluster.start_ready(1).await;
    let broken = b"{\"meta\":{\"name\":\"zone-a\",\"rev\":3},\"spec\":\xff}".to_vec();
    cluster.store.put_bytes("evacuations", "zone-a", broken);
    cluster.store.evacuate("zone-x");
    wait_until("the other evacuation is known", || {
        cluster.log(1).contains("zones: evacuated zone=zone-x")
    })
    .await;
    let mut client = cluster.client(1).await;
    assert_eq!(client.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
    let mut metrics = String::new();
    for _ in 0..TRIES {
        metrics = cluster.metrics(1).await;
        if metrics.lines().any(|line| line == "jayquay_flow_zones_evacuated 1") {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    for line in [
        "jayquay_store_objects_malformed_total 1",
        "jayquay_flow_zones_evacuated 1",
        "jayquay_flow_zones_evacuated_flows 0",
    ] {
        assert!(metrics.lines().any(|held| held == line), "{line} in {metrics}");
    }
}
