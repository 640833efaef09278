//! This instance's own work at upstreams: the counts, what was reported of them, and which reports are due.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use units::Time;
use units::ZoneName;

use super::Budget;
use super::COLLECTOR_COUNT;
use super::LoadGroup;
use super::LoadReport;
use super::ReportedWork;
use super::WorkCounts;
use crate::flows::FlowKey;
use crate::packet::Echo;
use crate::upstream::UpstreamId;

/// How long an opening counts as in flight: clients that give up send nothing that ends it.
const MAX_OPENING: Duration = Duration::from_secs(1);
/// How long a request counts as in flight if its answer is never seen.
const MAX_REQUEST: Duration = Duration::from_secs(2);
/// Interval at which work in flight is sampled while a service isn't busy.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which all values are sent while a service is busy: at every tenth call, also if calls come a bit early.
const FULL_INTERVAL: Duration = Duration::from_millis(980);
/// How long an instance without work at a busy service still asks for digests, so that it has a view for its next flow.
const INTEREST: Duration = Duration::from_secs(5);
/// Number of reported values kept for each upstream and group: a report every 100 milliseconds over the time for which
/// a digest is valid.
const MAX_SENT: usize = 12;

/// Whether work is an opening or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkKind {
    Opening,
    Request,
}

/// Work in flight that stops counting when it is due, unless it has ended before.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkDeadline {
    pub(crate) kind: WorkKind,
    pub(crate) due: Time,
    pub(crate) key: FlowKey,
    /// When the work began.
    pub(crate) since: Time,
}

/// Values as they were reported, by the numbers of the reports.
#[derive(Debug, Default, Clone)]
struct SentValues<T>(VecDeque<(u32, T)>);

impl<T: Copy + Default + PartialEq> SentValues<T> {
    fn push(&mut self, seq: u32, value: T) {
        if self.0.len() == MAX_SENT {
            self.0.pop_front();
        }
        self.0.push_back((seq, value));
    }

    fn last(&self) -> T {
        self.0.back().map(|(_, value)| *value).unwrap_or_default()
    }

    /// The value that a collector held after the report of this number.
    fn as_of(&self, seq: u32) -> T {
        let sent = self.0.iter().rev().find(|(sent, _)| *sent <= seq);
        sent.map(|(_, value)| *value).unwrap_or_default()
    }
}

/// Own work at one upstream.
#[derive(Debug)]
struct OwnUpstream {
    echo: Echo,
    group: LoadGroup,
    counts: WorkCounts,
    sent: SentValues<WorkCounts>,
}

/// Own work at the upstreams of a group.
#[derive(Debug)]
struct OwnGroup {
    upstreams: BTreeSet<UpstreamId>,
    /// Number of the latest report.
    seq: u32,
    /// Work in flight as it was reported.
    sent: SentValues<u32>,
    /// When work in flight is sampled next.
    sample_due: Time,
    /// When all values were last sent, if the latest report had values of upstreams.
    all_at: Option<Time>,
}

impl OwnGroup {
    fn new(sample_due: Time) -> Self {
        Self {
            upstreams: BTreeSet::new(),
            seq: 0,
            sent: SentValues::default(),
            sample_due,
            all_at: None,
        }
    }

    /// Begins the next report, which gives this work in flight.
    fn next_seq(&mut self, in_flight: u32) -> u32 {
        self.seq += 1;
        self.sent.push(self.seq, in_flight);
        self.seq
    }
}

/// This instance's own work.
#[derive(Debug, Default)]
pub(crate) struct OwnWork {
    upstreams: HashMap<UpstreamId, OwnUpstream>,
    groups: BTreeMap<LoadGroup, OwnGroup>,
    /// When work last began at each service.
    begun_at: HashMap<CompactString, Time>,
    pub(crate) budget: Budget,
    /// The first group whose report was put off for lack of budget.
    next_group: Option<LoadGroup>,
    /// Deadlines of work in flight, ordered by due time, with one queue for each kind.
    openings: VecDeque<WorkDeadline>,
    requests: VecDeque<WorkDeadline>,
}

impl OwnWork {
    /// Whether there is a record of an upstream.
    pub(crate) fn contains(&self, id: UpstreamId) -> bool {
        self.upstreams.contains_key(&id)
    }

    /// Adds a record of an upstream. `phase` is the time until the first sample of its group, random within a second,
    /// so that samples are independent of when work begins.
    pub(crate) fn insert(&mut self, id: UpstreamId, echo: Echo, group: LoadGroup, phase: Duration, now: Time) {
        let own = self.groups.entry(group.clone());
        let own = own.or_insert_with(|| OwnGroup::new(now + phase));
        own.upstreams.insert(id);
        let upstream = OwnUpstream {
            echo,
            group,
            counts: WorkCounts::default(),
            sent: SentValues::default(),
        };
        self.upstreams.insert(id, upstream);
    }

    /// Own work at an upstream.
    pub(crate) fn counts(&self, id: UpstreamId) -> WorkCounts {
        self.upstreams.get(&id).map(|own| own.counts).unwrap_or_default()
    }

    /// Own work in flight at all upstreams.
    pub(crate) fn in_flight(&self) -> u32 {
        self.upstreams.values().map(|own| own.counts.in_flight).sum()
    }

    /// Own work at an upstream as the report of this number gave it.
    pub(super) fn counts_as_of(&self, id: UpstreamId, seq: u32) -> WorkCounts {
        let own = self.upstreams.get(&id);
        own.map(|own| own.sent.as_of(seq)).unwrap_or_default()
    }

    /// Own work in flight at a group, now and as the report of this number gave it.
    pub(super) fn group_in_flight(&self, group: &LoadGroup, seq: u32) -> (u32, u32) {
        let Some(own) = self.groups.get(group) else {
            return (0, 0);
        };
        let now = own.upstreams.iter().map(|id| self.counts(*id).in_flight).sum();
        (now, own.sent.as_of(seq))
    }

    /// Counts an open flow.
    pub(crate) fn open(&mut self, id: UpstreamId) {
        if let Some(own) = self.upstreams.get_mut(&id) {
            own.counts.open_flows += 1;
        }
    }

    /// Counts the end of a flow.
    pub(crate) fn close(&mut self, id: UpstreamId) {
        if let Some(own) = self.upstreams.get_mut(&id) {
            own.counts.open_flows = own.counts.open_flows.saturating_sub(1);
        }
    }

    /// Counts work that begins.
    pub(crate) fn begin(&mut self, id: UpstreamId, key: FlowKey, kind: WorkKind, now: Time) {
        let Some(own) = self.upstreams.get_mut(&id) else {
            return;
        };
        own.counts.in_flight += 1;
        match self.begun_at.get_mut(&own.group.service) {
            Some(at) => *at = now,
            None => {
                self.begun_at.insert(own.group.service.clone(), now);
            }
        }
        let (queue, lasts) = match kind {
            WorkKind::Opening => (&mut self.openings, MAX_OPENING),
            WorkKind::Request => (&mut self.requests, MAX_REQUEST),
        };
        let (due, since) = (now + lasts, now);
        queue.push_back(WorkDeadline { kind, due, key, since });
    }

    /// Counts the end of work in flight. Returns whether it was counted.
    pub(crate) fn end(&mut self, id: UpstreamId) -> bool {
        let Some(own) = self.upstreams.get_mut(&id) else {
            return false;
        };
        let was_counted = own.counts.in_flight > 0;
        own.counts.in_flight = own.counts.in_flight.saturating_sub(1);
        was_counted
    }

    /// Counts an answered request.
    pub(crate) fn complete(&mut self, id: UpstreamId) {
        if let Some(own) = self.upstreams.get_mut(&id) {
            own.counts.completed = own.counts.completed.wrapping_add(1);
        }
    }

    /// Removes and returns the next work whose deadline has passed.
    pub(crate) fn pop_deadline(&mut self, now: Time) -> Option<WorkDeadline> {
        let openings = self.openings.pop_front_if(|work| work.due <= now);
        openings.or_else(|| self.requests.pop_front_if(|work| work.due <= now))
    }
}

impl OwnWork {
    /// Takes the reports that are due. Upstreams of a service that `is_busy` are reported in detail, otherwise only work
    /// in flight is sampled. Reports that the budget has no room for are put off.
    pub(crate) fn take_reports(
        &mut self,
        own_zone: &ZoneName,
        is_busy: impl Fn(&str) -> bool,
        now: Time,
    ) -> Vec<LoadReport> {
        let mut reports = Vec::new();
        self.budget.refill(now);
        let first = self.next_group.take();
        let is_later = |key: &LoadGroup| first.as_ref().is_none_or(|first| key >= first);
        for turn in [true, false] {
            for (key, group) in self.groups.iter_mut().filter(|(key, _)| is_later(key) == turn) {
                if self.budget.is_used_up() {
                    self.next_group.get_or_insert_with(|| key.clone());
                    break;
                }
                let work = if is_busy(&key.service) {
                    let begun_at = self.begun_at.get(&key.service);
                    let has_interest = begun_at.is_some_and(|at| now.since(*at) < INTEREST);
                    group.detail(&mut self.upstreams, has_interest, now)
                } else {
                    group.sample(&mut self.upstreams, now)
                };
                let Some(work) = work else {
                    continue;
                };
                self.budget.spend(COLLECTOR_COUNT);
                reports.push(LoadReport {
                    group: key.clone(),
                    seq: group.seq,
                    is_from_other_zone: key.zone != *own_zone,
                    work,
                });
            }
        }
        reports
    }

    /// Adds the groups of the own zone of a busy service that work has recently begun at.
    pub(crate) fn add_groups(&mut self, groups: impl Iterator<Item = LoadGroup>, now: Time) {
        for group in groups {
            self.groups.entry(group).or_insert_with(|| OwnGroup::new(now));
        }
    }

    /// The services at which work has begun recently.
    pub(crate) fn recent_services(&self, now: Time) -> impl Iterator<Item = &CompactString> {
        let recent = self.begun_at.iter().filter(move |(_, at)| now.since(**at) < INTEREST);
        recent.map(|(service, _)| service)
    }

    /// Moves the records of upstreams whose group has changed, and removes those without a group. Upstreams change
    /// groups when others of a large service come or go.
    pub(crate) fn regroup(&mut self, group_of: impl Fn(UpstreamId) -> Option<LoadGroup>, now: Time) {
        let groups = &mut self.groups;
        self.upstreams.retain(|id, own| {
            let group = group_of(*id);
            if group.as_ref() == Some(&own.group) {
                return true;
            }
            if let Some(old) = groups.get_mut(&own.group) {
                old.upstreams.remove(id);
            }
            let Some(group) = group else {
                return false;
            };
            own.group = group.clone();
            own.sent = SentValues::default();
            let group = groups.entry(group).or_insert_with(|| OwnGroup::new(now));
            group.upstreams.insert(*id)
        });
        self.begun_at.retain(|_, at| now.since(*at) < INTEREST);
        let begun_at = &self.begun_at;
        groups.retain(|key, group| !group.upstreams.is_empty() || begun_at.contains_key(&key.service));
    }
}

impl OwnGroup {
    /// The work in flight, if a sample is due and there is any.
    fn sample(&mut self, upstreams: &mut HashMap<UpstreamId, OwnUpstream>, now: Time) -> Option<ReportedWork> {
        self.all_at = None;
        if now < self.sample_due {
            return None;
        }
        // Keeps the phase, except after a pause of this process.
        self.sample_due = (self.sample_due + SAMPLE_INTERVAL).max(now);
        let own = self.upstreams.iter().filter_map(|id| upstreams.get(id));
        let in_flight = own.map(|own| own.counts.in_flight).sum();
        self.remove_idle(upstreams, OwnUpstream::is_idle);
        if in_flight == 0 {
            return None;
        }
        self.next_seq(in_flight);
        Some(ReportedWork::Sum(in_flight))
    }

    /// All values if they are due, or those that have changed since the previous report.
    fn detail(
        &mut self,
        upstreams: &mut HashMap<UpstreamId, OwnUpstream>,
        has_interest: bool,
        now: Time,
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
        let seq = self.next_seq(own.map(|own| own.counts.in_flight).sum());
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
    fn is_idle(&self) -> bool {
        self.counts.in_flight == 0 && self.counts.open_flows == 0
    }

    /// Whether the counts differ from those that were last reported.
    fn has_changed(&self) -> bool {
        self.counts != self.sent.last()
    }
}
