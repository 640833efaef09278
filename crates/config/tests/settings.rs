//! Which settings are valid, and the messages for invalid ones.

use config::parse_settings;
use insta::assert_snapshot;
use proptest::prelude::*;

const VALID: &str = r#"
name: entry-1
zone: brugge
listen: {callers: "127.0.0.1:0", instances: "127.0.0.1:0", admin: "127.0.0.1:0"}
platform: ["127.0.0.1:7000"]
secrets: {current: "0123456789abcdef0123456789abcdef"}
"#;

fn problems(text: &str) -> String {
    match parse_settings(text) {
        Ok(settings) => format!("accepted for {}", settings.name),
        Err(problems) => problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
    }
}

fn problems_after_edit(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "the edit applies");
    problems(&VALID.replacen(from, to, 1))
}

#[test]
fn omitted_fields_get_defaults() {
    let settings = parse_settings(VALID).expect("the text is valid");
    assert_snapshot!(format!("{:?} {:?} {:?}", settings.limits, settings.stop_within, settings.token_lifetime), @"Limits { flows: 500000, requests: 100000, answer_bytes: Bytes(268435456), sessions: 512, packets_per_second: 5000, total_packets_per_second: 200000 } 30s 86400s");
}

#[test]
fn all_problems_are_reported_together() {
    let text = r#"
name: Entry
listen: {callers: 4000, instances: "0.0.0.0:4100", admin: "10.0.0.1:4200", port: 1}
advertise: {callers: "0.0.0.0:1"}
platform: []
peers:
  - {name: entry-2, zone: brugge, address: "10.0.0.2:0"}
  - {name: entry-2, address: "10.0.0.2:1"}
secrets: {current: "short", previous: "short"}
limits: {flows: 0, requests: many, answer-bytes: 1, sessions: 0, packets-per-second-per-caller: 0, packets-per-second-in-all: 0}
stop-within-ms: 1
token-lifetime-s: 1
"#;
    assert_snapshot!(problems(text), @r"
    2:1: the field `zone` is missing
    2:7: name: a name starts with a lower-case letter
    3:19: listen.callers: this must be text (in quotes if it looks like a number)
    3:36: listen.instances: other instances cannot connect to this address; set one that they can use in `advertise`
    3:59: listen.admin: this must be a loopback address, unless `listen.admin-on-any-address` is `true`
    3:76: listen: no such field: `port`; allowed: `callers`, `instances`, `admin` and `admin-on-any-address`
    4:22: advertise.callers: cannot connect to 0.0.0.0:1: specify the IP address and port of a host
    5:11: platform: this must have from 1 to 16 items
    7:44: peers[0].address: cannot connect to 10.0.0.2:0: specify the IP address and port of a host
    8:5: peers[1]: the field `zone` is missing
    8:12: peers[1].name: `entry-2` must be unique, but is already used at peers[0].name (line 7)
    9:20: secrets.current: a secret has at least 32 characters
    9:39: secrets.previous: this must be a list
    10:17: limits.flows: this must be from 1 to 10000000
    10:30: limits.requests: this must be a whole number
    10:50: limits.answer-bytes: this must be from 1000000 to 1000000000000
    10:63: limits.sessions: this must be from 1 to 10000
    10:97: limits.packets-per-second-per-caller: this must be from 1 to 10000000
    10:127: limits.packets-per-second-in-all: this must be from 1 to 10000000
    11:17: stop-within-ms: this must be from 100 to 3600000
    12:19: token-lifetime-s: this must be from 60 to 2592000
    ");
}

#[test]
fn admin_address_off_loopback_needs_opt_in() {
    let admin = "admin: \"127.0.0.1:0\"";
    assert_snapshot!(problems_after_edit(admin, "admin: \"0.0.0.0:0\""), @"4:67: listen.admin: this must be a loopback address, unless `listen.admin-on-any-address` is `true`");
    assert_snapshot!(problems_after_edit(admin, "admin: \"0.0.0.0:0\", admin-on-any-address: true"), @"accepted for entry-1");
}

#[test]
fn messages_never_contain_a_secret() {
    let secret = "0123456789abcdef0123456789abcdef";
    let quoted = format!("\"{secret}\"");
    let messages = [
        problems_after_edit("{current", "{currents"),
        problems_after_edit(&format!("current: {quoted}"), &quoted),
        problems_after_edit(&format!("{{current: {quoted}}}"), &quoted),
        problems_after_edit(&quoted, &format!("*{secret}")),
        problems_after_edit(&quoted, &format!("\"{secret}")),
        problems_after_edit(&quoted, &format!("!{secret} 1")),
        problems_after_edit("name: entry-1", &format!("name: {quoted}")),
        problems_after_edit("zone: brugge", &format!("{secret}: brugge")),
    ];
    for message in &messages {
        assert!(!message.contains("accepted"), "{message}");
        assert!(!message.contains(secret), "{message}");
    }
    assert_snapshot!(messages.join("\n"), @r"
    6:10: secrets: the field `current` is missing
    6:11: secrets: no such field: `currents`; allowed: `current` and `previous`
    6:10: secrets: the field `current` is missing
    6:11: secrets: no such field; allowed: `current` and `previous`
    6:10: secrets: this must be a mapping
    6:20: this is not valid YAML
    6:20: this is not valid YAML
    6:54: secrets.current: this must be text (in quotes if it looks like a number)
    2:7: name: a name starts with a lower-case letter
    2:1: the field `zone` is missing
    3:1: no such field; allowed: `name`, `zone`, `listen`, `advertise`, `platform`, `peers`, `secrets`, `limits`, `stop-within-ms` and `token-lifetime-s`
    ");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn mutated_text_does_not_panic(at in 0..VALID.len(), len in 0..20_usize, insert in "[\\PC\n]{0,8}") {
        let mut text = VALID.to_owned();
        let end = (at + len).min(text.len());
        text.replace_range(at..end, &insert);
        if let Err(problems) = parse_settings(&text) {
            prop_assert!(!problems.is_empty());
        }
    }
}
