//! Platform faults: the document in force is kept, new instances learn it from their peers, and requests are served.

use caller::Client;
use jayquayd::Handle;
use standin::platform::Behaviour;

use crate::fleet::Fleet;
use crate::fleet::readiness;
use crate::fleet::send_holds;
use crate::fleet::wait_until;

async fn revision(handle: &Handle) -> u64 {
    let status = handle.status().await.unwrap();
    status.revision.map_or(0, |revision| revision.0)
}

/// Waits until a revision is in force at every instance.
async fn wait_for_revision(fleet: &Fleet, wanted: u64) {
    for handle in &fleet.instances {
        wait_until(async || revision(handle).await == wanted).await;
    }
}

/// Starts an instance that has a peer in its settings.
async fn new_instance(fleet: &Fleet) -> Handle {
    let mut settings = fleet.settings("three", "a");
    settings.peers = vec![config::Seed {
        name: "one".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        address: fleet.instances[0].addresses().instances,
    }];
    jayquayd::start(&settings, None).await.unwrap()
}

/// The revisions that came into force at an instance, in order.
async fn applied_revisions(handle: &Handle) -> Vec<u64> {
    let url = format!("http://{}/timeline", handle.addresses().admin);
    let lines = reqwest::get(url).await.unwrap().text().await.unwrap();
    let mut revisions = Vec::new();
    for line in lines.lines() {
        let entry: jayquayd::timeline::Entry = serde_json::from_str(line).unwrap();
        if let node::Record::InForce(revision) = entry.record {
            revisions.push(revision.0);
        }
    }
    revisions
}

/// Two instances with revision 2 in force.
async fn fleet() -> Fleet {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    fleet.join("one", "a").await;
    fleet.join("two", "a").await;
    fleet.put_document(2);
    wait_for_revision(&fleet, 2).await;
    fleet
}

/// Ends the platform's faults, brings revision 3 into force, and checks that no instance ever reverted to an older one.
async fn recover(fleet: &Fleet, client: &Client) {
    fleet.platform.behave(Behaviour::default()).await;
    fleet.put_document(3);
    wait_for_revision(fleet, 3).await;
    send_holds(client, 20).await;
    assert_eq!(fleet.max_runs(), 1);
    for handle in &fleet.instances {
        let revisions = applied_revisions(handle).await;
        assert!(
            revisions.is_sorted_by(|earlier, later| earlier < later),
            "{revisions:?}"
        );
    }
}

/// Checks that requests are answered and a new instance learns the document from its peers while the platform has the
/// given fault.
async fn check_fault(fault: &str) {
    let mut fleet = fleet().await;
    fleet.platform.behave(serde_json::from_str(fault).unwrap()).await;
    let client = fleet.open().await;
    send_holds(&client, 20).await;
    let new_instance = new_instance(&fleet).await;
    fleet.instances.push(new_instance);
    wait_for_revision(&fleet, 2).await;
    send_holds(&client, 20).await;
    recover(&fleet, &client).await;
}

#[tokio::test]
async fn a_delayed_old_version_reverts_nothing() {
    let mut fleet = fleet().await;
    let client = fleet.open().await;
    let mut fault = Behaviour {
        behind: 1,
        stalled: true,
        ..Default::default()
    };
    fleet.platform.behave(fault.clone()).await;
    let new_instance = new_instance(&fleet).await;
    fleet.instances.push(new_instance);
    wait_for_revision(&fleet, 2).await;
    // Only now does the new instance's own read return, with revision 1.
    fault.stalled = false;
    fleet.platform.behave(fault).await;
    wait_until(async || readiness(&fleet.instances[2]).await == "ready").await;
    send_holds(&client, 20).await;
    wait_for_revision(&fleet, 2).await;
    recover(&fleet, &client).await;
}

#[tokio::test]
async fn a_platform_that_serves_old_versions_reverts_nothing() {
    check_fault(r#"{"behind": 1}"#).await;
}

#[tokio::test]
async fn a_platform_that_is_down_stops_nothing() {
    check_fault(r#"{"down": true}"#).await;
}

#[tokio::test]
async fn a_platform_that_refuses_stops_nothing() {
    check_fault(r#"{"unavailable": true}"#).await;
}

#[tokio::test]
async fn a_platform_that_stalls_stops_nothing() {
    check_fault(r#"{"stalled": true}"#).await;
}

#[tokio::test]
async fn a_platform_slower_than_its_clients_wait_stops_nothing() {
    check_fault(r#"{"slow": 2500}"#).await;
}

#[tokio::test]
async fn a_stale_list_stops_nothing() {
    check_fault(r#"{"list_lag": 3600000}"#).await;
}

#[tokio::test]
async fn a_watcher_keeps_polling_through_a_long_outage() {
    let fleet = fleet().await;
    // `down` ends pending watches; the refused watches that follow are counted.
    for fault in [r#"{"down": true}"#, r#"{"unavailable": true}"#] {
        fleet.platform.behave(serde_json::from_str(fault).unwrap()).await;
    }
    let before = fleet.platform.counts().watches;
    // Two watchers with unbounded exponential backoff would send about a dozen watches within the time limit.
    wait_until(async || fleet.platform.counts().watches >= before + 20).await;
}
