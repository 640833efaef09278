//! Tests of the flow mode with real processes on loopback: instances, the platform's store, upstreams and clients.

mod cluster;
mod compression;
mod loads;
mod lost_history;
mod observability;
mod store_restore;
mod watchers;
mod zones;

use std::fs;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::Command;

use adapter_standin::Fault;
use adapter_standin::Reply;
use adapter_standin::Store;
use adapter_standin::Upstream;
use flow::UpstreamId;
use jayquayd::forward::status;
use jayquayd::forward::status::Status;

use crate::cluster::Cluster;
use crate::cluster::PAUSE;
use crate::cluster::ROUTE;
use crate::cluster::TRIES;
use crate::cluster::answer;
use crate::cluster::wait_until;
use crate::cluster::wait_until_open;

#[tokio::test(flavor = "multi_thread")]
async fn a_flow_survives_the_stop_and_replacement_of_its_instance() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let upstream = cluster.upstream(0xa1, "one", "search").await;
    let mut first = cluster.start_ready(1).await;
    let second = cluster.start_ready(2).await;
    let mut client = cluster.client(1).await;
    assert_eq!(client.open(ROUTE, first.packets()).await.unwrap(), Reply::Opened);
    assert_eq!(client.ask(b"a", first.packets()).await.unwrap(), answer("one: a"));
    assert_eq!(client.ask(b"b", second.packets()).await.unwrap(), answer("one: b"));
    first.signal("TERM");
    wait_until("the stopping instance is not ready", || !first.is_ready()).await;
    assert_eq!(client.ask(b"c", first.packets()).await.unwrap(), answer("one: c"));
    let status = first.child.wait().unwrap();
    assert_eq!(status.code(), Some(0));
    let first = cluster.start_ready(1).await;
    assert_eq!(client.ask(b"d", first.packets()).await.unwrap(), answer("one: d"));
    assert_eq!(upstream.opened(), 1);
    assert_eq!(upstream.misdirected(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_packet_never_reaches_the_next_upstream_at_an_address() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let old = cluster.upstream(0xb1, "old", "search").await;
    let instance = cluster.start_ready(1).await;
    let mut client = cluster.client(1).await;
    assert_eq!(client.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
    let address = old.address();
    old.crash().await;
    cluster.store.remove_upstream(UpstreamId(0xb1));
    let new = cluster.upstream_at(0xb2, "new", "photos", address).await;
    client.send(b"late", instance.packets()).await.unwrap();
    wait_until("the packet arrives at the address", || new.misdirected() > 0).await;
    assert_eq!(new.opened(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_keeps_its_flows_and_gets_no_new_ones() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let leaving = cluster.upstream(0xc1, "leaving", "search").await;
    let instance = cluster.start_ready(1).await;
    let mut old = cluster.client(1).await;
    assert_eq!(old.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
    let _staying = cluster.upstream(0xc2, "staying", "search").await;
    cluster
        .store
        .put_upstream(UpstreamId(0xc1), "search", leaving.address(), "zone-a", "draining");
    // Changes are applied in order, so once the last document's route is in force, so is the change of the upstream.
    let marker = SocketAddrV4::new(*ROUTE.ip(), 444);
    let _mark = cluster.upstream(0xc3, "mark", "mark").await;
    cluster.store.put_document(2, &[(ROUTE, "search"), (marker, "mark")]);
    let mut new = cluster.client(2).await;
    wait_until_open(&mut new, marker, instance.packets(), &Reply::Opened).await;
    let before = leaving.opened();
    for _ in 0..20 {
        assert_eq!(new.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
        assert_eq!(new.ask(b"q", instance.packets()).await.unwrap(), answer("staying: q"));
    }
    assert_eq!(leaving.opened(), before);
    assert_eq!(old.ask(b"a", instance.packets()).await.unwrap(), answer("leaving: a"));
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_come_and_go_with_the_document_and_leave_open_flows_alone() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = cluster.upstream(0xd1, "one", "search").await;
    let instance = cluster.start_ready(1).await;
    let mut old = cluster.client(1).await;
    assert_eq!(old.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
    cluster.store.put_document(2, &[]);
    let mut new = cluster.client(2).await;
    wait_until_open(&mut new, ROUTE, instance.packets(), &Reply::Reset).await;
    assert_eq!(old.ask(b"a", instance.packets()).await.unwrap(), answer("one: a"));
    cluster.store.put_document(3, &[(ROUTE, "search")]);
    wait_until_open(&mut new, ROUTE, instance.packets(), &Reply::Opened).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_is_ready_only_with_a_document_and_upstreams() {
    let cluster = Cluster::new().await;
    for fault in [
        Fault::Unavailable,
        Fault::TooManyRequests,
        Fault::NoResponse,
        Fault::Garbage,
    ] {
        cluster.store.set_fault(fault);
        let instance = cluster.start(1);
        wait_until("the store was called", || cluster.store.calls() > 2).await;
        assert!(!instance.is_ready(), "{fault:?}");
    }
    cluster.store.set_fault(Fault::None);
    let instance = cluster.start(1);
    wait_until("the store was called", || cluster.store.calls() > 2).await;
    assert!(!instance.is_ready(), "without a document");
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    wait_until("the instance is ready", || instance.is_ready()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_learns_from_others_while_the_store_is_silent() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = cluster.upstream(0xe1, "one", "search").await;
    let _first = cluster.start_ready(1).await;
    cluster.store.set_fault(Fault::NoResponse);
    let second = cluster.start_ready(2).await;
    let mut client = cluster.client(1).await;
    assert_eq!(client.open(ROUTE, second.packets()).await.unwrap(), Reply::Opened);
    assert_eq!(client.ask(b"a", second.packets()).await.unwrap(), answer("one: a"));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_changed_is_known_after_the_history_is_gone_and_garbage_is_skipped() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let instance = cluster.start_ready(1).await;
    let mut client = cluster.client(1).await;
    assert_eq!(
        client.open(ROUTE, instance.packets()).await.unwrap(),
        Reply::Reset,
        "no upstream"
    );
    cluster.store.set_fault(Fault::Unavailable);
    cluster
        .store
        .put("servers", "i-nonsense", serde_json::json!({"service": 7}));
    cluster.store.put("config", "other", serde_json::json!([]));
    let _upstreams = [
        cluster.upstream(0xf1, "one", "search").await,
        cluster.upstream(0xf2, "two", "search").await,
        cluster.upstream(0xf3, "three", "search").await,
        cluster.upstream(0xf4, "four", "photos").await,
    ];
    cluster.store.put_document(2, &[(ROUTE, "photos")]);
    cluster.store.compact();
    cluster.store.set_fault(Fault::None);
    wait_until_open(&mut client, ROUTE, instance.packets(), &Reply::Opened).await;
    for _ in 0..TRIES {
        if client.ask(b"a", instance.packets()).await.unwrap() == answer("four: a") {
            return;
        }
        wait_until_open(&mut client, ROUTE, instance.packets(), &Reply::Opened).await;
    }
    panic!("the new document never came into force");
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_apply_with_and_without_a_signal_and_invalid_ones_do_not() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[]);
    let instance = cluster.start_ready(1).await;
    let mut client = cluster.client(1).await;
    assert_eq!(
        client.open(ROUTE, instance.packets()).await.unwrap(),
        Reply::Reset,
        "no route"
    );
    let next = Store::start().await.unwrap();
    for _ in 0..5 {
        next.put("other", "name", serde_json::json!(1));
    }
    let upstream = Upstream::start(
        UpstreamId(0x71),
        "one",
        SocketAddrV4::new(cluster.ip(3, 1), 0),
        cluster.packets,
    );
    let upstream = upstream.await.unwrap();
    next.put_upstream(UpstreamId(0x71), "search", upstream.address(), "zone-a", "ready");
    next.put_document(2, &[(ROUTE, "search")]);
    fs::write(cluster.path(1), "store: nonsense").unwrap();
    instance.signal("HUP");
    tokio::time::sleep(PAUSE).await;
    assert!(instance.is_ready(), "wrong settings change nothing");
    // Without a signal, the file is checked every two seconds.
    fs::write(cluster.path(1), cluster.settings(1, &next)).unwrap();
    wait_until_open(&mut client, ROUTE, instance.packets(), &Reply::Opened).await;
    let third = Store::start().await.unwrap();
    for _ in 0..20 {
        third.put("other", "name", serde_json::json!(1));
    }
    third.put_document(3, &[]);
    fs::write(cluster.path(1), cluster.settings(1, &third)).unwrap();
    instance.signal("HUP");
    wait_until_open(&mut client, ROUTE, instance.packets(), &Reply::Reset).await;
}

#[test]
fn invalid_settings_of_the_flow_mode_are_usage_errors() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("flows-wrong.yaml");
    let cases = [
        ("name: a", "missing field"),
        (
            "{name: A, zone: z, listen: {packets: '1.1.1.1:1', ready: '1.1.1.1:1', peers: '1.1.1.1:1'}, \
             store: '1.1.1.1:1', grace_s: 6, max_flow_s: 60}",
            "name: a name starts with a lower-case letter",
        ),
        (
            "{name: a, zone: z, listen: {packets: '1.1.1.1:1', ready: '1.1.1.1:1', peers: '1.1.1.1:1'}, \
             store: '1.1.1.1:1', grace_s: -6, max_flow_s: 60}",
            "grace_s: -6 is not a valid duration in seconds",
        ),
    ];
    for (text, expected) in cases {
        fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_jayquayd"));
        let output = command
            .args(["--flows", "--check", "--settings"])
            .arg(&path)
            .output()
            .unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(errors.contains(expected), "{errors}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_cannot_be_read_keep_nobody_from_starting_and_name_no_upstream() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let was_good = cluster.upstream(0xa11, "was good", "search").await;
    let _good = cluster.upstream(0xa12, "good", "search").await;
    let bytes = b"{\"meta\":{\"name\":\"i-0000000a11\",\"rev\":9},\"spec\":{\"service\":\"\xff".to_vec();
    let running = cluster.start_ready(1).await;
    cluster.store.put_bytes("servers", "i-0000000a11", bytes);
    cluster.store.put_bytes("servers", "i-0000000a13", b"nonsense".to_vec());
    let new_instance = cluster.start_ready(2).await;
    // Either instance may read the entry first and pass it on, so its log line is expected at the watcher only, but both
    // have to know that the upstream takes no new flows.
    for number in [1, 2] {
        wait_until_upstreams(&cluster, number, 1).await;
    }
    let mut client = cluster.client(1).await;
    for _ in 0..10 {
        assert_eq!(client.open(ROUTE, new_instance.packets()).await.unwrap(), Reply::Opened);
        assert_eq!(
            client.ask(b"a", new_instance.packets()).await.unwrap(),
            answer("good: a")
        );
    }
    wait_until("the watcher has logged both entries", || {
        let log = cluster.log(1);
        log.contains("unreadable entry name=\"i-0000000a11\"") && log.contains("unreadable entry name=\"?\"")
    })
    .await;
    let before = was_good.opened();
    for _ in 0..10 {
        assert_eq!(client.open(ROUTE, running.packets()).await.unwrap(), Reply::Opened);
    }
    assert_eq!(was_good.opened(), before);
    let log = cluster.log(1);
    assert_eq!(log.matches("store: unreadable entry").count(), 2, "{log}");
}

/// Waits until an instance knows so many upstreams that take new flows.
async fn wait_until_upstreams(cluster: &Cluster, number: u8, expected: usize) {
    for _ in 0..TRIES {
        let page = cluster.page(number, status::PATH).await;
        let status: Status = serde_json::from_slice(&page).unwrap();
        if status.upstreams.values().sum::<usize>() == expected {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never: instance {number} knows {expected} upstreams");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_restarts_under_its_id_gets_flows_and_loses_its_earlier_ones() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let id = UpstreamId(0xb11);
    let first = cluster.upstream(0xb11, "first", "search").await;
    let address = first.address();
    cluster
        .store
        .put_upstream_started_at(id, "search", address, "zone-a", 1_000);
    let instance = cluster.start_ready(1).await;
    let mut old = cluster.client(1).await;
    assert_eq!(old.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
    first.crash().await;
    let second = Upstream::start(id, "second", address, cluster.packets).await.unwrap();
    cluster
        .store
        .put_upstream_started_at(id, "search", address, "zone-a", 2_000);
    assert_eq!(old.ask(b"a", instance.packets()).await.unwrap(), Reply::Reset);
    let mut new = cluster.client(2).await;
    assert_eq!(new.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
    assert_eq!(new.ask(b"b", instance.packets()).await.unwrap(), answer("second: b"));
    assert_eq!(second.misdirected(), 0);
    for _ in 0..TRIES {
        // Decisions are logged when the next packet arrives.
        assert_eq!(new.open(ROUTE, instance.packets()).await.unwrap(), Reply::Opened);
        if cluster.log(1).contains("flows: restarted upstream=0000000b11") {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("the restart is never logged");
}
