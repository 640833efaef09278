//! Upstreams that fail while they answer: how each try ended, and who gets no new flows for it.
//!
//! Each instance reports bad ends to a few others that sum up for the upstream; whichever of these finds it failing has all
//! follow. So what is told of a bad end costs the same however large the fleet is.
//!
//! Only new flows are led elsewhere. An open flow stays where it is while its upstream lives: nobody but its two ends can tell
//! whether its next request would fail, and a reset would break it for certain.

use std::cmp::Reverse;
use std::time::Duration;

use units::Time;
use units::ZoneName;

use super::Core;
use crate::checks::Check;
use crate::decision::Decision;
use crate::ejection::Transition;
use crate::flows::FlowKey;
use crate::flows::Observation;
use crate::flows::Stage;
use crate::outcome::FailureReport;
use crate::outcome::Outcome;
use crate::packet::Flags;
use crate::packet::Packet;
use crate::upstream::UpstreamId;

/// How long an answer must not have grown until it counts as whole.
const WHOLE_AFTER: Duration = Duration::from_millis(100);
/// How much later than due an end may be judged. What is later was held up here, as this process was, and proves nothing.
const LATEST: Duration = Duration::from_millis(250);
/// Of how many upstreams of a service one may be ejected at most. If more fail, something else is wrong as a rule, and the
/// others could not carry their load.
const EJECTED_PART: usize = 2;
/// How many reports are sent at a time.
const REPORTS: usize = 16;

impl Core {
    /// Judges all tries whose time has come.
    pub(super) fn settle_due(&mut self, now: Time) {
        while let Some(check) = self.checks.next_opening(now) {
            self.settle_opening(check, now);
        }
        while let Some(check) = self.checks.next_request(now) {
            self.settle_request(check, now);
        }
    }

    fn settle_opening(&mut self, check: Check, now: Time) {
        let Some(flow) = self.flows.get_mut(&check.key) else {
            return;
        };
        let is_open = flow.stage != Stage::Opening || flow.first_seen != check.began;
        if is_open || now.since(check.due) > LATEST {
            return;
        }
        let upstream = flow.upstream;
        // Only one that no longer listens refuses a connection, and then its open flows are over as well. So this counts
        // as much as no answer at all, and is as well vouched for.
        if let Some(health) = self.health.get_mut(&upstream) {
            health.note_copy(flow, now);
            self.judge(upstream, now);
        }
        self.settle(upstream, Outcome::Refused, now);
    }

    fn settle_request(&mut self, check: Check, now: Time) {
        let Some(flow) = self.flows.get_mut(&check.key) else {
            return;
        };
        let Some(asked) = flow.request.filter(|asked| asked.at == check.began) else {
            return;
        };
        if asked.progress_at.is_some_and(|at| now.since(at) < WHOLE_AFTER) {
            return self.checks.request(check.key, check.began, now + WHOLE_AFTER);
        }
        let upstream = flow.upstream;
        let is_sent_again = flow.pending.is_some_and(|pending| pending.retransmissions > 0);
        let answered = flow.answer_len();
        flow.request = None;
        if now.since(check.due) > LATEST {
            return;
        }
        match answered {
            Some(bytes) => self.settle_answer(&check.key, upstream, bytes, now),
            // Its upstream has not taken it, which is another sign.
            None if is_sent_again => {}
            None => self.settle(upstream, Outcome::Overdue, now),
        }
    }

    /// Notes what a packet tells of tries that have ended or begun.
    pub(super) fn note_tries(&mut self, key: &FlowKey, id: UpstreamId, sign: Observation, now: Time) {
        if sign.handshake_time.is_some() {
            self.settle(id, Outcome::Good, now);
        }
        if let Some(bytes) = sign.answer_len {
            self.settle_answer(key, id, bytes, now);
        }
        let Some(service) = self.directory.get(id).map(|listed| &listed.upstream().service) else {
            return;
        };
        let service = match self.services.get_mut(service) {
            Some(service) => service,
            None => self.services.entry(service.clone()).or_default(),
        };
        if let Some(waited) = sign.response_time {
            service.note_response(waited);
            let sample = waited.as_secs_f64().max(service.least_response());
            self.health.entry(id).or_default().note_response(sample, now);
        }
        if sign.is_request {
            let due = now + service.patience();
            self.checks.request(*key, now, due);
        }
    }

    /// A client ends its flow: the last answer is whole.
    pub(super) fn settle_last(&mut self, key: &FlowKey, packet: &Packet, now: Time) {
        if !packet.flags.contains(Flags::FIN) {
            return;
        }
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        flow.observe(packet, now);
        if let Some(bytes) = flow.answer_len() {
            let upstream = flow.upstream;
            self.settle_answer(key, upstream, bytes, now);
        }
    }

    fn settle_answer(&mut self, key: &FlowKey, id: UpstreamId, bytes: u32, now: Time) {
        let length = self.lengths.entry(key.route).or_default();
        let is_short = length.is_short(bytes);
        length.note(bytes);
        let outcome = if is_short { Outcome::Short } else { Outcome::Good };
        self.settle(id, outcome, now);
    }

    /// A try at an upstream has ended.
    fn settle(&mut self, id: UpstreamId, outcome: Outcome, now: Time) {
        *self.stats.outcomes.entry(outcome).or_default() += 1;
        let health = self.health.entry(id).or_default();
        health.record.add(outcome, now);
        let was_ejected = health.ejection.is_ejected();
        match health.ejection.note_outcome(outcome, now) {
            Transition::None => {}
            Transition::EjectedAgain => self.tell_standing(id),
            Transition::Readmitted => {
                self.decisions.push(Decision::Readmitted(id));
                self.tell_standing(id);
            }
        }
        // What is usual is what others do.
        if !was_ejected
            && let Some(listed) = self.directory.get(id)
            && let Some(service) = self.services.get_mut(&listed.upstream().service)
        {
            service.tally.add(outcome, now);
            let health = self.health.entry(id).or_default();
            health.record.tally.add(outcome, now);
        }
    }

    /// What whoever sums up should know of tries that have ended badly since the last time.
    pub fn take_failures(&mut self, now: Time) -> Vec<FailureReport> {
        self.settle_due(now);
        let mut reports = Vec::new();
        for (id, health) in &mut self.health {
            reports.extend(health.record.report(*id, now));
        }
        reports.sort_unstable_by_key(|report| (Reverse(report.failed), report.upstream));
        reports.truncate(REPORTS);
        reports
    }

    /// Takes in a report to this instance, which sums up for the upstream. `instances` is how many see about as much of it.
    ///
    /// If more tries end badly there than chance explains, it gets no new flows, and the others are to follow.
    pub fn hear_failure(&mut self, report: &FailureReport, instances: u32, now: Time) {
        let id = report.upstream;
        let Some(listed) = self.directory.get(id) else {
            return;
        };
        let service = self.services.get(&listed.upstream().service);
        let health = self.health.entry(id).or_default();
        let usual = service.copied().unwrap_or_default().tally;
        let usual = usual.baseline_without(&health.record.tally, now);
        let is_failing = health.record.add_report(report, instances, usual, now);
        if !is_failing || health.ejection.is_ejected() || !self.may_eject(id) {
            return;
        }
        let health = self.health.entry(id).or_default();
        health.record.clear_evidence();
        health.ejection.eject(now);
        let usual_percent = (usual * 100.0).round() as u32;
        self.decisions.push(Decision::Ejected {
            upstream: id,
            usual_percent,
        });
        self.tell_standing(id);
    }

    /// Whether one more upstream of the same service may be ejected.
    fn may_eject(&self, id: UpstreamId) -> bool {
        let Some(listed) = self.directory.get(id) else {
            return false;
        };
        let mut all = 0;
        let mut ejected = 0;
        for (other, listed) in self.directory.of_service(&listed.upstream().service) {
            if listed.upstream().leaving || listed.gone_since.is_some() {
                continue;
            }
            all += 1;
            let health = self.health.get(&other);
            ejected += usize::from(health.is_some_and(|health| health.ejection.is_ejected()));
        }
        (ejected + 1) * EJECTED_PART <= all
    }

    /// The availability zone of an upstream that is listed.
    pub fn zone_of(&self, id: UpstreamId) -> Option<&ZoneName> {
        self.directory.get(id).map(|listed| &listed.upstream().zone)
    }

    /// The upstreams that get no new flows now, or single ones, as tries at them end badly.
    pub fn ejected(&self) -> Vec<UpstreamId> {
        let ejected = self.health.iter().filter(|(_, health)| health.ejection.is_ejected());
        let mut ejected: Vec<UpstreamId> = ejected.map(|(id, _)| *id).collect();
        ejected.sort_unstable();
        ejected
    }
}
