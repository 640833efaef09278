//! `jayquay experiment`.

mod support;

use std::fs;
use std::path::PathBuf;

use insta::assert_snapshot;
use serde_json::Value;
use support::shown;

const SMALL: [&str; 8] = [
    "experiment",
    "verblijfnet",
    "--scenario",
    "calm",
    "--service",
    "photos",
    "--rule",
    "pool",
];

fn check(arguments: &[&str]) -> String {
    shown(&[&SMALL[..], arguments].concat())
}

#[test]
fn figures_come_as_a_table_as_json_and_as_a_picture() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let json = folder.join("experiment.json");
    let svg = folder.join("experiment.svg");
    let path = |path: &PathBuf| path.to_str().expect("the path is text").to_owned();
    let (json_path, svg_path) = (path(&json), path(&svg));
    let table = check(&["--seeds", "2", "--json", &json_path, "--svg", &svg_path]);
    assert!(table.starts_with("verblijfnet / photos / calm\nrule "), "{table}");
    assert!(table.ends_with("exit 0"), "{table}");
    let json = fs::read_to_string(json).expect("the figures are written");
    let json: Value = serde_json::from_str(&json).expect("they are JSON");
    assert_eq!(json["seeds"], serde_json::json!([1, 2]));
    assert_eq!(json["rows"][0]["rule"], "pool");
    let svg = fs::read_to_string(svg).expect("the picture is written");
    assert!(svg.contains("verblijfnet photos calm: p99 ms"));
}

#[test]
fn what_cannot_be_run_is_refused() {
    assert_snapshot!(shown(&["experiment", "nowhere.yaml"]), @r"
    jayquay: the deployment nowhere.yaml cannot be read: No such file or directory (os error 2)
    exit 1
    ");
    assert_snapshot!(shown(&["experiment", "verblijfnet", "--scenario", "worst"]), @r"
    jayquay: couldn't parse `worst`: no scenario is called worst; there are: calm, busy, overload, flood,
    some-fail, all-fail, say-unhealthy, say-healthy, cold, slow, zone-loss, pinned, two-homes,
    frozen-home
    exit 2
    ");
    assert_snapshot!(check(&["--rule", "best"]), @r"
    jayquay: couldn't parse `best`: not one of: pool, random, rendezvous, two-choices, least-own, bound-fifo,
    bound-valued
    exit 2
    ");
    assert_snapshot!(check(&["--metric", "speed"]), @r"
    jayquay: couldn't parse `speed`: not one of: offered/s, weight/s, missed%, overload%, refused%, failed%,
    max/mean, cv, long m/m, local%, p50 ms, p99 ms, p999 ms, recov s, calls x
    exit 2
    ");
    assert_snapshot!(check(&["--load", "0"]), @r"
    jayquay: `0`: the load lies above 0 and is at most 10
    exit 2
    ");
    assert_snapshot!(check(&["--seeds", "0"]), @r"
    jayquay: `0`: there are 1 to 1000 seeds
    exit 2
    ");
}
