//! Complete instances over real sockets: requests, readiness, planned stops, rotation of secrets, and outages.

mod crash;
mod fleet;
mod limits;

mod outage;
mod startup;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use jayquayd::ExitReason;
use jayquayd::summary::Summary;

use crate::fleet::Fleet;
use crate::fleet::readiness;
use crate::fleet::send_holds;
use crate::fleet::wait_until;

#[tokio::test]
async fn a_request_passes_through_any_instance() {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    for name in ["one", "two", "three"] {
        fleet.join(name, "a").await;
    }
    let client = fleet.open().await;
    send_holds(&client, 50).await;
    assert_eq!(fleet.max_runs(), 1);
    for handle in &fleet.instances {
        let status = handle.status().await.unwrap();
        assert_eq!(status.members.len(), 3);
    }
}

#[tokio::test]
async fn readiness_reports_what_is_missing() {
    let fleet = Fleet::new().await;
    let mut one = fleet.start("one", "a").await;
    assert_eq!(readiness(&one).await, "no-document");
    fleet.put_document(1);
    wait_until(async || readiness(&one).await == "ready").await;
    let down = standin::platform::Behaviour {
        down: true,
        ..Default::default()
    };
    fleet.platform.behave(down).await;
    wait_until(async || readiness(&one).await == "cut-off").await;
    one.stop().await;
    assert_eq!(one.ended().await, ExitReason::Stopped(0));
    assert!(one.status().await.is_none());
}

#[tokio::test]
async fn an_instance_with_a_wrong_secret_is_not_ready_and_leaves_the_others_ready() {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    for name in ["one", "two"] {
        fleet.join(name, "a").await;
    }
    let rejected = fleet.start("three", "b").await;
    wait_until(async || readiness(&rejected).await == "stranger").await;
    for handle in &fleet.instances {
        assert_eq!(readiness(handle).await, "ready");
    }
    // With the secret of the others among its own, an instance is accepted.
    let accepted = fleet.start("four", "ba").await;
    wait_until(async || readiness(&accepted).await == "ready").await;
}

#[tokio::test]
async fn replacing_every_instance_breaks_no_flow() {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    for name in ["one", "two", "three"] {
        fleet.join(name, "a").await;
    }
    let client = fleet.open().await;
    let replaced = AtomicBool::new(false);
    let holding = async {
        while !replaced.load(Ordering::Relaxed) {
            send_holds(&client, 1).await;
        }
    };
    let replacing = async {
        for name in ["four", "five", "six"] {
            fleet.join(name, "a").await;
            assert_eq!(fleet.leave(0).await, ExitReason::Stopped(0));
        }
        replaced.store(true, Ordering::Relaxed);
    };
    tokio::join!(holding, replacing);
    send_holds(&client, 10).await;
    assert_eq!(fleet.max_runs(), 1);
}

#[tokio::test]
async fn secrets_are_rotated_one_instance_at_a_time() {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    fleet.join("one", "a").await;
    fleet.join("two", "a").await;
    let client = fleet.open().await;
    // First all instances accept the new secret, then all use it, then none accepts the old one.
    for (round, secrets) in ["ab", "ba", "b"].iter().enumerate() {
        for name in ["one", "two"] {
            fleet.join(&format!("{name}-{round}"), secrets).await;
            send_holds(&client, 10).await;
            assert_eq!(fleet.leave(0).await, ExitReason::Stopped(0));
            send_holds(&client, 10).await;
        }
    }
    assert_eq!(fleet.max_runs(), 1);
}

#[tokio::test]
async fn an_instance_that_starts_while_the_platform_is_down_learns_from_a_peer() {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    fleet.join("one", "a").await;
    let down = standin::platform::Behaviour {
        down: true,
        ..Default::default()
    };
    fleet.platform.behave(down).await;
    let mut settings = fleet.settings("two", "a");
    settings.peers = vec![config::Seed {
        name: "one".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        address: fleet.instances[0].addresses().instances,
    }];
    let two = jayquayd::start(&settings, None).await.unwrap();
    wait_until(async || readiness(&two).await == "cut-off").await;
    let status = two.status().await.unwrap();
    assert_eq!(status.revision.map(|revision| revision.0), Some(1));
}

#[tokio::test]
async fn the_timeline_and_the_status_are_served() {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    fleet.join("one", "a").await;
    let client = fleet.open().await;
    send_holds(&client, 3).await;
    let admin = fleet.instances[0].addresses().admin;
    let get = async |path: &str| reqwest::get(format!("http://{admin}{path}")).await.unwrap();
    assert!(get("/live").await.status().is_success());
    let lines = get("/timeline").await.text().await.unwrap();
    let entries: Vec<jayquayd::timeline::Entry> =
        lines.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let answered = entries
        .iter()
        .filter(|entry| matches!(entry.record, node::Record::Answered(..)))
        .count();
    assert_eq!(answered, 3);
    assert!(entries.is_sorted_by(|a, b| a.seq < b.seq && a.stamp < b.stamp));
    let last = entries[entries.len() - 1].seq;
    let rest = get(&format!("/timeline?since={last}")).await.text().await.unwrap();
    assert_eq!(rest, "");
    let status: serde_json::Value = get("/status").await.json().await.unwrap();
    assert_eq!(
        (&status["state"], &status["node"]["revision"]),
        (&"ready".into(), &1.into())
    );
    assert!(get("/metrics").await.status() == 404, "no recorder is installed here");
}

#[tokio::test]
async fn one_instance_of_a_zone_writes_its_summary() {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    fleet.join("one", "a").await;
    fleet.join("two", "a").await;
    let key = platform::api::Key {
        kind: platform::api::Kind::Status,
        name: "zone-a".to_owned(),
    };
    wait_until(async || fleet.platform.object(&key).is_some()).await;
    let object = fleet.platform.object(&key).unwrap();
    let summary: Summary = serde_json::from_value(object.value).unwrap();
    assert_eq!(
        (object.writer.as_str(), summary.revision),
        ("one", Some(units::Revision(1)))
    );
    let status = fleet.instances[1].status().await.unwrap();
    assert_eq!(Summary::of(&status), None);
}
