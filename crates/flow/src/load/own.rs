//! This instance's own work at upstreams: the counts, what was reported of them, and which reports are due.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use units::Time;

use super::LoadGroup;
use super::WorkCounts;
use crate::flows::FlowKey;
use crate::packet::Echo;
use crate::upstream::UpstreamId;

/// How long an opening counts as in flight: clients that give up send nothing that ends it.
const MAX_OPENING: Duration = Duration::from_secs(1);
/// How long a request counts as in flight if its answer is never seen.
const MAX_REQUEST: Duration = Duration::from_secs(2);
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
#[derive(Debug, Default)]
struct OwnGroup {
    upstreams: BTreeSet<UpstreamId>,
    /// Work in flight as it was reported.
    sent: SentValues<u32>,
}

/// This instance's own work.
#[derive(Debug, Default)]
pub(crate) struct OwnWork {
    upstreams: HashMap<UpstreamId, OwnUpstream>,
    groups: BTreeMap<LoadGroup, OwnGroup>,
    /// When work last began at each service.
    begun_at: HashMap<CompactString, Time>,
    /// Deadlines of work in flight, ordered by due time, with one queue for each kind.
    openings: VecDeque<WorkDeadline>,
    requests: VecDeque<WorkDeadline>,
}

impl OwnWork {
    /// Whether there is a record of an upstream.
    pub(crate) fn contains(&self, id: UpstreamId) -> bool {
        self.upstreams.contains_key(&id)
    }

    /// Adds a record of an upstream.
    pub(crate) fn insert(&mut self, id: UpstreamId, echo: Echo, group: LoadGroup) {
        self.groups.entry(group.clone()).or_default().upstreams.insert(id);
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
        queue.push_back(WorkDeadline { due, key, since });
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
