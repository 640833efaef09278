//! Outcomes of attempts (handshakes and requests) at an upstream, inferred from the client's packets alone, and
//! detection of upstreams at which more attempts fail than chance explains.
//!
//! A silent upstream shows through retransmissions, which another module handles. An upstream that fails while it
//! still responds causes no retransmissions: it resets connections, accepts requests but never answers them, or
//! answers with an error. In the client's packets this appears as an opening packet that nothing follows, a request
//! whose response the client never acknowledges, or a response far shorter than is usual for the route.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Time;

use crate::decaying_count::DecayingCount;
use crate::upstream::UpstreamId;

/// The decay time constant of a service's baseline failure ratio.
const BASELINE_SPAN: Duration = Duration::from_secs(2);
/// The lower limit of the baseline failure ratio. It covers packet loss, clients that disconnect, and responses that
/// are short by nature.
const MIN_BASELINE: f64 = 0.03;
/// The number of prior attempts, assumed to fail at the baseline lower limit, so that one failure among a few attempts
/// does not raise the baseline.
const PRIOR_ATTEMPTS: f64 = 20.0;
/// The upper limit of the baseline failure ratio. Above it the cause is common to all upstreams, so no upstream is
/// blamed.
const MAX_BASELINE: f64 = 0.4;
/// The failure ratio that the test assumes for a failing upstream: at least the first value, and at least the second
/// as a multiple of the baseline.
const MIN_FAILING: f64 = 0.3;
const FAILING_FACTOR: f64 = 2.0;
/// The detection threshold, as a log-likelihood ratio. It bounds false positives: an upstream whose failure ratio
/// equals the baseline is detected at most once in a million attempts. At an actual failure ratio of half a percent, a
/// sixth of the assumed minimum, none of fourteen upstreams was detected in a million attempts.
const DETECTION_THRESHOLD: f64 = 13.8;

/// The decay time constant of the rate of attempts at an upstream.
const RATE_SPAN: Duration = Duration::from_secs(10);

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The flow was established, or the request was answered as usual.
    Good,
    /// Nothing followed an opening packet, neither the end of the handshake nor a retransmission: the client received
    /// a reset.
    Refused,
    /// The upstream accepted a request, but the client has not received the start of a response long after responses
    /// usually arrive.
    Overdue,
    /// The response was far shorter than is usual for the route.
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

    fn is_failure(self) -> bool {
        self != Self::Good
    }
}

/// Decaying counts of recent attempts and failures.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Tally {
    tried: DecayingCount,
    failed: DecayingCount,
}

impl Tally {
    pub(crate) fn add(&mut self, outcome: Outcome, now: Time) {
        self.tried.add(1, BASELINE_SPAN, now);
        if outcome.is_failure() {
            self.failed.add(1, BASELINE_SPAN, now);
        }
    }

    /// The failure ratio of the upstreams other than the one whose tally is `own`. Where there are only a few
    /// upstreams, the failures of one would otherwise raise its own baseline.
    pub(crate) fn baseline_without(&self, own: &Self, now: Time) -> f64 {
        let tried = self.tried.value(BASELINE_SPAN, now) - own.tried.value(BASELINE_SPAN, now);
        let failed = self.failed.value(BASELINE_SPAN, now) - own.failed.value(BASELINE_SPAN, now);
        let share = (failed + PRIOR_ATTEMPTS * MIN_BASELINE) / (tried + PRIOR_ATTEMPTS);
        share.clamp(MIN_BASELINE, MAX_BASELINE)
    }
}

/// A report of failed attempts at one upstream, sent to the instance that aggregates them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The number of failed attempts since the last report.
    pub failed: u16,
    /// The number of completed attempts per ten seconds, successful or not.
    pub tried_in_ten: u16,
}

/// Attempts at one upstream, observed here and by the instances that report to this one.
#[derive(Debug, Default, Clone)]
pub(crate) struct AttemptRecord {
    tries: DecayingCount,
    since: Option<Time>,
    /// The attempts at this upstream that are included in the tally of its service.
    pub(crate) tally: Tally,
    /// Failures that have not been reported yet.
    unreported: u16,
    evidence: Evidence,
}

impl AttemptRecord {
    pub(crate) fn add(&mut self, outcome: Outcome, now: Time) {
        self.since.get_or_insert(now);
        self.tries.add(1, RATE_SPAN, now);
        if outcome.is_failure() {
            self.unreported = self.unreported.saturating_add(1);
        }
    }

    /// The rate of completed attempts at this instance, per second.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let age = now.since(since).as_secs_f64() / RATE_SPAN.as_secs_f64();
        let seen = RATE_SPAN.as_secs_f64() * (1.0 - (-age).exp());
        self.tries.value(RATE_SPAN, now) / seen.max(1.0)
    }

    /// The report for the aggregating instance, if an attempt has failed since the last report.
    pub(crate) fn report(&mut self, upstream: UpstreamId, now: Time) -> Option<FailureReport> {
        let failed = std::mem::take(&mut self.unreported);
        let tried_in_ten = (self.rate(now) * RATE_SPAN.as_secs_f64()).round();
        (failed > 0).then_some(FailureReport {
            upstream,
            failed,
            tried_in_ten: tried_in_ten.min(f64::from(u16::MAX)) as u16,
        })
    }

    /// Adds a report from one of `instances` instances that each see a similar share of the traffic to the upstream.
    /// Returns whether the upstream fails more often than chance explains, given the failure ratio `baseline`.
    pub(crate) fn add_report(&mut self, report: &FailureReport, instances: u32, baseline: f64, now: Time) -> bool {
        let reported_rate = f64::from(report.tried_in_ten) / RATE_SPAN.as_secs_f64();
        let rate = f64::midpoint(self.rate(now), reported_rate) * f64::from(instances.max(1));
        self.evidence.add(report.failed, rate, baseline, now);
        self.evidence.score >= DETECTION_THRESHOLD
    }

    /// Discards the evidence after it has been acted on.
    pub(crate) fn clear_evidence(&mut self) {
        self.evidence = Evidence::default();
    }
}

/// Evidence that an upstream is failing: a cumulative sum (CUSUM) of log-likelihood ratios that never falls below
/// zero. Each failure increases it, and the successes estimated from the rate of attempts decrease it.
#[derive(Debug, Default, Clone, Copy)]
struct Evidence {
    score: f64,
    at: Time,
}

impl Evidence {
    fn add(&mut self, failed: u16, rate: f64, baseline: f64, now: Time) {
        let failing = (baseline * FAILING_FACTOR).max(MIN_FAILING);
        let failure_weight = (failing / baseline).ln();
        let success_weight = ((1.0 - failing) / (1.0 - baseline)).ln();
        let tried = rate * now.since(self.at).as_secs_f64();
        let good = (tried - f64::from(failed)).max(0.0);
        self.score = (self.score + good * success_weight).max(0.0) + f64::from(failed) * failure_weight;
        self.at = now;
    }
}
