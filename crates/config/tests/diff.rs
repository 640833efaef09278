//! The differences between two documents and how they are displayed.

use config::diff;
use config::parse;
use insta::assert_snapshot;

const OLD: &str = r#"
revision: 1
change: {author: an, approver: joost, reason: "First"}
zones:
  - {name: brugge, region: flanders}
services:
  - name: availability
    addresses: ["10.1.0.1:4000", "10.1.0.2:4000"]
    kinds:
      - {name: feed, weight: 1, idempotent: true}
    upstreams:
      - {name: search-1, zone: brugge, address: "10.2.0.1:8080", slots: 2}
      - {name: search-2, zone: brugge, address: "10.2.0.2:8080", slots: 2}
"#;

const NEW: &str = r#"
revision: 2
change: {author: an, approver: joost, reason: "Second"}
zones:
  - {name: brugge, region: flanders}
  - {name: gent, region: flanders}
services:
  - name: photos
    addresses: ["10.1.0.2:4000"]
    kinds: [{name: sheet, weight: 2, idempotent: true}]
    upstreams: []
  - name: availability
    addresses: ["10.1.0.1:4000"]
    sharing: {affinity: flow, slow-start-ms: 100}
    kinds:
      - {name: feed, weight: 3, idempotent: false}
    upstreams:
      - {name: search-1, zone: gent, address: "10.2.0.1:8080", slots: 2, state: draining}
"#;

fn differences(old: &str, new: &str) -> String {
    let old = parse(old).expect("the old text is valid");
    let new = parse(new).expect("the new text is valid");
    diff(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

#[test]
fn each_difference_displays_as_one_line() {
    assert_snapshot!(differences(OLD, NEW), @r"
    upstream search-2 removed; it had service availability, zone brugge, address 10.2.0.2:8080, slots 2, state active
    zone gent added: region flanders
    service photos added: affinity request, prefer-local-zone true, queue-limit 200, retry-budget-percent 10, slow-start-ms 5000
    address 10.1.0.2:4000: service changed from availability to photos
    kind sheet of service photos added: weight 2, idempotent true
    service availability: affinity changed from request to flow
    service availability: slow-start-ms changed from 5000 to 100
    kind feed of service availability: weight changed from 1 to 3
    kind feed of service availability: idempotent changed from true to false
    upstream search-1: zone changed from brugge to gent
    upstream search-1: state changed from active to draining
    ");
}

#[test]
fn order_and_explicit_defaults_are_no_difference() {
    let explicit = OLD
        .replace("slots: 2", "slots: 2, state: active")
        .replace("revision: 1", "revision: 2");
    assert_snapshot!(differences(OLD, &explicit), @"");
}
