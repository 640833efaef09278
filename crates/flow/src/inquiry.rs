//! Joint detection of silent upstreams, from the observations of all instances that get most of an upstream's flows.
//!
//! Where many instances share an upstream's flows, none sees enough of them to decide alone: with forty instances in a
//! zone and five requests a second at an upstream, each sees one request in eight seconds. So stalled flows are
//! reported to an instance that aggregates them. Once enough are reported, it queries the other instances of the zone,
//! and their replies decide: any instance that has seen the upstream answer since refutes the suspicion.
//!
//! Only the replies count, not the earlier reports: an instance that replies is reachable in both directions.

use std::time::Duration;

use units::Time;

use crate::loss;
use crate::loss::Sample;
use crate::report::Report;
use crate::report::ReporterId;

/// How long to wait for replies. They take some milliseconds, and up to a tenth of a second from an instance that has
/// used up its CPU quota.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum number of instances with stalled flows: the observations of a single one may be due to its own link.
const MIN_INSTANCES: u32 = 2;

/// Observations of one instance.
#[derive(Debug, Clone, Copy)]
struct Observation {
    /// When it last saw the upstream answer.
    answered_at: Time,
    /// When the first of its stalled flows began to wait, and their number of retransmissions.
    waiting_since: Time,
    signs: u32,
    loss: Sample,
    /// Whether it doubts its own link.
    is_in_doubt: bool,
}

impl Observation {
    fn new(report: &Report, now: Time) -> Self {
        Self {
            answered_at: now.before(report.silent_for),
            waiting_since: now.before(report.waiting_for),
            signs: report.signs,
            loss: report.loss,
            is_in_doubt: report.is_in_doubt,
        }
    }
}

/// Query to other instances about an upstream, with the replies so far.
#[derive(Debug)]
pub(crate) struct Inquiry {
    asked: usize,
    deadline: Time,
    repliers: Vec<ReporterId>,
    replies: Vec<Observation>,
}

/// Result of an inquiry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// The evidence doesn't suffice.
    Unclear,
    /// No instance has seen the upstream answer.
    Silent(Silence),
}

/// Evidence that an upstream answers nobody.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Silence {
    /// When the first of the stalled flows began to wait.
    pub(crate) since: Time,
    /// Number of retransmissions of these flows.
    pub(crate) signs: u32,
    /// Number of instances with stalled flows.
    pub(crate) instances: u32,
}

impl Inquiry {
    /// Creates an inquiry that `asked` other instances are queried for.
    pub(crate) fn new(asked: usize, now: Time) -> Self {
        Self {
            asked,
            deadline: now + REPLY_TIMEOUT,
            repliers: Vec::new(),
            replies: Vec::new(),
        }
    }

    /// Records the reply of an instance.
    pub(crate) fn add_reply(&mut self, from: ReporterId, report: &Report, now: Time) {
        if self.repliers.contains(&from) {
            return;
        }
        self.repliers.push(from);
        self.replies.push(Observation::new(report, now));
    }

    /// Whether all replies have arrived or the time for them is over.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.replies.len() >= self.asked || now >= self.deadline
    }

    /// When any of the instances that have replied last saw the upstream answer.
    pub(crate) fn answered_at(&self) -> Time {
        self.replies
            .iter()
            .map(|reply| reply.answered_at)
            .max()
            .unwrap_or_default()
    }

    /// Evaluates the replies together with `own`, the observations of the instance that asks.
    ///
    /// More than half of the queried instances must have replied: otherwise the network between instances is in a state
    /// in which packets to upstreams may be lost too.
    pub(crate) fn finding(&self, own: &Report, now: Time) -> Finding {
        if self.replies.len() * 2 <= self.asked {
            return Finding::Unclear;
        }
        let own = Observation::new(own, now);
        let answered_at = self.answered_at().max(own.answered_at);
        let mut silence = Silence {
            since: now,
            signs: 0,
            instances: 0,
        };
        let mut total = Sample::default();
        let mut most_lost: f64 = 0.0;
        for reply in self.replies.iter().chain([&own]) {
            total.add(reply.loss);
            if reply.signs == 0 || reply.is_in_doubt || reply.waiting_since <= answered_at {
                continue;
            }
            silence.since = silence.since.min(reply.waiting_since);
            silence.signs = silence.signs.saturating_add(reply.signs);
            silence.instances += 1;
            most_lost = most_lost.max(reply.loss.share());
        }
        // An instance that reports may see more loss than the rest of the zone.
        let lost = most_lost.max(total.share());
        let is_beyond_chance = silence.signs >= loss::significant_loss_count(lost);
        if silence.instances < MIN_INSTANCES || !is_beyond_chance {
            return Finding::Unclear;
        }
        Finding::Silent(silence)
    }
}
