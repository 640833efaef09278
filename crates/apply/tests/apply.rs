//! What becomes of a document under races, lost answers and outages.

use std::net::SocketAddr;
use std::time::Duration;

use apply::Applied;
use apply::Patience;
use apply::Refusal;
use config::Document;
use insta::assert_snapshot;
use platform::Client;
use platform::Options;
use standin::platform as stand_in;
use standin::platform::Behaviour;
use standin::platform::Handle;
use tokio::net::TcpListener;
use units::Revision;

const PATIENCE: Patience = Patience {
    tries: 3,
    first_wait: Duration::from_millis(1),
};

/// A document that says who made it and how many slots its upstream has.
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

/// How many writes took effect, but for the first document's.
fn taken(handle: &Handle) -> u64 {
    handle.counts().taken - 1
}

async fn apply(client: &Client, from: u64, document: Document) -> Result<Applied, Refusal> {
    let plan = apply::plan(client, Revision(from), document).await?;
    apply::apply(client, &plan, PATIENCE).await
}

fn told(result: Result<Applied, Refusal>) -> String {
    match result {
        Ok(applied) => format!("revision {} made, read back: {}", applied.revision, applied.read_back),
        Err(refusal) => refusal.to_string(),
    }
}

#[tokio::test]
async fn a_document_follows_the_revision_that_was_reviewed() {
    let (handle, client) = platform().await;
    assert_snapshot!(told(apply(&client, 1, document(2, "an", 2)).await), @"revision 2 made, read back: false");
    assert_snapshot!(told(apply(&client, 2, document(2, "an", 3)).await), @"nothing was changed: the document states revision 2, but what follows revision 2 is revision 3");
    assert_snapshot!(told(apply(&client, 7, document(8, "an", 3)).await), @"nothing was changed: the platform knows no revision 7, its newest is 2; if you have seen it, a replica lags, so try again");
    assert_eq!(handle.counts().writes, 1);
}

#[tokio::test]
async fn the_loser_of_a_race_is_told_who_won_and_what_differs() {
    let (handle, client) = platform().await;
    let late = apply::plan(&client, Revision(1), document(2, "bea", 4)).await;
    let late = late.expect("nobody has written yet");
    assert_snapshot!(told(apply(&client, 1, document(2, "an", 2)).await), @"revision 2 made, read back: false");
    let lost = apply::apply(&client, &late, PATIENCE).await;
    assert_snapshot!(told(lost.clone()), @r"
    nothing was changed: revision 2 was made first by an, approved by joost, because: 2 slots
    That revision changed:
      upstream search-1: slots changed from 1 to 2
    Your document would change in it:
      upstream search-1: slots changed from 2 to 4
    Review again from revision 2.
    ");
    assert_eq!(lost, apply(&client, 1, document(2, "bea", 4)).await);
    assert_eq!(taken(&handle), 1);
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let (handle, client) = platform().await;
    let lose_answers = 1;
    handle
        .behave(Behaviour {
            lose_answers,
            ..Behaviour::default()
        })
        .await;
    assert_snapshot!(told(apply(&client, 1, document(2, "an", 2)).await), @"revision 2 made, read back: true");
    assert_snapshot!(told(apply(&client, 1, document(2, "an", 2)).await), @"revision 2 made, read back: true");
    assert_eq!(taken(&handle), 1);
}

/// Takes connections and answers nothing.
async fn silent() -> SocketAddr {
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
async fn a_write_that_got_lost_itself_is_sent_again() {
    let (handle, client) = platform().await;
    let plan = apply::plan(&client, Revision(1), document(2, "an", 2)).await;
    let plan = plan.expect("the platform serves");
    let client = Client::new(Options::new(vec![silent().await, handle.address()]));
    assert_snapshot!(told(apply::apply(&client, &plan, PATIENCE).await), @"revision 2 made, read back: true");
    assert_eq!(taken(&handle), 1);
}

#[tokio::test]
async fn an_outage_changes_nothing() {
    let (handle, client) = platform().await;
    let plan = apply::plan(&client, Revision(1), document(2, "an", 2)).await;
    let plan = plan.expect("the platform serves");
    handle
        .behave(Behaviour {
            unavailable: true,
            ..Behaviour::default()
        })
        .await;
    assert_snapshot!(told(apply(&client, 1, document(2, "an", 2)).await), @"nothing was changed: the platform is unavailable: status 503 Service Unavailable");
    assert_snapshot!(told(apply::apply(&client, &plan, PATIENCE).await), @"nothing was changed: the platform is unavailable: status 503 Service Unavailable");
    assert_eq!(taken(&handle), 0);
}

#[tokio::test]
async fn what_stays_in_doubt_is_found_out_by_applying_again() {
    let (handle, client) = platform().await;
    let plan = apply::plan(&client, Revision(1), document(2, "an", 2)).await;
    let plan = plan.expect("the platform serves");
    handle
        .behave(Behaviour {
            stalled: true,
            ..Behaviour::default()
        })
        .await;
    assert_snapshot!(told(apply::apply(&client, &plan, PATIENCE).await), @"it is not known whether revision 2 was made: the platform is unavailable: no answer in time; apply the same file again to find out, which never makes it twice");
    handle.behave(Behaviour::default()).await;
    let again = apply(&client, 1, document(2, "an", 2))
        .await
        .expect("the platform serves");
    assert_eq!(again.revision, Revision(2));
    assert_eq!(taken(&handle), 1);
}
