//! Which documents are valid, and the messages for invalid ones.

use config::MAX_TEXT_LEN;
use config::parse;
use insta::assert_snapshot;
use proptest::prelude::*;

const VALID: &str = r#"
revision: 12
change: {author: an, approver: joost, reason: "Add search-15"}
zones:
  - {name: brugge, region: flanders}
services:
  - name: availability
    addresses: ["10.1.0.1:4000"]
    kinds:
      - {name: feed, weight: 1, idempotent: true}
    upstreams:
      - {name: search-1, zone: brugge, address: "10.2.0.1:8080", slots: 2}
"#;

/// Parses `text` and returns all problems, one per line.
fn problems(text: &str) -> String {
    match parse(text) {
        Ok(document) => format!("accepted as revision {}", document.revision),
        Err(problems) => problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
    }
}

/// Returns all problems of the valid text after replacing `from` with `to`.
fn problems_after_edit(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "the edit applies");
    problems(&VALID.replacen(from, to, 1))
}

#[test]
fn omitted_fields_get_defaults() {
    let document = parse(VALID).expect("the text is valid");
    assert_snapshot!(format!("{:?}", document.services[0].sharing), @"Sharing { affinity: Request, prefer_local_zone: true, queue_limit: 200, retry_budget_percent: 10, slow_start: 5s }");
    assert_eq!(document.digest, wire::Digest::of(VALID.as_bytes()));
    assert_eq!(document.text, VALID);
}

#[test]
fn all_problems_are_reported_together() {
    let text = r#"
revision: 0
change: {author: An, approver: an, reason: " "}
zones:
  - {name: brugge, region: Flanders, country: be}
  - {name: brugge, region: flanders}
services:
  - name: availability
    addresses: ["10.1.0.1:4000", "10.1.0.1:4000", "0.0.0.0:1", "host:1"]
    sharing: {affinity: sticky, prefer-local-zone: yes, queue-limit: -1, retry-budget-percent: 101, slow-start-ms: 0.5}
    kinds:
      - {name: feed, weight: 0, idempotent: true}
      - {name: feed, weight: "1"}
    upstreams:
      - {name: search-1, zone: gent, address: "10.2.0.1:8080", slots: 2000, state: gone}
      - {name: search-1, zone: brugge, address: "10.2.0.1:8080", slots: 1}
      - search-2
  - {name: availability, addresses: [], kinds: [], upstreams: {}, upstreams: []}
  - {name: 7}
"#;
    assert_snapshot!(problems(text), @r#"
    2:11: revision: this must be from 1 to 1000000000
    3:32: change.approver: the approver must be somebody else than the author
    3:44: change.reason: this must have from 1 to 500 characters
    5:28: zones[0].region: a name starts with a lower-case letter
    5:38: zones[0]: no such field: `country`; allowed: `name` and `region`
    6:12: zones[1].name: `brugge` must be unique, but is already used at zones[0].name (line 5)
    9:34: services[0].addresses[1]: `10.1.0.1:4000` must be unique, but is already used at services[0].addresses[0] (line 9)
    9:51: services[0].addresses[2]: cannot connect to 0.0.0.0:1: specify the IP address and port of a host
    9:64: services[0].addresses[3]: this must be an IP address with a port, such as "10.1.0.1:4000"
    10:25: services[0].sharing.affinity: this must be `request` or `flow`
    10:52: services[0].sharing.prefer-local-zone: this must be `true` or `false`
    10:70: services[0].sharing.queue-limit: this must be from 0 to 100000
    10:96: services[0].sharing.retry-budget-percent: this must be from 0 to 100
    10:116: services[0].sharing.slow-start-ms: this must be from 0 to 600000
    12:30: services[0].kinds[0].weight: this must be from 1 to 1000000
    13:9: services[0].kinds[1]: the field `idempotent` is missing
    13:16: services[0].kinds[1].name: `feed` must be unique, but is already used at services[0].kinds[0].name (line 12)
    13:30: services[0].kinds[1].weight: this must be a whole number
    15:32: services[0].upstreams[0].zone: no zone is named `gent`; allowed: `brugge`
    15:71: services[0].upstreams[0].slots: this must be from 1 to 1000
    15:84: services[0].upstreams[0].state: this must be `active` or `draining`
    16:16: services[0].upstreams[1].name: `search-1` must be unique, but is already used at services[0].upstreams[0].name (line 15)
    16:49: services[0].upstreams[1].address: `10.2.0.1:8080` must be unique, but is already used at services[0].upstreams[0].address (line 15)
    17:9: services[0].upstreams[2]: this must be a mapping
    18:12: services[1].name: `availability` must be unique, but is already used at services[0].name (line 8)
    18:37: services[1].addresses: this must have from 1 to 100 items
    18:48: services[1].kinds: this must have from 1 to 100 items
    18:63: services[1].upstreams: this must be a list
    18:67: services[1].upstreams: duplicate field, first defined at 18:52
    19:5: services[2]: the field `addresses` is missing
    19:5: services[2]: the field `kinds` is missing
    19:5: services[2]: the field `upstreams` is missing
    19:12: services[2].name: this must be text (in quotes if it looks like a number)
    "#);
}

#[test]
fn syntax_errors_report_their_position() {
    assert_snapshot!(problems(""), @"1:1: this must be a mapping");
    assert_snapshot!(problems("[]"), @"1:1: this must be a mapping");
    assert_snapshot!(problems("revision: [1"), @"1:11: this is not valid YAML: unclosed bracket '['");
    assert_snapshot!(problems("{}\n---\n{}"), @"3:1: only one YAML document is allowed");
    assert_snapshot!(problems("{1: 2}"), @r"
    1:1: the field `revision` is missing
    1:1: the field `change` is missing
    1:1: the field `zones` is missing
    1:1: the field `services` is missing
    1:2: this must be text (in quotes if it looks like a number)
    ");
    assert_snapshot!(problems(&"[".repeat(100)), @"1:17: this is not valid YAML: recursion limit exceeded");
    assert_snapshot!(problems(&"#\n".repeat(MAX_TEXT_LEN / 3)), @"1:1: the text exceeds 1000000 bytes as a JSON string");
    assert_snapshot!(problems(&"#".repeat(MAX_TEXT_LEN)), @"1:1: the text exceeds 1000000 bytes as a JSON string");
}

#[test]
fn ambiguous_yaml_is_rejected() {
    assert_snapshot!(problems_after_edit("slots: 2", "slots: 02"), @"12:73: services[0].upstreams[0].slots: this must be a whole number");
    assert_snapshot!(problems_after_edit("slots: 2", "slots: 2, slots: 3"), @"12:76: services[0].upstreams[0].slots: duplicate field, first defined at 12:66");
    assert_snapshot!(problems_after_edit("{name: search-1", "{<<: {name: search-1}"), @r"
    12:9: services[0].upstreams[0]: the field `name` is missing
    12:10: services[0].upstreams[0]: no such field: `<<`; allowed: `name`, `zone`, `address`, `slots` and `state`
    ");
    assert_snapshot!(problems_after_edit("change: {", "change: &change {"), @"3:17: the YAML is nested too deeply, or contains anchors or aliases");
    assert_snapshot!(problems_after_edit("reason: \"Add", "reason: \"Add\\e"), @"3:47: change.reason: a control character is not allowed here");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn mutated_text_does_not_panic(at in 0..VALID.len(), len in 0..20_usize, insert in "[\\PC\n]{0,8}") {
        let mut text = VALID.to_owned();
        let end = (at + len).min(text.len());
        text.replace_range(at..end, &insert);
        if let Err(problems) = parse(&text) {
            prop_assert!(!problems.is_empty());
        }
    }
}
