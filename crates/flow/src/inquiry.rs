//! Whether an upstream is silent, by what all instances have seen that get most of its flows.
//!
//! Where many instances share an upstream's flows, none sees enough of them to tell: with forty to a zone and five requests
//! a second at an upstream, each sees one in eight seconds. So flows that wait in vain are reported to an instance that sums
//! up. As soon as enough are reported, it asks the others of the zone what they have seen, and their answers decide: any
//! that has seen the upstream answer since vouches for it.
//!
//! Only answers count, not the reports before: whoever answers can be reached both ways.

use std::time::Duration;

use units::Time;

use crate::loss;
use crate::loss::Sample;
use crate::report::Report;
use crate::report::ReporterId;

/// How long answers are waited for. They take some milliseconds, and up to a tenth of a second from an instance that has used
/// up its share of the processor.
const PATIENCE: Duration = Duration::from_millis(100);
/// At how many instances flows must wait: what a single one sees may be due to its own link.
const LEAST_INSTANCES: u32 = 2;

/// What one instance has seen.
#[derive(Debug, Clone, Copy)]
struct View {
    /// When it last saw the upstream answer.
    answered_at: Time,
    /// Since when flows wait there in vain, and how often they have sent something again.
    waiting_since: Time,
    signs: u32,
    loss: Sample,
    /// Whether it doubts what it sees.
    is_in_doubt: bool,
}

impl View {
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

/// A question to other instances, and their answers so far.
#[derive(Debug)]
pub(crate) struct Inquiry {
    asked: usize,
    until: Time,
    heard: Vec<ReporterId>,
    views: Vec<View>,
}

/// What an inquiry has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// Too little to tell.
    Unclear,
    /// It answers nobody.
    Silent(Silence),
}

/// Flows that wait for an upstream that answers nobody.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Silence {
    /// Since when the first of them waits.
    pub(crate) since: Time,
    /// How often they have sent something again.
    pub(crate) signs: u32,
    /// At how many instances.
    pub(crate) instances: u32,
}

impl Inquiry {
    /// So many other instances are asked now.
    pub(crate) fn new(asked: usize, now: Time) -> Self {
        Self {
            asked,
            until: now + PATIENCE,
            heard: Vec::new(),
            views: Vec::new(),
        }
    }

    /// An instance tells what it has seen.
    pub(crate) fn hear(&mut self, from: ReporterId, report: &Report, now: Time) {
        if self.heard.contains(&from) {
            return;
        }
        self.heard.push(from);
        self.views.push(View::new(report, now));
    }

    /// Whether nothing more is to be waited for.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.views.len() >= self.asked || now >= self.until
    }

    /// When anybody who has answered last saw the upstream answer.
    pub(crate) fn answered_at(&self) -> Time {
        self.views.iter().map(|view| view.answered_at).max().unwrap_or_default()
    }

    /// What the answers tell, `own` being what the instance that asks has seen itself. More than half of those asked must have
    /// answered: otherwise the ways between instances are in a state in which packets to upstreams may be lost as well.
    pub(crate) fn finding(&self, own: &Report, now: Time) -> Finding {
        if self.views.len() * 2 <= self.asked {
            return Finding::Unclear;
        }
        let own = View::new(own, now);
        let answered_at = self.answered_at().max(own.answered_at);
        let mut silence = Silence {
            since: now,
            signs: 0,
            instances: 0,
        };
        let mut together = Sample::default();
        let mut most_lost: f64 = 0.0;
        for view in self.views.iter().chain([&own]) {
            together.add(view.loss);
            if view.signs == 0 || view.is_in_doubt || view.waiting_since <= answered_at {
                continue;
            }
            silence.since = silence.since.min(view.waiting_since);
            silence.signs = silence.signs.saturating_add(view.signs);
            silence.instances += 1;
            most_lost = most_lost.max(view.loss.share());
        }
        // One that reports may see more loss than the rest of the zone.
        let lost = most_lost.max(together.share());
        let is_beyond_chance = silence.signs >= loss::significant_loss_count(lost);
        if silence.instances < LEAST_INSTANCES || !is_beyond_chance {
            return Finding::Unclear;
        }
        Finding::Silent(silence)
    }
}
