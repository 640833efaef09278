//! Operators evacuate an availability zone and restore it.

use adapter_standin::Fault;
use adapter_standin::Seen;

use crate::cluster::PAUSE;
use crate::cluster::ROUTE;
use crate::cluster::TRIES;
use crate::cluster::World;
use crate::cluster::answer;
use crate::cluster::until;
use crate::cluster::until_open;

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_emptied_keeps_its_flows_and_gets_new_ones_when_it_is_taken_back() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let emptied = world.upstream(0x51, "here", "search").await;
    let entry = world.start_ready(1).await;
    let mut old = world.client(1).await;
    assert_eq!(old.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
    world.store.evacuate("zone-a");
    // The service has no other upstream, so new flows are reset at once.
    let mut new = world.client(2).await;
    until_open(&mut new, ROUTE, entry.packets(), &Seen::Reset).await;
    assert_eq!(old.ask(b"a", entry.packets()).await.unwrap(), answer("here: a"));
    let other = world.upstream_in("zone-b", 0x52, "there", "search").await;
    until_open(&mut new, ROUTE, entry.packets(), &Seen::Opened).await;
    assert_eq!(new.ask(b"b", entry.packets()).await.unwrap(), answer("there: b"));
    let before = emptied.opened();
    for _ in 0..20 {
        assert_eq!(new.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
    }
    assert_eq!((emptied.opened(), other.opened()), (before, 21));
    world.store.restore("zone-a");
    until("the zone is restored", || {
        world.log(1).contains("zones: restored zone=zone-a")
    })
    .await;
    assert_eq!(new.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
    assert_eq!(emptied.opened(), before + 1);
    let log = world.log(1);
    assert!(log.contains("zones: evacuated zone=zone-a"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newcomer_knows_of_it_before_its_first_flow_also_while_the_store_is_away() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    world.store.evacuate("zone-a");
    let emptied = world.upstream(0x61, "here", "search").await;
    let _other = world.upstream_in("zone-b", 0x62, "there", "search").await;
    let first = world.start_ready(1).await;
    // The store's history is gone and its calls fail, so the second instance learns everything from the first one.
    world.store.compact();
    world.store.set_fault(Fault::Busy);
    let second = world.start_ready(2).await;
    let mut client = world.client(1).await;
    for through in [&first, &second] {
        for _ in 0..10 {
            assert_eq!(client.open(ROUTE, through.packets()).await.unwrap(), Seen::Opened);
        }
    }
    assert_eq!(emptied.opened(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wish_that_cannot_be_read_is_counted_and_empties_nothing() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = world.upstream(0x71, "here", "search").await;
    let entry = world.start_ready(1).await;
    let broken = b"{\"meta\":{\"name\":\"zone-a\",\"rev\":3},\"spec\":\xff}".to_vec();
    world.store.put_bytes("evacuations", "zone-a", broken);
    world.store.evacuate("zone-x");
    until("the other evacuation is known", || {
        world.log(1).contains("zones: evacuated zone=zone-x")
    })
    .await;
    let mut client = world.client(1).await;
    assert_eq!(client.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
    let mut metrics = String::new();
    for _ in 0..TRIES {
        metrics = world.metrics(1).await;
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
