//! Health of one upstream, judged by how calls end and only little by what it says.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;
use wire::Outcome;

use crate::Report;

/// Failures in a row after which an upstream is ejected, if others do better.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// How much larger its smoothed share of failed calls must be than is usual for the service.
const MIN_EXCESS_FAILURE_RATE: f64 = 0.3;
/// The smoothed share of failed calls above which an upstream is ejected without failures in a row.
const MAX_FAILURE_RATE: f64 = 0.6;
/// How much one call counts in the smoothed share of failed calls.
const FAILURE_RATE_GAIN: f64 = 0.1;
/// How long the first ejection lasts.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// How long an ejection lasts at most.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// After this long without an ejection, the next one is short again.
const EJECTION_BACKOFF_RESET: Duration = Duration::from_secs(90);
/// Successes in a row that take a probed upstream back.
const SUCCESSFUL_PROBES: u32 = 3;
/// How long a success outweighs a bad report.
const RECENT_SUCCESS: Duration = Duration::from_secs(3);
/// How many polls in a row must fail or be bad before they count.
const MAX_BAD_REPORTS: u32 = 3;

/// What calls have shown of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// It serves.
    Healthy,
    /// It gets nothing until then.
    Ejected(Time),
    /// It is tried with one request at a time; so many have succeeded.
    Probing(u32),
}

/// Health of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Health {
    pub(crate) state: HealthState,
    /// The smoothed share of calls that failed.
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

    /// A call ended. Outcomes that say nothing about health change nothing.
    ///
    /// `median` is the share of failed calls of the service's median upstream.
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

    /// Whether it fails so much more than others that it is to blame, and not what they share.
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
        // The spread keeps upstreams that failed together from being probed together.
        let jitter = rng.random_range(0.8..1.2);
        self.ejections += 1;
        self.state = HealthState::Ejected(now + duration.mul_f64(jitter));
    }

    /// A report came, or a poll failed. Only several bad ones in a row count, and only without any late success.
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

    /// Lets an ejection end.
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
