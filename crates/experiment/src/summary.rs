//! Results over all seeds, as a table and as JSON.

use std::fmt::Write;

use serde::Serialize;

use crate::Metric;
use crate::Rule;

/// A metric over all seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Figure {
    /// What was measured.
    pub metric: Metric,
    /// The median over the seeds.
    pub median: f64,
    /// The least.
    pub min: f64,
    /// The greatest.
    pub max: f64,
}

/// One rule in one scenario of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The deployment.
    pub deployment: String,
    /// The service.
    pub service: String,
    /// The scenario.
    pub scenario: String,
    /// The rule.
    pub rule: Rule,
    /// What was measured.
    pub figures: Vec<Figure>,
}

impl Row {
    /// The figure of a metric, if it was measured.
    pub fn figure(&self, metric: Metric) -> Option<&Figure> {
        self.figures.iter().find(|figure| figure.metric == metric)
    }
}

/// All results of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The seeds that were run.
    pub seeds: Vec<u64>,
    /// One row for each deployment, service, scenario and rule.
    pub rows: Vec<Row>,
}

impl Summary {
    /// The results in columns: for each rule the medians, and below them the least and the greatest.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let mut previous = String::new();
        for row in &self.rows {
            let head = format!("{} / {} / {}", row.deployment, row.service, row.scenario);
            if head != previous {
                heading(&mut text, &head);
                previous = head;
            }
            line(&mut text, row.rule.as_str(), row, |figure| figure.median);
            line(&mut text, "  min", row, |figure| figure.min);
            line(&mut text, "  max", row, |figure| figure.max);
        }
        text
    }

    /// The results for scripts.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("numbers and names always have a JSON form")
    }

    /// The row of one rule in one scenario of one service.
    pub fn row(&self, service: &str, scenario: &str, rule: Rule) -> Option<&Row> {
        self.rows
            .iter()
            .find(|row| row.service == service && row.scenario == scenario && row.rule == rule)
    }
}

fn heading(text: &mut String, head: &str) {
    if !text.is_empty() {
        text.push('\n');
    }
    writeln!(text, "{head}").expect("a string takes every write");
    write!(text, "{:<13}", "rule").expect("a string takes every write");
    for metric in Metric::ALL {
        write!(text, " {metric:>9}").expect("a string takes every write");
    }
    text.push('\n');
}

fn line(text: &mut String, label: &str, row: &Row, value: impl Fn(&Figure) -> f64) {
    write!(text, "{label:<13}").expect("a string takes every write");
    for metric in Metric::ALL {
        let cell = row
            .figure(metric)
            .map_or_else(|| "-".to_owned(), |figure| number(value(figure)));
        write!(text, " {cell:>9}").expect("a string takes every write");
    }
    text.push('\n');
}

fn number(value: f64) -> String {
    if value >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}

/// The figure of values of several seeds.
pub(crate) fn figure(metric: Metric, mut values: Vec<f64>) -> Figure {
    values.sort_by(f64::total_cmp);
    Figure {
        metric,
        median: values[values.len() / 2],
        min: values[0],
        max: values[values.len() - 1],
    }
}
