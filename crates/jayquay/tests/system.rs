//! The whole system as separate processes, with an instance stopped, and one killed, under load.

mod fleet;

use std::collections::HashMap;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use fleet::Fleet;
use fleet::jayquay;
use fleet::wait_for;
use serde_json::Value;
use serde_json::json;
use standin::upstream::expected_answer;
use units::Bytes;
use wire::Digest;

/// The seed of the holds, from which their bodies follow.
const SEED: u64 = 7;
/// How long a body is.
const BODY_LEN: usize = 100;
/// More holds than any run makes.
const MAX_HOLDS: u64 = 100_000;
/// The digits of a body's digest that upstreams report.
const DIGITS: usize = 16;
/// How many answers show that load is under way.
const UNDER_WAY: u64 = 150;

fn call(fleet: &Fleet, service: &str, kind: &str, body: &str) -> (Option<i32>, Value) {
    let fabric = fleet.address(0).to_string();
    let what = ["--service", service, "--kind", kind, "--body", body, "--json"];
    let output = jayquay(&[&["call", "--fabric", &fabric], &what[..]].concat());
    let result = serde_json::from_slice(&output.stdout).expect("the result is JSON");
    (output.status.code(), result)
}

fn load(fleet: &Fleet, kind: &str) -> Child {
    let fabric = fleet.address(0).to_string();
    let seed = SEED.to_string();
    let what = ["--service", "availability", "--kind", kind, "--seed", &seed, "--json"];
    let much = ["--flows", "20", "--rate", "80", "--seconds", "6"];
    Command::new(env!("CARGO_BIN_EXE_jayquay"))
        .args([&["load", "--fabric", &fabric], &what[..], &much].concat())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary runs")
}

fn result(load: Child) -> (Option<i32>, Value) {
    let output = load.wait_with_output().expect("the load ends");
    let result = serde_json::from_slice(&output.stdout).expect("the result is JSON");
    (output.status.code(), result)
}

/// Refusals with this verdict.
fn refused(result: &Value, verdict: &str) -> u64 {
    let refusals = result["refusals"].as_array().expect("refusals are listed");
    let meant = refusals.iter().filter(|refusal| refusal["verdict"] == verdict);
    meant.filter_map(|refusal| refusal["count"].as_u64()).sum()
}

/// Checks both ends of the holds against one another: none ran twice, each answered one ran, and of the refused ones
/// only such as were said to may have.
fn check_holds(fleet: &Fleet, result: &Value) {
    let runs: HashMap<String, u64> = fleet.runs().into_iter().collect();
    let mut ran = 0;
    for number in 0..MAX_HOLDS {
        let mut body = format!("{SEED:016x}{number:016x}").into_bytes();
        body.resize(BODY_LEN, b'.');
        let digest = Digest::of(&body).to_string();
        let Some(times) = runs.get(&digest[..DIGITS]) else {
            continue;
        };
        assert_eq!(*times, 1, "hold {number} ran {times} times");
        ran += 1;
    }
    let completed = result["kinds"][0]["completed"]
        .as_u64()
        .expect("completions are counted");
    let in_doubt = refused(result, "may have run");
    assert!(completed > 0, "no hold was answered");
    let allowed = completed..=completed + in_doubt;
    assert!(
        allowed.contains(&ran),
        "{ran} holds ran, but callers were told of {allowed:?}"
    );
    assert_eq!(fleet.violations(), 0);
}

#[test]
fn requests_reach_their_own_service() {
    let fleet = Fleet::start("calls");
    for (kind, body) in [("read", "town 7"), ("hold", "room 12")] {
        let (code, answer) = call(&fleet, "availability", kind, body);
        assert_eq!(code, Some(0), "{answer}");
        let service = "availability".parse().expect("a valid name");
        let kind = kind.parse().expect("a valid name");
        let expected = expected_answer(&service, &kind, body.as_bytes(), Bytes(100));
        assert_eq!(answer["digest"], Digest::of(&expected).to_string());
    }
    // Another service's address, and a kind that there is not.
    let (code, refusal) = call(&fleet, "photos", "read", "");
    assert_eq!(
        (code, &refusal["reason"]),
        (Some(1), &"wrong_service".into()),
        "{refusal}"
    );
    let (code, refusal) = call(&fleet, "availability", "feed", "");
    assert_eq!((code, &refusal["reason"]), (Some(1), &"unknown".into()), "{refusal}");
    assert_eq!(refusal["verdict"], "not run");
    assert_eq!(fleet.violations(), 0);
}

#[test]
fn a_planned_stop_breaks_nothing() {
    let mut fleet = Fleet::start("stop");
    let load = load(&fleet, "hold");
    wait_for("the load is under way", || fleet.answered() > UNDER_WAY);
    let mut home = fleet.take_home("availability");
    home.process.signal("-TERM");
    let status = home.process.wait();
    assert_eq!(status.code(), Some(0), "the planned stop left something in doubt");
    fleet.spray();
    let (code, result) = result(load);
    assert_eq!(code, Some(0), "{result}");
    assert_eq!(result["broken_flows"], 0, "{result}");
    assert_eq!(refused(&result, "may have run"), 0, "{result}");
    check_holds(&fleet, &result);
}

#[test]
fn replacing_every_instance_breaks_nothing() {
    let mut fleet = Fleet::start("replace");
    let load = load(&fleet, "hold");
    wait_for("the load is under way", || fleet.answered() > UNDER_WAY);
    for _ in 0..fleet.instances.len() {
        fleet.replace_oldest();
    }
    let (code, result) = result(load);
    assert_eq!(code, Some(0), "{result}");
    assert_eq!(refused(&result, "may have run"), 0, "{result}");
    check_holds(&fleet, &result);
}

#[test]
fn a_crash_runs_no_hold_twice() {
    let mut fleet = Fleet::start("crash");
    let load = load(&fleet, "hold");
    wait_for("the load is under way", || fleet.answered() > UNDER_WAY);
    let mut home = fleet.take_home("availability");
    home.process.signal("-KILL");
    home.process.wait();
    fleet.spray();
    let (_, result) = result(load);
    check_holds(&fleet, &result);
}

#[test]
fn an_owner_that_wakes_from_a_freeze_runs_no_hold_twice() {
    let mut fleet = Fleet::start("freeze");
    let load = load(&fleet, "hold");
    wait_for("the load is under way", || fleet.answered() > UNDER_WAY);
    let home = fleet.take_home("availability");
    home.process.signal("-STOP");
    wait_for("the frozen instance is held for dead", || {
        fleet.is_held_for_dead(&home.name)
    });
    // It wakes with packets in its socket that were answered elsewhere meanwhile, and the fabric still uses it.
    home.process.signal("-CONT");
    let (_, result) = result(load);
    check_holds(&fleet, &result);
}

#[test]
fn a_bad_fabric_breaks_nothing() {
    let fleet = Fleet::start("fabric");
    fleet.disturb(&json!({"lost": 0.02, "doubled": 0.1, "delayed": 0.1, "delay": 30, "reordered": 0.1}));
    let (code, result) = result(load(&fleet, "hold"));
    assert!(fleet.disturbed() > UNDER_WAY);
    assert_eq!(code, Some(0), "{result}");
    assert_eq!(refused(&result, "may have run"), 0, "{result}");
    check_holds(&fleet, &result);
}

#[test]
fn retries_do_not_multiply_a_failure() {
    let fleet = Fleet::start("storm");
    for upstream in &fleet.upstreams {
        upstream.put("/control", "/behaviour", &json!({"fail_before": 0.3}));
    }
    let (_, result) = result(load(&fleet, "read:1:1:idempotent"));
    let seen = &result["kinds"][0];
    let count = |value: &Value| value.as_u64().expect("this is counted");
    let requests = count(&seen["completed"]) + count(&seen["refused"]);
    let counts = fleet
        .upstreams
        .iter()
        .filter_map(|upstream| upstream.get("/control", "/counts"));
    let calls: u64 = counts
        .map(|counts| count(&counts["runs"]) + count(&counts["disturbed"]))
        .sum();
    assert!(
        calls > requests,
        "nothing was sent anew: {calls} calls of {requests} requests"
    );
    assert!(calls * 10 <= requests * 11, "{calls} calls of {requests} requests");
}
