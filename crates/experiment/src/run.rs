//! Runs every scenario with every rule and every seed.

use std::collections::BTreeMap;

use crate::Error;
use crate::Metric;
use crate::Row;
use crate::Rule;
use crate::Scenario;
use crate::Summary;
use crate::deployment::Deployment;
use crate::deployment::Workload;
use crate::homes::Homes;
use crate::policy::Bound;
use crate::policy::Local;
use crate::summary::figure;
use crate::world::World;

/// What to run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seeds; each gives the same requests to each rule.
    pub seeds: Vec<u64>,
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// The rules to compare.
    pub rules: Vec<Rule>,
    /// The services by name; all of the deployment if there are none.
    pub services: Vec<String>,
    /// The offered load, as a share of what all slots can serve, in place of the scenarios' own.
    pub load: Option<f64>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seeds: vec![1, 2, 3, 4, 5],
            scenarios: Scenario::ALL.to_vec(),
            rules: Rule::ALL.to_vec(),
            services: Vec::new(),
            load: None,
        }
    }
}

/// Runs experiments on a deployment, which is given as YAML.
pub fn run(deployment: &str, options: &Options) -> Result<Summary, Error> {
    let deployment = Deployment::parse(deployment)?;
    if options.seeds.is_empty() {
        return Err(Error::Missing("seeds"));
    }
    let mut rows = Vec::new();
    for workload in &deployment.workloads {
        let name = workload.service.name.as_str();
        let wanted = options.services.is_empty() || options.services.iter().any(|service| service == name);
        if !wanted {
            continue;
        }
        for scenario in &options.scenarios {
            let loaded = options.load.map(|load| workload.at_load(load, *scenario));
            let workload = loaded.as_ref().unwrap_or(workload);
            for rule in &options.rules {
                rows.push(row(&deployment, workload, *scenario, *rule, &options.seeds));
            }
        }
    }
    Ok(Summary {
        seeds: options.seeds.clone(),
        rows,
    })
}

fn row(deployment: &Deployment, workload: &Workload, scenario: Scenario, rule: Rule, seeds: &[u64]) -> Row {
    let mut values: BTreeMap<Metric, Vec<f64>> = BTreeMap::new();
    for seed in seeds {
        for (metric, value) in once(deployment, workload, scenario, rule, *seed) {
            values.entry(metric).or_default().push(value);
        }
    }
    Row {
        deployment: deployment.name.clone(),
        service: workload.service.name.to_string(),
        scenario: scenario.to_string(),
        rule,
        figures: values
            .into_iter()
            .map(|(metric, values)| figure(metric, values))
            .collect(),
    }
}

fn once(
    deployment: &Deployment,
    workload: &Workload,
    scenario: Scenario,
    rule: Rule,
    seed: u64,
) -> BTreeMap<Metric, f64> {
    let place = rule.place();
    let measure = match rule {
        Rule::Pool => {
            let policy = Homes::new(deployment, workload, scenario, seed);
            World::new(deployment, workload, scenario, place, policy, seed).run()
        }
        Rule::BoundFifo | Rule::BoundValued => {
            let policy = Bound::new(rule == Rule::BoundValued, deployment, workload, scenario);
            World::new(deployment, workload, scenario, place, policy, seed).run()
        }
        Rule::Random | Rule::Rendezvous | Rule::TwoChoices | Rule::LeastOwn => {
            let policy = Local::new(rule, deployment, workload, seed);
            World::new(deployment, workload, scenario, place, policy, seed).run()
        }
    };
    measure.values
}
