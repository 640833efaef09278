//! The load of upstreams that instances tell one another.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use adapter_standin::Client;
use flow::UpstreamId;

use crate::cluster::Cluster;
use crate::cluster::PAUSE;
use crate::cluster::ROUTE;
use crate::cluster::TRIES;

/// The value of a metric line, zero if it is missing.
fn value(metrics: &str, line: &str) -> f64 {
    let of_line = |text: &str| text.strip_prefix(line)?.strip_prefix(' ')?.parse().ok();
    metrics.lines().find_map(of_line).unwrap_or_default()
}

async fn in_flight(cluster: &Cluster, instance: u8) -> (f64, f64) {
    let metrics = cluster.metrics(instance).await;
    let of_view = |view| value(&metrics, &format!("jayquay_flow_work_in_flight{{view=\"{view}\"}}"));
    (of_view("own"), of_view("joint"))
}

/// Opens flows that nobody answers until it is stopped.
async fn open_unanswered(mut client: Client, through: SocketAddr, is_stopped: Arc<AtomicBool>) {
    client.set_attempts(1);
    while !is_stopped.load(Ordering::Relaxed) {
        client.open(ROUTE, through).await.unwrap();
    }
}

/// Guards against instances that see only their own share of an upstream's load.
#[tokio::test(flavor = "multi_thread")]
async fn two_instances_learn_of_each_others_work() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let mute = UdpSocket::bind(SocketAddrV4::new(cluster.ip(3, 9), 0)).unwrap();
    let SocketAddr::V4(address) = mute.local_addr().unwrap() else {
        panic!("the socket is bound to an IPv4 address");
    };
    cluster
        .store
        .put_upstream(UpstreamId(0x71), "search", address, "zone-a", "ready");
    let instances = [cluster.start_ready(1).await, cluster.start_ready(2).await];
    let is_stopped = Arc::new(AtomicBool::new(false));
    for (number, instance) in (1..).zip([0, 0, 0, 1, 1, 1]) {
        let client = cluster.client(number).await;
        let through = instances[instance].packets();
        tokio::spawn(open_unanswered(client, through, Arc::clone(&is_stopped)));
    }
    let mut seen = [(0.0, 0.0); 2];
    let mut has_learnt = [false; 2];
    for _ in 0..TRIES {
        for (number, instance) in (1..).zip(0..2) {
            seen[instance] = in_flight(&cluster, number).await;
            let (own, joint) = seen[instance];
            has_learnt[instance] |= own > 0.0 && joint >= own + 3.0;
        }
        if has_learnt == [true; 2] {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    is_stopped.store(true, Ordering::Relaxed);
    assert_eq!(has_learnt, [true; 2], "own and joint work: {seen:?}");
    let metrics = cluster.metrics(1).await;
    for kind in ["report", "digest"] {
        let line = format!("jayquay_load_messages_received_total{{kind=\"{kind}\"}}");
        assert!(value(&metrics, &line) > 0.0, "{line} in {metrics}");
    }
}
