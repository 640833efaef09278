//! Whether an upstream that fails while it answers gets new flows: out for a while, then single flows on trial, then back.
//!
//! One instance leads: it has found the upstream failing, tries it again and tells the others how that ended. These follow, and
//! try for themselves only if they hear nothing more.

use std::time::Duration;

use units::Time;

use crate::outcome::Outcome;
use crate::status_update::Status;
use crate::status_update::StatusUpdate;
use crate::upstream::UpstreamId;

/// How long an upstream is out at first. What fails for a moment is back soon.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// How long it is out at most until it is tried again. A trial costs one flow or two.
const LAST_PAUSE: Duration = Duration::from_secs(4);
/// How long those that follow leave it out without further notice: twice as long as the leader's longest pause, and a little for
/// the trial.
const FOLLOWED: Duration = Duration::from_secs(10);
/// How long it must have been back until its next pause is short again.
const FORGIVEN: Duration = Duration::from_secs(20);
/// How far apart flows on trial are.
const TRIAL_SPACE: Duration = Duration::from_millis(200);
/// How many tries must end well on trial until it is back: one that fails two of five gets as far once in thirteen times.
const TRIALS: u32 = 5;

/// Where an upstream stands here.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It gets flows like any other.
    #[default]
    In,
    /// It gets none until then, unless its service has no other.
    Out { until: Time },
    /// It gets single flows. So many tries have ended well.
    Trial { good: u32, next: Time },
}

/// What a try has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Turn {
    /// Nothing.
    None,
    /// A try on trial has failed, so it is out again.
    OutAgain,
    /// It is back.
    Back,
}

/// Whether an upstream gets new flows.
#[derive(Debug, Default, Clone)]
pub(crate) struct Ejection {
    phase: Phase,
    round: u32,
    pause: Duration,
    back_at: Time,
}

impl Ejection {
    /// Takes it out, as this instance has found it failing.
    pub(crate) fn eject(&mut self, now: Time) {
        if now.since(self.back_at) >= FORGIVEN {
            self.pause = Duration::ZERO;
        }
        self.pause_again(now);
    }

    fn pause_again(&mut self, now: Time) {
        self.round = self.round.saturating_add(1);
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LAST_PAUSE);
        let until = now + self.pause;
        self.phase = Phase::Out { until };
    }

    fn readmit(&mut self, now: Time) {
        self.phase = Phase::In;
        self.back_at = now;
    }

    /// Follows another instance. Tells whether that was news.
    pub(crate) fn follow(&mut self, round: u32, is_out: bool, now: Time) -> bool {
        if round <= self.round {
            return false;
        }
        self.round = round;
        if is_out {
            let until = now + FOLLOWED;
            self.phase = Phase::Out { until };
        } else {
            self.readmit(now);
        }
        true
    }

    /// What others should know.
    pub(crate) fn standing(&self, upstream: UpstreamId) -> StatusUpdate {
        let status = if self.is_ejected() {
            Status::Failing
        } else {
            Status::Serving
        };
        StatusUpdate {
            upstream,
            round: self.round,
            status,
        }
    }

    /// Whether it has to show first that it serves again.
    pub(crate) fn is_ejected(&self) -> bool {
        self.phase != Phase::In
    }

    /// Whether others go before it now.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        match self.phase {
            Phase::In => false,
            Phase::Out { until } => now < until,
            Phase::Trial { next, .. } => now < next,
        }
    }

    /// A new flow goes to it.
    pub(crate) fn note_placed(&mut self, now: Time) {
        let good = match self.phase {
            Phase::In => return,
            Phase::Out { until } if now < until => return,
            Phase::Out { .. } => 0,
            Phase::Trial { good, .. } => good,
        };
        let next = now + TRIAL_SPACE;
        self.phase = Phase::Trial { good, next };
    }

    /// A try has ended. While it is out, its open flows go on: as long as they fail, it stays out.
    pub(crate) fn settle(&mut self, outcome: Outcome, now: Time) -> Turn {
        let is_good = outcome == Outcome::Good;
        let (good, next) = match self.phase {
            Phase::Trial { good, next } => (good, next),
            Phase::Out { until } => {
                let until = if is_good { until } else { until.max(now + FIRST_PAUSE) };
                self.phase = Phase::Out { until };
                return Turn::None;
            }
            Phase::In => return Turn::None,
        };
        if !is_good {
            self.pause_again(now);
            return Turn::OutAgain;
        }
        if good + 1 >= TRIALS {
            self.round = self.round.saturating_add(1);
            self.readmit(now);
            return Turn::Back;
        }
        self.phase = Phase::Trial { good: good + 1, next };
        Turn::None
    }
}
