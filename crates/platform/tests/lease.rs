//! Leases, the lagging list and zone status summaries.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use insta::assert_snapshot;
use platform::Client;
use platform::Error;
use platform::Lease;
use platform::Listed;
use platform::Options;
use platform::Status;
use platform::api;
use standin::platform::Handle;
use units::Incarnation;
use units::Millis;
use units::Revision;
use units::ZoneName;

/// Longer than the duration of any test.
const LONG_TTL: Millis = Millis(600_000);

/// Expires before the lease can be observed.
const SHORT_TTL: Millis = Millis(1);

async fn start() -> (Handle, Client) {
    let platform = standin::platform::start(standin::platform::Options::default())
        .await
        .expect("loopback has free ports");
    let client = Client::new(Options::new(vec![platform.address()]));
    (platform, client)
}

fn entry(name: &str, incarnation: u64) -> Listed {
    Listed::Entry {
        name: name.parse().expect("valid name"),
        incarnation: Incarnation(incarnation),
        zone: "north".parse().expect("valid name"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7)),
        admin: None,
        leaving: false,
    }
}

fn upstream(name: &str, incarnation: u64) -> Listed {
    Listed::Upstream {
        name: name.parse().expect("valid name"),
        incarnation: Incarnation(incarnation),
        leaving: false,
    }
}

fn show(entry: &Listed) -> String {
    let (name, incarnation, leaving) = match entry {
        Listed::Entry {
            name,
            incarnation,
            leaving,
            ..
        } => (name.to_string(), incarnation, leaving),
        Listed::Upstream {
            name,
            incarnation,
            leaving,
        } => (name.to_string(), incarnation, leaving),
    };
    let leaving = if *leaving { " leaving" } else { "" };
    format!("{name}@{incarnation}{leaving}")
}

async fn list(client: &Client) -> String {
    let entries = client.list().await.expect("the platform serves");
    entries.iter().map(show).collect::<Vec<_>>().join(", ")
}

/// Runs a script of renewals, one a line, and returns the result of each with the list after it. Leases are written
/// `name@incarnation`; a line in braces sets the behaviour of the platform.
async fn run_renewals(script: &str) -> String {
    let (platform, client) = start().await;
    let mut leases = BTreeMap::new();
    let mut out = String::new();
    for line in script.lines().map(str::trim).filter(|line| !line.is_empty()) {
        if line.starts_with('{') {
            platform
                .behave(serde_json::from_str(line).expect("invalid behaviour"))
                .await;
            continue;
        }
        let (who, what) = line.split_once(' ').expect("line without a lease");
        let (name, incarnation) = who.split_once('@').expect("lease without an incarnation");
        let entry = entry(name, incarnation.parse().expect("invalid number"));
        let lease = leases.entry(who).or_insert_with(|| Lease::new(entry, LONG_TTL));
        if what == "leaves" {
            lease.mark_leaving();
        }
        let result = match client.renew(lease).await {
            Ok(()) => "renewed".to_owned(),
            Err(Error::Conflict { current: Some(current) }) => {
                format!("replaced by {}", current.value["Entry"]["incarnation"])
            }
            Err(error) if error.may_have_taken_effect() => "in doubt".to_owned(),
            Err(_) => "failed".to_owned(),
        };
        let listed = if platform.behaviour().unavailable {
            "?".to_owned()
        } else {
            list(&client).await
        };
        writeln!(out, "{line} -> {result}; {listed}").expect("writing to a String cannot fail");
    }
    out
}

#[tokio::test]
async fn leases_are_renewed_marked_and_replaced() {
    assert_snapshot!(run_renewals(r"
        a@1 renews
        b@1 renews
        a@1 renews
        a@2 renews
        a@1 renews
        a@2 renews
        b@1 leaves
        b@1 renews
    ").await, @r"
    a@1 renews -> renewed; a@1
    b@1 renews -> renewed; a@1, b@1
    a@1 renews -> renewed; a@1, b@1
    a@2 renews -> renewed; a@2, b@1
    a@1 renews -> replaced by 2; a@2, b@1
    a@2 renews -> renewed; a@2, b@1
    b@1 leaves -> renewed; a@2, b@1 leaving
    b@1 renews -> renewed; a@2, b@1 leaving
    ");
}

#[tokio::test]
async fn renewal_recovers_after_a_failed_or_doubtful_one() {
    assert_snapshot!(run_renewals(r#"
        a@1 renews
        {"lose_answers": 1}
        a@1 leaves
        a@1 renews
        {"unavailable": true}
        a@1 renews
        {}
        a@1 renews
        {"list_lag": 3600000}
        a@1 renews
    "#).await, @r"
    a@1 renews -> renewed; a@1
    a@1 leaves -> in doubt; a@1 leaving
    a@1 renews -> renewed; a@1 leaving
    a@1 renews -> failed; ?
    a@1 renews -> renewed; a@1 leaving
    a@1 renews -> renewed;
    ");
}

#[tokio::test]
async fn lease_expires() {
    let (_platform, client) = start().await;
    let mut short_lease = Lease::new(entry("a", 1), SHORT_TTL);
    let mut long_lease = Lease::new(upstream("u", 4), LONG_TTL);
    client.renew(&mut long_lease).await.expect("the platform serves");
    client.renew(&mut short_lease).await.expect("the platform serves");
    while list(&client).await != "u@4" {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    client
        .renew(&mut short_lease)
        .await
        .expect("an expired lease can be acquired again");
}

#[tokio::test]
async fn status_is_written_only_over_the_expected_version() {
    let (_platform, client) = start().await;
    let zone: ZoneName = "north".parse().expect("valid name");
    let none: Option<Status<u32>> = client.status(&zone).await.expect("the platform serves");
    assert_eq!(none, None);
    for (base, writer, value) in [(0, "a", 1_u32), (1, "b", 2)] {
        client
            .write_status(&zone, writer, &value, Revision(base))
            .await
            .expect("the platform serves");
        let late = client.write_status(&zone, "late", &7_u32, Revision(base)).await;
        assert!(matches!(late, Err(Error::Conflict { .. })), "{late:?}");
        let status: Status<u32> = client
            .status(&zone)
            .await
            .expect("the platform serves")
            .expect("just written");
        let made = Revision(base + 1);
        assert_eq!(
            (status.version, status.writer.as_str(), status.value),
            (made, writer, value)
        );
    }
    let other: Result<Option<Status<String>>, Error> = client.status(&zone).await;
    assert!(matches!(other, Err(Error::Malformed(_))), "{other:?}");
}

#[tokio::test]
async fn oversized_value_is_rejected() {
    let (platform, client) = start().await;
    let zone: ZoneName = "north".parse().expect("valid name");
    for (len, fits) in [
        (api::MAX_VALUE_LEN - 2, true),
        (api::MAX_VALUE_LEN - 1, false),
        (2 * api::MAX_VALUE_LEN, false),
    ] {
        let result = client
            .write_status(&zone, "a", &"x".repeat(len), Revision(platform.counts().taken))
            .await;
        let rejected = matches!(result, Err(Error::Rejected { status: 413, .. }));
        assert_eq!((result.is_ok(), rejected), (fits, !fits), "{len}: {result:?}");
    }
    assert_eq!(platform.counts().taken, 1);
}
