//! Health of one upstream, judged by how calls end and only little by what it says.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;
use wire::Outcome;

use crate::Report;

/// Failures in a row after which an upstream is ejected, if others do better.
const MAX_CONSECUTIVE: u32 = 5;
/// How much larger its smoothed share of failed calls must be than is usual for the service.
const WORSE: f64 = 0.3;
/// The smoothed share of failed calls above which an upstream is ejected without failures in a row.
const MAX_FAILURES: f64 = 0.6;
/// How much one call counts in the smoothed share of failed calls.
const GAIN: f64 = 0.1;
/// How long the first ejection lasts.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// How long an ejection lasts at most.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// After this long without an ejection, the next one is short again.
const FORGIVEN: Duration = Duration::from_secs(90);
/// Successes in a row that take a probed upstream back.
const PROBES: u32 = 3;
/// How long a success outweighs a bad report.
const TRUST: Duration = Duration::from_secs(3);
/// How many polls in a row must fail or be bad before they count.
const MAX_BAD_REPORTS: u32 = 3;

/// What calls have shown of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It serves.
    Fit,
    /// It gets nothing until then.
    Ejected(Time),
    /// It is tried with one request at a time; so many have succeeded.
    Probing(u32),
}

/// Health of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Health {
    pub(crate) verdict: Verdict,
    /// The smoothed share of calls that failed.
    pub(crate) failures: f64,
    consecutive: u32,
    ejections: u32,
    bad_reports: u32,
    last_success: Option<Time>,
    last_ejection: Time,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            verdict: Verdict::Fit,
            failures: 0.0,
            consecutive: 0,
            ejections: 0,
            bad_reports: 0,
            last_success: None,
            last_ejection: Time::default(),
        }
    }

    /// A call ended. Outcomes that say nothing about health change nothing.
    ///
    /// `usual` is the share of failed calls of the service's median upstream.
    pub(crate) fn settle(&mut self, outcome: Outcome, usual: f64, now: Time, rng: &mut SmallRng) {
        match outcome {
            Outcome::Completed => self.succeed(now),
            Outcome::Failed | Outcome::Unreachable | Outcome::TimedOut => self.fail(usual, now, rng),
            Outcome::Shed | Outcome::Draining | Outcome::Unused => {}
        }
    }

    fn succeed(&mut self, now: Time) {
        self.last_success = Some(now);
        self.consecutive = 0;
        self.bad_reports = 0;
        self.failures -= self.failures * GAIN;
        let Verdict::Probing(passed) = self.verdict else {
            return;
        };
        if passed + 1 < PROBES {
            self.verdict = Verdict::Probing(passed + 1);
            return;
        }
        self.verdict = Verdict::Fit;
        self.failures = 0.0;
    }

    fn fail(&mut self, usual: f64, now: Time, rng: &mut SmallRng) {
        self.consecutive += 1;
        self.failures += (1.0 - self.failures) * GAIN;
        let eject = match self.verdict {
            Verdict::Fit => self.stands_out(usual),
            Verdict::Probing(_) => true,
            Verdict::Ejected(_) => false,
        };
        if eject {
            self.eject(now, rng);
        }
    }

    /// Whether it fails so much more than others that it is to blame, and not what they share.
    fn stands_out(&self, usual: f64) -> bool {
        let bad = self.consecutive >= MAX_CONSECUTIVE || self.failures > MAX_FAILURES;
        bad && self.failures > usual + WORSE
    }

    fn eject(&mut self, now: Time, rng: &mut SmallRng) {
        if now.since(self.last_ejection) > FORGIVEN {
            self.ejections = 0;
        }
        self.last_ejection = now;
        let span = MIN_EJECTION
            .saturating_mul(1 << self.ejections.min(5))
            .min(MAX_EJECTION);
        // The spread keeps upstreams that failed together from being probed together.
        let spread = rng.random_range(0.8..1.2);
        self.ejections += 1;
        self.verdict = Verdict::Ejected(now + span.mul_f64(spread));
    }

    /// A report came, or a poll failed. Only several bad ones in a row count, and only without any late success.
    pub(crate) fn report(&mut self, report: Option<Report>, now: Time, rng: &mut SmallRng) {
        if report.is_some_and(|report| report.healthy) {
            self.bad_reports = 0;
            return;
        }
        let trusted = self.last_success.is_some_and(|at| now.since(at) < TRUST);
        if trusted {
            self.bad_reports = 0;
            return;
        }
        self.bad_reports += 1;
        if self.bad_reports >= MAX_BAD_REPORTS && self.verdict == Verdict::Fit {
            self.eject(now, rng);
        }
    }

    /// Lets an ejection end.
    pub(crate) fn tick(&mut self, now: Time) {
        let Verdict::Ejected(until) = self.verdict else {
            return;
        };
        if until <= now {
            self.verdict = Verdict::Probing(0);
            self.consecutive = 0;
        }
    }
}
