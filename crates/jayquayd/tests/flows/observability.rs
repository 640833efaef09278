//! Observability of an instance in flow mode: its metrics and its log.

use std::net::SocketAddrV4;

use adapter_standin::Fault;
use adapter_standin::Reply;
use flow::UpstreamId;
use jayquayd::forward::status;
use jayquayd::forward::status::Status;

use crate::cluster::Cluster;
use crate::cluster::ROUTE;
use crate::cluster::answer;
use crate::cluster::wait_until;
use crate::cluster::wait_until_open;

/// The value of a metric line.
fn value(metrics: &str, line: &str) -> Option<f64> {
    let of_line = |text: &str| text.strip_prefix(line)?.strip_prefix(' ')?.parse().ok();
    metrics.lines().find_map(of_line)
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_show_waits_by_zone_the_state_in_force_and_the_watcher() {
    let cluster = Cluster::new().await;
    let other = SocketAddrV4::new(*ROUTE.ip(), 444);
    cluster.store.put_document(7, &[(ROUTE, "search"), (other, "photos")]);
    let _near = cluster.upstream(0x81, "near", "search").await;
    let far = cluster.upstream(0x82, "far", "photos").await;
    cluster
        .store
        .put_upstream(UpstreamId(0x82), "photos", far.address(), "zone-b", "ready");
    let instance = cluster.start_ready(1).await;
    let mut client = cluster.client(1).await;
    for route in [ROUTE, other, other] {
        wait_until_open(&mut client, route, instance.packets(), &Reply::Opened).await;
    }
    assert_eq!(client.ask(b"a", instance.packets()).await.unwrap(), answer("far: a"));
    let waited = "jayquay_flow_response_seconds_count{zone=\"other\"}";
    let mut metrics = String::new();
    for _ in 0..crate::cluster::TRIES {
        metrics = cluster.metrics(1).await;
        if value(&metrics, waited).is_some() {
            break;
        }
        tokio::time::sleep(crate::cluster::PAUSE).await;
    }
    for (line, expected) in [
        (waited, 1.0),
        ("jayquay_flow_handshake_seconds_count{zone=\"own\"}", 1.0),
        ("jayquay_flow_handshake_seconds_count{zone=\"other\"}", 2.0),
        ("jayquay_flow_document_revision", 7.0),
        ("jayquay_flow_upstreams{state=\"listed\"}", 2.0),
        ("jayquay_flow_members{state=\"alive\"}", 1.0),
        ("jayquay_flow_watches", 1.0),
        ("jayquay_flows_remembered", 3.0),
    ] {
        assert_eq!(value(&metrics, line), Some(expected), "{line} in {metrics}");
    }
    // The priority is that of the route.
    let spilled = "jayquay_flow_openings_spilled_total{cause=\"no-view\",priority=\"";
    let spilled: Vec<&str> = metrics.lines().filter(|line| line.starts_with(spilled)).collect();
    assert!(
        spilled.len() == 1 && spilled[0].ends_with("\"} 2"),
        "{spilled:?} in {metrics}"
    );
    let status: Status = serde_json::from_slice(&cluster.page(1, status::PATH).await).unwrap();
    let openings = status.openings.iter();
    let openings = openings.map(|opening| (opening.result.as_str(), opening.cause.as_str(), opening.count));
    assert_eq!(openings.collect::<Vec<_>>(), [("spilled", "no-view", 2)]);
    for line in [
        "jayquay_flow_burst_seconds_count",
        "jayquay_store_read_seconds_count",
        "jayquay_store_calls_total{result=\"ok\"}",
    ] {
        assert!(
            value(&metrics, line).is_some_and(|count| count >= 1.0),
            "{line} in {metrics}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_history_that_is_gone_is_not_logged_as_a_lost_store() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = cluster.upstream(0x91, "one", "search").await;
    let instance = cluster.start_ready(1).await;
    let mut client = cluster.client(1).await;
    wait_until_open(&mut client, ROUTE, instance.packets(), &Reply::Opened).await;
    // Both watches wait for changes after a revision. The next one to be renewed finds its history gone.
    cluster.store.put_document(2, &[]);
    cluster.store.compact();
    wait_until("the history is logged as gone", || {
        cluster.log(1).contains("store: history gone")
    })
    .await;
    wait_until_open(&mut client, ROUTE, instance.packets(), &Reply::Reset).await;
    let log = cluster.log(1);
    assert!(!log.contains("store: lost"), "{log}");
    cluster.store.set_fault(Fault::Unavailable);
    wait_until("the store is logged as lost", || cluster.log(1).contains("store: lost")).await;
}
