//! Outlier detection for one upstream, based mainly on the outcomes of calls and only secondarily on its own reports.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;
use wire::Outcome;

use crate::Report;

/// Consecutive failures after which an upstream is ejected, if it fails more than the others do.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// How far the failure rate of an upstream must exceed the median of the service before it is ejected.
const MIN_EXCESS_FAILURE_RATE: f64 = 0.3;
/// The failure rate above which an upstream is ejected even without consecutive failures.
const MAX_FAILURE_RATE: f64 = 0.6;
/// The weight of one call in the exponentially smoothed failure rate.
const FAILURE_RATE_GAIN: f64 = 0.1;
/// The duration of the first ejection, which doubles with each further one.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// The maximum duration of an ejection, before jitter.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// The time without an ejection after which the next one is short again.
const EJECTION_BACKOFF_RESET: Duration = Duration::from_secs(90);
/// Consecutive successful probes after which an upstream is healthy again.
const SUCCESSFUL_PROBES: u32 = 3;
/// How long after a successful call bad reports are ignored.
const RECENT_SUCCESS: Duration = Duration::from_secs(3);
/// How many consecutive polls must fail or report bad health before the upstream is ejected.
const MAX_BAD_REPORTS: u32 = 3;

/// The health of an upstream as derived from calls and reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// It may get requests.
    Healthy,
    /// It gets no requests until this time.
    Ejected(Time),
    /// It gets one request at a time, of which this many have succeeded.
    Probing(u32),
}

/// Outlier detection state of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Health {
    pub(crate) state: HealthState,
    /// The exponentially smoothed share of calls that failed.
    pub(crate) failure_rate: f64,
    consecutive_failures: u32,
    ejections: u32,
    bad_reports: u32,
    last_success: Option<Time>,
    last_ejection: Time,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            state: HealthState::Healthy,
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejections: 0,
            bad_reports: 0,
            last_success: None,
            last_ejection: Time::default(),
        }
    }

    /// Records the outcome of a call. Outcomes that are not evidence about health have no effect.
    ///
    /// `median` is the median of the failure rates of the service's upstreams.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome, median: f64, now: Time, rng: &mut SmallRng) {
        match outcome {
            Outcome::Completed => self.record_success(now),
            Outcome::Failed | Outcome::Unreachable | Outcome::TimedOut => self.record_failure(median, now, rng),
            Outcome::Shed | Outcome::Draining | Outcome::Unused => {}
        }
    }

    fn record_success(&mut self, now: Time) {
        self.last_success = Some(now);
        self.consecutive_failures = 0;
        self.bad_reports = 0;
        self.failure_rate -= self.failure_rate * FAILURE_RATE_GAIN;
        let HealthState::Probing(successes) = self.state else {
            return;
        };
        if successes + 1 < SUCCESSFUL_PROBES {
            self.state = HealthState::Probing(successes + 1);
            return;
        }
        self.state = HealthState::Healthy;
        self.failure_rate = 0.0;
    }

    fn record_failure(&mut self, median: f64, now: Time, rng: &mut SmallRng) {
        self.consecutive_failures += 1;
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_GAIN;
        let eject = match self.state {
            HealthState::Healthy => self.is_outlier(median),
            HealthState::Probing(_) => true,
            HealthState::Ejected(_) => false,
        };
        if eject {
            self.eject(now, rng);
        }
    }

    /// Whether it fails so much more than the others that the cause is the upstream itself and not something they share.
    fn is_outlier(&self, median: f64) -> bool {
        let bad = self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || self.failure_rate > MAX_FAILURE_RATE;
        bad && self.failure_rate > median + MIN_EXCESS_FAILURE_RATE
    }

    fn eject(&mut self, now: Time, rng: &mut SmallRng) {
        if now.since(self.last_ejection) > EJECTION_BACKOFF_RESET {
            self.ejections = 0;
        }
        self.last_ejection = now;
        let duration = MIN_EJECTION
            .saturating_mul(1 << self.ejections.min(5))
            .min(MAX_EJECTION);
        // Jitter keeps upstreams that failed together from being probed together.
        let jitter = rng.random_range(0.8..1.2);
        self.ejections += 1;
        self.state = HealthState::Ejected(now + duration.mul_f64(jitter));
    }

    /// Records the result of a poll, which is `None` if the poll failed. Only several consecutive bad results count, and only
    /// if no call has succeeded recently.
    pub(crate) fn record_report(&mut self, report: Option<Report>, now: Time, rng: &mut SmallRng) {
        if report.is_some_and(|report| report.healthy) {
            self.bad_reports = 0;
            return;
        }
        let succeeded_recently = self.last_success.is_some_and(|at| now.since(at) < RECENT_SUCCESS);
        if succeeded_recently {
            self.bad_reports = 0;
            return;
        }
        self.bad_reports += 1;
        if self.bad_reports >= MAX_BAD_REPORTS && self.state == HealthState::Healthy {
            self.eject(now, rng);
        }
    }

    /// Starts probing once an ejection has expired.
    pub(crate) fn tick(&mut self, now: Time) {
        let HealthState::Ejected(until) = self.state else {
            return;
        };
        if until <= now {
            self.state = HealthState::Probing(0);
            self.consecutive_failures = 0;
        }
    }
}
