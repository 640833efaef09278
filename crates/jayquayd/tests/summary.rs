//! The summary of a zone at the platform: its contents and the number of calls it takes.

use std::time::Duration;

use jayquayd::summary::Summary;
use jayquayd::summary::SummaryWriter;
use node::Status;
use platform::Client;
use platform::Options;
use platform::api::Key;
use platform::api::Kind;
use serde_json::json;
use standin::platform as stand_in;
use standin::platform::Behaviour;
use standin::platform::Handle;
use units::Time;

async fn start() -> (Handle, Client) {
    let platform = stand_in::start(stand_in::Options::default())
        .await
        .expect("the stand-in starts");
    let client = Client::new(Options::new(vec![platform.address()]));
    (platform, client)
}

/// The status of instance `name`, whose members are `a` and `b` in its own zone and `c` in another zone.
fn status(name: &str, refused: u64) -> Status {
    let member = |name: &str, zone: &str, revision: u64| json!({"name": name, "incarnation": 1, "zone": zone, "state": "Alive", "revision": revision, "digest": "0a"});
    let upstream = |name: &str, state: &str| {
        json!({"service": "holds", "upstream": name, "incarnation": 1, "state": state, "busy": 0, "slots": 2,
               "utilisation": 0.0, "failures": 0.5})
    };
    let status = json!({
        "name": name, "incarnation": 1, "zone": "north", "stage": "serving", "platform": true, "watching": true,
        "revision": 3, "digest": "0a", "documents_rejected": 0,
        "members": [member("a", "north", 3), member("b", "north", 2), member("c", "south", 1)],
        "homes": [], "upstreams": [upstream("u-1", "active"), upstream("u-2", "ejected")],
        "flows": 0, "requests": 0, "answer_bytes": 0, "packets": 0, "malformed": 0, "forwarded": 0,
        "hops_exceeded": 0, "opened": 0, "answered": 0,
        "refused": [{"verdict": "NotRun", "reason": "Overload", "count": refused}]
    });
    serde_json::from_value(status).expect("the status is complete")
}

fn at(seconds: u64) -> Time {
    Time::default() + Duration::from_secs(seconds)
}

fn stored_summary(platform: &Handle) -> Option<(String, Summary)> {
    let key = Key {
        kind: Kind::Status,
        name: "north".to_owned(),
    };
    let object = platform.object(&key)?;
    let summary = serde_json::from_value(object.value).expect("the stored value is a summary");
    Some((object.writer, summary))
}

#[tokio::test]
async fn a_summary_describes_the_zone_and_is_written_by_its_first_instance() {
    let (platform, client) = start().await;
    SummaryWriter::new(client.clone())
        .write_if_due(at(100), &status("b", 0))
        .await;
    assert_eq!(stored_summary(&platform), None);
    SummaryWriter::new(client).write_if_due(at(100), &status("a", 4)).await;
    let (writer, summary) = stored_summary(&platform).expect("the first instance writes");
    let in_force = json!([
        {"revision": 2, "digest": "0a", "instances": ["b"]},
        {"revision": 3, "digest": "0a", "instances": ["a"]}
    ]);
    let value = serde_json::to_value(summary).expect("a summary can be encoded as JSON");
    assert_eq!((writer.as_str(), &value["in_force"]), ("a", &in_force));
    assert_eq!(
        value["upstreams"],
        json!([{"service": "holds", "upstream": "u-2", "state": "ejected"}])
    );
    assert_eq!(value["refused"][0]["count"], 4);
}

#[tokio::test]
async fn writes_are_rate_limited_and_skipped_without_changes() {
    let (platform, client) = start().await;
    let mut writer = SummaryWriter::new(client.clone());
    for second in 0..100 {
        writer.write_if_due(at(second), &status("a", second)).await;
    }
    assert_eq!(
        platform.counts().taken,
        10,
        "one write in ten seconds while the summary keeps changing"
    );
    for second in 100..200 {
        writer.write_if_due(at(second), &status("a", 90)).await;
    }
    assert_eq!(platform.counts().taken, 10, "no write without a change");
    // After a restart, the writer reads the stored summary and finds it up to date.
    SummaryWriter::new(client).write_if_due(at(200), &status("a", 90)).await;
    assert_eq!((platform.counts().taken, platform.counts().reads), (10, 2));
}

#[tokio::test]
async fn two_writers_do_not_overwrite_versions_they_have_not_read() {
    let (platform, client) = start().await;
    let mut one = SummaryWriter::new(client.clone());
    let mut other = SummaryWriter::new(client);
    one.write_if_due(at(0), &status("a", 1)).await;
    other.write_if_due(at(0), &status("a", 2)).await;
    // The version known to the first writer is no longer the newest.
    one.write_if_due(at(10), &status("a", 3)).await;
    let refused = |platform: &Handle| stored_summary(platform).map(|(_, summary)| summary.refused[0].count);
    assert_eq!((refused(&platform), platform.counts().conflicts), (Some(2), 1));
    one.write_if_due(at(20), &status("a", 3)).await;
    assert_eq!((refused(&platform), platform.counts().conflicts), (Some(3), 1));
}

#[tokio::test]
async fn a_lost_answer_and_an_outage_cause_no_extra_calls() {
    let (platform, client) = start().await;
    let mut writer = SummaryWriter::new(client);
    let lost = Behaviour {
        lose_answers: 1,
        ..Behaviour::default()
    };
    platform.behave(lost).await;
    for second in 0..20 {
        writer.write_if_due(at(second), &status("a", 1)).await;
    }
    // The write took effect; the next check reads the stored summary and writes nothing.
    assert_eq!((platform.counts().writes, platform.counts().taken), (1, 1));
    let unavailable = Behaviour {
        unavailable: true,
        ..Behaviour::default()
    };
    platform.behave(unavailable).await;
    for second in 20..120 {
        writer.write_if_due(at(second), &status("a", 2)).await;
    }
    let counts = platform.counts();
    assert!(counts.reads + counts.writes <= 13, "{counts:?}");
    platform.behave(Behaviour::default()).await;
    writer.write_if_due(at(130), &status("a", 2)).await;
    assert_eq!(platform.counts().taken, 2);
}
