//! Responses between instances: long lists are compressed for requesters that support it, and uncompressed for an
//! earlier release.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use adapter_standin::Fault;
use flow::UpstreamId;

use crate::cluster::Cluster;
use crate::cluster::ROUTE;
use crate::cluster::wait_until;

/// Enough upstreams for a list to be compressed.
const UPSTREAMS: u64 = 600;
/// Minimum size of an uncompressed entry: an ID, a service, an address and a zone.
const MIN_ENTRY_LEN: usize = 50;

async fn cluster_with_a_long_list() -> Cluster {
    let cluster = Cluster::new().await;
    for id in 1..=UPSTREAMS {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, (id / 250) as u8, (id % 250) as u8), 80);
        let id = UpstreamId(id << 12);
        cluster.store.put_upstream(id, "search", address, "zone-a", "ready");
    }
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_receives_a_long_list_compressed() {
    let cluster = cluster_with_a_long_list().await;
    let _first = cluster.start_ready(1).await;
    cluster.store.set_fault(Fault::Unavailable);
    let second = cluster.start(2);
    wait_until("the newcomer is ready", || second.is_ready()).await;
    let metrics = cluster.metrics(2).await;
    let line = "jayquay_change_bytes_received_total{zone=\"own\"} ";
    let received = metrics.lines().find_map(|held| held.strip_prefix(line)).unwrap();
    let received: usize = received.parse().unwrap();
    assert!(received * 2 < UPSTREAMS as usize * MIN_ENTRY_LEN, "{received} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_of_an_earlier_release_receives_the_list_uncompressed() {
    let cluster = cluster_with_a_long_list().await;
    let _first = cluster.start_ready(1).await;
    let question = "/v1/changes?document_at=0&upstreams_at=0&evacuations_at=0";
    let plain = cluster.page(1, question).await;
    assert!(plain.len() > UPSTREAMS as usize * MIN_ENTRY_LEN);
    let compressed = cluster.page(1, &format!("{question}&reads_compressed=true")).await;
    assert!(
        compressed.len() * 2 < plain.len(),
        "{} of {}",
        compressed.len(),
        plain.len()
    );
}
