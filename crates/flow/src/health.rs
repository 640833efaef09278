//! What passing packets tell of each upstream: how busy it is, and whether it still answers.

use std::ops::RangeInclusive;
use std::time::Duration;

use units::Time;

use crate::decay::Decayed;
use crate::ejection::Ejection;
use crate::flows::Flow;
use crate::grounds::Grounds;
use crate::loss;
use crate::loss::Percent;
use crate::outcome::AttemptRecord;
use crate::report::Report;
use crate::report::ReporterId;
use crate::upstream::UpstreamId;

/// Requests count towards an upstream's activity for about this long. A flow sends a request or so a second, so a
/// shorter span would see mostly chance.
const ACTIVITY_SPAN: Duration = Duration::from_secs(1);

/// How much a new sample of the response time counts. About ten requests a second reach an upstream from one instance,
/// so that a change shows within a second or two.
const SAMPLE_WEIGHT: f64 = 0.1;
/// For how long samples count after the last one. A slow upstream is tried again after it.
const SAMPLE_KEEP: Duration = Duration::from_secs(4);

/// For how long an upstream counts as dead after flows have waited in vain.
const DEAD_KEEP: Duration = Duration::from_secs(3);
/// How long an upstream that flows wait for in vain is spared new ones, at first.
const FIRST_RETRY: Duration = Duration::from_secs(1);
/// The longest time between two tries of such an upstream.
const LAST_RETRY: Duration = Duration::from_secs(4);

/// For how long another instance's report counts. Flows that still wait are reported again within that time.
const REPORT_KEEP: Duration = Duration::from_secs(1);
/// How long after the last copy a flow waits no longer: an end that waits sends copies 1.6 seconds apart at most.
const COPIES_END: Duration = Duration::from_secs(2);
/// How many other instances' reports are kept for each upstream: as many as are needed while a third of all packets is lost.
const REPORTERS: usize = 16;

/// What a sign of life ends.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The upstream was taken for dead.
    pub(crate) is_revived: bool,
    /// How many packets were lost on the way to an upstream that lives, as it turns out.
    pub(crate) losses: u32,
}

/// Another instance's report.
#[derive(Debug, Clone, Copy)]
struct Heard {
    from: ReporterId,
    stalled: u32,
    signs: u32,
    at: Time,
}

/// What is known of one upstream from the packets that passed here.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// How many flows seen here it holds.
    pub(crate) flows: u32,
    activity: Decayed,
    /// A moving mean of its response times, in seconds.
    response: Option<f64>,
    response_at: Time,
    /// When it last answered something.
    pub(crate) last_progress: Time,
    /// How many different flows have waited in vain since then.
    stalled: u32,
    /// How often they have sent something again since then.
    copies: u32,
    /// Since when the first of them has waited, and the last.
    stalled_since: Time,
    last_stalled_since: Time,
    /// When one of them last sent something again.
    copied_at: Time,
    /// Other instances' reports.
    heard: Vec<Heard>,
    /// Whether others were told of all flows that wait.
    is_reported: bool,
    reported_at: Time,
    /// Numbers its stalls, so that a flow is counted once in each.
    stall: u32,
    /// When it was last found dead, if it has not answered since.
    dead_since: Option<Time>,
    /// Whether all instances were told that it is silent, and not yet that it has answered.
    is_told_silent: bool,
    /// Since when nobody has seen it answer, when all were told so last.
    silent_since: Time,
    /// Counts what was told of its silence.
    pub(crate) silence_round: u32,
    /// Until when its zone counts as cut off.
    avoid_until: Time,
    /// When a flow may try it again, while flows wait in vain.
    retry_at: Time,
    retry_pause: Duration,
    /// When the next new flow may go to it from here, while it is cold and its operators tell what it bears.
    pub(crate) cold_next: Time,
    /// How tries at it end.
    pub(crate) record: AttemptRecord,
    /// Whether it gets new flows in spite of that.
    pub(crate) ejection: Ejection,
}

impl Health {
    /// The upstream has answered something, here or elsewhere.
    pub(crate) fn note_progress(&mut self, at: Time) -> Progress {
        if at <= self.last_progress {
            return Progress::default();
        }
        self.last_progress = at;
        if at < self.stalled_since || at < self.silent_since {
            return Progress::default();
        }
        self.stalled = 0;
        let losses = std::mem::take(&mut self.copies);
        self.heard.clear();
        self.retry_pause = Duration::ZERO;
        Progress {
            is_revived: self.dead_since.take().is_some(),
            losses,
        }
    }

    /// The upstream took this long to answer a request, in seconds.
    pub(crate) fn note_response(&mut self, sample: f64, now: Time) {
        let held = self.response(now).unwrap_or(sample);
        self.response = Some(held + (sample - held) * SAMPLE_WEIGHT);
        self.response_at = now;
    }

    /// How long it takes to answer, in seconds, if that was seen lately.
    pub(crate) fn response(&self, now: Time) -> Option<f64> {
        self.response.filter(|_| now.since(self.response_at) < SAMPLE_KEEP)
    }

    /// A request is on its way to it.
    pub(crate) fn note_request(&mut self, now: Time) {
        self.activity.add(1, ACTIVITY_SPAN, now);
    }

    /// A flow has sent something once more, as the upstream has not reacted.
    ///
    /// Nothing is counted if the upstream has answered another flow meanwhile: then only this flow's packet was lost, which
    /// this tells.
    pub(crate) fn note_copy(&mut self, flow: &mut Flow, now: Time) -> bool {
        if self.last_progress > flow.waiting_since() {
            return true;
        }
        self.copies += 1;
        self.copied_at = now;
        if self.stalled == 0 {
            self.stall = self.stall.wrapping_add(1).max(1);
            self.stalled_since = flow.waiting_since();
            self.last_stalled_since = flow.waiting_since();
        }
        self.last_stalled_since = self.last_stalled_since.max(flow.waiting_since());
        if flow.counted_in_stall != self.stall {
            flow.counted_in_stall = self.stall;
            self.stalled += 1;
        }
        self.is_reported = false;
        if now >= self.retry_at {
            self.postpone(now);
        }
        false
    }

    /// Another instance has reported that flows wait for this upstream in vain.
    pub(crate) fn hear(&mut self, from: ReporterId, report: &Report, now: Time) {
        self.heard
            .retain(|heard| heard.from != from && now.since(heard.at) < REPORT_KEEP);
        if self.heard.len() < REPORTERS {
            self.heard.push(Heard {
                from,
                stalled: report.stalled,
                signs: report.signs,
                at: now,
            });
        }
    }

    /// The reports that count.
    fn reports(&self, now: Time) -> impl Iterator<Item = &Heard> {
        self.heard.iter().filter(move |heard| now.since(heard.at) < REPORT_KEEP)
    }

    /// How many flows of other instances wait for it in vain.
    fn stalled_elsewhere(&self, now: Time) -> u32 {
        let stalled = self.reports(now).map(|heard| heard.stalled);
        stalled.fold(0, u32::saturating_add)
    }

    /// Since when flows have waited for it in vain.
    pub(crate) fn stalled_since(&self) -> Time {
        self.stalled_since
    }

    /// From when the first to when the last of the flows that wait for it in vain began to wait.
    pub(crate) fn stalled_span(&self) -> RangeInclusive<Time> {
        self.stalled_since..=self.last_stalled_since
    }

    /// Whether it is to be taken for dead from now on by what is seen here alone: more flows wait in vain than chance explains
    /// while this much is lost.
    pub(crate) fn dies(&mut self, loss: Percent, now: Time) -> bool {
        if self.stalled < loss::significant_flow_count(loss) || self.is_dead(now) {
            return false;
        }
        self.find_dead(now);
        true
    }

    /// What speaks for its being silent, where this much is lost.
    pub(crate) fn grounds(&self, loss: Percent, now: Time) -> Grounds {
        Grounds {
            waiting: self.stalled,
            elsewhere: self.stalled_elsewhere(now),
            reporters: self.reports(now).count(),
            loss_percent: loss,
            silent_for: now.since(self.last_progress),
        }
    }

    /// How many flows but one wait for it in vain.
    pub(crate) fn other_flows(&self) -> u32 {
        self.stalled.saturating_sub(1)
    }

    /// How many answers of its would have been seen here within this time, if it answered as usual.
    pub(crate) fn expected_answers(&self, within: Duration, now: Time) -> f64 {
        self.record.rate(now) * within.as_secs_f64()
    }

    /// Whether others should be told now of flows that wait: something has changed since the last time, or is about to lapse.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        let is_due = !self.is_reported || now.since(self.reported_at) >= REPORT_KEEP / 2;
        let has_given_up = now.since(self.copied_at) >= COPIES_END;
        if self.stalled == 0 || has_given_up || !is_due {
            return false;
        }
        self.is_reported = true;
        self.reported_at = now;
        true
    }

    /// What is known here, for another instance. `is_in_doubt` tells whether this one doubts its own link.
    pub(crate) fn tell(&self, upstream: UpstreamId, loss: loss::Sample, is_in_doubt: bool, now: Time) -> Report {
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

    /// Whether flows enough wait for it, here and elsewhere, that others should be asked, unless they were told already.
    pub(crate) fn is_questionable(&self, now: Time) -> bool {
        let is_known = self.is_told_silent && self.is_dead(now);
        let signs = self.reports(now).map(|heard| heard.signs);
        let signs = signs.fold(self.signs(), u32::saturating_add);
        !is_known && signs >= loss::significant_loss_count(0.0)
    }

    /// How often flows have sent something again since it last answered. A packet that is lost twice is as rare as two that
    /// are lost once; but a single flow's way may be bad, so each counts twice at most.
    fn signs(&self) -> u32 {
        self.copies.min(self.stalled * 2)
    }

    /// It is taken for dead.
    pub(crate) fn find_dead(&mut self, now: Time) {
        self.dead_since = Some(now);
    }

    /// It is taken for dead by all instances, who are told so.
    pub(crate) fn find_silent(&mut self, since: Time, now: Time) {
        self.find_dead(now);
        self.is_told_silent = true;
        self.silent_since = since;
    }

    /// Whether all were told that it is silent. The answer holds once: now they are to be told that it has answered.
    pub(crate) fn take_told_silent(&mut self) -> bool {
        std::mem::take(&mut self.is_told_silent)
    }

    /// It gets no new flows for a while, as its zone seems to be cut off.
    pub(crate) fn avoid(&mut self, now: Time) {
        self.avoid_until = now + DEAD_KEEP;
    }

    /// Whether others go before it.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until || self.is_suspect(now) || self.is_dead(now) || self.ejection.is_avoided(now)
    }

    /// It is no longer taken for dead, as another one of its zone answers. What all instances have found together stands.
    pub(crate) fn revive(&mut self) {
        if self.is_told_silent {
            return;
        }
        self.dead_since = None;
        self.avoid_until = Time::default();
        self.stalled = 0;
        self.copies = 0;
    }

    /// Whether it was found dead and has not answered since.
    pub(crate) fn is_given_up(&self) -> bool {
        self.dead_since.is_some()
    }

    /// Whether it was found dead a moment ago. Without new flows that wait in vain, this ends by itself: an upstream that
    /// nobody may try can't show that it lives.
    pub(crate) fn is_dead(&self, now: Time) -> bool {
        self.dead_since.is_some_and(|since| now.since(since) < DEAD_KEEP)
    }

    /// Whether flows wait for it in vain and none should try it yet.
    fn is_suspect(&self, now: Time) -> bool {
        self.stalled > 0 && now < self.retry_at
    }

    /// How many flows wait for it in vain.
    pub(crate) fn stalled(&self) -> u32 {
        self.stalled
    }

    /// Puts the next try off, by twice as much each time.
    fn postpone(&mut self, now: Time) {
        self.retry_pause = (self.retry_pause * 2).clamp(FIRST_RETRY, LAST_RETRY);
        self.retry_at = now + self.retry_pause;
    }

    /// A new flow tries it.
    pub(crate) fn note_placed(&mut self, now: Time) {
        self.flows += 1;
        self.ejection.note_placed(now);
        if self.stalled > 0 {
            self.postpone(now);
        }
    }

    /// All of its flows are over, those that waited among them. So they speak against it no longer: once flows may try it
    /// again, only what becomes of these counts.
    pub(crate) fn note_all_over(&mut self) {
        self.stalled = 0;
        self.copies = 0;
        self.heard.clear();
    }

    /// A flow of its ended or was forgotten.
    pub(crate) fn note_ended(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// About how many requests it got within the last [`ACTIVITY_SPAN`].
    pub(crate) fn activity(&self, now: Time) -> f64 {
        self.activity.value(ACTIVITY_SPAN, now)
    }
}
