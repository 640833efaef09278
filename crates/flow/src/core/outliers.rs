//! Outlier detection: records the result of each attempt at an upstream, and ejects upstreams that fail although they
//! answer.
//!
//! Each instance reports failures to a few instances that aggregate them for the upstream. An aggregator that finds the
//! upstream failing announces this to all instances, so the cost of reporting a failure doesn't depend on the number of
//! instances.
//!
//! Ejection affects only new flows. An open flow stays on its upstream while that is alive: only the two endpoints can
//! tell whether its next request would fail, and a reset would certainly break it.

use std::cmp::Reverse;
use std::time::Duration;

use units::Time;
use units::ZoneName;

use super::Core;
use super::overload::is_full;
use super::overload::is_working_at_capacity;
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

/// A response counts as complete once it hasn't grown for this long.
const COMPLETE_AFTER: Duration = Duration::from_millis(100);
/// How late a check may run and still count. A later check was delayed by this process, so its result proves nothing.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of reports sent at once.
const MAX_REPORTS: usize = 16;

impl Core {
    /// Evaluates all attempts whose checks are due.
    pub(super) fn run_due_checks(&mut self, now: Time) {
        while let Some(check) = self.checks.pop_opening(now) {
            self.check_opening(check, now);
        }
        while let Some(check) = self.checks.pop_request(now) {
            self.check_request(check, now);
        }
    }

    fn check_opening(&mut self, check: Check, now: Time) {
        let Some(flow) = self.flows.get_mut(&check.key) else {
            return;
        };
        let is_open = flow.stage != Stage::Opening || flow.first_seen != check.started_at;
        if is_open || flow.is_delayed || now.since(check.due) > MAX_CHECK_DELAY {
            return;
        }
        let upstream = flow.upstream;
        if is_working_at_capacity(&self.directory, &self.loads, upstream, now) {
            return self.record_outcome(upstream, Outcome::Rejected, now);
        }
        // Only an upstream that no longer listens refuses a connection, and then its open flows are lost too. So a
        // refusal counts as much as a missing answer, and is confirmed in the same way.
        if let Some(health) = self.health.get_mut(&upstream) {
            health.record_retransmission(flow, now);
            self.evaluate(upstream, now);
        }
        self.record_outcome(upstream, Outcome::Refused, now);
    }

    fn check_request(&mut self, check: Check, now: Time) {
        let Some(flow) = self.flows.get_mut(&check.key) else {
            return;
        };
        let Some(asked) = flow.request.filter(|asked| asked.at == check.started_at) else {
            return;
        };
        if asked.progress_at.is_some_and(|at| now.since(at) < COMPLETE_AFTER) {
            return self
                .checks
                .add_request(check.key, check.started_at, now + COMPLETE_AFTER);
        }
        let upstream = flow.upstream;
        let is_sent_again = flow.pending.is_some_and(|pending| pending.retransmissions > 0);
        let answered = flow.answer_len();
        let was_full = asked.was_full;
        flow.request = None;
        if now.since(check.due) > MAX_CHECK_DELAY {
            return;
        }
        match answered {
            Some(bytes) => self.record_response(&check.key, upstream, bytes, was_full, now),
            // The upstream hasn't acknowledged the request; retransmissions are counted separately.
            None if is_sent_again => {}
            None => self.record_outcome(upstream, Outcome::Overdue, now),
        }
    }

    /// Records attempts that a packet completes or starts.
    pub(super) fn record_attempts(&mut self, key: &FlowKey, id: UpstreamId, sign: Observation, now: Time) {
        if sign.handshake_time.is_some() {
            self.record_outcome(id, Outcome::Good, now);
        }
        if let Some(bytes) = sign.answer_len {
            self.record_response(key, id, bytes, false, now);
        }
        if sign.is_progress {
            self.record_response_time(key, id, sign.response_time, now);
        }
        let Some(service) = self.directory.get(id).map(|listed| &listed.upstream().service) else {
            return;
        };
        let response = self.expected_response(id, now);
        let service = match self.typical_services.get_mut(service) {
            Some(service) => service,
            None => self.typical_services.entry(service.clone()).or_default(),
        };
        if sign.is_request && !self.is_reading_backlog {
            let due = now + service.overdue_after(response);
            self.checks.add_request(*key, now, due);
        }
    }

    /// Records the response time of an upstream, once the response is longer than a short one.
    ///
    /// A short response is usually an error or a refusal, which takes no work: as a sample, it would make its upstream
    /// look fast, and a service that refuses many requests would have a low typical response time.
    fn record_response_time(&mut self, key: &FlowKey, id: UpstreamId, measured: Option<Duration>, now: Time) {
        let mut response_time = measured;
        if let Some(flow) = self.flows.get_mut(key)
            && let answered = flow.answer_len()
            && let Some(request) = &mut flow.request
        {
            request.response_time = request.response_time.or(measured);
            let length = self.typical_lengths.get(&key.route);
            if answered.is_some_and(|bytes| length.is_some_and(|length| length.is_short(bytes))) {
                request.was_full |= is_full(&self.directory, &self.loads, id, now) == Some(true);
                return;
            }
            response_time = request.response_time.take();
        }
        let (Some(response_time), Some(listed)) = (response_time, self.directory.get(id)) else {
            return;
        };
        if let Some(service) = self.typical_services.get_mut(&listed.upstream().service) {
            service.record_response_time(response_time, now);
            let (sample, min_sample) = (response_time.as_secs_f64(), service.min_response_sample());
            let health = self.health.entry(id).or_default();
            health.record_response_time(sample, min_sample, now);
        }
    }

    /// Records the last response of a flow, which is complete when the client closes the flow.
    pub(super) fn record_last_response(&mut self, key: &FlowKey, packet: &Packet, now: Time) {
        if !packet.flags.contains(Flags::FIN) {
            return;
        }
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        flow.observe(packet, now);
        if let Some(bytes) = flow.answer_len() {
            let upstream = flow.upstream;
            let was_full = flow.request.is_some_and(|request| request.was_full);
            self.record_response(key, upstream, bytes, was_full, now);
        }
    }

    /// Records a complete response. `was_full` says that the upstream is known to have been full when it answered.
    fn record_response(&mut self, key: &FlowKey, id: UpstreamId, bytes: u32, was_full: bool, now: Time) {
        let length = self.typical_lengths.entry(key.route).or_default();
        let is_short = length.is_short(bytes);
        if let Some(listed) = self.directory.get(id)
            && let Some(service) = self.typical_services.get_mut(&listed.upstream().service)
        {
            service.record_answer(id, is_short, now);
        }
        let outcome = if !is_short {
            Outcome::Good
        } else if was_full || self.is_capacity_refusal(id, now) {
            Outcome::Rejected
        } else {
            Outcome::Short
        };
        let length = self.typical_lengths.entry(key.route).or_default();
        length.add_sample(bytes, outcome == Outcome::Rejected);
        self.record_outcome(id, outcome, now);
    }

    /// Records the result of an attempt at an upstream.
    fn record_outcome(&mut self, id: UpstreamId, outcome: Outcome, now: Time) {
        *self.stats.outcomes.entry(outcome).or_default() += 1;
        let health = self.health.entry(id).or_default();
        health.record.add(outcome, now);
        let was_ejected = health.ejection.is_ejected();
        match health.ejection.note_outcome(outcome, now) {
            Transition::None => {}
            Transition::EjectedAgain => self.announce_ejection(id),
            Transition::Readmitted => {
                self.decisions.push(Decision::Readmitted(id));
                self.announce_ejection(id);
            }
        }
        // Ejected upstreams don't count towards the service's typical results.
        if !was_ejected
            && let Some(listed) = self.directory.get(id)
            && let Some(service) = self.typical_services.get_mut(&listed.upstream().service)
        {
            service.tally.add(outcome, now);
            let health = self.health.entry(id).or_default();
            health.record.tally.add(outcome, now);
        }
    }

    /// Takes the reports of failures since the last call, for the aggregating instances.
    pub fn take_failures(&mut self, now: Time) -> Vec<FailureReport> {
        self.run_due_checks(now);
        self.readmit_if_short(now);
        let mut reports = Vec::new();
        for (id, health) in &mut self.health {
            reports.extend(health.record.take_report(*id, now));
        }
        reports.sort_unstable_by_key(|report| (Reverse(report.failed), report.upstream));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Handles a failure report sent to this instance as aggregator for the upstream. `instances` is the number of
    /// instances that see a similar share of its traffic.
    ///
    /// If more attempts fail than chance explains, the upstream is ejected, and the other instances are told.
    pub fn receive_failure_report(&mut self, report: &FailureReport, instances: u32, now: Time) {
        let id = report.upstream;
        let Some(listed) = self.directory.get(id) else {
            return;
        };
        let mut report = *report;
        if self.is_at_low_load(listed.upstream(), now) {
            // None of the short answers is a refusal for lack of capacity, so their number isn't limited.
            report.short = 0;
        }
        let service = self.typical_services.get(&listed.upstream().service);
        let health = self.health.entry(id).or_default();
        let usual = service.map(|service| service.tally).unwrap_or_default();
        let usual = usual.baseline_without(&health.record.tally, now);
        let is_failing = health.record.add_report(&report, instances, usual, now);
        if !is_failing || health.ejection.is_ejected() || !self.may_eject(id, now) {
            return;
        }
        let health = self.health.entry(id).or_default();
        let failures = health.record.failure_counts();
        health.ejection.eject(health.record.failing_share(), now);
        health.record.clear_evidence();
        if let Some(service) = self.typical_services.get_mut(&listed.upstream().service) {
            service.short_of_capacity_since = None;
        }
        let usual_percent = (usual * 100.0).round() as u32;
        self.decisions.push(Decision::Ejected {
            upstream: id,
            usual_percent,
            failures,
        });
        self.announce_ejection(id);
    }

    /// Availability zone of a listed upstream.
    pub fn zone_of(&self, id: UpstreamId) -> Option<&ZoneName> {
        self.directory.get(id).map(|listed| &listed.upstream().zone)
    }

    /// Upstreams that get no new flows, or only single probing flows, because attempts at them fail.
    pub fn ejected(&self) -> Vec<UpstreamId> {
        let ejected = self.health.iter().filter(|(_, health)| health.ejection.is_ejected());
        let mut ejected: Vec<UpstreamId> = ejected.map(|(id, _)| *id).collect();
        ejected.sort_unstable();
        ejected
    }
}
