//! Outcomes of attempts (handshakes and requests) at an upstream, inferred from the client's packets alone because the
//! upstream's packets do not pass through the balancer, and detection of upstreams at which more attempts fail than
//! chance explains.
//!
//! An upstream that sends no packets at all causes retransmissions, which `health` handles. An upstream that fails
//! while its TCP stack still responds causes none: it resets connections, accepts requests but never answers them, or
//! answers with an error. In the client's packets this appears as the first packet of a handshake with nothing after
//! it, a request whose response the client never acknowledges, or a response far shorter than is usual for the route.
//!
//! A full upstream refuses requests in the same way. Such a refusal is counted as rejected, which is neither a failure
//! nor a success.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Time;

use crate::decaying_count::DecayingCount;
use crate::upstream::UpstreamId;

/// The time constant of the exponential decay in a [`Tally`], whether of a service or of one of its upstreams.
const TALLY_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// The lower limit of the baseline failure ratio. It covers packet loss, clients that disconnect, and responses that
/// are short by nature.
const MIN_BASELINE: f64 = 0.03;
/// The number of pseudo-attempts that are added to the counted ones and assumed to fail at `MIN_BASELINE` (a Bayesian
/// prior), so that one failure among a few attempts raises the baseline only slightly.
const PRIOR_ATTEMPTS: f64 = 20.0;
/// The upper limit of the baseline failure ratio. If more attempts than this fail at the other upstreams, the cause is
/// usually common to all of them. At the limit, the evidence against an upstream grows only while more than about 61 %
/// of its attempts fail.
const MAX_BASELINE: f64 = 0.4;
/// The minimum failure ratio that the CUSUM test in [`Evidence`] assumes for a failing upstream.
const MIN_FAILING_RATIO: f64 = 0.3;
/// The minimum failure ratio that the test assumes for a failing upstream, as a multiple of the baseline.
const FAILING_RATIO_FACTOR: f64 = 2.0;
/// The detection threshold, as a log-likelihood ratio: ln(10^6). It bounds false positives: an upstream whose failure
/// ratio equals the baseline is detected at most once in a million attempts. At an actual failure ratio of half a
/// percent, a sixth of `MIN_BASELINE`, none of fourteen upstreams was detected in a million attempts.
const DETECTION_THRESHOLD: f64 = 13.8;
/// The upper limit of the score. It matters while the upstream may not be ejected: without a limit, the evidence would
/// outlast the failure for as long as that lasted.
const MAX_SCORE: f64 = 2.0 * DETECTION_THRESHOLD;

/// The window in which the number of short answers that count as evidence is limited. If many flows arrive at an
/// upstream at once, it refuses most of them, and they are more than its usual attempts.
const SHORT_WINDOW: Duration = Duration::from_millis(300);
/// The limit, as a share of the attempts that are usual in such a window.
const MAX_SHORT_SHARE: f64 = 0.35;
/// The minimum of the limit, in short answers.
const MIN_SHORT_LIMIT: f64 = 1.0;

/// The time constant of the exponential decay in the rate of attempts at an upstream.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The flow was established, or the request was answered as usual.
    Good,
    /// Nothing followed the first packet of a handshake, neither the end of the handshake nor a retransmission. Most
    /// likely the client received a reset.
    Refused,
    /// The upstream accepted a request, but the client has not received the start of a response long after responses
    /// usually arrive.
    Overdue,
    /// The response was far shorter than is usual for the route.
    Short,
    /// An upstream without free capacity refused the request or the connection at once. This is neither a failure of
    /// the upstream nor a success.
    Rejected,
}

impl Outcome {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Refused => "refused",
            Self::Overdue => "overdue",
            Self::Short => "short",
            Self::Rejected => "rejected",
        }
    }

    pub(crate) fn is_failure(self) -> bool {
        matches!(self, Self::Refused | Self::Overdue | Self::Short)
    }
}

/// Exponentially decaying counts of recent attempts and failures, of a service or of one upstream.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Tally {
    attempts: DecayingCount,
    failures: DecayingCount,
}

impl Tally {
    pub(crate) fn add(&mut self, outcome: Outcome, now: Time) {
        if outcome == Outcome::Rejected {
            return;
        }
        self.attempts.add(1, TALLY_TIME_CONSTANT, now);
        if outcome.is_failure() {
            self.failures.add(1, TALLY_TIME_CONSTANT, now);
        }
    }

    /// The baseline failure ratio for the upstream whose tally is `own`, where `self` is the tally of its service: the
    /// failure ratio of the other upstreams, weighted with the prior and clamped. Where there are only a few upstreams,
    /// the failures of one would otherwise raise its own baseline.
    pub(crate) fn baseline_without(&self, own: &Self, now: Time) -> f64 {
        let attempts = self.attempts.value(TALLY_TIME_CONSTANT, now) - own.attempts.value(TALLY_TIME_CONSTANT, now);
        let failures = self.failures.value(TALLY_TIME_CONSTANT, now) - own.failures.value(TALLY_TIME_CONSTANT, now);
        let ratio = (failures + PRIOR_ATTEMPTS * MIN_BASELINE) / (attempts + PRIOR_ATTEMPTS);
        ratio.clamp(MIN_BASELINE, MAX_BASELINE)
    }
}

/// A report of failed attempts at one upstream, sent to each of the few instances that aggregate them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The number of failed attempts since the last report.
    pub failed: u16,
    /// How many of them were short answers. An instance of an earlier release doesn't tell.
    #[serde(default)]
    pub short: u16,
    /// The number of attempts with a known outcome per ten seconds, successful or not.
    pub tried_in_ten: u16,
}

/// Attempts at one upstream that this instance observed and, if it aggregates the failure reports for the upstream, the
/// evidence from those reports.
#[derive(Debug, Default, Clone)]
pub(crate) struct AttemptRecord {
    /// The decaying count of attempts, for the rate.
    attempts: DecayingCount,
    /// When the outcome of an attempt was first recorded.
    first_attempt_at: Option<Time>,
    /// The attempts at this upstream that are included in the tally of its service: all but those made while the
    /// upstream was ejected. The caller updates it together with the service's tally.
    pub(crate) tally: Tally,
    /// Failures that have not been reported yet.
    unreported: u16,
    /// How many of these were short answers.
    unreported_short: u16,
    evidence: Evidence,
}

impl AttemptRecord {
    /// Adds an attempt to the rate and, if it failed, to the next report, but not to the tally. A rejected one would
    /// count as a success if it were part of the rate, as successes are estimated from the rate.
    pub(crate) fn add(&mut self, outcome: Outcome, now: Time) {
        if outcome == Outcome::Rejected {
            return;
        }
        self.first_attempt_at.get_or_insert(now);
        self.attempts.add(1, RATE_TIME_CONSTANT, now);
        if outcome.is_failure() {
            self.unreported = self.unreported.saturating_add(1);
        }
        if outcome == Outcome::Short {
            self.unreported_short = self.unreported_short.saturating_add(1);
        }
    }

    /// The rate, per second, of attempts whose outcome this instance recorded.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        let Some(first_attempt_at) = self.first_attempt_at else {
            return 0.0;
        };
        // Soon after the first attempt, the decaying count covers less than the full time constant. The lower limit of
        // one second keeps the first few attempts from showing as a high rate.
        let relative_age = now.since(first_attempt_at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64();
        let effective_window = RATE_TIME_CONSTANT.as_secs_f64() * (1.0 - (-relative_age).exp());
        self.attempts.value(RATE_TIME_CONSTANT, now) / effective_window.max(1.0)
    }

    /// Takes the report for the aggregating instances, if an attempt has failed since the last call. Resets the number
    /// of unreported failures.
    pub(crate) fn take_report(&mut self, upstream: UpstreamId, now: Time) -> Option<FailureReport> {
        let failed = std::mem::take(&mut self.unreported);
        let short = std::mem::take(&mut self.unreported_short);
        let tried_in_ten = (self.rate(now) * RATE_TIME_CONSTANT.as_secs_f64()).round();
        (failed > 0).then_some(FailureReport {
            upstream,
            failed,
            short,
            tried_in_ten: tried_in_ten.min(f64::from(u16::MAX)) as u16,
        })
    }

    /// Adds a report from one of `instances` instances that each see a similar share of the traffic to the upstream, so
    /// the total rate is estimated as `instances` times the mean of the local and the reported rate. Returns
    /// whether the upstream fails more often than chance explains, given the failure ratio `baseline`.
    pub(crate) fn add_report(&mut self, report: &FailureReport, instances: u32, baseline: f64, now: Time) -> bool {
        let reported_rate = f64::from(report.tried_in_ten) / RATE_TIME_CONSTANT.as_secs_f64();
        let rate = f64::midpoint(self.rate(now), reported_rate) * f64::from(instances.max(1));
        self.evidence.update(report, rate, baseline, now);
        self.evidence.score >= DETECTION_THRESHOLD
    }

    /// The share of attempts that failed while the evidence grew.
    pub(crate) fn failing_share(&self) -> f64 {
        self.evidence.failures / self.evidence.attempts.max(1.0)
    }

    /// The failures that the evidence comes from.
    pub(crate) fn failure_counts(&self) -> FailureCounts {
        FailureCounts {
            failed: self.evidence.failures.round() as u32,
            short: self.evidence.short.round() as u32,
        }
    }

    /// Discards the evidence, when the upstream is ejected.
    pub(crate) fn clear_evidence(&mut self) {
        self.evidence = Evidence::default();
    }
}

/// Failures at one upstream since the evidence against it began to grow, over all instances.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct FailureCounts {
    /// Attempts that failed.
    pub failed: u32,
    /// Those that failed by a short answer. Of these, only some count.
    pub short: u32,
}

/// Evidence that an upstream is failing: a cumulative sum (CUSUM) of log-likelihood ratios that never falls below
/// zero. Each failure increases it, and the successes estimated from the rate of attempts decrease it.
#[derive(Debug, Default, Clone, Copy)]
struct Evidence {
    score: f64,
    /// The attempts since the score was last zero.
    attempts: f64,
    /// How many of these failed.
    failures: f64,
    /// How many of those failed by a short answer.
    short: f64,
    /// When the score was last updated.
    updated_at: Time,
    /// The start of the current window.
    window_start: Time,
    /// The short answers counted in it.
    short_in_window: f64,
}

impl Evidence {
    /// Adds reported failures, and the successes estimated from `rate` (attempts per second) since the last update.
    fn update(&mut self, report: &FailureReport, rate: f64, baseline: f64, now: Time) {
        let failing_ratio = (baseline * FAILING_RATIO_FACTOR).max(MIN_FAILING_RATIO);
        let failure_weight = (failing_ratio / baseline).ln();
        // Negative, so that successes decrease the score.
        let success_weight = ((1.0 - failing_ratio) / (1.0 - baseline)).ln();
        let estimated_attempts = rate * now.since(self.updated_at).as_secs_f64();
        let estimated_successes = (estimated_attempts - f64::from(report.failed)).max(0.0);
        if self.score + estimated_successes * success_weight <= 0.0 {
            (self.attempts, self.failures, self.short) = (0.0, 0.0, 0.0);
        }
        self.attempts += estimated_successes + f64::from(report.failed);
        self.failures += f64::from(report.failed);
        self.short += f64::from(report.short);
        let long = report.failed.saturating_sub(report.short);
        let counted = f64::from(long) + self.count_short(report.short, rate, now);
        self.score = (self.score + estimated_successes * success_weight).max(0.0) + counted * failure_weight;
        self.score = self.score.min(MAX_SCORE);
        self.updated_at = now;
    }

    /// Counts reported short answers up to the limit of the current window, and returns how many were counted. `rate`
    /// is in attempts per second.
    fn count_short(&mut self, short: u16, rate: f64, now: Time) -> f64 {
        if now.since(self.window_start) >= SHORT_WINDOW {
            self.window_start = now;
            self.short_in_window = 0.0;
        }
        let usual_attempts = rate * SHORT_WINDOW.as_secs_f64();
        let limit = (usual_attempts * MAX_SHORT_SHARE).max(MIN_SHORT_LIMIT);
        let counted = f64::from(short).min(limit - self.short_in_window).max(0.0);
        self.short_in_window += counted;
        counted
    }
}
