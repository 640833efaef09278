//! Responses between instances: long lists are compressed for requesters that support it, and uncompressed for an
//! earlier release.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use adapter_standin::Fault;
use flow::UpstreamId;

use crate::cluster::ROUTE;
use crate::cluster::World;
use crate::cluster::until;

/// Enough upstreams for a list to be compressed.
const UPSTREAMS: u64 = 600;
/// Minimum size of an uncompressed entry: an ID, a service, an address and a zone.
const LEAST_PLAIN: usize = 50;

async fn world_with_a_long_list() -> World {
    let world = World::new().await;
    for id in 1..=UPSTREAMS {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, (id / 250) as u8, (id % 250) as u8), 80);
        let id = UpstreamId(id << 12);
        world.store.put_upstream(id, "search", address, "zone-a", "ready");
    }
    world.store.put_document(1, &[(ROUTE, "search")]);
    world
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newcomer_is_told_a_long_list_in_a_part_of_its_length() {
    let world = world_with_a_long_list().await;
    let _first = world.start_ready(1).await;
    world.store.set_fault(Fault::Busy);
    let second = world.start(2);
    until("the newcomer is ready", || second.is_ready()).await;
    let metrics = world.metrics(2).await;
    let line = "jayquay_change_bytes_received_total{zone=\"own\"} ";
    let told = metrics.lines().find_map(|held| held.strip_prefix(line)).unwrap();
    let told: usize = told.parse().unwrap();
    assert!(told * 2 < UPSTREAMS as usize * LEAST_PLAIN, "{told} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_of_an_earlier_release_is_told_the_list_as_it_reads_it() {
    let world = world_with_a_long_list().await;
    let _first = world.start_ready(1).await;
    let question = "/v1/changes?document_at=0&upstreams_at=0&evacuations_at=0";
    let plain = world.page(1, question).await;
    assert!(plain.len() > UPSTREAMS as usize * LEAST_PLAIN);
    let compressed = world.page(1, &format!("{question}&reads_compressed=true")).await;
    assert!(
        compressed.len() * 2 < plain.len(),
        "{} of {}",
        compressed.len(),
        plain.len()
    );
}
