//! Results held against what is aimed at.

use std::fmt::Write;

use crate::Metric;
use crate::Row;
use crate::Rule;
use crate::Scenario;
use crate::Summary;

/// How much longer than the bound's the pool's 99th percentile of waiting may be.
const WAIT_OVER_BOUND: f64 = 2.0;
/// What share of the best baseline's wait the pool's may be.
const WAIT_OVER_BASELINE: f64 = 0.1;
/// How much higher than the bound's the pool's imbalance may be.
const IMBALANCE: f64 = 1.15;
/// What share of the bound's weighted completions the pool must reach under overload.
const COMPLETIONS: f64 = 0.95;
/// Seconds within which the pool must recover.
const RECOVERY: f64 = 5.0;
/// How much the calls at failing upstreams may grow.
const CALLS: f64 = 1.1;
/// What share of requests may be lost through something else than overload or their own failure, in percent.
const LOST: f64 = 0.0;

/// One aim in one scenario of one service.
struct Aim {
    what: &'static str,
    value: f64,
    limit: f64,
    at_least: bool,
}

impl Summary {
    /// What is aimed at, what was measured (medians over the seeds), and whether it was met.
    pub fn aims(&self) -> String {
        let mut text = String::new();
        for row in self.rows.iter().filter(|row| row.rule == Rule::Pool) {
            for aim in self.aims_of(row) {
                let met = if aim.at_least {
                    aim.value >= aim.limit
                } else {
                    aim.value <= aim.limit
                };
                let sign = if aim.at_least { ">=" } else { "<=" };
                let verdict = if met { "met" } else { "missed" };
                writeln!(
                    text,
                    "{:<12} {:<13} {:<24} {:>7.3} {sign} {:<5} {verdict}",
                    row.service, row.scenario, aim.what, aim.value, aim.limit
                )
                .expect("a string takes every write");
            }
        }
        text
    }

    fn aims_of(&self, row: &Row) -> Vec<Aim> {
        let mut aims = Vec::new();
        let Ok(scenario) = row.scenario.parse::<Scenario>() else {
            return aims;
        };
        let median = |rule: Rule, metric: Metric| {
            let other = self.row(&row.service, &row.scenario, rule)?;
            Some(other.figure(metric)?.median)
        };
        let own = |metric| median(Rule::Pool, metric).unwrap_or(f64::NAN);
        let lost = own(Metric::Missed) + own(Metric::RefusedOverload) + own(Metric::RefusedOther) + own(Metric::Failed);
        let mut add = |what, value: f64, limit, at_least| {
            aims.push(Aim {
                what,
                value,
                limit,
                at_least,
            });
        };
        match scenario {
            Scenario::Calm | Scenario::Busy => {
                if let Some(bound) = median(Rule::BoundFifo, Metric::WaitP99) {
                    add("p99 / bound", own(Metric::WaitP99) / bound, WAIT_OVER_BOUND, false);
                }
                let waits = [Rule::Random, Rule::Rendezvous, Rule::TwoChoices, Rule::LeastOwn]
                    .map(|rule| median(rule, Metric::WaitP99).unwrap_or(f64::INFINITY));
                let best = waits.into_iter().fold(f64::INFINITY, f64::min);
                add(
                    "p99 / best baseline",
                    own(Metric::WaitP99) / best,
                    WAIT_OVER_BASELINE,
                    false,
                );
                if let Some(bound) = median(Rule::BoundFifo, Metric::MaxMean) {
                    add("max/mean / bound", own(Metric::MaxMean) / bound, IMBALANCE, false);
                }
                add("lost %", lost, LOST, false);
            }
            Scenario::Overload | Scenario::Flood => {
                let bounds = [Rule::BoundFifo, Rule::BoundValued].map(|rule| median(rule, Metric::Weighted));
                let best = bounds.into_iter().flatten().fold(0.0, f64::max);
                add("weight/s / bound", own(Metric::Weighted) / best, COMPLETIONS, true);
                add("recovery s", own(Metric::Recovery), RECOVERY, false);
                add("missed %", own(Metric::Missed), 1.0, false);
            }
            Scenario::SomeFail | Scenario::AllFail => add("calls / before", own(Metric::Calls), CALLS, false),
            Scenario::SayUnhealthy | Scenario::Cold | Scenario::Slow | Scenario::TwoHomes | Scenario::Pinned => {
                add("lost %", lost, LOST, false);
            }
            Scenario::SayHealthy => add("lost %", lost, 1.0, false),
            Scenario::ZoneLoss | Scenario::FrozenHome => add("recovery s", own(Metric::Recovery), RECOVERY, false),
        }
        aims
    }
}
