//! Reports, lives and orders of an upstream.

mod support;

use std::time::Duration;

use platform::Client;
use platform::Listed;
use standin::upstream;
use standin::upstream::ColdStart;
use standin::upstream::ServiceTime;
use tokio::task::JoinSet;
use units::Incarnation;
use units::Millis;
use units::Slots;

use crate::support::LONG;
use crate::support::call;
use crate::support::get;
use crate::support::http;
use crate::support::options;
use crate::support::start;
use crate::support::until;

#[tokio::test]
async fn reports_lie_lag_and_stall() {
    let mut options = options();
    options.service_time = ServiceTime::Fixed(LONG);
    let upstream = start(options).await;
    let address = upstream.address();
    let mut calls = JoinSet::new();
    calls.spawn(async move { call(address, "holds", 1, LONG).await });
    until(|| upstream.counts().busy == 1).await;
    for (behaviour, load, healthy, draining) in [
        ("{}", 1, true, false),
        (r#"{"draining": true}"#, 1, true, true),
        (r#"{"report_lag": 3600000}"#, 0, true, false),
        (
            r#"{"claims": {"busy": 9, "healthy": false, "draining": true}}"#,
            9,
            false,
            true,
        ),
        (r#"{"draining": true, "claims": {"draining": false}}"#, 1, true, false),
    ] {
        upstream
            .behave(serde_json::from_str(behaviour).expect("a behaviour"))
            .await;
        let seen: upstream::Load = serde_json::from_str(&get(address, "/load").await).expect("a load");
        let health: upstream::Health = serde_json::from_str(&get(address, "/health").await).expect("a health");
        assert_eq!((seen.busy, seen.slots), (Slots(load), Slots(2)), "{behaviour}");
        assert_eq!(
            (health.healthy, health.draining, health.incarnation),
            (healthy, draining, Incarnation(1))
        );
    }
    let polls = upstream.counts().polls;
    upstream
        .behave(serde_json::from_str(r#"{"stall_reports": true}"#).expect("a behaviour"))
        .await;
    let stalled = tokio::spawn(async move { get(address, "/load").await });
    until(|| upstream.counts().polls > polls).await;
    assert!(!stalled.is_finished(), "a stalled report does not come");
    upstream.behave(upstream::Behaviour::default()).await;
    assert_eq!(stalled.await.expect("no panic"), r#"{"busy":1,"slots":2}"#);
}

#[tokio::test]
async fn a_restart_cuts_what_runs_and_begins_the_next_life() {
    let mut options = options();
    options.service_time = ServiceTime::Fixed(LONG);
    let upstream = start(options).await;
    let address = upstream.address();
    let cut = tokio::spawn(async move { call(address, "holds", 1, LONG).await });
    until(|| upstream.counts().busy == 1).await;
    assert_eq!(upstream.restart().await, Incarnation(2));
    assert_eq!(cut.await.expect("no panic"), "broken");
    assert!(get(address, "/health").await.contains(r#""incarnation":2"#));
}

#[tokio::test]
async fn a_cold_upstream_is_slower() {
    let mut options = options();
    options.service_time = ServiceTime::Fixed(Millis(1));
    options.cold_start = ColdStart {
        lasts: LONG,
        factor: 1e6,
    };
    let cold = start(options.clone()).await;
    assert_eq!(call(cold.address(), "holds", 1, Millis(20)).await, "504 -");
    options.cold_start.lasts = Millis(0);
    let warm = start(options).await;
    assert!(call(warm.address(), "holds", 1, LONG).await.starts_with("own answer"));
}

#[tokio::test]
async fn an_upstream_keeps_its_entry_on_the_list() {
    let platform = standin::platform::start(standin::platform::Options::default())
        .await
        .expect("free ports");
    let client = Client::new(platform::Options::new(vec![platform.address()]));
    let mut options = options();
    options.platform = vec![platform.address()];
    let upstream = start(options).await;
    let listed = async |incarnation, leaving| {
        let name = "u".parse().expect("a name");
        let wanted = Listed::Upstream {
            name,
            incarnation,
            leaving,
        };
        while client.list().await.expect("it serves") != [wanted.clone()] {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    listed(Incarnation(1), false).await;
    upstream
        .behave(serde_json::from_str(r#"{"draining": true}"#).expect("a behaviour"))
        .await;
    listed(Incarnation(1), true).await;
    upstream.restart().await;
    listed(Incarnation(2), false).await;
}

#[tokio::test]
async fn the_control_address_takes_orders() {
    let upstream = start(options()).await;
    let url = format!("http://{}/behaviour", upstream.control());
    for (order, status) in [
        (r#"{"draining": true}"#, 200),
        (r#"{"drainin": true}"#, 422),
        (r#"{"late": 1.5}"#, 422),
    ] {
        let request = http().put(&url).header("content-type", "application/json").body(order);
        assert_eq!(request.send().await.expect("reachable").status(), status, "{order}");
    }
    assert!(upstream.behaviour().draining);
    assert!(
        get(upstream.control(), "/behaviour")
            .await
            .contains(r#""draining":true"#)
    );
    assert!(get(upstream.control(), "/counts").await.contains(r#""runs":0"#));
}
