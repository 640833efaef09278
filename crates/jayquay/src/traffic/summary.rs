//! What callers saw.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use caller::Failure;
use caller::FlowCounters;
use caller::Origin;
use hdrhistogram::Histogram;
use serde::Serialize;
use units::KindName;
use units::ServiceName;
use wire::Reason;
use wire::Verdict;

use crate::traffic::Ended;

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY: u64 = 3_600_000_000;
/// How many digits of a latency count.
const DIGITS: u8 = 3;

/// What callers saw of one kind of request.
#[derive(Debug, Clone)]
struct Seen {
    completed: u64,
    refused: u64,
    weight: u64,
    latency: Histogram<u64>,
}

impl Seen {
    fn new() -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY, DIGITS).expect("the bounds are valid");
        Self {
            completed: 0,
            refused: 0,
            weight: 0,
            latency,
        }
    }
}

/// What callers saw of a run.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    kinds: BTreeMap<KindName, Seen>,
    refusals: BTreeMap<Refusal, u64>,
    flows: usize,
    broken: BTreeSet<(ServiceName, usize)>,
    elapsed: Duration,
    retransmitted: u64,
    retried: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Refusal {
    may_have_run: bool,
    reason: Reason,
    /// Whether no instance said so, and the caller gave up by itself.
    given_up: bool,
}

impl Summary {
    /// Counts a request that has ended.
    pub fn add(&mut self, ended: &Ended) {
        let seen = self.kinds.entry(ended.kind.name.clone()).or_insert_with(Seen::new);
        let Err(failure) = ended.result else {
            let micros = ended.latency.as_micros().min(MAX_LATENCY.into()) as u64;
            seen.latency.saturating_record(micros);
            seen.completed += 1;
            seen.weight += u64::from(ended.kind.weight.0);
            return;
        };
        seen.refused += 1;
        let refusal = Refusal {
            may_have_run: failure.verdict == Verdict::MayHaveRun,
            reason: failure.reason,
            given_up: failure.origin == Origin::Caller,
        };
        *self.refusals.entry(refusal).or_default() += 1;
        if breaks_flow(failure) {
            self.broken.insert((ended.service.clone(), ended.flow));
        }
    }

    /// Counts flows of a service, with what each counted itself.
    pub fn add_flows(&mut self, service: &ServiceName, tallies: &[FlowCounters]) {
        self.flows += tallies.len();
        for (flow, tally) in tallies.iter().enumerate() {
            self.retransmitted += tally.retransmitted;
            self.retried += tally.retried;
            if tally.reopened > 0 {
                self.broken.insert((service.clone(), flow));
            }
        }
    }

    /// Sets how long requests began.
    pub fn set_elapsed(&mut self, elapsed: Duration) {
        self.elapsed = elapsed;
    }

    /// How many flows there were.
    pub fn flows(&self) -> usize {
        self.flows
    }

    /// How many flows were cut.
    pub fn broken(&self) -> usize {
        self.broken.len()
    }

    /// The form for scripts.
    pub fn report(&self) -> Report {
        let kinds = self.kinds.iter().map(|(name, seen)| KindReport::new(name, seen));
        let weight: u64 = self.kinds.values().map(|seen| seen.weight).sum();
        let seconds = self.elapsed.as_secs_f64();
        let refusals = self.refusals.iter().map(|(refusal, count)| RefusalReport {
            verdict: verdict(refusal.may_have_run).to_string(),
            reason: refusal.reason.as_str(),
            given_up: refusal.given_up,
            count: *count,
        });
        Report {
            seconds,
            kinds: kinds.collect(),
            weighted_completions_per_second: if seconds > 0.0 { weight as f64 / seconds } else { 0.0 },
            refusals: refusals.collect(),
            flows: self.flows,
            broken_flows: self.broken.len(),
            retransmitted: self.retransmitted,
            retried: self.retried,
        }
    }
}

fn verdict(may_have_run: bool) -> Verdict {
    if may_have_run {
        return Verdict::MayHaveRun;
    }
    Verdict::NotRun
}

/// Whether the caller lost its flow, as opposed to being told that the system or the service is too busy or fails.
fn breaks_flow(failure: Failure) -> bool {
    let silence = failure.origin == Origin::Caller && failure.verdict == Verdict::MayHaveRun;
    let lost = matches!(
        failure.reason,
        Reason::OwnerGone | Reason::TooOld | Reason::AnswerGone | Reason::Token
    );
    silence || lost
}

/// A summary for scripts. Latencies are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    seconds: f64,
    kinds: Vec<KindReport>,
    weighted_completions_per_second: f64,
    refusals: Vec<RefusalReport>,
    flows: usize,
    broken_flows: usize,
    retransmitted: u64,
    retried: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
struct KindReport {
    kind: String,
    completed: u64,
    refused: u64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
}

impl KindReport {
    fn new(name: &KindName, seen: &Seen) -> Self {
        let quantile = |q| seen.latency.value_at_quantile(q) as f64 / 1_000.0;
        Self {
            kind: name.to_string(),
            completed: seen.completed,
            refused: seen.refused,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize)]
struct RefusalReport {
    verdict: String,
    reason: &'static str,
    /// Whether no instance said so, and the caller gave up by itself.
    given_up: bool,
    count: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "kind          completed  refused    p50 ms    p99 ms   p999 ms")?;
        for kind in &self.kinds {
            writeln!(
                f,
                "{:<12} {:>10} {:>8} {:>9.2} {:>9.2} {:>9.2}",
                kind.kind, kind.completed, kind.refused, kind.p50_ms, kind.p99_ms, kind.p999_ms
            )?;
        }
        for refusal in &self.refusals {
            let who = if refusal.given_up { "given up" } else { "refused" };
            writeln!(f, "{who}: {}, {}: {}", refusal.verdict, refusal.reason, refusal.count)?;
        }
        writeln!(
            f,
            "{:.1} weighted completions per second over {:.1} s",
            self.weighted_completions_per_second, self.seconds
        )?;
        writeln!(
            f,
            "{} packets sent again, {} requests sent anew",
            self.retransmitted, self.retried
        )?;
        writeln!(f, "{} of {} flows broken", self.broken_flows, self.flows)
    }
}
