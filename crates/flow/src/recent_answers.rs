//! The latest answers of a service's upstreams, to tell refusals for lack of capacity from failures of single upstreams
//! where no joint view of the load is available.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use units::Time;

use crate::upstream::UpstreamId;

/// How long an answer is kept. An instance sees about twenty answers of a service per second.
const RETENTION: Duration = Duration::from_secs(2);
/// Maximum number of answers kept per service, about 1.5 KB.
const MAX_ANSWERS: usize = 64;
/// Short answers are widespread if at least one in this many of the answering upstreams gave one. It is a higher share
/// than that of the upstreams which usually fail together.
const WIDESPREAD_ONE_IN: usize = 5;
/// Minimum number of upstreams with short answers, so that the failures of two upstreams of a small service aren't
/// taken for a lack of capacity.
const MIN_UPSTREAMS: usize = 3;

/// An answer that was received completely.
#[derive(Debug, Clone, Copy)]
struct Answer {
    at: Time,
    upstream: UpstreamId,
    is_short: bool,
}

/// The latest answers of a service's upstreams, in the order in which they were completed.
#[derive(Debug, Default, Clone)]
pub struct RecentAnswers {
    answers: VecDeque<Answer>,
}

impl RecentAnswers {
    /// Records an answer.
    pub fn add(&mut self, upstream: UpstreamId, is_short: bool, now: Time) {
        let is_old = |answer: &Answer| now.since(answer.at) > RETENTION;
        while self.answers.len() >= MAX_ANSWERS || self.answers.front().is_some_and(is_old) {
            self.answers.pop_front();
        }
        self.answers.push_back(Answer {
            at: now,
            upstream,
            is_short,
        });
    }

    /// Whether many upstreams other than `except` have answered short recently. That points to a lack of capacity, or
    /// to another cause that is common to the service's upstreams.
    pub fn are_widely_short(&self, except: UpstreamId, now: Time) -> bool {
        let recent = self.answers.iter().filter(|answer| now.since(answer.at) <= RETENTION);
        let others = recent.filter(|answer| answer.upstream != except);
        let mut answering = BTreeSet::new();
        let mut short = BTreeSet::new();
        for answer in others {
            answering.insert(answer.upstream);
            if answer.is_short {
                short.insert(answer.upstream);
            }
        }
        short.len() >= MIN_UPSTREAMS && short.len() * WIDESPREAD_ONE_IN >= answering.len()
    }
}
