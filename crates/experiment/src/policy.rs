//! Ways to give requests to upstreams: the pool, the baselines and the bound.

use std::collections::BTreeMap;
use std::fmt;

use balance::Report;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use units::Millis;
use units::Time;
use wire::Outcome;
use wire::Reason;

use crate::deployment::Deployment;
use crate::deployment::Workload;
use crate::job::Job;
use crate::job::Ticket;
use crate::scenario::Scenario;

/// A way to give requests to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// The pool of crate `balance` at a home instance.
    Pool,
    /// Any upstream.
    Random,
    /// The upstream that the flow hashes to.
    Rendezvous,
    /// The less loaded of two by their reports.
    TwoChoices,
    /// The one with the fewest requests of the same instance.
    LeastOwn,
    /// One queue without delay, first come first served.
    BoundFifo,
    /// One queue without delay, what brings most per second first.
    BoundValued,
}

impl Rule {
    /// All rules.
    pub const ALL: [Self; 7] = [
        Self::Pool,
        Self::Random,
        Self::Rendezvous,
        Self::TwoChoices,
        Self::LeastOwn,
        Self::BoundFifo,
        Self::BoundValued,
    ];

    /// The rule's name in results.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pool => "pool",
            Self::Random => "random",
            Self::Rendezvous => "rendezvous",
            Self::TwoChoices => "two-choices",
            Self::LeastOwn => "least-own",
            Self::BoundFifo => "bound-fifo",
            Self::BoundValued => "bound-valued",
        }
    }

    pub(crate) fn place(self) -> Place {
        match self {
            Self::Pool => Place::Home,
            Self::Random | Self::Rendezvous | Self::TwoChoices | Self::LeastOwn => Place::Ingress,
            Self::BoundFifo | Self::BoundValued => Place::Ideal,
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Where a rule decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    /// At one instance for the service. Upstreams shed what finds no free slot.
    Home,
    /// At the instance that the packet reaches. Upstreams queue.
    Ingress,
    /// Everywhere at once and without delay.
    Ideal,
}

/// What becomes of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Choice {
    Grant(Ticket, usize),
    Deny(Ticket, Reason, Millis),
}

/// A rule at work.
pub(crate) trait Policy {
    /// An attempt needs an upstream.
    fn ask(&mut self, ticket: Ticket, job: &Job, now: Time, out: &mut Vec<Choice>);
    /// A call ended.
    fn settle(&mut self, ticket: Ticket, job: &Job, end: End, now: Time, out: &mut Vec<Choice>);
    /// An upstream was asked for its health and load.
    fn report(&mut self, _upstream: usize, _report: Option<Report>, _now: Time, _out: &mut Vec<Choice>) {}
    /// Time has passed.
    fn tick(&mut self, _now: Time, _out: &mut Vec<Choice>) {}
    /// Tells the home that takes over of slots in use.
    fn hold(&mut self, _ticket: Ticket, _upstream: usize, _deadline: Time, _now: Time) {}
}

/// How a call ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct End {
    pub(crate) upstream: usize,
    pub(crate) outcome: Outcome,
    pub(crate) took: std::time::Duration,
}

/// A baseline: each instance decides for itself.
#[derive(Debug)]
pub(crate) struct Local {
    rule: Rule,
    /// Requests in flight by instance and upstream.
    own: Vec<Vec<u32>>,
    /// What upstreams said last.
    reported: Vec<u16>,
    rng: SmallRng,
}

impl Local {
    pub(crate) fn new(rule: Rule, deployment: &Deployment, workload: &Workload, seed: u64) -> Self {
        let upstreams = workload.service.upstreams.len();
        Self {
            rule,
            own: vec![vec![0; upstreams]; deployment.instances],
            reported: vec![0; upstreams],
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn choose(&mut self, job: &Job) -> usize {
        let candidates: Vec<usize> = (0..self.reported.len())
            .filter(|index| !job.avoid.contains(index))
            .collect();
        let any = candidates[self.rng.random_range(0..candidates.len())];
        match self.rule {
            Rule::Rendezvous => {
                let hash = |index: &usize| mix(job.arrival.flow.wrapping_mul(1_000_003) ^ *index as u64);
                candidates.iter().copied().max_by_key(hash).unwrap_or(any)
            }
            Rule::TwoChoices => {
                let other = candidates[self.rng.random_range(0..candidates.len())];
                if self.reported[other] < self.reported[any] {
                    other
                } else {
                    any
                }
            }
            Rule::LeastOwn => self.least_own(job.arrival.instance, &candidates),
            _ => any,
        }
    }

    fn least_own(&mut self, instance: usize, candidates: &[usize]) -> usize {
        let own = &self.own[instance];
        let least = candidates.iter().map(|index| own[*index]).min().unwrap_or(0);
        let equal: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|index| own[*index] == least)
            .collect();
        equal[self.rng.random_range(0..equal.len())]
    }
}

/// Spreads the bits of a number.
fn mix(seed: u64) -> u64 {
    SmallRng::seed_from_u64(seed).random()
}

impl Policy for Local {
    fn ask(&mut self, ticket: Ticket, job: &Job, _now: Time, out: &mut Vec<Choice>) {
        let upstream = match job.pinned {
            Some(pinned) if !job.avoid.contains(&pinned) => pinned,
            _ => self.choose(job),
        };
        self.own[job.arrival.instance][upstream] += 1;
        out.push(Choice::Grant(ticket, upstream));
    }

    fn settle(&mut self, _ticket: Ticket, job: &Job, end: End, _now: Time, _out: &mut Vec<Choice>) {
        self.own[job.arrival.instance][end.upstream] -= 1;
    }

    fn report(&mut self, upstream: usize, report: Option<Report>, _now: Time, _out: &mut Vec<Choice>) {
        if let Some(report) = report {
            self.reported[upstream] = report.busy.0;
        }
    }
}

/// How many mean service times must be left before the deadline for the bound to start a request. With fewer it
/// would waste slots on requests that then miss their deadline.
const START_MARGIN: f64 = 3.0;
/// When the bound's refused callers come back.
const RETURN: Millis = Millis(1_000);

/// The bound: one queue that knows the slots, the kinds' mean service times and what cannot serve, without delay.
#[derive(Debug)]
pub(crate) struct Bound {
    valued: bool,
    scenario: Scenario,
    zones: usize,
    /// The mean service time and the value per second of each kind.
    kinds: Vec<(f64, f64)>,
    slots: u32,
    busy: Vec<u32>,
    /// How much each upstream was given, to keep them even.
    given: Vec<u64>,
    queue: BTreeMap<Standing, (Ticket, usize, Time)>,
    arrivals: u64,
}

/// Where a request stands in the bound's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Standing {
    /// Minus the value per second, in thousandths, where that counts.
    value: i64,
    arrival: u64,
}

impl Bound {
    pub(crate) fn new(valued: bool, deployment: &Deployment, workload: &Workload, scenario: Scenario) -> Self {
        let upstreams = workload.service.upstreams.len();
        let kind = |kind: &crate::deployment::Kind| (kind.mean, f64::from(kind.weight.0) / kind.mean);
        Self {
            valued,
            scenario,
            zones: deployment.zones.len(),
            kinds: workload.kinds.iter().map(kind).collect(),
            slots: u32::from(workload.service.upstreams[0].slots.0),
            busy: vec![0; upstreams],
            given: vec![0; upstreams],
            queue: BTreeMap::new(),
            arrivals: 0,
        }
    }

    fn free(&self, now: Time) -> Option<usize> {
        let seconds = now.0 as f64 / 1e6;
        let usable = |index: &usize| {
            self.busy[*index] < self.slots
                && self.scenario.reaches(*index % self.zones, seconds)
                && self.scenario.failing(*index, seconds) < 1.0
        };
        (0..self.busy.len())
            .filter(usable)
            .min_by_key(|index| (self.busy[*index], self.given[*index]))
    }

    fn dispatch(&mut self, now: Time, out: &mut Vec<Choice>) {
        while let Some(upstream) = self.free(now) {
            let Some((_, (ticket, kind, deadline))) = self.queue.pop_first() else {
                return;
            };
            let remaining = now.until(deadline).as_secs_f64();
            if remaining < START_MARGIN * self.kinds[kind].0 {
                out.push(Choice::Deny(ticket, Reason::Overload, RETURN));
                continue;
            }
            self.busy[upstream] += 1;
            self.given[upstream] += 1;
            out.push(Choice::Grant(ticket, upstream));
        }
    }
}

impl Policy for Bound {
    fn ask(&mut self, ticket: Ticket, job: &Job, now: Time, out: &mut Vec<Choice>) {
        self.arrivals += 1;
        let density = self.kinds[job.arrival.kind].1;
        let standing = Standing {
            value: if self.valued { -(density * 1e3) as i64 } else { 0 },
            arrival: self.arrivals,
        };
        self.queue.insert(standing, (ticket, job.arrival.kind, job.deadline));
        self.dispatch(now, out);
    }

    fn settle(&mut self, _ticket: Ticket, _job: &Job, end: End, now: Time, out: &mut Vec<Choice>) {
        self.busy[end.upstream] -= 1;
        self.dispatch(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Choice>) {
        let late: Vec<Standing> = self
            .queue
            .iter()
            .filter(|(_, (_, _, deadline))| *deadline <= now)
            .map(|(standing, _)| *standing)
            .collect();
        for standing in late {
            if let Some((ticket, ..)) = self.queue.remove(&standing) {
                out.push(Choice::Deny(ticket, Reason::Deadline, RETURN));
            }
        }
    }
}
