//! A request on its way.

use std::time::Duration;

use units::Time;
use wire::Outcome;
use wire::Reason;
use wire::Verdict;

use crate::traffic::Arrival;

/// Attempts that may run, for an idempotent request.
const MAX_RUNS: u16 = 3;
/// Attempts in all.
const MAX_ATTEMPTS: u16 = 12;

/// Names one attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Ticket {
    pub(crate) job: u32,
    pub(crate) attempt: u16,
}

/// What has become of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It waits or runs.
    Open,
    /// Its answer came in time.
    Completed,
    /// Its deadline passed while it ran, or before it was started.
    Missed,
    /// It was refused, surely without having run.
    Refused(Reason),
    /// It ran and failed, and was not retried.
    Failed,
}

/// A request on its way.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) arrival: Arrival,
    /// When it last arrived at an instance.
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// The availability zone of the instance it arrived at, by number.
    pub(crate) zone: usize,
    /// The home that was asked.
    pub(crate) home: usize,
    pub(crate) attempt: u16,
    /// Upstreams that have failed it.
    pub(crate) avoid: Vec<usize>,
    pub(crate) pinned: Option<usize>,
    pub(crate) granted: Option<(usize, Time)>,
    pub(crate) started: Option<Time>,
    /// Whether it was last started in the availability zone that it arrived in.
    pub(crate) local: bool,
    /// Attempts that may have run.
    pub(crate) runs: u16,
    /// How often its caller came back after a refusal.
    pub(crate) returns: u16,
    pub(crate) progress: Progress,
    /// When its last attempt ended.
    pub(crate) ended: Option<Time>,
}

impl Job {
    /// A request that arrives now.
    pub(crate) fn new(arrival: Arrival, timeout: Duration, zone: usize) -> Self {
        Self {
            arrival,
            arrived: arrival.at,
            deadline: arrival.at + timeout,
            zone,
            home: 0,
            attempt: 0,
            avoid: Vec::new(),
            pinned: None,
            granted: None,
            started: None,
            local: false,
            runs: 0,
            returns: 0,
            progress: Progress::Open,
            ended: None,
        }
    }

    /// An attempt has ended. Tells whether there is to be another.
    pub(crate) fn end(&mut self, upstream: usize, outcome: Outcome, idempotent: bool, now: Time) -> bool {
        self.granted = None;
        self.ended = Some(now);
        let in_time = now <= self.deadline;
        if outcome == Outcome::Completed && in_time {
            self.progress = Progress::Completed;
            return false;
        }
        if !in_time || matches!(outcome, Outcome::TimedOut | Outcome::Completed) {
            self.progress = Progress::Missed;
            return false;
        }
        let not_run = outcome.verdict() == Verdict::NotRun;
        let may_run_again = not_run || idempotent && self.runs < MAX_RUNS;
        if !may_run_again || self.attempt >= MAX_ATTEMPTS {
            self.progress = if self.runs == 0 {
                Progress::Refused(Reason::Upstream)
            } else {
                Progress::Failed
            };
            return false;
        }
        self.attempt += 1;
        if !self.avoid.contains(&upstream) {
            self.avoid.push(upstream);
        }
        true
    }
}
