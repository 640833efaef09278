//! The store discards its history: which instances read the whole list again, which takes many calls for many
//! upstreams.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use adapter_standin::Fault;
use flow::UpstreamId;

use crate::cluster::Cluster;
use crate::cluster::ROUTE;
use crate::cluster::wait_until;

const UPSTREAMS: u64 = 60;
/// Number of calls to read a whole list, at three upstreams per page.
const PAGES: u64 = UPSTREAMS / 3;
/// The zone's watchers read the list. The once-per-second checks may read a few pages until the watchers have
/// distributed it.
const READERS: u64 = 2;
const CHECKS: u64 = 6;

/// Reading the list takes 2 s, longer than a check waits for an answer. This must not make other instances read it as
/// well.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_list_is_read_by_the_watchers_and_not_by_checks() {
    let cluster = Cluster::new().await;
    for id in 1..=UPSTREAMS {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, id as u8), 80);
        cluster
            .store
            .put_upstream(UpstreamId(id), "search", address, "zone-a", "ready");
    }
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let mut instances = Vec::new();
    for number in 1..=8 {
        instances.push(cluster.start(number));
    }
    for instance in &instances {
        wait_until("the instance is ready", || instance.is_ready()).await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.store.set_fault(Fault::Slow);
    let before = cluster.store.calls();
    cluster.store.remove_upstream(UpstreamId(1));
    cluster.store.compact();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let calls = cluster.store.calls() - before;
    assert!(calls <= READERS * PAGES + CHECKS * 6 + 20, "{calls} calls");
}
