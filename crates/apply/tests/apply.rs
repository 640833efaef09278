//! The outcomes of applying a document under conflicts, lost responses and outages.

use std::net::SocketAddr;
use std::time::Duration;

use apply::Applied;
use apply::Refusal;
use apply::RetryPolicy;
use config::Document;
use insta::assert_snapshot;
use platform::Client;
use platform::Options;
use standin::platform as stand_in;
use standin::platform::Behaviour;
use standin::platform::Handle;
use tokio::net::TcpListener;
use units::Revision;

const RETRY_POLICY: RetryPolicy = RetryPolicy {
    attempts: 3,
    initial_delay: Duration::from_millis(1),
};

/// Returns a document with the given author and number of upstream slots.
fn document(revision: u64, author: &str, slots: u16) -> Document {
    let text = format!(
        r#"
revision: {revision}
change: {{author: {author}, approver: joost, reason: "{slots} slots"}}
zones: [{{name: brugge, region: flanders}}]
services:
  - name: availability
    addresses: ["10.1.0.1:4000"]
    kinds: [{{name: feed, weight: 1, idempotent: true}}]
    upstreams: [{{name: search-1, zone: brugge, address: "10.2.0.1:8080", slots: {slots}}}]
"#
    );
    config::parse(&text).expect("the text is valid")
}

async fn platform() -> (Handle, Client) {
    let options = stand_in::Options {
        document: Some(document(1, "an", 1).text),
        ..stand_in::Options::default()
    };
    let handle = stand_in::start(options).await.expect("the stand-in starts");
    let client = Client::new(Options {
        addresses: vec![handle.address()],
        timeout: Duration::from_millis(500),
    });
    (handle, client)
}

/// Returns how many writes took effect, not counting the initial document.
fn applied_writes(handle: &Handle) -> u64 {
    handle.counts().taken - 1
}

async fn apply(client: &Client, from: u64, document: Document) -> Result<Applied, Refusal> {
    let plan = apply::plan(client, Revision(from), document).await?;
    apply::apply(client, &plan, RETRY_POLICY).await
}

fn outcome(result: Result<Applied, Refusal>) -> String {
    match result {
        Ok(applied) => format!("revision {} made, read back: {}", applied.revision, applied.read_back),
        Err(refusal) => refusal.to_string(),
    }
}

#[tokio::test]
async fn document_must_follow_the_reviewed_revision() {
    let (handle, client) = platform().await;
    assert_snapshot!(outcome(apply(&client, 1, document(2, "an", 2)).await), @"revision 2 made, read back: false");
    assert_snapshot!(outcome(apply(&client, 2, document(2, "an", 3)).await), @"nothing was changed: the document states revision 2, but what follows revision 2 is revision 3");
    assert_snapshot!(outcome(apply(&client, 7, document(8, "an", 3)).await), @"nothing was changed: the platform knows no revision 7, its newest is 2; if you have seen it, a replica lags, so try again");
    assert_eq!(handle.counts().writes, 1);
}

#[tokio::test]
async fn conflict_names_the_winner_and_the_differences() {
    let (handle, client) = platform().await;
    let late = apply::plan(&client, Revision(1), document(2, "bea", 4)).await;
    let late = late.expect("nobody has written yet");
    assert_snapshot!(outcome(apply(&client, 1, document(2, "an", 2)).await), @"revision 2 made, read back: false");
    let lost = apply::apply(&client, &late, RETRY_POLICY).await;
    assert_snapshot!(outcome(lost.clone()), @r"
    nothing was changed: revision 2 was made first by an, approved by joost, because: 2 slots
    That revision changed:
      upstream search-1: slots changed from 1 to 2
    Your document would change in it:
      upstream search-1: slots changed from 2 to 4
    Review again from revision 2.
    ");
    assert_eq!(lost, apply(&client, 1, document(2, "bea", 4)).await);
    assert_eq!(applied_writes(&handle), 1);
}

#[tokio::test]
async fn lost_response_is_resolved_by_reading_back() {
    let (handle, client) = platform().await;
    let lose_answers = 1;
    handle
        .behave(Behaviour {
            lose_answers,
            ..Behaviour::default()
        })
        .await;
    assert_snapshot!(outcome(apply(&client, 1, document(2, "an", 2)).await), @"revision 2 made, read back: true");
    assert_snapshot!(outcome(apply(&client, 1, document(2, "an", 2)).await), @"revision 2 made, read back: true");
    assert_eq!(applied_writes(&handle), 1);
}

/// Accepts connections and closes them without a response.
async fn closing_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            drop(connection);
        }
    });
    address
}

#[tokio::test]
async fn lost_write_is_retried() {
    let (handle, client) = platform().await;
    let plan = apply::plan(&client, Revision(1), document(2, "an", 2)).await;
    let plan = plan.expect("the platform responds");
    let client = Client::new(Options::new(vec![closing_listener().await, handle.address()]));
    assert_snapshot!(outcome(apply::apply(&client, &plan, RETRY_POLICY).await), @"revision 2 made, read back: true");
    assert_eq!(applied_writes(&handle), 1);
}

#[tokio::test]
async fn outage_changes_nothing() {
    let (handle, client) = platform().await;
    let plan = apply::plan(&client, Revision(1), document(2, "an", 2)).await;
    let plan = plan.expect("the platform responds");
    handle
        .behave(Behaviour {
            unavailable: true,
            ..Behaviour::default()
        })
        .await;
    assert_snapshot!(outcome(apply(&client, 1, document(2, "an", 2)).await), @"nothing was changed: the platform is unavailable: status 503 Service Unavailable");
    assert_snapshot!(outcome(apply::apply(&client, &plan, RETRY_POLICY).await), @"nothing was changed: the platform is unavailable: status 503 Service Unavailable");
    assert_eq!(applied_writes(&handle), 0);
}

#[tokio::test]
async fn applying_again_resolves_an_in_doubt_write() {
    let (handle, client) = platform().await;
    let plan = apply::plan(&client, Revision(1), document(2, "an", 2)).await;
    let plan = plan.expect("the platform responds");
    handle
        .behave(Behaviour {
            stalled: true,
            ..Behaviour::default()
        })
        .await;
    assert_snapshot!(outcome(apply::apply(&client, &plan, RETRY_POLICY).await), @"it is not known whether revision 2 was made: the platform is unavailable: no answer in time; apply the same file again to find out, which never makes it twice");
    handle.behave(Behaviour::default()).await;
    let again = apply(&client, 1, document(2, "an", 2))
        .await
        .expect("the platform responds");
    assert_eq!(again.revision, Revision(2));
    assert_eq!(applied_writes(&handle), 1);
}
