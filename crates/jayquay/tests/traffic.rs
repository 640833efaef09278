//! `jayquay call` and `jayquay load` where there is no system, or no sense in the arguments.

mod support;

use std::net::UdpSocket;

use insta::assert_snapshot;
use support::shown;

#[test]
fn silence_is_told() {
    let silent = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
    let fabric = silent.local_addr().expect("bound").to_string();
    let call = [
        "call",
        "--fabric",
        &fabric,
        "--service",
        "availability",
        "--kind",
        "hold",
    ];
    let soon = ["--timeout-ms", "50"];
    assert_snapshot!(shown(&[&call[..], &soon].concat()), @r"
    not run: deadline, retry after 0 ms
    exit 1
    ");
    assert_snapshot!(shown(&[&call[..], &soon, &["--json"]].concat()), @r#"
    {
      "verdict": "not run",
      "reason": "deadline",
      "retry_after_ms": 0
    }
    exit 1
    "#);
}

#[test]
fn bad_arguments_are_told() {
    let load = ["load", "--fabric", "127.0.0.1:4000", "--service", "availability"];
    assert_snapshot!(shown(&load), @r"
    jayquay: at least one --kind is needed
    exit 2
    ");
    assert_snapshot!(shown(&[&load[..], &["--kind", "hold:many"]].concat()), @r"
    jayquay: couldn't parse `hold:many`: share and weight are whole numbers, as in feed:8:1:idempotent
    exit 2
    ");
    assert_snapshot!(shown(&[&load[..], &["--kind", "hold:1:2:3"]].concat()), @r"
    jayquay: couldn't parse `hold:1:2:3`: a kind is NAME[:SHARE[:WEIGHT]][:idempotent]
    exit 2
    ");
    assert_snapshot!(shown(&[&load[..], &["--kind", "Hold"]].concat()), @r"
    jayquay: couldn't parse `Hold`: a name starts with a lower-case letter
    exit 2
    ");
    assert_snapshot!(shown(&[&load[..], &["--kind", "hold", "--rate", "0"]].concat()), @r"
    jayquay: `0`: the rate lies above 0 and is at most 50000
    exit 2
    ");
    assert_snapshot!(shown(&[&load[..], &["--kind", "hold", "--seconds", "601"]].concat()), @r"
    jayquay: `601`: a run lasts 1 to 600 seconds
    exit 2
    ");
    assert_snapshot!(shown(&["call", "--fabric", "there", "--service", "availability", "--kind", "hold"]), @r"
    jayquay: couldn't parse `there`: invalid socket address syntax
    exit 2
    ");
}
