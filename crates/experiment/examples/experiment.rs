//! Runs experiments and prints the table and the aims, JSON or a plot.

use std::process::ExitCode;

use bpaf::Parser;
use experiment::Error;
use experiment::Metric;
use experiment::Options;
use experiment::Rule;
use experiment::Scenario;

/// What to run and what to print.
#[derive(Debug, Clone)]
struct Arguments {
    deployment: String,
    scenarios: Vec<Scenario>,
    rules: Vec<String>,
    services: Vec<String>,
    seeds: u64,
    aims: bool,
    json: bool,
    svg: bool,
}

fn arguments() -> Arguments {
    let deployment = bpaf::long("deployment")
        .help("verblijfnet or coral-table")
        .argument("NAME");
    let scenarios = bpaf::long("scenario")
        .help("All if there is none")
        .argument("NAME")
        .many();
    let rules = bpaf::long("rule").help("All if there is none").argument("NAME").many();
    let services = bpaf::long("service")
        .help("All if there is none")
        .argument("NAME")
        .many();
    let seeds = bpaf::long("seeds")
        .help("How many seeds")
        .argument("NUMBER")
        .fallback(5);
    let aims = bpaf::long("aims")
        .help("Print only what is aimed at and what was measured")
        .switch();
    let json = bpaf::long("json").help("Print JSON").switch();
    let svg = bpaf::long("svg")
        .help("Print a plot of the 99th percentile of waiting")
        .switch();
    bpaf::construct!(Arguments {
        deployment,
        scenarios,
        rules,
        services,
        seeds,
        aims,
        json,
        svg
    })
    .to_options()
    .descr("Drives the decisions under load against a model of upstreams and callers")
    .run()
}

fn main() -> ExitCode {
    match print(&arguments()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn print(arguments: &Arguments) -> Result<(), Error> {
    let Some((_, yaml)) = experiment::DEPLOYMENTS
        .iter()
        .find(|(name, _)| *name == arguments.deployment)
    else {
        return Err(Error::Missing("deployments of this name"));
    };
    let wanted = |rule: &Rule| arguments.rules.is_empty() || arguments.rules.iter().any(|name| name == rule.as_str());
    let mut options = Options {
        seeds: (1..=arguments.seeds).collect(),
        rules: Rule::ALL.into_iter().filter(wanted).collect(),
        services: arguments.services.clone(),
        ..Options::default()
    };
    if !arguments.scenarios.is_empty() {
        options.scenarios.clone_from(&arguments.scenarios);
    }
    let summary = experiment::run(yaml, &options)?;
    if arguments.json {
        println!("{}", summary.json());
    } else if arguments.svg {
        println!("{}", summary.svg(Metric::WaitP99)?);
    } else {
        if !arguments.aims {
            println!("{}", summary.table());
        }
        print!("{}", summary.aims());
    }
    Ok(())
}
