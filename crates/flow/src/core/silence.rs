//! Detection of silent upstreams: when one is marked dead, when a single flow is reset, and which reports instances
//! exchange.
//!
//! Resetting an open flow whose upstream is alive breaks the flow. So an instance acts on its own observations only
//! while most other upstreams answer here; otherwise it queries the other instances.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use units::Time;
use units::ZoneName;

use super::Core;
use crate::decision::Decision;
use crate::evidence::SilenceEvidence;
use crate::flows::FlowKey;
use crate::flows::Stage;
use crate::health::Health;
use crate::loss;
use crate::loss::Percent;
use crate::packet::Reset;
use crate::packet::ResetCause;
use crate::report::Report;
use crate::report::ReporterId;
use crate::upstream::UpstreamId;

/// Number of retransmissions after which a flow may count as stalled. They come 200, 600 and 1,400 milliseconds after
/// the first transmission, and loss alone makes a single one common.
const STALLED_RETRANSMISSIONS: u32 = 2;
/// How many answers must be missing here, at the upstream's usual rate of completed attempts, before its silence
/// towards one flow is significant. Where many instances share its flows, each sees one answer in several seconds, and
/// a flow that lost a packet three times in a row would look like one with a silent upstream: at a loss of 3 percent,
/// that reset six flows per hundred thousand requests.
const MISSED_ANSWERS: f64 = 3.0;
/// How many upstreams must have answered packets sent at the same time for each silent one. Below this, this instance
/// doubts its observations: its own link, or its clients', may lose packets. At a loss of one third, two of three
/// opening packets go unanswered.
const ANSWERING_PER_SILENT: usize = 3;
/// How many upstreams of another zone must be silent before the zone counts as cut off. A single one may just have
/// died.
const SILENT_IN_ZONE: u32 = 2;
/// Maximum number of reports sent at once.
const MAX_REPORTS: usize = 16;
/// How much later than the start of the reporter's stall an answer must have been seen here to refute the report.
/// Reports take a few milliseconds.
const REPORT_SLACK: Duration = Duration::from_millis(20);

/// Health of a zone's upstreams as seen from here.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneHealth {
    /// Upstreams that have got flows from this instance.
    seen: u32,
    /// Those of them with stalled flows.
    silent: u32,
    /// Stalled flows.
    stalled: u32,
    /// When the first and the last of the stalled flows began to wait.
    since: Time,
    last_since: Time,
    /// Last answer of any of these upstreams.
    last_progress: Time,
}

impl ZoneHealth {
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
    /// Marks an upstream as dead if the evidence suffices.
    pub(super) fn evaluate(&mut self, id: UpstreamId, now: Time) {
        let Some(health) = self.health.get(&id) else {
            return;
        };
        let others_answer = self.others_answer(&health.stalled_span());
        let loss = self.loss.percent(now);
        let health = self.health.entry(id).or_default();
        let was_dead = health.is_marked_dead();
        if others_answer && health.mark_dead_if_stalled(loss, now) {
            let evidence = health.evidence(loss, now);
            self.reset_flows_of(id, was_dead, evidence);
        }
        self.schedule_inquiry(id, now);
        self.evaluate_zone(id, loss, now);
    }

    /// Handles a loss of connectivity to another availability zone: if none of its upstreams answers while those in the
    /// local zone do, marks those with stalled flows as dead, and lets new flows avoid the rest.
    ///
    /// Upstreams of another zone get too few flows from here for each to be found silent by itself. Taken together,
    /// their flows show the loss within half a second; one by one, detection took as long as the outage. An upstream
    /// without stalled flows may be alive, since several others of its zone may have died at once, so its flows are
    /// left alone.
    fn evaluate_zone(&mut self, id: UpstreamId, loss: Percent, now: Time) {
        let Some(zone) = self.directory.get(id).map(|listed| listed.upstream().zone.clone()) else {
            return;
        };
        if zone == self.options.zone {
            return;
        }
        let remote = self.zone_health(&zone);
        let is_silent = remote.stalled >= loss::significant_flow_count(loss) && remote.silent >= SILENT_IN_ZONE;
        if !is_silent || remote.last_progress >= remote.since {
            return;
        }
        let home = self.options.zone.clone();
        let local = self.zone_health(&home);
        let answered = self.answer_log.within(&(remote.since..=remote.last_since));
        let is_local_healthy = answered.iter().any(|id| self.zone_of(*id) == Some(&home));
        if !is_local_healthy || local.silent * 2 > local.seen {
            return;
        }
        for id in self.directory.in_zone(&zone).to_vec() {
            let health = self.health.entry(id).or_default();
            health.avoid(now);
            if health.stalled() > 0 && !health.is_dead(now) {
                let was_dead = health.is_marked_dead();
                health.mark_dead(now);
                let evidence = health.evidence(loss, now);
                self.reset_flows_of(id, was_dead, evidence);
            }
        }
    }

    /// Clears the state of a cut-off zone when one of its upstreams answers.
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

    /// Summarizes the health of a zone's upstreams.
    fn zone_health(&self, zone: &ZoneName) -> ZoneHealth {
        let mut zone_health = ZoneHealth::default();
        for id in self.directory.in_zone(zone) {
            let Some(health) = self.health.get(id) else {
                continue;
            };
            zone_health.add(health);
        }
        zone_health
    }

    /// Whether most upstreams with traffic from here have answered packets sent within `span`. If many are silent at
    /// once, this instance's own link, or its clients', may lose packets.
    fn others_answer(&self, span: &RangeInclusive<Time>) -> bool {
        let (answering, silent) = self.count_answering(&self.answer_log.within(span));
        answering >= silent * ANSWERING_PER_SILENT
    }

    /// Whether so few upstreams have answered packets sent since `since` that this instance's observations shouldn't
    /// count elsewhere either. The threshold is lower than for its own decisions: where there are many instances, each
    /// gets answers from only a few upstreams in half a second, and others can tell whether the rest answers.
    pub(super) fn doubts_own_link(&self, since: Time) -> bool {
        let (answering, silent) = self.count_answering(&self.answer_log.since(since));
        answering < silent
    }

    /// Counts the upstreams in `answered` without stalled flows, and all upstreams with stalled flows.
    fn count_answering(&self, answered: &BTreeSet<UpstreamId>) -> (usize, usize) {
        let is_silent = |id: &UpstreamId| self.health.get(id).is_some_and(|health| health.stalled() > 0);
        let answering = answered.iter().filter(|id| !is_silent(id)).count();
        let silent = self.health.values().filter(|health| health.stalled() > 0).count();
        (answering, silent)
    }

    /// Takes the due reports about upstreams with stalled flows.
    pub fn take_reports(&mut self, now: Time) -> Vec<Report> {
        let stalled = self.health.iter().filter(|(_, health)| health.stalled() > 0);
        let mut stalled: Vec<UpstreamId> = stalled.map(|(id, _)| *id).collect();
        stalled.sort_unstable();
        let mut reports = Vec::new();
        for id in stalled {
            let is_due = self
                .health
                .get_mut(&id)
                .is_some_and(|health| health.take_report_due(now));
            if !is_due {
                continue;
            }
            reports.push(self.own_report(id, now));
            if reports.len() == MAX_REPORTS {
                break;
            }
        }
        reports
    }

    /// Handles another instance's reports, and returns replies about upstreams that have answered here more recently.
    pub fn receive_reports(&mut self, from: ReporterId, reports: &[Report], now: Time) -> Vec<Report> {
        let mut answers = Vec::new();
        for report in reports {
            let id = report.upstream;
            if !self.directory.contains(id) {
                continue;
            }
            let health = self.health.entry(id).or_default();
            let waiting_since = now.before(report.waiting_for);
            if report.stalled > 0 && health.last_progress > waiting_since + REPORT_SLACK {
                answers.push(self.own_report(id, now));
                continue;
            }
            self.record_remote_answer(id, now.before(report.silent_for), now);
            if report.stalled > 0 {
                self.health.entry(id).or_default().add_report(from, report, now);
                self.evaluate(id, now);
            }
        }
        answers
    }

    /// Records that another instance has seen an upstream answer.
    pub(super) fn record_remote_answer(&mut self, id: UpstreamId, answered_at: Time, now: Time) {
        let progress = self.health.entry(id).or_default().record_progress(answered_at);
        self.loss.note_losses(progress.losses, now);
        if progress.is_revived {
            self.handle_revival(id, answered_at, now);
        }
    }

    /// Resets all flows of an upstream that is considered dead, including idle ones: a client whose flow is reset
    /// before its next request opens another one in time, and loses nothing.
    pub(super) fn reset_flows_of(&mut self, id: UpstreamId, was_dead: bool, evidence: SilenceEvidence) {
        let flows = self.flows.take_by_upstream(id);
        let Some(health) = self.health.get_mut(&id) else {
            return;
        };
        health.flows = 0;
        if !was_dead || !flows.is_empty() {
            self.decisions.push(Decision::MarkedDead {
                upstream: id,
                evidence,
                flows: flows.len(),
            });
        }
        for (key, flow) in flows {
            self.uncount_flow(&flow);
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

    /// Whether a flow is stalled on an upstream that answers nobody: its data was retransmitted so often, and so many
    /// other flows are stalled, that packet loss doesn't explain it.
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
        let signs = copies + health.other_stalled_flows();
        let loss = self.loss.percent(now);
        let is_beyond_chance = copies >= STALLED_RETRANSMISSIONS && signs >= loss::significant_flow_count(loss);
        let missed = health.expected_answers(now.since(pending.since), now);
        let is_silent = health.last_progress <= pending.since && missed >= MISSED_ANSWERS;
        is_beyond_chance && is_silent && self.others_answer(&(pending.since..=pending.previously_sent_at))
    }

    /// Whether data for an upstream is answered with a reset because the upstream was recently marked dead. Such data
    /// arrives if the flow comes from another instance, or if the first reset was lost.
    pub(super) fn is_dead(&self, id: UpstreamId, now: Time) -> bool {
        self.health.get(&id).is_some_and(|health| health.is_dead(now))
    }
}
