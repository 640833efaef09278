//! Own work at the upstreams of one group: what was reported of it, and what the next report says.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use units::Time;

use super::LoadGroup;
use super::Pace;
use super::ReportedWork;
use super::WorkCounts;
use crate::packet::Echo;
use crate::upstream::UpstreamId;

/// Interval at which work in flight is sampled while a service isn't busy.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// The same while work in flight is above a quarter of the slots.
const RISING_INTERVAL: Duration = Duration::from_millis(250);
/// Age from which an unchanged sample is repeated, as collectors count a sample for one second.
const REPEAT_AFTER: Duration = Duration::from_millis(700);
/// Interval at which all values are sent while a service is busy. It is below one second, so that it is over at every
/// tenth call also if calls, 100 milliseconds apart, come a bit early.
const FULL_INTERVAL: Duration = Duration::from_millis(980);
/// Number of reported values kept for each upstream and group: a report every 100 milliseconds over the time for which
/// a digest is valid.
const MAX_SENT: usize = 12;

/// The latest reported values, by the numbers of the reports.
#[derive(Debug, Default, Clone)]
pub(super) struct SentValues<T>(VecDeque<(u64, T)>);

impl<T: Copy + Default + PartialEq> SentValues<T> {
    pub(super) fn push(&mut self, seq: u64, value: T) {
        if self.0.len() == MAX_SENT {
            self.0.pop_front();
        }
        self.0.push_back((seq, value));
    }

    pub(super) fn last(&self) -> T {
        self.0.back().map(|(_, value)| *value).unwrap_or_default()
    }

    /// The value that a collector held after the report of this number.
    pub(super) fn as_of(&self, seq: u64) -> T {
        let sent = self.0.iter().rev().find(|(sent, _)| *sent <= seq);
        sent.map(|(_, value)| *value).unwrap_or_default()
    }
}

/// Own work at one upstream.
#[derive(Debug)]
pub(super) struct OwnUpstream {
    pub(super) echo: Echo,
    pub(super) group: LoadGroup,
    pub(super) counts: WorkCounts,
    /// When the beginning of work there was last recorded for its service.
    pub(super) recorded_at: Time,
    pub(super) sent: SentValues<WorkCounts>,
}

/// Own work at the upstreams of a group at one time.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Sample {
    in_flight: u32,
    /// Largest number of open flows at one upstream, zero if it isn't sampled.
    most_flows: u32,
}

/// Own work at the upstreams of a group.
#[derive(Debug)]
pub(super) struct OwnGroup {
    pub(super) upstreams: BTreeSet<UpstreamId>,
    /// Work in flight as it was reported.
    pub(super) sent: SentValues<u32>,
    /// When work in flight is sampled next.
    sample_due: Time,
    /// When a sample was last reported.
    sampled_at: Time,
    /// When all values were last sent; `None` unless the service has been busy since.
    all_at: Option<Time>,
}

impl OwnGroup {
    pub(super) fn new(sample_due: Time) -> Self {
        Self {
            upstreams: BTreeSet::new(),
            sent: SentValues::default(),
            sample_due,
            sampled_at: Time::default(),
            all_at: None,
        }
    }

    /// What the report of this number says, if one is due. An instance that `has_interest` reports even that it has no
    /// work. Samples include the open flows if `samples_flows`. `at` is the number and the time of the report.
    pub(super) fn report(
        &mut self,
        upstreams: &mut HashMap<UpstreamId, OwnUpstream>,
        pace: Pace,
        has_interest: bool,
        samples_flows: impl FnOnce() -> bool,
        at: (u64, Time),
    ) -> Option<ReportedWork> {
        match pace {
            Pace::Busy => self.detail(upstreams, has_interest, at),
            Pace::Rising => self.sample_often(upstreams, samples_flows, at),
            Pace::Quiet => self.sample(upstreams, samples_flows, at),
        }
    }

    /// A sample, if one is due and shows any work or flows.
    fn sample(
        &mut self,
        upstreams: &mut HashMap<UpstreamId, OwnUpstream>,
        samples_flows: impl FnOnce() -> bool,
        (seq, now): (u64, Time),
    ) -> Option<ReportedWork> {
        let sample = self.take_sample(upstreams, SAMPLE_INTERVAL, samples_flows, now)?;
        (sample != Sample::default()).then(|| self.report_sample(sample, seq, now))
    }

    /// A sample, if one is due and its work in flight differs from the previous one, or that one is about to expire.
    fn sample_often(
        &mut self,
        upstreams: &mut HashMap<UpstreamId, OwnUpstream>,
        samples_flows: impl FnOnce() -> bool,
        (seq, now): (u64, Time),
    ) -> Option<ReportedWork> {
        self.sample_due = self.sample_due.min(now + RISING_INTERVAL);
        let sample = self.take_sample(upstreams, RISING_INTERVAL, samples_flows, now)?;
        let is_repeated = sample != Sample::default() && now.since(self.sampled_at) >= REPEAT_AFTER;
        (sample.in_flight != self.sent.last() || is_repeated).then(|| self.report_sample(sample, seq, now))
    }

    fn report_sample(&mut self, sample: Sample, seq: u64, now: Time) -> ReportedWork {
        self.sampled_at = now;
        self.sent.push(seq, sample.in_flight);
        match sample.most_flows {
            0 => ReportedWork::Sum(sample.in_flight),
            most_flows => ReportedWork::SumWithFlows(sample.in_flight, most_flows),
        }
    }

    /// A sample, if one is due.
    fn take_sample(
        &mut self,
        upstreams: &mut HashMap<UpstreamId, OwnUpstream>,
        interval: Duration,
        samples_flows: impl FnOnce() -> bool,
        now: Time,
    ) -> Option<Sample> {
        self.all_at = None;
        if now < self.sample_due {
            return None;
        }
        // Keeps the phase, except after a pause of this process.
        self.sample_due = (self.sample_due + interval).max(now);
        let own = self.upstreams.iter().filter_map(|id| upstreams.get(id));
        let in_flight = own.clone().map(|own| own.counts.in_flight).sum();
        let most_flows = own.map(|own| own.counts.open_flows).max().filter(|_| samples_flows());
        self.remove_idle(upstreams, OwnUpstream::is_idle);
        Some(Sample {
            in_flight,
            most_flows: most_flows.unwrap_or_default(),
        })
    }

    /// All values if they are due, or those that have changed since the previous report.
    fn detail(
        &mut self,
        upstreams: &mut HashMap<UpstreamId, OwnUpstream>,
        has_interest: bool,
        (seq, now): (u64, Time),
    ) -> Option<ReportedWork> {
        let is_all = self.all_at.is_none_or(|at| now.since(at) >= FULL_INTERVAL);
        if is_all {
            // The collector learns from their absence that they are idle.
            self.remove_idle(upstreams, |own| own.is_idle() && !own.has_changed());
        }
        let own = self.upstreams.iter().filter_map(|id| upstreams.get(id));
        let values = own.clone().filter(|own| is_all || own.has_changed());
        let values: Vec<(Echo, WorkCounts)> = values.map(|own| (own.echo, own.counts)).collect();
        if values.is_empty() && !(is_all && has_interest) {
            return None;
        }
        self.sent.push(seq, own.map(|own| own.counts.in_flight).sum());
        for id in &self.upstreams {
            if let Some(own) = upstreams.get_mut(id).filter(|own| own.has_changed()) {
                own.sent.push(seq, own.counts);
            }
        }
        if !is_all {
            return Some(ReportedWork::Changed(values));
        }
        self.all_at = Some(now);
        Some(ReportedWork::All(values))
    }

    fn remove_idle(
        &mut self,
        upstreams: &mut HashMap<UpstreamId, OwnUpstream>,
        is_idle: impl Fn(&OwnUpstream) -> bool,
    ) {
        self.upstreams.retain(|id| {
            let is_kept = upstreams.get(id).is_some_and(|own| !is_idle(own));
            if !is_kept {
                upstreams.remove(id);
            }
            is_kept
        });
    }
}

impl OwnUpstream {
    pub(super) fn is_idle(&self) -> bool {
        self.counts.in_flight == 0 && self.counts.open_flows == 0
    }

    /// Whether the counts differ from those that were last reported.
    pub(super) fn has_changed(&self) -> bool {
        self.counts != self.sent.last()
    }
}
