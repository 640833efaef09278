//! `jayquay status` and `jayquay timeline` over a fleet of processes, with an instance killed.

mod fleet;

use std::fs;
use std::path::PathBuf;
use std::process::Output;

use fleet::Fleet;
use fleet::jayquay;
use fleet::wait_for;
use serde_json::Value;

/// The admin addresses of all instances, those that have ended included.
fn admins(fleet: &Fleet) -> String {
    let addresses = fleet.instances.iter().map(|instance| instance.process.text("/admin"));
    addresses.collect::<Vec<_>>().join(",")
}

fn status(fleet: &Fleet, admins: &str) -> (Option<i32>, String) {
    let platform = fleet.platform_address();
    let output = jayquay(&["status", "--platform", &platform, "--instance", admins]);
    (output.status.code(), stdout(&output))
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// The items of a time line as JSON.
fn timeline(arguments: &[&str]) -> Vec<Value> {
    let output = jayquay(&[&["timeline", "--json"], arguments].concat());
    let line: Value = serde_json::from_slice(&output.stdout).expect("the time line is JSON");
    line["items"].as_array().expect("it has items").clone()
}

fn hold(fleet: &Fleet) {
    let fabric = fleet.address(0).to_string();
    let output = jayquay(&[
        "call",
        "--fabric",
        &fabric,
        "--service",
        "availability",
        "--kind",
        "hold",
    ]);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn what_is_in_force_is_told_and_a_killed_instance_is_missed() {
    let mut fleet = Fleet::start("status");
    let all = admins(&fleet);
    wait_for("all is as approved", || status(&fleet, &all).0 == Some(0));
    let (_, text) = status(&fleet, &all);
    assert!(text.contains("What was approved is in force everywhere, and all instances agree."));
    // One that is not asked is on the platform's list and known to the others.
    let (first, _) = all.split_once(',').expect("there are several instances");
    let (code, text) = status(&fleet, first);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("entry-2: no admin address is known"), "{text}");
    // The platform tells of those that cannot be asked.
    wait_for("the zones are summarised", || {
        let (_, text) = status(&fleet, first);
        text.contains("NO ANSWER") && text.contains("zone-b") && text.contains("zone-c")
    });
    let killed = fleet.take_home("availability");
    killed.process.signal("-KILL");
    let (code, text) = status(&fleet, &all);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("it cannot be reached"), "{text}");
}

#[test]
fn an_instance_that_left_as_planned_is_not_missed() {
    let mut fleet = Fleet::start("left");
    fleet.replace_oldest();
    let all = admins(&fleet);
    // The entry of the one that left stands on the platform's list for longer than this waits.
    wait_for("all is as approved", || status(&fleet, &all).0 == Some(0));
    let (_, text) = status(&fleet, &all);
    assert!(text.contains("entry-1   -"), "{text}");
}

#[test]
fn a_request_is_followed_over_all_instances_and_gaps_are_shown() {
    let mut fleet = Fleet::start("timeline");
    hold(&fleet);
    let all = admins(&fleet);
    let items = timeline(&["--instance", &all]);
    let answered = items.iter().find_map(|item| {
        let answered = item["event"]["record"]["Answered"].as_array()?;
        Some(format!("{}/{}", answered[0], answered[1]))
    });
    let request = answered.expect("the hold was answered");
    let picture = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("request.svg");
    let path = picture.to_str().expect("the path is text");
    let items = timeline(&["--instance", &all, "--request", &request, "--svg", path]);
    let steps: Vec<&str> = items.iter().filter_map(step).collect();
    assert_eq!(steps, ["Accepted", "Called", "Ended", "Answered"]);
    let svg = fs::read_to_string(&picture).expect("the picture is written");
    assert_eq!(svg.matches("marker-end").count(), 3);
    let killed = fleet.take_home("availability");
    killed.process.signal("-KILL");
    let left = admins(&fleet);
    wait_for("the others tell of the gap", || {
        let items = timeline(&["--instance", &left]);
        items.iter().any(|item| {
            let gap = &item["gap"];
            gap["instance"] == killed.name.as_str() && gap["loss"] == "ended" && gap["until"].is_u64()
        })
    });
    let items = timeline(&["--instance", &all]);
    let is_silent = |item: &Value| item["gap"]["loss"]["silent"].is_string();
    assert_eq!(items.iter().filter(|item| is_silent(item)).count(), 1);
}

/// The name of an event's kind.
fn step(item: &Value) -> Option<&str> {
    let record = item["event"]["record"].as_object()?;
    record.keys().next().map(String::as_str)
}
