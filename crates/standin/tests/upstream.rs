//! Requests at an upstream that works, and at one that does what it is told.

mod support;

use std::time::Duration;

use insta::assert_snapshot;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standin::upstream;
use standin::upstream::RequestKey;
use standin::upstream::ServiceTime;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use units::Millis;

use crate::support::LONG;
use crate::support::call;
use crate::support::get;
use crate::support::options;
use crate::support::start;
use crate::support::until;

/// Sends three requests, the second one for another service, to an upstream that behaves like this.
async fn check(behaviour: &str) -> String {
    let upstream = start(options()).await;
    upstream
        .behave(serde_json::from_str(behaviour).expect("a behaviour"))
        .await;
    let mut out = Vec::new();
    for (seq, service) in [(1, "holds"), (2, "sheets"), (3, "holds")] {
        out.push(call(upstream.address(), service, seq, LONG).await);
    }
    let counts = upstream.counts();
    out.push(format!(
        "{} runs, {} violations, {} disturbed",
        counts.runs, counts.violations, counts.disturbed
    ));
    out.join("\n")
}

#[tokio::test]
async fn answers_name_their_request() {
    assert_snapshot!(check("{}").await, @r"
    own answer for 7-1-1 a-7-1
    421 -
    own answer for 7-1-3 a-7-3
    2 runs, 1 violations, 0 disturbed
    ");
}

#[tokio::test]
async fn a_draining_upstream_takes_no_new_work() {
    assert_snapshot!(check(r#"{"draining": true}"#).await, @r"
    503 draining
    421 -
    503 draining
    0 runs, 1 violations, 0 disturbed
    ");
}

#[tokio::test]
async fn an_upstream_that_is_down_is_unreachable() {
    assert_snapshot!(check(r#"{"down": true}"#).await, @r"
    unreachable
    unreachable
    unreachable
    0 runs, 0 violations, 0 disturbed
    ");
}

#[tokio::test]
async fn requests_fail_before_they_run() {
    assert_snapshot!(check(r#"{"fail_before": 1}"#).await, @r"
    500 -
    421 -
    500 -
    0 runs, 1 violations, 2 disturbed
    ");
}

#[tokio::test]
async fn requests_fail_after_they_ran() {
    assert_snapshot!(check(r#"{"fail_after": 1}"#).await, @r"
    broken
    421 -
    broken
    2 runs, 1 violations, 2 disturbed
    ");
}

#[tokio::test]
async fn answers_are_crossed() {
    assert_snapshot!(check(r#"{"crossed": 1}"#).await, @r"
    another answer for 0-0-0 
    421 -
    another answer for 7-1-1 a-7-1
    2 runs, 1 violations, 2 disturbed
    ");
}

#[tokio::test]
async fn answers_are_cut_short() {
    assert_snapshot!(check(r#"{"cut_short": 1}"#).await, @r"
    broken
    421 -
    broken
    2 runs, 1 violations, 2 disturbed
    ");
}

#[tokio::test]
async fn answers_come_late() {
    assert_snapshot!(check(r#"{"late": 1, "late_by": 20}"#).await, @r"
    own answer for 7-1-1 a-7-1
    421 -
    own answer for 7-1-3 a-7-3
    2 runs, 1 violations, 2 disturbed
    ");
}

#[tokio::test]
async fn answers_come_twice_on_one_connection() {
    let upstream = start(options()).await;
    upstream
        .behave(serde_json::from_str(r#"{"twice": 1}"#).expect("a behaviour"))
        .await;
    let mut connection = TcpStream::connect(upstream.address()).await.expect("it listens");
    let request = "POST /run HTTP/1.1\r\nhost: u\r\ncontent-length: 0\r\nconnection: close\r\n\
        x-jayquay-request: 7-1-1\r\nx-jayquay-call: c\r\nx-jayquay-service: holds\r\nx-jayquay-kind: hold\r\n\
        x-jayquay-timeout-ms: 60000\r\n\r\n";
    connection.write_all(request.as_bytes()).await.expect("sent");
    let mut bytes = Vec::new();
    connection.read_to_end(&mut bytes).await.expect("read");
    let (first, second) = bytes.split_at(bytes.len() / 2);
    assert!(first.starts_with(b"HTTP/1.1 200 OK"), "{first:?}");
    assert_eq!(first, second);
    assert_eq!(upstream.counts().runs, 1);
}

#[tokio::test]
async fn full_slots_shed_and_a_closed_connection_cancels() {
    let mut options = options();
    options.service_time = ServiceTime::Fixed(LONG);
    let upstream = start(options).await;
    let address = upstream.address();
    let mut calls = JoinSet::new();
    for seq in [1, 2] {
        calls.spawn(async move { call(address, "holds", seq, LONG).await });
    }
    until(|| upstream.counts().busy == 2).await;
    assert_eq!(call(address, "holds", 3, LONG).await, "503 shed");
    assert_eq!(get(address, "/load").await, r#"{"busy":2,"slots":2}"#);
    calls.shutdown().await;
    until(|| upstream.counts().busy == 0).await;
    assert_eq!(call(address, "holds", 4, Millis(1)).await, "504 -");
    let counts = upstream.counts();
    let seen = (
        counts.runs,
        counts.shed,
        counts.cancelled,
        counts.expired,
        counts.max_busy,
    );
    assert_eq!(seen, (3, 1, 2, 1, 2));
}

#[tokio::test]
async fn runs_are_counted_by_request_and_body() {
    let upstream = start(options()).await;
    for seq in [1, 2, 1] {
        call(upstream.address(), "holds", seq, LONG).await;
    }
    let runs = upstream.runs();
    let seen: Vec<_> = runs.iter().map(|run| (run.request.to_string(), run.runs)).collect();
    assert_eq!(seen, [("7-1-1".to_owned(), 2), ("7-1-2".to_owned(), 1)]);
    assert_ne!(runs[0].body, runs[1].body);
    let shown: Vec<upstream::Run> = serde_json::from_str(&get(upstream.control(), "/runs").await).expect("runs");
    assert_eq!(shown, runs);
}

#[test]
fn lognormal_times_have_their_mean() {
    let time = ServiceTime::Lognormal {
        mean: Millis(40),
        sigma: 0.5,
    };
    let mut random = StdRng::seed_from_u64(1);
    let total: Duration = (0..20_000).map(|_draw| time.draw(&mut random)).sum();
    let mean = total / 20_000;
    assert!((39_000..41_000).contains(&mean.as_micros()), "{mean:?}");
}

#[test]
fn request_keys_are_three_numbers() {
    for (text, key) in [
        ("7-1-3", true),
        ("7-1", false),
        ("7-1-3-4", false),
        ("7-1-x", false),
        ("", false),
    ] {
        let read: Result<RequestKey, _> = text.parse();
        assert_eq!(read.map(|key| key.to_string()).ok(), key.then(|| text.to_owned()));
    }
}
