//! What is measured in one run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use units::Time;
use wire::Reason;

use crate::deployment::Workload;
use crate::job::Job;
use crate::job::Progress;
use crate::scenario::AFTER;
use crate::scenario::END;
use crate::scenario::EVENT;
use crate::scenario::Scenario;
use crate::scenario::WARM_UP;
use crate::server::Server;

/// Requests that arrive so late, in seconds before the end, are not counted, since they may not end in time.
const TAIL: f64 = 7.0;
/// The width of a window in which recovery is looked for, in seconds.
const RECOVERY_STEP: f64 = 0.5;

/// Something that is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Weight of requests completed in time, per second, whenever they arrived.
    Weighted,
    /// Weight of requests offered, per second.
    Offered,
    /// Share of requests that ran or waited past their deadline, in percent.
    Missed,
    /// Share of requests refused for lack of time, surely not run, in percent.
    RefusedOverload,
    /// Share of requests refused for other reasons, surely not run, in percent.
    RefusedOther,
    /// Share of requests that ended in a failure and may have run, in percent.
    Failed,
    /// Maximum over mean of the upstreams' load, averaged over windows of a second.
    MaxMean,
    /// Coefficient of variation of the upstreams' load, averaged over windows of a second.
    Variation,
    /// Maximum over mean of the upstreams' load over the whole time.
    LongMaxMean,
    /// Share of started requests that ran in the availability zone they arrived in, in percent.
    Local,
    /// Median wait from arrival at an instance to the start at an upstream, in milliseconds.
    WaitP50,
    /// The 99th percentile of that wait, in milliseconds.
    WaitP99,
    /// The 99.9th percentile of that wait, in milliseconds.
    WaitP999,
    /// Seconds after the event until nothing is lost and waits are as before.
    Recovery,
    /// Calls at the upstreams that fail or restart during the event, over those before, per second.
    Calls,
}

impl Metric {
    /// All metrics, in the order of the table.
    pub const ALL: [Self; 15] = [
        Self::Offered,
        Self::Weighted,
        Self::Missed,
        Self::RefusedOverload,
        Self::RefusedOther,
        Self::Failed,
        Self::MaxMean,
        Self::Variation,
        Self::LongMaxMean,
        Self::Local,
        Self::WaitP50,
        Self::WaitP99,
        Self::WaitP999,
        Self::Recovery,
        Self::Calls,
    ];

    /// The metric's name at the head of a column.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Weighted => "weight/s",
            Self::Offered => "offered/s",
            Self::Missed => "missed%",
            Self::RefusedOverload => "overload%",
            Self::RefusedOther => "refused%",
            Self::Failed => "failed%",
            Self::MaxMean => "max/mean",
            Self::Variation => "cv",
            Self::LongMaxMean => "long m/m",
            Self::Local => "local%",
            Self::WaitP50 => "p50 ms",
            Self::WaitP99 => "p99 ms",
            Self::WaitP999 => "p999 ms",
            Self::Recovery => "recov s",
            Self::Calls => "calls x",
        }
    }
}

impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// What is measured in one run.
#[derive(Debug)]
pub(crate) struct Measure {
    scenario: Scenario,
    windows: Vec<(f64, f64)>,
    /// The upstreams' load over the whole time.
    loads: Vec<f64>,
    pub(crate) values: BTreeMap<Metric, f64>,
}

/// What became of the requests that arrived in a span of time.
#[derive(Debug, Default)]
struct Count {
    all: u64,
    offered: f64,
    weighted: f64,
    missed: u64,
    overload: u64,
    refused: u64,
    failed: u64,
}

impl Measure {
    pub(crate) fn new(scenario: Scenario) -> Self {
        Self {
            scenario,
            windows: Vec::new(),
            loads: Vec::new(),
            values: BTreeMap::new(),
        }
    }

    /// When requests must arrive to be counted, in seconds.
    fn span(&self) -> std::ops::Range<f64> {
        if self.scenario.has_event() {
            EVENT..AFTER
        } else {
            WARM_UP..END - TAIL
        }
    }

    /// A window has ended in which the upstreams had these loads.
    pub(crate) fn window(&mut self, now: Time, loads: &[f64]) {
        if !self.span().contains(&(now.0 as f64 / 1e6 - 0.5)) {
            return;
        }
        self.loads.resize(loads.len(), 0.0);
        for (sum, load) in self.loads.iter_mut().zip(loads) {
            *sum += load;
        }
        self.windows.push(spread(loads));
    }

    /// Sums up a run.
    pub(crate) fn finish(&mut self, jobs: &[Job], servers: &[Server], workload: &Workload) {
        let span = self.span();
        let mut count = Count::default();
        let mut waits = histogram();
        let mut local = 0;
        for job in jobs {
            if completion(job).is_some_and(|at| span.contains(&at)) {
                count.weighted += weight(job, workload);
            }
            if !span.contains(&arrival(job)) {
                continue;
            }
            count.add(job, workload);
            if let Some(started) = job.started {
                record(&mut waits, started.since(job.arrived));
                local += u64::from(job.local);
            }
        }
        self.set(Metric::Local, 100.0 * local as f64 / waits.len().max(1) as f64);
        let seconds = span.end - span.start;
        self.set(Metric::Offered, count.offered / seconds);
        self.set(Metric::Weighted, count.weighted / seconds);
        self.set(Metric::Missed, count.percent(count.missed));
        self.set(Metric::RefusedOverload, count.percent(count.overload));
        self.set(Metric::RefusedOther, count.percent(count.refused));
        self.set(Metric::Failed, count.percent(count.failed));
        let windows = self.windows.len().max(1) as f64;
        let max_mean: f64 = self.windows.iter().map(|(max_mean, _)| max_mean).sum();
        let variation: f64 = self.windows.iter().map(|(_, variation)| variation).sum();
        self.set(Metric::MaxMean, max_mean / windows);
        self.set(Metric::Variation, variation / windows);
        self.set(Metric::LongMaxMean, spread(&self.loads).0);
        for (metric, quantile) in [
            (Metric::WaitP50, 0.5),
            (Metric::WaitP99, 0.99),
            (Metric::WaitP999, 0.999),
        ] {
            self.set(metric, waits.value_at_quantile(quantile) as f64 / 1e3);
        }
        if self.scenario.has_event() {
            self.set(Metric::Recovery, recovery(jobs));
        }
        self.calls(servers);
    }

    fn set(&mut self, metric: Metric, value: f64) {
        self.values.insert(metric, value);
    }

    /// Compares the calls that reached the chosen upstreams during the event with those before.
    fn calls(&mut self, servers: &[Server]) {
        let mut sums = [0, 0];
        for (index, server) in servers.iter().enumerate() {
            if self.scenario.is_chosen(index) {
                sums[0] += server.calls[0];
                sums[1] += server.calls[1];
            }
        }
        if sums[0] > 0 {
            let before = sums[0] as f64 / (EVENT - WARM_UP);
            let during = sums[1] as f64 / (AFTER - EVENT);
            self.set(Metric::Calls, during / before);
        }
    }
}

impl Count {
    fn add(&mut self, job: &Job, workload: &Workload) {
        self.all += 1;
        self.offered += weight(job, workload);
        match job.progress {
            Progress::Completed => {}
            Progress::Open | Progress::Missed => self.missed += 1,
            Progress::Refused(Reason::Overload | Reason::Deadline) => self.overload += 1,
            Progress::Refused(_) => self.refused += 1,
            Progress::Failed => self.failed += 1,
        }
    }

    fn percent(&self, part: u64) -> f64 {
        100.0 * part as f64 / self.all.max(1) as f64
    }
}

fn arrival(job: &Job) -> f64 {
    job.arrival.at.0 as f64 / 1e6
}

/// When a request was completed in time, if it was.
fn completion(job: &Job) -> Option<f64> {
    let ended = job.ended.filter(|_| job.progress == Progress::Completed)?;
    Some(ended.0 as f64 / 1e6)
}

fn weight(job: &Job, workload: &Workload) -> f64 {
    f64::from(workload.kinds[job.arrival.kind].weight.0)
}

/// Maximum over mean and coefficient of variation.
fn spread(loads: &[f64]) -> (f64, f64) {
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    if mean == 0.0 {
        return (1.0, 0.0);
    }
    let max = loads.iter().copied().fold(0.0, f64::max);
    let square = |load: &f64| (load - mean) * (load - mean);
    let variance = loads.iter().map(square).sum::<f64>() / loads.len() as f64;
    (max / mean, variance.sqrt() / mean)
}

/// A histogram of waits in microseconds.
fn histogram() -> Histogram<u64> {
    const LONGEST: u64 = 100_000_000;
    Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds and digits are within what the library can hold")
}

fn record(waits: &mut Histogram<u64>, wait: Duration) {
    waits.saturating_record(wait.as_micros() as u64);
}

/// Seconds after the event until the first window in which nothing that arrives is lost and the mean wait is at most
/// the 99th percentile before the event.
fn recovery(jobs: &[Job]) -> f64 {
    let before = Span::of(jobs, WARM_UP, EVENT).waits.value_at_quantile(0.99) as f64;
    let mut from = AFTER;
    while from < END - TAIL {
        let span = Span::of(jobs, from, from + RECOVERY_STEP);
        if span.lost == 0 && span.waits.mean() <= before {
            break;
        }
        from += RECOVERY_STEP;
    }
    from - AFTER
}

/// What tells whether all is well with the requests that arrive in a span of time.
struct Span {
    lost: u64,
    waits: Histogram<u64>,
}

impl Span {
    fn of(jobs: &[Job], from: f64, to: f64) -> Self {
        let mut span = Self {
            lost: 0,
            waits: histogram(),
        };
        let first = jobs.partition_point(|job| arrival(job) < from);
        for job in &jobs[first..] {
            if arrival(job) >= to {
                break;
            }
            span.lost += u64::from(job.progress != Progress::Completed);
            if let Some(started) = job.started {
                record(&mut span.waits, started.since(job.arrived));
            }
        }
        span
    }
}
