//! This instance's own work at upstreams: the counts, what was reported of them, and which reports are due.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use units::Time;
use units::ZoneName;

use super::COLLECTOR_COUNT;
use super::LoadGroup;
use super::LoadReport;
use super::MessageBudget;
use super::Pace;
use super::WorkCounts;
use super::iter_from;
use super::own_group::OwnGroup;
use super::own_group::OwnUpstream;
use super::own_group::SentValues;
use crate::flows::ATTEMPT_TIMEOUT;
use crate::flows::FlowKey;
use crate::packet::Echo;
use crate::upstream::UpstreamId;

/// How long an opening counts as in flight. A client that gets no answer retransmits after 200 milliseconds; one that
/// sends nothing more by then was refused or has gone.
const MAX_OPENING: Duration = Duration::from_millis(300);
/// How long a request counts as in flight if its answer is never seen.
const MAX_REQUEST: Duration = Duration::from_secs(2);
/// How long an instance without work at a busy service still asks for digests, so that it has a view for its next flow.
const INTEREST: Duration = Duration::from_secs(5);

/// Interval at which the beginning of work at an upstream is recorded for its service, which takes a look-up by name.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

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

/// This instance's own work.
#[derive(Debug, Default)]
pub(crate) struct OwnWork {
    upstreams: HashMap<UpstreamId, OwnUpstream>,
    groups: BTreeMap<LoadGroup, OwnGroup>,
    /// When work last began at each service.
    begun_at: HashMap<CompactString, Time>,
    /// Number of the latest report. It grows over all groups, as the record of an idle group is removed.
    seq: u64,
    pub(crate) budget: MessageBudget,
    /// The first group whose report was put off for lack of budget.
    next_group: Option<LoadGroup>,
    /// Deadlines of work in flight, ordered by due time, with one queue for each kind.
    openings: VecDeque<WorkDeadline>,
    /// Until when a flow without a complete handshake counts as open, ordered in the same way.
    handshakes: VecDeque<WorkDeadline>,
    requests: VecDeque<WorkDeadline>,
}

impl OwnWork {
    /// Adds a record of an upstream. `phase` is the time until the first sample of its group. It must not depend on
    /// when work begins: samples taken at such times would be too high.
    pub(crate) fn insert(&mut self, id: UpstreamId, echo: Echo, group: LoadGroup, phase: Duration, now: Time) {
        let own = self.groups.entry(group.clone());
        let own = own.or_insert_with(|| OwnGroup::new(now + phase));
        own.upstreams.insert(id);
        let upstream = OwnUpstream {
            echo,
            group,
            counts: WorkCounts::default(),
            recorded_at: Time::default(),
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
    pub(super) fn counts_as_of(&self, id: UpstreamId, seq: u64) -> WorkCounts {
        let own = self.upstreams.get(&id);
        own.map(|own| own.sent.as_of(seq)).unwrap_or_default()
    }

    /// Own work in flight at a group, now and as the report of this number gave it.
    pub(super) fn group_in_flight(&self, group: &LoadGroup, seq: u64) -> (u32, u32) {
        let Some(own) = self.groups.get(group) else {
            return (0, 0);
        };
        let now = own.upstreams.iter().map(|id| self.counts(*id).in_flight).sum();
        (now, own.sent.as_of(seq))
    }

    /// Counts an open flow. Returns whether there is a record of its upstream.
    pub(crate) fn open(&mut self, id: UpstreamId) -> bool {
        let Some(own) = self.upstreams.get_mut(&id) else {
            return false;
        };
        own.counts.open_flows += 1;
        true
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
        if now.since(own.recorded_at) >= RECORD_INTERVAL {
            own.recorded_at = now;
            self.begun_at.insert(own.group.service.clone(), now);
        }
        let (queue, lasts) = match kind {
            WorkKind::Opening => (&mut self.openings, MAX_OPENING),
            WorkKind::Request => (&mut self.requests, MAX_REQUEST),
        };
        let (due, since) = (now + lasts, now);
        queue.push_back(WorkDeadline { kind, due, key, since });
        if kind == WorkKind::Opening {
            let due = now + ATTEMPT_TIMEOUT;
            self.handshakes.push_back(WorkDeadline { kind, due, key, since });
        }
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

    /// Removes and returns the next opening whose handshake should have been complete by now.
    pub(crate) fn pop_handshake(&mut self, now: Time) -> Option<WorkDeadline> {
        self.handshakes.pop_front_if(|work| work.due <= now)
    }

    /// Removes and returns the next work whose deadline has passed.
    pub(crate) fn pop_deadline(&mut self, now: Time) -> Option<WorkDeadline> {
        let openings = self.openings.pop_front_if(|work| work.due <= now);
        openings.or_else(|| self.requests.pop_front_if(|work| work.due <= now))
    }
}

impl OwnWork {
    /// Takes the reports that are due at the pace of each service. Open flows are sampled where `has_connection_limit`,
    /// unless groups are many: there is no budget for samples of groups without work in flight. Reports that the budget
    /// has no room for are put off.
    pub(crate) fn take_reports(
        &mut self,
        own_zone: &ZoneName,
        pace: impl Fn(&str) -> Pace,
        has_connection_limit: impl Fn(&str) -> bool,
        now: Time,
    ) -> Vec<LoadReport> {
        let mut reports = Vec::new();
        self.budget.refill(now);
        let first = self.next_group.take();
        for (key, group) in iter_from(&mut self.groups, first.as_ref()) {
            if self.budget.is_used_up() {
                self.next_group = Some(key.clone());
                break;
            }
            // Where groups are many, there is no budget for more samples.
            let pace = match pace(&key.service) {
                Pace::Rising if self.budget.has_many_groups() => Pace::Quiet,
                pace => pace,
            };
            let has_interest = pace == Pace::Busy && has_interest(self.begun_at.get(&key.service), now);
            let samples_flows = || !self.budget.has_many_groups() && has_connection_limit(&key.service);
            let at = (self.seq + 1, now);
            let work = group.report(&mut self.upstreams, pace, has_interest, samples_flows, at);
            let Some(work) = work else {
                continue;
            };
            self.seq += 1;
            self.budget.spend(COLLECTOR_COUNT);
            reports.push(LoadReport {
                group: key.clone(),
                seq: self.seq,
                is_from_other_zone: key.zone != *own_zone,
                work,
                classes: Vec::new(),
            });
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

/// Whether an instance at which work last began then still asks for digests.
fn has_interest(begun_at: Option<&Time>, now: Time) -> bool {
    begun_at.is_some_and(|at| now.since(*at) < INTEREST)
}
