//! Health of each upstream as derived from the packets of its flows: its load, and whether it answers.

use std::ops::RangeInclusive;
use std::time::Duration;

use units::Time;

use crate::decaying_count::DecayingCount;
use crate::ejection::Ejection;
use crate::evidence::SilenceEvidence;
use crate::flows::Flow;
use crate::loss;
use crate::loss::Percent;
use crate::outcome::AttemptRecord;
use crate::report::Report;
use crate::report::ReporterId;
use crate::upstream::UpstreamId;

/// Time constant of the request count. A flow sends about one request a second, so a shorter span would mostly measure
/// chance.
const ACTIVITY_SPAN: Duration = Duration::from_secs(1);

/// Weight of a new response time sample. One instance sends an upstream about ten requests a second, so a change shows
/// within a second or two.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the mean that is compared with the service's typical response time. Of a large service,
/// one instance sends an upstream one or two requests a second, and the mean has to follow a burst within seconds.
const UNBOUNDED_SAMPLE_WEIGHT: f64 = 0.2;
/// How long the mean remains valid after the last sample. After that, a slow upstream is tried again.
const SAMPLE_VALIDITY: Duration = Duration::from_secs(4);

/// How long an upstream stays dead after its flows have stalled.
const DEAD_DURATION: Duration = Duration::from_secs(3);
/// Initial time without new flows for an upstream with stalled flows.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum time between two attempts at such an upstream.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Validity of another instance's report. Flows that are still stalled are reported again within that time.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);
/// Time after the last retransmission at which a stalled flow is considered abandoned: an endpoint that still waits
/// retransmits at least every 1.6 seconds.
const ABANDONED_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of reports kept for each upstream: as many as are needed at a loss of one third of all packets.
const MAX_REPORTERS: usize = 16;

/// What an answer of an upstream changes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The upstream was considered dead.
    pub(crate) is_revived: bool,
    /// Number of packets that turn out to have been lost on the way to a live upstream.
    pub(crate) losses: u32,
}

#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    from: ReporterId,
    stalled: u32,
    signs: u32,
    at: Time,
}

/// Health of one upstream.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// Number of its flows seen here.
    pub(crate) flows: u32,
    activity: DecayingCount,
    /// Moving average of its response times, in seconds.
    response: Option<f64>,
    response_at: Time,
    /// A faster average without the lower bound that placement sets for samples.
    unbounded_response: Option<f64>,
    /// Time of its last answer.
    pub(crate) last_progress: Time,
    /// Number of distinct flows that have stalled since then.
    stalled: u32,
    /// Number of retransmissions since then.
    retransmissions: u32,
    /// When the first and the last of the stalled flows began to wait.
    stalled_since: Time,
    last_stalled_since: Time,
    /// Time of the last retransmission.
    retransmitted_at: Time,
    /// Reports of other instances.
    received_reports: Vec<ReceivedReport>,
    /// Whether all stalled flows have been reported to other instances.
    is_reported: bool,
    reported_at: Time,
    /// Sequence number of the current stall, so that each flow is counted once per stall.
    stall_number: u32,
    /// When it was last marked dead, if it hasn't answered since.
    dead_since: Option<Time>,
    /// Whether its silence was announced to all instances, and its recovery not yet.
    is_silence_announced: bool,
    /// Start of the last announced silence, during which no instance has seen an answer.
    silent_since: Time,
    /// Round number of the last announcement about its silence.
    pub(crate) silence_round: u32,
    /// Until when its zone is considered cut off.
    avoid_until: Time,
    /// When a flow may try it again while others are stalled.
    retry_at: Time,
    retry_delay: Duration,
    /// When the next new flow from here may go to it, while it is cold and rate-limited.
    pub(crate) next_cold_flow_at: Time,
    /// Results of attempts at it.
    pub(crate) record: AttemptRecord,
    /// Whether it is excluded from new flows because of those results.
    pub(crate) ejection: Ejection,
}

impl Health {
    /// Records an answer of the upstream, seen here or elsewhere.
    pub(crate) fn record_progress(&mut self, at: Time) -> Progress {
        if at <= self.last_progress {
            return Progress::default();
        }
        self.last_progress = at;
        if at < self.stalled_since || at < self.silent_since {
            return Progress::default();
        }
        self.stalled = 0;
        let losses = std::mem::take(&mut self.retransmissions);
        self.received_reports.clear();
        self.retry_delay = Duration::ZERO;
        Progress {
            is_revived: self.dead_since.take().is_some(),
            losses,
        }
    }

    /// Records a response time, in seconds. For placement, it counts as `min_sample` at least.
    pub(crate) fn record_response_time(&mut self, sample: f64, min_sample: f64, now: Time) {
        let mean = self.unbounded_response(now).unwrap_or(sample);
        self.unbounded_response = Some(mean + (sample - mean) * UNBOUNDED_SAMPLE_WEIGHT);
        let sample = sample.max(min_sample);
        let mean = self.response(now).unwrap_or(sample);
        self.response = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
        self.response_at = now;
    }

    /// Mean response time in seconds, if there are recent samples.
    pub(crate) fn response(&self, now: Time) -> Option<f64> {
        self.response.filter(|_| now.since(self.response_at) < SAMPLE_VALIDITY)
    }

    /// Mean response time in seconds without a lower bound for samples, if there are recent ones.
    pub(crate) fn unbounded_response(&self, now: Time) -> Option<f64> {
        self.unbounded_response
            .filter(|_| now.since(self.response_at) < SAMPLE_VALIDITY)
    }

    /// Counts a request that was forwarded to it.
    pub(crate) fn record_request(&mut self, now: Time) {
        self.activity.add(1, ACTIVITY_SPAN, now);
    }

    /// Counts a retransmission of a flow that the upstream hasn't reacted to.
    ///
    /// Returns whether only a packet of this flow was lost, which is so if the upstream has answered another flow in
    /// the meantime. Nothing is counted then.
    pub(crate) fn record_retransmission(&mut self, flow: &mut Flow, now: Time) -> bool {
        if self.last_progress > flow.waiting_since() {
            return true;
        }
        self.retransmissions += 1;
        self.retransmitted_at = now;
        if self.stalled == 0 {
            self.stall_number = self.stall_number.wrapping_add(1).max(1);
            self.stalled_since = flow.waiting_since();
            self.last_stalled_since = flow.waiting_since();
        }
        self.last_stalled_since = self.last_stalled_since.max(flow.waiting_since());
        if flow.counted_in_stall != self.stall_number {
            flow.counted_in_stall = self.stall_number;
            self.stalled += 1;
        }
        self.is_reported = false;
        if now >= self.retry_at {
            self.postpone_retry(now);
        }
        false
    }

    /// Stores another instance's report of stalled flows.
    pub(crate) fn add_report(&mut self, from: ReporterId, report: &Report, now: Time) {
        self.received_reports
            .retain(|received| received.from != from && now.since(received.at) < REPORT_VALIDITY);
        if self.received_reports.len() < MAX_REPORTERS {
            self.received_reports.push(ReceivedReport {
                from,
                stalled: report.stalled,
                signs: report.signs,
                at: now,
            });
        }
    }

    /// Reports that are still valid.
    fn reports(&self, now: Time) -> impl Iterator<Item = &ReceivedReport> {
        self.received_reports
            .iter()
            .filter(move |received| now.since(received.at) < REPORT_VALIDITY)
    }

    /// Number of stalled flows at other instances.
    fn stalled_elsewhere(&self, now: Time) -> u32 {
        let stalled = self.reports(now).map(|received| received.stalled);
        stalled.fold(0, u32::saturating_add)
    }

    /// When the first of the stalled flows began to wait.
    pub(crate) fn stalled_since(&self) -> Time {
        self.stalled_since
    }

    /// Span from when the first of the stalled flows began to wait to when the last did.
    pub(crate) fn stalled_span(&self) -> RangeInclusive<Time> {
        self.stalled_since..=self.last_stalled_since
    }

    /// Marks it dead if local observations alone show it: more flows are stalled than chance explains at the given loss
    /// rate. Returns whether it was marked.
    pub(crate) fn mark_dead_if_stalled(&mut self, loss: Percent, now: Time) -> bool {
        if self.stalled < loss::significant_flow_count(loss) || self.is_dead(now) {
            return false;
        }
        self.mark_dead(now);
        true
    }

    /// Evidence for its silence, at the given loss rate.
    pub(crate) fn evidence(&self, loss: Percent, now: Time) -> SilenceEvidence {
        SilenceEvidence {
            waiting: self.stalled,
            elsewhere: self.stalled_elsewhere(now),
            reporters: self.reports(now).count(),
            loss_percent: loss,
            silent_for: now.since(self.last_progress),
        }
    }

    /// Number of stalled flows other than the one in question.
    pub(crate) fn other_stalled_flows(&self) -> u32 {
        self.stalled.saturating_sub(1)
    }

    /// Number of answers that would have been seen here within this time if it answered at its usual rate.
    pub(crate) fn expected_answers(&self, within: Duration, now: Time) -> f64 {
        self.record.rate(now) * within.as_secs_f64()
    }

    /// Whether a report of stalled flows is due: something has changed since the last one, or that is about to expire.
    pub(crate) fn take_report_due(&mut self, now: Time) -> bool {
        let is_due = !self.is_reported || now.since(self.reported_at) >= REPORT_VALIDITY / 2;
        let is_abandoned = now.since(self.retransmitted_at) >= ABANDONED_AFTER;
        if self.stalled == 0 || is_abandoned || !is_due {
            return false;
        }
        self.is_reported = true;
        self.reported_at = now;
        true
    }

    /// Report for another instance. `is_in_doubt` says that this instance doubts its own link.
    pub(crate) fn report(&self, upstream: UpstreamId, loss: loss::Sample, is_in_doubt: bool, now: Time) -> Report {
        Report {
            upstream,
            stalled: self.stalled,
            signs: self.signs(),
            waiting_for: now.since(self.stalled_since),
            silent_for: now.since(self.last_progress),
            loss,
            is_in_doubt,
        }
    }

    /// Whether enough flows are stalled, here and elsewhere, to query other instances, unless its silence has already
    /// been announced.
    pub(crate) fn needs_inquiry(&self, now: Time) -> bool {
        let is_known = self.is_silence_announced && self.is_dead(now);
        let signs = self.reports(now).map(|received| received.signs);
        let signs = signs.fold(self.signs(), u32::saturating_add);
        !is_known && signs >= loss::significant_loss_count(0.0)
    }

    /// Number of retransmissions since its last answer, limited to two for each stalled flow. A packet that is lost
    /// twice is as unlikely as two packets that are lost once each, but the path of a single flow may be bad.
    fn signs(&self) -> u32 {
        self.retransmissions.min(self.stalled * 2)
    }

    /// Marks it dead.
    pub(crate) fn mark_dead(&mut self, now: Time) {
        self.dead_since = Some(now);
    }

    /// Marks it dead after a joint finding of the instances that is announced to all.
    pub(crate) fn mark_silent(&mut self, since: Time, now: Time) {
        self.mark_dead(now);
        self.is_silence_announced = true;
        self.silent_since = since;
    }

    /// Takes the flag that its silence was announced. It is returned as set only once: the caller has to announce the
    /// recovery.
    pub(crate) fn take_silence_announced(&mut self) -> bool {
        std::mem::take(&mut self.is_silence_announced)
    }

    /// Lets new flows avoid it for a while, as its zone seems to be cut off.
    pub(crate) fn avoid(&mut self, now: Time) {
        self.avoid_until = now + DEAD_DURATION;
    }

    /// Whether other upstreams are preferred for new flows.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until || self.is_suspect(now) || self.is_dead(now) || self.ejection.is_avoided(now)
    }

    /// Clears the dead state because another upstream of its zone answers. A joint finding of the instances remains in
    /// force.
    pub(crate) fn revive(&mut self) {
        if self.is_silence_announced {
            return;
        }
        self.dead_since = None;
        self.avoid_until = Time::default();
        self.stalled = 0;
        self.retransmissions = 0;
    }

    /// Whether it was marked dead and hasn't answered since.
    pub(crate) fn is_marked_dead(&self) -> bool {
        self.dead_since.is_some()
    }

    /// Whether it was marked dead recently. The state expires unless new flows stall: an upstream that gets no flows
    /// has no chance to show that it is alive.
    pub(crate) fn is_dead(&self, now: Time) -> bool {
        self.dead_since.is_some_and(|since| now.since(since) < DEAD_DURATION)
    }

    /// Whether flows are stalled on it and no new flow should try it yet.
    fn is_suspect(&self, now: Time) -> bool {
        self.stalled > 0 && now < self.retry_at
    }

    /// Number of stalled flows.
    pub(crate) fn stalled(&self) -> u32 {
        self.stalled
    }

    /// Postpones the next attempt with exponential backoff.
    fn postpone_retry(&mut self, now: Time) {
        self.retry_delay = (self.retry_delay * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        self.retry_at = now + self.retry_delay;
    }

    /// Counts a new flow placed on it.
    pub(crate) fn record_placement(&mut self, now: Time) {
        self.flows += 1;
        self.ejection.note_placed(now);
        if self.stalled > 0 {
            self.postpone_retry(now);
        }
    }

    /// Clears the evidence of flows that have all been reset, stalled ones included. Once flows may try it again, only
    /// their results count.
    pub(crate) fn clear_stalls(&mut self) {
        self.stalled = 0;
        self.retransmissions = 0;
        self.received_reports.clear();
    }

    /// Counts a flow that has ended or been removed.
    pub(crate) fn record_flow_end(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// Approximate number of requests within the last [`ACTIVITY_SPAN`].
    pub(crate) fn activity(&self, now: Time) -> f64 {
        self.activity.value(ACTIVITY_SPAN, now)
    }
}
