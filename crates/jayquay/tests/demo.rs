//! The README's main command.

use std::process::Command;

use serde_json::Value;

#[test]
fn the_demo_holds_every_promise() {
    let output = Command::new(env!("CARGO_BIN_EXE_jayquay"))
        .args(["demo", "--json"])
        .output()
        .expect("the demo can be started");
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{stdout}{stderr}");
    let result: Value = serde_json::from_slice(&output.stdout).expect("the result is JSON");
    assert_eq!(result["traffic"]["broken_flows"], 0);
    assert_eq!(result["hold_runs"]["more"], 0);
    // Every promise was put to the test.
    let invariants = result["invariants"].as_array().expect("there are invariants");
    assert_eq!(invariants.len(), 8);
    for invariant in invariants {
        assert!(invariant["cases"].as_u64() > Some(0), "{invariant}");
    }
}
