//! Tests of the flow mode with real processes on loopback: instances, the platform's store, upstreams and clients.

mod cluster;
mod compression;
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
use adapter_standin::Seen;
use adapter_standin::Store;
use adapter_standin::Upstream;
use flow::UpstreamId;

use crate::cluster::PAUSE;
use crate::cluster::ROUTE;
use crate::cluster::TRIES;
use crate::cluster::World;
use crate::cluster::answer;
use crate::cluster::until;
use crate::cluster::until_open;

#[tokio::test(flavor = "multi_thread")]
async fn a_flow_stays_whole_while_its_instance_is_stopped_and_replaced() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let upstream = world.upstream(0xa1, "one", "search").await;
    let mut first = world.start_ready(1).await;
    let second = world.start_ready(2).await;
    let mut client = world.client(1).await;
    assert_eq!(client.open(ROUTE, first.packets()).await.unwrap(), Seen::Opened);
    assert_eq!(client.ask(b"a", first.packets()).await.unwrap(), answer("one: a"));
    assert_eq!(client.ask(b"b", second.packets()).await.unwrap(), answer("one: b"));
    first.signal("TERM");
    until("the stopping instance is not ready", || !first.is_ready()).await;
    assert_eq!(client.ask(b"c", first.packets()).await.unwrap(), answer("one: c"));
    let status = first.child.wait().unwrap();
    assert_eq!(status.code(), Some(0));
    let first = world.start_ready(1).await;
    assert_eq!(client.ask(b"d", first.packets()).await.unwrap(), answer("one: d"));
    assert_eq!(upstream.opened(), 1);
    assert_eq!(upstream.strays(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_packet_never_reaches_the_next_upstream_at_an_address() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let old = world.upstream(0xb1, "old", "search").await;
    let entry = world.start_ready(1).await;
    let mut client = world.client(1).await;
    assert_eq!(client.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
    let address = old.address();
    old.crash().await;
    world.store.remove_upstream(UpstreamId(0xb1));
    let new = world.upstream_at(0xb2, "new", "photos", address).await;
    client.send(b"late", entry.packets()).await.unwrap();
    until("the packet arrives at the address", || new.strays() > 0).await;
    assert_eq!(new.opened(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_keeps_its_flows_and_gets_no_new_ones() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let leaving = world.upstream(0xc1, "leaving", "search").await;
    let entry = world.start_ready(1).await;
    let mut old = world.client(1).await;
    assert_eq!(old.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
    let _staying = world.upstream(0xc2, "staying", "search").await;
    world
        .store
        .put_upstream(UpstreamId(0xc1), "search", leaving.address(), "zone-a", "draining");
    // Changes are applied in order, so once the last document's route is in force, so is the change of the upstream.
    let marker = SocketAddrV4::new(*ROUTE.ip(), 444);
    let _mark = world.upstream(0xc3, "mark", "mark").await;
    world.store.put_document(2, &[(ROUTE, "search"), (marker, "mark")]);
    let mut new = world.client(2).await;
    until_open(&mut new, marker, entry.packets(), &Seen::Opened).await;
    let before = leaving.opened();
    for _ in 0..20 {
        assert_eq!(new.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
        assert_eq!(new.ask(b"q", entry.packets()).await.unwrap(), answer("staying: q"));
    }
    assert_eq!(leaving.opened(), before);
    assert_eq!(old.ask(b"a", entry.packets()).await.unwrap(), answer("leaving: a"));
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_come_and_go_with_the_document_and_leave_open_flows_alone() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = world.upstream(0xd1, "one", "search").await;
    let entry = world.start_ready(1).await;
    let mut old = world.client(1).await;
    assert_eq!(old.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
    world.store.put_document(2, &[]);
    let mut new = world.client(2).await;
    until_open(&mut new, ROUTE, entry.packets(), &Seen::Reset).await;
    assert_eq!(old.ask(b"a", entry.packets()).await.unwrap(), answer("one: a"));
    world.store.put_document(3, &[(ROUTE, "search")]);
    until_open(&mut new, ROUTE, entry.packets(), &Seen::Opened).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_is_ready_only_with_a_document_and_upstreams() {
    let world = World::new().await;
    for fault in [Fault::Busy, Fault::Many, Fault::Silent, Fault::Garbage] {
        world.store.set_fault(fault);
        let entry = world.start(1);
        until("the store was called", || world.store.calls() > 2).await;
        assert!(!entry.is_ready(), "{fault:?}");
    }
    world.store.set_fault(Fault::None);
    let entry = world.start(1);
    until("the store was called", || world.store.calls() > 2).await;
    assert!(!entry.is_ready(), "without a document");
    world.store.put_document(1, &[(ROUTE, "search")]);
    until("the instance is ready", || entry.is_ready()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newcomer_learns_from_others_while_the_store_is_silent() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = world.upstream(0xe1, "one", "search").await;
    let _first = world.start_ready(1).await;
    world.store.set_fault(Fault::Silent);
    let second = world.start_ready(2).await;
    let mut client = world.client(1).await;
    assert_eq!(client.open(ROUTE, second.packets()).await.unwrap(), Seen::Opened);
    assert_eq!(client.ask(b"a", second.packets()).await.unwrap(), answer("one: a"));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_changed_is_known_after_the_history_is_gone_and_garbage_is_skipped() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let entry = world.start_ready(1).await;
    let mut client = world.client(1).await;
    assert_eq!(
        client.open(ROUTE, entry.packets()).await.unwrap(),
        Seen::Reset,
        "no upstream"
    );
    world.store.set_fault(Fault::Busy);
    world
        .store
        .put("servers", "i-nonsense", serde_json::json!({"service": 7}));
    world.store.put("config", "other", serde_json::json!([]));
    let _upstreams = [
        world.upstream(0xf1, "one", "search").await,
        world.upstream(0xf2, "two", "search").await,
        world.upstream(0xf3, "three", "search").await,
        world.upstream(0xf4, "four", "photos").await,
    ];
    world.store.put_document(2, &[(ROUTE, "photos")]);
    world.store.compact();
    world.store.set_fault(Fault::None);
    until_open(&mut client, ROUTE, entry.packets(), &Seen::Opened).await;
    for _ in 0..TRIES {
        if client.ask(b"a", entry.packets()).await.unwrap() == answer("four: a") {
            return;
        }
        until_open(&mut client, ROUTE, entry.packets(), &Seen::Opened).await;
    }
    panic!("the new document never came into force");
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_are_taken_with_a_signal_and_without_and_wrong_ones_are_not() {
    let world = World::new().await;
    world.store.put_document(1, &[]);
    let entry = world.start_ready(1).await;
    let mut client = world.client(1).await;
    assert_eq!(
        client.open(ROUTE, entry.packets()).await.unwrap(),
        Seen::Reset,
        "no route"
    );
    let next = Store::start().await.unwrap();
    for _ in 0..5 {
        next.put("other", "name", serde_json::json!(1));
    }
    let upstream = Upstream::start(
        UpstreamId(0x71),
        "one",
        SocketAddrV4::new(world.ip(3, 1), 0),
        world.packets,
    );
    let upstream = upstream.await.unwrap();
    next.put_upstream(UpstreamId(0x71), "search", upstream.address(), "zone-a", "ready");
    next.put_document(2, &[(ROUTE, "search")]);
    fs::write(world.path(1), "store: nonsense").unwrap();
    entry.signal("HUP");
    tokio::time::sleep(PAUSE).await;
    assert!(entry.is_ready(), "wrong settings change nothing");
    // Without a signal, the file is checked every two seconds.
    fs::write(world.path(1), world.settings(1, &next)).unwrap();
    until_open(&mut client, ROUTE, entry.packets(), &Seen::Opened).await;
    let third = Store::start().await.unwrap();
    for _ in 0..20 {
        third.put("other", "name", serde_json::json!(1));
    }
    third.put_document(3, &[]);
    fs::write(world.path(1), world.settings(1, &third)).unwrap();
    entry.signal("HUP");
    until_open(&mut client, ROUTE, entry.packets(), &Seen::Reset).await;
}

#[test]
fn wrong_settings_of_the_flow_mode_are_bad_usage() {
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
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let was_good = world.upstream(0xa11, "was good", "search").await;
    let _good = world.upstream(0xa12, "good", "search").await;
    let bytes = b"{\"meta\":{\"name\":\"i-0000000a11\",\"rev\":9},\"spec\":{\"service\":\"\xff".to_vec();
    let running = world.start_ready(1).await;
    world.store.put_bytes("servers", "i-0000000a11", bytes);
    world.store.put_bytes("servers", "i-0000000a13", b"nonsense".to_vec());
    let newcomer = world.start_ready(2).await;
    until("the unreadable entry is logged", || {
        world.log(2).contains("store: unreadable entry")
    })
    .await;
    let mut client = world.client(1).await;
    for _ in 0..10 {
        assert_eq!(client.open(ROUTE, newcomer.packets()).await.unwrap(), Seen::Opened);
        assert_eq!(client.ask(b"a", newcomer.packets()).await.unwrap(), answer("good: a"));
    }
    until("the running instance has logged it too", || {
        world.log(1).contains("name=\"i-0000000a11\"")
    })
    .await;
    let before = was_good.opened();
    for _ in 0..10 {
        assert_eq!(client.open(ROUTE, running.packets()).await.unwrap(), Seen::Opened);
    }
    assert_eq!(was_good.opened(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_starts_again_under_its_id_gets_flows_and_ends_those_of_before() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let id = UpstreamId(0xb11);
    let first = world.upstream(0xb11, "first", "search").await;
    let address = first.address();
    world.store.put_started(id, "search", address, "zone-a", 1_000);
    let entry = world.start_ready(1).await;
    let mut old = world.client(1).await;
    assert_eq!(old.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
    first.crash().await;
    let second = Upstream::start(id, "second", address, world.packets).await.unwrap();
    world.store.put_started(id, "search", address, "zone-a", 2_000);
    assert_eq!(old.ask(b"a", entry.packets()).await.unwrap(), Seen::Reset);
    let mut new = world.client(2).await;
    assert_eq!(new.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
    assert_eq!(new.ask(b"b", entry.packets()).await.unwrap(), answer("second: b"));
    assert_eq!(second.strays(), 0);
    for _ in 0..TRIES {
        // Decisions are logged when the next packet arrives.
        assert_eq!(new.open(ROUTE, entry.packets()).await.unwrap(), Seen::Opened);
        if world.log(1).contains("flows: restarted upstream=0000000b11") {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("the restart is never logged");
}
