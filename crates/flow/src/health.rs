//! What passing packets tell of each upstream: how busy it is, and whether it still answers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Time;

use crate::decay::Decayed;
use crate::ejection::Ejection;
use crate::flows::Flow;
use crate::grounds::Grounds;
use crate::loss;
use crate::loss::Percent;
use crate::outcome::Record;
use crate::upstream::UpstreamId;

/// Requests count towards an upstream's activity for about this long. A flow sends a request or so a second, so a
/// shorter span would see mostly chance.
const ACTIVITY_SPAN: Duration = Duration::from_secs(1);

/// How much a new sample of the response time counts. About ten requests a second reach an upstream from one instance,
/// so that a change shows within a second or two.
const SAMPLE_WEIGHT: f64 = 0.1;
/// For how long samples count after the last one. A slow upstream is tried again after it.
const SAMPLE_KEEP: Duration = Duration::from_secs(4);

/// How many flows must wait in vain, here and at another instance, where too few other upstreams answer to tell a dead one
/// from a bad link.
const DEAD_FLOWS_IN_DOUBT: u32 = 5;
/// For how long an upstream counts as dead after flows have waited in vain.
const DEAD_KEEP: Duration = Duration::from_secs(3);
/// How long an upstream that flows wait for in vain is spared new ones, at first.
const FIRST_RETRY: Duration = Duration::from_secs(1);
/// The longest time between two tries of such an upstream.
const LAST_RETRY: Duration = Duration::from_secs(4);

/// For how long another instance's report counts. Flows that still wait are reported again within that time.
const REPORT_KEEP: Duration = Duration::from_secs(1);
/// How many other instances' reports are kept for each upstream.
const REPORTERS: usize = 8;

/// Names an instance that reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReporterId(pub u64);

/// What an instance tells others of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How many flows of the reporting instance wait for it in vain.
    pub stalled: u32,
    /// How long ago it last answered something there.
    pub silent_for: Duration,
    /// How many packets of a hundred are lost there on ways that work otherwise.
    pub loss_percent: u8,
}

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
    loss: Percent,
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
    /// Since when the first of them has waited.
    stalled_since: Time,
    /// Other instances' reports.
    heard: Vec<Heard>,
    /// Whether others were told of all flows that wait.
    is_reported: bool,
    reported_at: Time,
    /// Numbers its stalls, so that a flow is counted once in each.
    stall: u32,
    /// When it was last found dead, if it has not answered since.
    dead_since: Option<Time>,
    /// Until when its zone counts as cut off.
    avoid_until: Time,
    /// When a flow may try it again, while flows wait in vain.
    retry_at: Time,
    retry_pause: Duration,
    /// How tries at it end.
    pub(crate) record: Record,
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
        if at < self.stalled_since {
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
        if self.last_progress > flow.waits_since() {
            return true;
        }
        self.copies += 1;
        if self.stalled == 0 {
            self.stall = self.stall.wrapping_add(1).max(1);
            self.stalled_since = flow.waits_since();
        }
        if flow.counted_in != self.stall {
            flow.counted_in = self.stall;
            self.stalled += 1;
            self.is_reported = false;
        }
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
                loss: report.loss_percent,
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
        self.reports(now).map(|heard| heard.stalled).sum()
    }

    /// Since when flows have waited for it in vain.
    pub(crate) fn stalled_since(&self) -> Time {
        self.stalled_since
    }

    /// Whether it is to be taken for dead from now on: more flows wait in vain than chance explains while this much is
    /// lost, and most other upstreams answer here, or another instance sees it as well.
    pub(crate) fn dies(&mut self, others_answer: bool, loss: Percent, now: Time) -> bool {
        let elsewhere = self.stalled_elsewhere(now);
        let total = self.stalled + elsewhere;
        let beyond_chance = loss::flows_beyond_chance(self.loss(loss, now));
        let is_clear = others_answer && total >= beyond_chance;
        let is_shared = elsewhere > 0 && total >= beyond_chance.max(DEAD_FLOWS_IN_DOUBT);
        if self.stalled == 0 || !(is_clear || is_shared) || self.is_dead(now) {
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
            loss_percent: self.loss(loss, now),
            silent_for: now.since(self.last_progress),
        }
    }

    /// How many flows but one wait for it in vain, here and elsewhere.
    pub(crate) fn other_flows(&self, now: Time) -> u32 {
        self.stalled.saturating_sub(1) + self.stalled_elsewhere(now)
    }

    /// The loss to reckon with: what this instance sees, or more if one that reports does.
    pub(crate) fn loss(&self, here: Percent, now: Time) -> Percent {
        self.reports(now).map(|heard| heard.loss).fold(here, Percent::max)
    }

    /// What to tell others, if that has changed since the last time or is about to lapse.
    pub(crate) fn report(&mut self, upstream: UpstreamId, loss: Percent, now: Time) -> Option<Report> {
        let is_due = !self.is_reported || now.since(self.reported_at) >= REPORT_KEEP / 2;
        if self.stalled == 0 || !is_due {
            return None;
        }
        self.is_reported = true;
        self.reported_at = now;
        Some(self.answer(upstream, loss, now))
    }

    /// What is known here, for another instance that reported.
    pub(crate) fn answer(&self, upstream: UpstreamId, loss: Percent, now: Time) -> Report {
        Report {
            upstream,
            stalled: self.stalled,
            silent_for: now.since(self.last_progress),
            loss_percent: loss,
        }
    }

    /// It is taken for dead.
    pub(crate) fn find_dead(&mut self, now: Time) {
        self.dead_since = Some(now);
    }

    /// It gets no new flows for a while, as its zone seems to be cut off.
    pub(crate) fn avoid(&mut self, now: Time) {
        self.avoid_until = now + DEAD_KEEP;
    }

    /// Whether others go before it.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until || self.is_suspect(now) || self.is_dead(now) || self.ejection.is_avoided(now)
    }

    /// It is no longer taken for dead, as another one of its zone answers.
    pub(crate) fn revive(&mut self) {
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

    /// A flow of its ended or was forgotten.
    pub(crate) fn note_ended(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// About how many requests it got within the last [`ACTIVITY_SPAN`].
    pub(crate) fn activity(&self, now: Time) -> f64 {
        self.activity.value(ACTIVITY_SPAN, now)
    }
}
