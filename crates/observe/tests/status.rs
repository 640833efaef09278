//! What a fleet's status tells, and what it finds.
//!
//! Three instances that agree are told as JSON, as their `/status` tells it; each case edits that.

use std::net::SocketAddr;

use insta::assert_snapshot;
use jayquayd::admin::Report;
use observe::status::Approved;
use observe::status::Asked;
use observe::status::Fleet;
use observe::status::Silence;
use observe::status::Zone;
use serde_json::Value;
use serde_json::json;
use units::Revision;

/// The text of the approved document. Its regions are not told, so all instances have to agree.
const TEXT: &str = "a document";

fn report(number: u64) -> Value {
    let digest = wire::Digest::of(TEXT.as_bytes()).to_string();
    let member = |number: u64| json!({"name": format!("entry-{number}"), "incarnation": number, "zone": "north", "state": "Alive"});
    let upstream = json!({
        "service": "holds", "upstream": "u-1", "incarnation": 4, "state": "ejected", "busy": 1, "slots": 2,
        "utilisation": 0.5, "failures": 0.31
    });
    let home = if number == 1 { vec![upstream] } else { vec![] };
    json!({
        "state": "ready",
        "addresses": {"callers": "127.0.0.1:1", "instances": "127.0.0.1:2", "admin": "127.0.0.1:3"},
        "now": 0, "uptime_ms": 0, "version": "0.1.0",
        "node": {
            "name": format!("entry-{number}"), "incarnation": number, "zone": "north", "stage": "serving",
            "platform": true, "watching": true, "revision": 3, "digest": digest, "documents_rejected": 0,
            "members": [member(1), member(2), member(3)],
            "homes": [{"service": "holds", "home": "entry-1"}],
            "upstreams": home, "flows": 10, "requests": 2, "answer_bytes": 0, "packets": 0, "malformed": 0,
            "forwarded": 0, "hops_exceeded": 0, "opened": 0, "answered": 40,
            "refused": [{"verdict": "NotRun", "reason": "Overload", "count": number}]
        }
    })
}

/// A fleet whose reports were edited: the instance's number, a pointer into its report, and what stands there.
fn fleet(edits: &[(usize, &str, Value)]) -> Fleet {
    let mut reports: Vec<Value> = (1..=3).map(report).collect();
    for (number, pointer, value) in edits {
        *reports[number - 1].pointer_mut(pointer).expect("the pointer is right") = value.clone();
    }
    let asked = reports.into_iter().map(|report| {
        let report: Report = serde_json::from_value(report).expect("the report is whole");
        Asked {
            name: None,
            address: Some(SocketAddr::from(([127, 0, 0, 1], 3))),
            answer: Ok(report),
        }
    });
    Fleet {
        approved: Ok(Some(Approved::new(Revision(3), TEXT))),
        instances: asked.collect(),
        summaries: Vec::new(),
    }
}

fn check(fleet: &Fleet) -> String {
    let lines: Vec<String> = fleet.findings().iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn a_fleet_is_told_in_columns() {
    assert_snapshot!(fleet(&[]).to_string(), @r"
    Approved: revision 3, digest 08229f14723a

    INSTANCE  ZONE   STATE  REVISION  DIGEST        MEMBERS  FLOWS  IN FLIGHT  ANSWERED  REFUSED
    entry-1   north  ready  3         08229f14723a  3 alive  10     2          40        1
    entry-2   north  ready  3         08229f14723a  3 alive  10     2          40        2
    entry-3   north  ready  3         08229f14723a  3 alive  10     2          40        3

    SERVICE  HOME     SEEN BY
    holds    entry-1  3

    UPSTREAM  SERVICE  AT HOME  STATE    BUSY  FAILURES  REASON
    u-1       holds    entry-1  ejected  1/2   31%       it failed and gets nothing for some time

    REFUSED AT  CAUSE     VERDICT  COUNT
    entry-1     overload  not run  1
    entry-2     overload  not run  2
    entry-3     overload  not run  3

    What was approved is in force everywhere, and all instances agree.
    ");
}

#[test]
fn what_differs_from_what_was_approved_is_found() {
    assert_snapshot!(check(&fleet(&[(2, "/node/revision", json!(2)), (3, "/node/revision", Value::Null)])), @r"
    entry-2 has revision 2, digest 08229f14723a1460ebcecbf9e4c8c71a, in force
    entry-3 has no document in force
    ");
    assert_snapshot!(check(&fleet(&[(2, "/node/digest", json!("00"))])), @"entry-2 has revision 3, digest 00, in force");
    let mut unknown = fleet(&[]);
    unknown.approved = Err("the platform is unavailable: down".to_owned());
    assert_snapshot!(check(&unknown), @"what was approved is not known: the platform is unavailable: down");
    unknown.approved = Ok(None);
    assert_snapshot!(check(&unknown), @"the platform holds no document yet");
}

#[test]
fn silent_instances_are_found() {
    let mut silent = fleet(&[]);
    silent.instances[2].name = Some("entry-3".parse().expect("a name"));
    silent.instances[2].answer = Err(Silence::Unreachable("connection refused".to_owned()));
    assert_snapshot!(check(&silent), @"entry-3: it cannot be reached: connection refused");
    silent.instances[2].answer = Err(Silence::Unreadable("no JSON".to_owned()));
    assert_snapshot!(check(&silent), @"entry-3: its answer cannot be read: no JSON");
    silent.instances[2].answer = Err(Silence::Unreachable("connection refused".to_owned()));
    silent.instances[2].name = None;
    assert_snapshot!(check(&silent), @r"
    127.0.0.1:3: it cannot be reached: connection refused
    entry-3 is seen as alive (incarnation 3) by entry-1, entry-2
    ");
    silent.instances.truncate(2);
    assert_snapshot!(check(&silent), @"entry-3 is seen as alive (incarnation 3) by entry-1, entry-2");
}

#[test]
fn an_instance_that_left_as_planned_is_not_missed() {
    let mut left = fleet(&[
        (1, "/node/members/2/state", json!("Dead")),
        (2, "/node/members/2/state", json!("Dead")),
    ]);
    left.instances[2].name = Some("entry-3".parse().expect("a name"));
    left.instances[2].answer = Err(Silence::Left);
    assert_snapshot!(check(&left), @"");
    assert!(
        left.to_string()
            .contains("entry-3   -      it leaves, or has left, as planned")
    );
    // Its planned stop does not hide that the others disagree on it.
    let mut disputed = fleet(&[(1, "/node/members/2/state", json!("Dead"))]);
    disputed.instances[2].answer = Err(Silence::Left);
    assert_snapshot!(check(&disputed), @"entry-3 is seen as alive (incarnation 3) by entry-2; dead by entry-1");
}

#[test]
fn silent_instances_are_told_from_their_zones_summary() {
    let mut silent = fleet(&[]);
    silent.instances.truncate(1);
    let member = |name: &str, state: &str| json!({"name": name, "incarnation": 1, "state": state});
    let summary = json!({
        "revision": 3, "digest": "0a",
        "members": [member("entry-1", "Alive"), member("entry-2", "Alive"), member("entry-3", "Leaving")],
        "in_force": [{"revision": 2, "digest": "0b", "instances": ["entry-2"]}]
    });
    silent.summaries.push(Zone {
        zone: "north".parse().expect("a name"),
        writer: "entry-1".to_owned(),
        written_at: units::Time(1_790_000_000_000_000),
        summary: serde_json::from_value(summary).expect("the summary is whole"),
    });
    let text = silent.to_string();
    let start = text.find("NO ANSWER").expect("there is such a table");
    assert_snapshot!(text[start..], @r"
    NO ANSWER  ZONE   STATE    REVISION  DIGEST  SUMMARY BY  LAST CHANGED
    entry-2    north  alive    2         0b      entry-1     2026-09-21T14:13:20Z
    entry-3    north  leaving  -         -       entry-1     2026-09-21T14:13:20Z

    Not as it should be:
      entry-2 is seen as alive (incarnation 2) by entry-1
      entry-3 is seen as alive (incarnation 3) by entry-1
    ");
}

#[test]
fn views_that_differ_are_found() {
    assert_snapshot!(check(&fleet(&[(1, "/node/members/1/state", json!("Dead"))])), @"entry-2 is seen as alive (incarnation 2) by entry-2, entry-3; dead by entry-1");
    assert_snapshot!(check(&fleet(&[(1, "/node/members/1/incarnation", json!(7))])), @"entry-2 is seen as alive (incarnation 2) by entry-2, entry-3; alive (incarnation 7) by entry-1");
    assert_snapshot!(check(&fleet(&[(3, "/node/homes/0/home", json!("entry-3"))])), @"the home of holds is seen at entry-1 by entry-1, entry-2; entry-3 by entry-3");
    // One that starts need not know yet.
    let starting = [
        (3, "/node/homes/0/home", Value::Null),
        (3, "/node/stage", json!("starting")),
    ];
    assert_eq!(check(&fleet(&starting)), "");
}
