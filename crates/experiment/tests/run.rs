//! Experiments at their public boundary.

use experiment::Error;
use experiment::Metric;
use experiment::Options;
use experiment::Rule;
use experiment::Scenario;
use experiment::Summary;

const VERBLIJFNET: &str = experiment::DEPLOYMENTS[0].1;

fn run(scenario: Scenario, rules: &[Rule]) -> Summary {
    let options = Options {
        seeds: vec![7],
        scenarios: vec![scenario],
        rules: rules.to_vec(),
        services: vec!["photos".to_owned()],
        load: None,
    };
    experiment::run(VERBLIJFNET, &options).unwrap()
}

fn value(summary: &Summary, rule: Rule, metric: Metric) -> f64 {
    let row = summary.rows.iter().find(|row| row.rule == rule).unwrap();
    row.figure(metric).unwrap().median
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let first = run(Scenario::Calm, &[Rule::Pool]);
    assert_eq!(first, run(Scenario::Calm, &[Rule::Pool]));
}

#[test]
fn a_calm_pool_is_close_to_the_bound_and_far_from_chance() {
    let summary = run(Scenario::Calm, &[Rule::Pool, Rule::Random, Rule::BoundFifo]);
    let wait = |rule| value(&summary, rule, Metric::WaitP99);
    assert!(wait(Rule::Pool) <= 2.0 * wait(Rule::BoundFifo));
    assert!(wait(Rule::Random) >= 3.0 * wait(Rule::Pool));
    let offered = |rule| value(&summary, rule, Metric::Offered);
    assert!((offered(Rule::Pool) - offered(Rule::Random)).abs() < 1e-9);
}

#[test]
fn an_overloaded_pool_keeps_its_completions() {
    let summary = run(Scenario::Overload, &[Rule::Pool, Rule::BoundValued]);
    let weighted = |rule| value(&summary, rule, Metric::Weighted);
    assert!(weighted(Rule::Pool) >= 0.95 * weighted(Rule::BoundValued));
    assert!(value(&summary, Rule::Pool, Metric::Missed) < 1.0);
}

#[test]
fn a_load_takes_the_place_of_the_scenarios_own() {
    let at = |load| {
        let options = Options {
            seeds: vec![7],
            scenarios: vec![Scenario::Calm],
            rules: vec![Rule::Pool],
            services: vec!["photos".to_owned()],
            load,
        };
        let summary = experiment::run(VERBLIJFNET, &options).unwrap();
        value(&summary, Rule::Pool, Metric::Offered)
    };
    assert!((at(None) - at(Some(0.7))).abs() < 1e-9);
    let ratio = at(Some(0.35)) / at(None);
    assert!((0.45..0.55).contains(&ratio), "{ratio}");
}

#[test]
fn results_have_three_forms() {
    let summary = run(Scenario::Calm, &[Rule::Pool, Rule::BoundFifo]);
    assert!(summary.table().contains("verblijfnet / photos / calm"));
    assert!(summary.json().contains("\"rule\": \"bound-fifo\""));
    assert!(summary.svg(Metric::WaitP99).unwrap().starts_with("<svg"));
    assert_eq!(
        summary.svg(Metric::Calls),
        Err(Error::Missing("figures of this metric"))
    );
}

#[test]
fn a_bad_deployment_is_refused() {
    let check = |from: &str, to: &str| {
        let yaml = VERBLIJFNET.replace(from, to);
        assert_ne!(yaml, VERBLIJFNET);
        experiment::run(&yaml, &Options::default()).unwrap_err()
    };
    assert!(matches!(
        check("instances: 8", "instances: 8\nsurplus: 1"),
        Error::Yaml(_)
    ));
    assert_eq!(check("instances: 8", "instances: 0"), Error::Missing("instances"));
    assert_eq!(check("upstreams: 14", "upstreams: 0"), Error::Missing("upstreams"));
    assert!(matches!(check("name: photos", "name: Photos"), Error::Name(_)));
}

#[test]
fn the_committed_deployments_are_read() {
    for (name, yaml) in experiment::DEPLOYMENTS {
        let options = Options {
            scenarios: Vec::new(),
            ..Options::default()
        };
        let summary = experiment::run(yaml, &options);
        assert!(summary.is_ok(), "{name}: {summary:?}");
    }
}
