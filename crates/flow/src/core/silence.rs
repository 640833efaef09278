//! Upstreams that do not answer: when one is taken for dead, when a single flow is given up, and what instances tell one
//! another about it.
//!
//! A reset of an open flow whose upstream lives breaks the flow. So an instance acts on its own flows only while most other
//! upstreams answer here; what several instances see together is decided by asking the others.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use units::Time;
use units::ZoneName;

use super::Core;
use crate::decision::Decision;
use crate::flows::FlowKey;
use crate::flows::Stage;
use crate::grounds::Grounds;
use crate::health::Health;
use crate::loss;
use crate::loss::Percent;
use crate::packet::Reset;
use crate::packet::ResetCause;
use crate::report::Report;
use crate::report::ReporterId;
use crate::upstream::UpstreamId;

/// At which copy of the same data a flow may count as stalled. Copies come 200, 600 and 1,400 milliseconds after the first,
/// and loss alone makes one common.
const STALLED_COPIES: u32 = 2;
/// How many answers must have been missed here, at the rate at which the upstream's tries usually end, until its silence towards
/// one flow tells something. Where many instances share its flows, each sees an answer in several seconds, and a flow whose
/// packets were lost three times in a row would look like one whose upstream is silent: with three in a hundred lost, that
/// reset six flows in a hundred thousand requests.
const MISSED_ANSWERS: f64 = 3.0;
/// How many upstreams must have answered something sent at the same time for each one that is silent, or else this instance doubts
/// what it sees: its own link, or its clients', may lose packets. While a third of them is lost, two openings of three go
/// unanswered.
const ANSWERING_PER_SILENT: usize = 3;
/// How many upstreams of another zone must be silent until its zone is taken for cut off. One may just have died.
const SILENT_IN_ZONE: u32 = 2;
/// How many reports are sent at a time.
const REPORTS: usize = 16;
/// How much later than the flows of whoever reports began to wait an answer must have been seen here, to count as better
/// knowledge. Reports take a few milliseconds.
const REPORT_SLACK: Duration = Duration::from_millis(20);

/// How a zone's upstreams look from here.
#[derive(Debug, Default, Clone, Copy)]
struct Outlook {
    /// How many of them have got flows from here.
    seen: u32,
    /// How many of these have flows that wait in vain.
    silent: u32,
    /// How many flows wait.
    stalled: u32,
    /// Since when the first of them waits, and the last.
    since: Time,
    last_since: Time,
    /// When one of them last answered.
    last_progress: Time,
}

impl Outlook {
    fn add(&mut self, health: &Health) {
        self.seen += 1;
        self.last_progress = self.last_progress.max(health.last_progress);
        if health.stalled() == 0 {
            return;
        }
        let is_first = self.silent == 0 || health.stalled_since() < self.since;
        if is_first {
            self.since = health.stalled_since();
        }
        self.silent += 1;
        self.last_since = self.last_since.max(*health.stalled_span().end());
        self.stalled += health.stalled();
    }
}

impl Core {
    /// Takes an upstream for dead if the signs say so.
    pub(super) fn judge(&mut self, id: UpstreamId, now: Time) {
        let Some(health) = self.health.get(&id) else {
            return;
        };
        let others_answer = self.others_answer(&health.stalled_span());
        let loss = self.loss.percent(now);
        let health = self.health.entry(id).or_default();
        let was_dead = health.is_given_up();
        if others_answer && health.dies(loss, now) {
            let grounds = health.grounds(loss, now);
            self.give_up(id, was_dead, grounds);
        }
        self.question(id, now);
        self.judge_zone(id, loss, now);
    }

    /// Gives up those upstreams of another availability zone that flows wait for, and spares the others new flows, if none
    /// there answers while those at home do: the way there is cut.
    ///
    /// One zone's upstreams get too few flows from another for each to be found silent by itself. Their flows together
    /// show it within half a second, where one by one it took the length of a cut. An upstream that no flow waits for may
    /// live: several of its zone may have died at once. So its flows are left alone.
    fn judge_zone(&mut self, id: UpstreamId, loss: Percent, now: Time) {
        let Some(zone) = self.directory.get(id).map(|listed| listed.upstream().zone.clone()) else {
            return;
        };
        if zone == self.options.zone {
            return;
        }
        let there = self.outlook(&zone);
        let is_silent = there.stalled >= loss::significant_flow_count(loss) && there.silent >= SILENT_IN_ZONE;
        if !is_silent || there.last_progress >= there.since {
            return;
        }
        let home = self.options.zone.clone();
        let at_home = self.outlook(&home);
        let answered = self.answered.within(&(there.since..=there.last_since));
        let is_home_in_order = answered.iter().any(|id| self.zone_of(*id) == Some(&home));
        if !is_home_in_order || at_home.silent * 2 > at_home.seen {
            return;
        }
        for id in self.directory.in_zone(&zone).to_vec() {
            let health = self.health.entry(id).or_default();
            health.avoid(now);
            if health.stalled() > 0 && !health.is_dead(now) {
                let was_dead = health.is_given_up();
                health.find_dead(now);
                let grounds = health.grounds(loss, now);
                self.give_up(id, was_dead, grounds);
            }
        }
    }

    /// Ends the belief that a zone is cut off, as one of its upstreams answers.
    pub(super) fn revive_zone(&mut self, id: UpstreamId) {
        let Some(zone) = self.directory.get(id).map(|listed| listed.upstream().zone.clone()) else {
            return;
        };
        if zone == self.options.zone {
            return;
        }
        for id in self.directory.in_zone(&zone) {
            if let Some(health) = self.health.get_mut(id) {
                health.revive();
            }
        }
    }

    /// How a zone's upstreams look from here.
    fn outlook(&self, zone: &ZoneName) -> Outlook {
        let mut outlook = Outlook::default();
        for id in self.directory.in_zone(zone) {
            let Some(health) = self.health.get(id) else {
                continue;
            };
            outlook.add(health);
        }
        outlook
    }

    /// Whether most upstreams that this instance hears of have answered what was sent within a span. If many are silent at once, it
    /// may be this instance's own link, or its clients', that loses packets.
    fn others_answer(&self, span: &RangeInclusive<Time>) -> bool {
        let (answering, silent) = self.answering(&self.answered.within(span));
        answering >= silent * ANSWERING_PER_SILENT
    }

    /// Whether so few have answered what was sent since that what is seen here should not count elsewhere either. Where instances are many,
    /// each hears of a few upstreams in half a second, and others can tell whether the rest answers.
    pub(super) fn doubts(&self, since: Time) -> bool {
        let (answering, silent) = self.answering(&self.answered.since(since));
        answering < silent
    }

    /// How many of the upstreams that have answered have no flows that wait, and how many upstreams have some.
    fn answering(&self, answered: &BTreeSet<UpstreamId>) -> (usize, usize) {
        let is_silent = |id: &UpstreamId| self.health.get(id).is_some_and(|health| health.stalled() > 0);
        let answering = answered.iter().filter(|id| !is_silent(id)).count();
        let silent = self.health.values().filter(|health| health.stalled() > 0).count();
        (answering, silent)
    }

    /// What other instances should know of upstreams that flows wait for in vain.
    pub fn take_reports(&mut self, now: Time) -> Vec<Report> {
        let stalled = self.health.iter().filter(|(_, health)| health.stalled() > 0);
        let mut stalled: Vec<UpstreamId> = stalled.map(|(id, _)| *id).collect();
        stalled.sort_unstable();
        let mut reports = Vec::new();
        for id in stalled {
            let is_due = self.health.get_mut(&id).is_some_and(|health| health.take_due(now));
            if !is_due {
                continue;
            }
            reports.push(self.view(id, now));
            if reports.len() == REPORTS {
                break;
            }
        }
        reports
    }

    /// Takes in another instance's reports, and answers those that this instance knows better.
    pub fn hear(&mut self, from: ReporterId, reports: &[Report], now: Time) -> Vec<Report> {
        let mut answers = Vec::new();
        for report in reports {
            let id = report.upstream;
            if !self.directory.contains(id) {
                continue;
            }
            let health = self.health.entry(id).or_default();
            let waiting_since = now.before(report.waiting_for);
            if report.stalled > 0 && health.last_progress > waiting_since + REPORT_SLACK {
                answers.push(self.view(id, now));
                continue;
            }
            self.note_answer(id, now.before(report.silent_for), now);
            if report.stalled > 0 {
                self.health.entry(id).or_default().hear(from, report, now);
                self.judge(id, now);
            }
        }
        answers
    }

    /// Another instance has seen an upstream answer.
    pub(super) fn note_answer(&mut self, id: UpstreamId, answered_at: Time, now: Time) {
        let progress = self.health.entry(id).or_default().note_progress(answered_at);
        self.loss.note_losses(progress.losses, now);
        if progress.is_revived {
            self.note_revived(id, answered_at, now);
        }
    }

    /// Ends all flows of an upstream that is taken for dead, also those that are silent: a client whose flow is reset
    /// before its next request opens another one in time, and loses nothing.
    pub(super) fn give_up(&mut self, id: UpstreamId, was_dead: bool, grounds: Grounds) {
        let flows = self.flows.take_by_upstream(id);
        let Some(health) = self.health.get_mut(&id) else {
            return;
        };
        health.flows = 0;
        if !was_dead || !flows.is_empty() {
            self.decisions.push(Decision::Died {
                upstream: id,
                grounds,
                flows: flows.len(),
            });
        }
        for (key, flow) in flows {
            if flow.stage == Stage::Opening {
                continue;
            }
            *self.stats.resets.entry(ResetCause::Dead).or_default() += 1;
            self.resets.push(Reset {
                client: key.client,
                route: key.route,
                seq: flow.client_ack,
                cause: ResetCause::Dead,
            });
        }
    }

    /// Whether a flow waits for an upstream that answers nobody: its data was sent again so often, and so many other flows
    /// wait, that loss does not explain it.
    pub(super) fn is_stalled(&mut self, key: &FlowKey, now: Time) -> bool {
        let Some(flow) = self.flows.get_mut(key) else {
            return false;
        };
        let Some(pending) = flow.pending else {
            return false;
        };
        let Some(health) = self.health.get(&flow.upstream) else {
            return false;
        };
        let copies = u32::from(pending.retransmissions);
        let signs = copies + health.other_flows();
        let loss = self.loss.percent(now);
        let is_beyond_chance = copies >= STALLED_COPIES && signs >= loss::significant_flow_count(loss);
        let missed = health.expected_answers(now.since(pending.since), now);
        let is_silent = health.last_progress <= pending.since && missed >= MISSED_ANSWERS;
        is_beyond_chance && is_silent && self.others_answer(&(pending.since..=pending.previously_sent_at))
    }

    /// Whether data for an upstream is answered with a reset, as the upstream was taken for dead a moment ago: the flow
    /// comes from another instance, or the first reset was lost.
    pub(super) fn is_dead(&self, id: UpstreamId, now: Time) -> bool {
        self.health.get(&id).is_some_and(|health| health.is_dead(now))
    }
}
