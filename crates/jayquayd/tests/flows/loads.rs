//! The load of upstreams that instances tell one another.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter_standin::Client;
use adapter_standin::Reply;
use flow::ClassLoad;
use flow::Echo;
use flow::LoadDigest;
use flow::LoadGroup;
use flow::LoadReport;
use flow::ReportedWork;
use flow::UpstreamId;
use flow::UpstreamSum;
use flow::ZoneLoad;
use serde::Serialize;

use crate::cluster::Cluster;
use crate::cluster::PAUSE;
use crate::cluster::ROUTE;
use crate::cluster::TRIES;

/// The value of a metric line, zero if it is missing.
fn value(metrics: &str, line: &str) -> f64 {
    let of_line = |text: &str| text.strip_prefix(line)?.strip_prefix(' ')?.parse().ok();
    metrics.lines().find_map(of_line).unwrap_or_default()
}

/// Own and joint work in flight, and the reports and digests that have come from the other instance.
async fn in_flight(cluster: &Cluster, instance: u8) -> [f64; 4] {
    let metrics = cluster.metrics(instance).await;
    let of_view = |view| value(&metrics, &format!("jayquay_flow_work_in_flight{{view=\"{view}\"}}"));
    let of_kind = |kind| {
        value(
            &metrics,
            &format!("jayquay_load_messages_received_total{{kind=\"{kind}\"}}"),
        )
    };
    [of_view("own"), of_view("joint"), of_kind("report"), of_kind("digest")]
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
    let mut seen = [[0.0; 4]; 2];
    let mut has_learnt = [false; 2];
    for _ in 0..TRIES {
        for (number, instance) in (1..).zip(0..2) {
            seen[instance] = in_flight(&cluster, number).await;
            let [own, joint, reports, digests] = seen[instance];
            has_learnt[instance] |= own > 0.0 && joint >= own + 3.0 && reports > 0.0 && digests > 0.0;
        }
        if has_learnt == [true; 2] {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    is_stopped.store(true, Ordering::Relaxed);
    assert_eq!(has_learnt, [true; 2], "own and joint work, reports, digests: {seen:?}");
}

/// Guards against an instance that stops or takes harm when a later release sends it messages that it doesn't know.
#[tokio::test(flavor = "multi_thread")]
async fn a_message_of_an_unknown_kind_is_dropped_and_counted() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = cluster.upstream(0x72, "one", "search").await;
    let instance = cluster.start_ready(1).await;
    let mut message = Vec::new();
    let body = BTreeMap::from([("LoadForecast", 1)]);
    let later = Later {
        from: "entry-2",
        incarnation: 1,
        body,
    };
    ciborium::into_writer(&later, &mut message).unwrap();
    let socket = UdpSocket::bind(SocketAddrV4::new(cluster.ip(2, 9), 0)).unwrap();
    let mut unread = 0.0;
    for _ in 0..TRIES {
        socket.send_to(&message, cluster.peers(1)).unwrap();
        unread = value(&cluster.metrics(1).await, "jayquay_frames_unread_total");
        if unread > 0.0 {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert!(unread > 0.0);
    let mut client = cluster.client(1).await;
    assert_eq!(client.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
}

/// A message of a later release.
#[derive(Serialize)]
struct Later<'a> {
    from: &'a str,
    incarnation: u64,
    body: BTreeMap<&'a str, u32>,
}

fn encoded_len(message: &impl Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).unwrap();
    bytes.len()
}

fn group() -> LoadGroup {
    LoadGroup {
        service: "service-1234".into(),
        zone: "zone-a".parse().unwrap(),
        number: 0,
    }
}

/// Guards against digests that exceed a packet of 1,500 bytes, and against growth of the messages that a quiet fleet
/// sends. The sender's name and the names of the fields around a body take another 60 bytes or so.
#[test]
fn load_messages_are_short() {
    let quiet = LoadReport {
        group: group(),
        seq: 70_000,
        is_from_other_zone: true,
        work: ReportedWork::Sum(1),
        classes: Vec::new(),
    };
    assert!(encoded_len(&quiet) <= 50, "{}", encoded_len(&quiet));
    let limited = LoadReport {
        work: ReportedWork::SumWithFlows(1, 2_000),
        ..quiet
    };
    assert!(encoded_len(&limited) <= 50, "{}", encoded_len(&limited));
    let load = ZoneLoad {
        slots: 300,
        in_flight: 300,
        service_time: Some(Duration::from_millis(100)),
    };
    let sum = UpstreamSum {
        echo: Echo(u32::MAX),
        in_flight: 300,
        open_flows: 2_000,
        service_us: 100_000,
    };
    let digest = |upstreams| LoadDigest {
        group: group(),
        seq: 70_000,
        included: 70_000,
        is_busy: true,
        upstreams,
        zones: vec![("zone-a".parse().unwrap(), load); 3],
        classes: Vec::new(),
    };
    let quiet = digest(None);
    assert!(encoded_len(&quiet) <= 120, "{}", encoded_len(&quiet));
    let full = digest(Some(vec![sum; 64]));
    assert!(encoded_len(&full) <= 1_350, "{}", encoded_len(&full));
    let class = ClassLoad {
        rank: 2,
        openings: 10_000,
        rejected: 10_000,
    };
    let with_classes = LoadDigest {
        classes: vec![class; 3],
        ..full
    };
    assert!(encoded_len(&with_classes) <= 1_400, "{}", encoded_len(&with_classes));
}
