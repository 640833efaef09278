//! How tries at an upstream end, as the client's packets alone tell, and when more of them end badly than chance explains.
//!
//! An upstream that is silent shows by copies of what was sent to it, which is another module's business. One that fails while
//! it answers sends no copies of its own accord: it resets connections, takes requests and never answers them, or answers
//! with an error. To the client's side of a flow that looks like an opening packet that nothing follows, a request that the
//! client never acknowledges an answer to, or an answer far shorter than its route's answers are.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Time;

use crate::decaying_count::DecayingCount;
use crate::upstream::UpstreamId;

/// The span over which a service's usual share of bad ends is counted.
const USUAL_SPAN: Duration = Duration::from_secs(2);
/// The share of bad ends that is taken for granted: loss, clients that leave, and answers that are short by nature.
const LEAST_USUAL: f64 = 0.03;
/// How many tries that end as usual are taken for granted, so that one bad end of a few does not look usual.
const PRIOR_TRIES: f64 = 20.0;
/// The greatest share that is taken for usual. Beyond it something common to all upstreams is wrong, and none is blamed.
const MOST_USUAL: f64 = 0.4;
/// The least share of bad ends that is looked for, and how many times the usual one it is at least.
const LEAST_FAILING: f64 = 0.3;
const FAILING_FACTOR: f64 = 2.0;
/// How much evidence is enough, as a logarithm of odds: an upstream at which a share as large as the usual one ends badly is
/// found failing once in a million tries at most. Where half a percent ends badly, a sixth of what is taken for granted, none
/// of fourteen was found failing in a million tries.
const ENOUGH: f64 = 13.8;

/// The span over which the rate of tries at an upstream is measured.
const RATE_SPAN: Duration = Duration::from_secs(10);

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The flow opened, or the request was answered as usual.
    Good,
    /// Nothing followed an opening packet, neither the end of the handshake nor a copy: the client was told that it is over.
    Refused,
    /// The upstream took a request, and the client has not seen the begin of an answer long after answers usually come.
    Overdue,
    /// The answer was far shorter than the route's answers are.
    Short,
}

impl Outcome {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Refused => "refused",
            Self::Overdue => "overdue",
            Self::Short => "short",
        }
    }

    fn is_bad(self) -> bool {
        self != Self::Good
    }
}

/// How tries ended lately.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Tally {
    tried: DecayingCount,
    failed: DecayingCount,
}

impl Tally {
    pub(crate) fn add(&mut self, outcome: Outcome, now: Time) {
        self.tried.add(1, USUAL_SPAN, now);
        if outcome.is_bad() {
            self.failed.add(1, USUAL_SPAN, now);
        }
    }

    /// The share of bad ends that is usual at others than the one whose tally is `own`. One of a few upstreams would otherwise
    /// make its own failures look usual.
    pub(crate) fn usual_without(&self, own: &Self, now: Time) -> f64 {
        let tried = self.tried.value(USUAL_SPAN, now) - own.tried.value(USUAL_SPAN, now);
        let failed = self.failed.value(USUAL_SPAN, now) - own.failed.value(USUAL_SPAN, now);
        let share = (failed + PRIOR_TRIES * LEAST_USUAL) / (tried + PRIOR_TRIES);
        share.clamp(LEAST_USUAL, MOST_USUAL)
    }
}

/// What an instance tells whoever sums up of tries at one upstream that end badly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How many tries have ended badly since the last report.
    pub failed: u16,
    /// How many tries end there in ten seconds, well or badly.
    pub tried_in_ten: u16,
}

/// How tries at one upstream end, here and at instances that report to this one.
#[derive(Debug, Default, Clone)]
pub(crate) struct Record {
    tries: DecayingCount,
    since: Option<Time>,
    /// Those of its tries that are part of its service's tally.
    pub(crate) tally: Tally,
    /// Bad ends that were not reported yet.
    unreported: u16,
    evidence: Evidence,
}

impl Record {
    pub(crate) fn add(&mut self, outcome: Outcome, now: Time) {
        self.since.get_or_insert(now);
        self.tries.add(1, RATE_SPAN, now);
        if outcome.is_bad() {
            self.unreported = self.unreported.saturating_add(1);
        }
    }

    /// How many tries end here in a second.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let age = now.since(since).as_secs_f64() / RATE_SPAN.as_secs_f64();
        let seen = RATE_SPAN.as_secs_f64() * (1.0 - (-age).exp());
        self.tries.value(RATE_SPAN, now) / seen.max(1.0)
    }

    /// What to tell whoever sums up, if a try has ended badly since the last time.
    pub(crate) fn report(&mut self, upstream: UpstreamId, now: Time) -> Option<FailureReport> {
        let failed = std::mem::take(&mut self.unreported);
        let tried_in_ten = (self.rate(now) * RATE_SPAN.as_secs_f64()).round();
        (failed > 0).then_some(FailureReport {
            upstream,
            failed,
            tried_in_ten: tried_in_ten.min(f64::from(u16::MAX)) as u16,
        })
    }

    /// Takes in a report of one of so many instances that see about as much of the upstream. Tells whether it fails more often
    /// than chance explains where this share of bad ends is usual.
    pub(crate) fn hear(&mut self, report: &FailureReport, instances: u32, usual: f64, now: Time) -> bool {
        let told = f64::from(report.tried_in_ten) / RATE_SPAN.as_secs_f64();
        let rate = f64::midpoint(self.rate(now), told) * f64::from(instances.max(1));
        self.evidence.add(report.failed, rate, usual, now);
        self.evidence.score >= ENOUGH
    }

    /// Begins anew, as what was found has led to something.
    pub(crate) fn forget_evidence(&mut self) {
        self.evidence = Evidence::default();
    }
}

/// Evidence that an upstream fails (a cumulative sum of log odds, which never falls below zero): each bad end adds to it, and
/// the good ends that go with the rate of tries take away.
#[derive(Debug, Default, Clone, Copy)]
struct Evidence {
    score: f64,
    at: Time,
}

impl Evidence {
    fn add(&mut self, failed: u16, rate: f64, usual: f64, now: Time) {
        let failing = (usual * FAILING_FACTOR).max(LEAST_FAILING);
        let for_bad = (failing / usual).ln();
        let for_good = ((1.0 - failing) / (1.0 - usual)).ln();
        let tried = rate * now.since(self.at).as_secs_f64();
        let good = (tried - f64::from(failed)).max(0.0);
        self.score = (self.score + good * for_good).max(0.0) + f64::from(failed) * for_bad;
        self.at = now;
    }
}
