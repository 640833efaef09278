//! The sums of one group of upstreams, from the reports of all instances.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use units::Incarnation;
use units::Time;

use super::ClassLoad;
use super::LoadReport;
use super::ReportedWork;
use super::UpstreamSum;
use super::WorkCounts;
use super::ZoneLoad;
use super::service_time::ServiceTime;
use super::to_micros;
use crate::packet::Echo;
use crate::report::ReporterId;

/// How long an instance counts as a reporter, and gets digests, after its latest report.
const REPORTER_VALIDITY: Duration = Duration::from_secs(2);
/// How long a reported sum counts: the interval of samples of a service that isn't busy.
const SAMPLE_VALIDITY: Duration = Duration::from_secs(1);
/// How long reports are collected before the first digest. By then, every instance has sent all of its values.
const WARM_UP: Duration = Duration::from_secs(1);
/// The details of upstreams are withheld while more than one in this many requests is known only as part of a sum.
const MAX_UNDETAILED_ONE_IN: u32 = 8;

/// An upstream of a group, as the directory lists it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListedSlots {
    pub(crate) echo: Echo,
    pub(crate) slots: u32,
    /// Whether it takes new flows.
    pub(crate) is_open: bool,
}

/// An instance that gets the digests of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRecipient {
    /// The instance.
    pub name: ReporterId,
    /// Number of its latest report that the sums include, zero if they include none.
    pub included: u64,
    /// Whether it is in another availability zone, and so gets only sums.
    pub is_in_other_zone: bool,
}

/// The latest values of one instance.
#[derive(Debug)]
struct Contribution {
    incarnation: Incarnation,
    seq: u64,
    at: Time,
    is_in_other_zone: bool,
    /// Work in flight that is known only as a sum over the group.
    sum: u32,
    /// Largest number of open flows at one upstream.
    most_flows: u32,
    /// Openings by class.
    classes: Vec<ClassLoad>,
    by_upstream: HashMap<Echo, WorkCounts>,
    /// Whether all values were received once, so that an upstream without a value had none.
    is_complete: bool,
}

/// Sums of one upstream.
#[derive(Debug, Default)]
struct UpstreamTotals {
    in_flight: u32,
    open_flows: u32,
    service_time: ServiceTime,
}

impl UpstreamTotals {
    /// Replaces the values of one instance.
    fn replace(&mut self, old: WorkCounts, new: WorkCounts, completed: u32, now: Time) {
        self.service_time.advance(self.in_flight, now);
        self.service_time.add_completed(completed);
        let replaced = |total: u32, old: u32, new: u32| total.saturating_sub(old).saturating_add(new);
        self.in_flight = replaced(self.in_flight, old.in_flight, new.in_flight);
        self.open_flows = replaced(self.open_flows, old.open_flows, new.open_flows);
    }
}

/// Sums of one group.
#[derive(Debug)]
pub(super) struct GroupSums {
    /// When this instance began to collect.
    since: Time,
    reporters: BTreeMap<ReporterId, Contribution>,
    upstreams: HashMap<Echo, UpstreamTotals>,
}

/// The number of requests completed since the earlier count. A count that went back belongs to a record that was begun
/// anew.
fn completed_since(earlier: u32, later: u32) -> u32 {
    let completed = later.wrapping_sub(earlier);
    if completed > u32::MAX / 2 { 0 } else { completed }
}

impl GroupSums {
    pub(super) fn new(now: Time) -> Self {
        Self {
            since: now,
            reporters: BTreeMap::new(),
            upstreams: HashMap::new(),
        }
    }

    /// Starts the warm-up anew, after a time in which no reports were read.
    pub(super) fn restart(&mut self, now: Time) {
        self.since = now;
    }

    /// Whether every instance has had the time to send all of its values.
    pub(super) fn is_warm(&self, now: Time) -> bool {
        now.since(self.since) >= WARM_UP
    }

    /// Whether the sums may be told to others: they are complete, or all of them are samples. Samples of a few
    /// instances are too low, as a view without them would be, but values by upstream mean that another collector knows
    /// more.
    pub(super) fn may_answer(&self, now: Time) -> bool {
        self.is_warm(now) || !self.reporters.values().any(Contribution::is_detailed)
    }

    pub(super) fn is_unused(&self) -> bool {
        self.reporters.is_empty()
    }

    /// Applies a report. Returns whether it is the sender's latest.
    pub(super) fn add(
        &mut self,
        (from, incarnation): (ReporterId, Incarnation),
        report: &LoadReport,
        now: Time,
    ) -> bool {
        let held = self.reporters.get(&from);
        if held.is_some_and(|held| (held.incarnation, held.seq) >= (incarnation, report.seq)) {
            return false;
        }
        if held.is_some_and(|held| held.incarnation != incarnation) {
            self.remove(from, now);
        }
        let Self {
            reporters, upstreams, ..
        } = self;
        let held = reporters.entry(from).or_insert_with(|| Contribution {
            incarnation,
            seq: report.seq,
            at: now,
            is_in_other_zone: report.is_from_other_zone,
            sum: 0,
            most_flows: 0,
            classes: Vec::new(),
            by_upstream: HashMap::new(),
            is_complete: false,
        });
        held.seq = report.seq;
        held.at = now;
        held.is_in_other_zone = report.is_from_other_zone;
        held.classes.clone_from(&report.classes);
        held.apply(&report.work, upstreams, now);
        true
    }

    /// Drops the values of an instance.
    pub(super) fn remove(&mut self, from: ReporterId, now: Time) {
        if let Some(mut held) = self.reporters.remove(&from) {
            held.clear(&mut self.upstreams, now);
        }
    }

    /// Drops the values of instances without a recent message.
    pub(super) fn expire(&mut self, now: Time) {
        let upstreams = &mut self.upstreams;
        for held in self.reporters.values_mut() {
            if now.since(held.at) >= SAMPLE_VALIDITY {
                held.sum = 0;
                held.classes.clear();
            }
            if now.since(held.at) >= REPORTER_VALIDITY {
                held.clear(upstreams, now);
            }
        }
        self.reporters.retain(|_, held| now.since(held.at) < REPORTER_VALIDITY);
        self.upstreams
            .retain(|_, totals| totals.open_flows > 0 || totals.in_flight > 0 || !totals.service_time.is_idle());
    }

    /// Work in flight that is known only as sums.
    fn undetailed(&self) -> u32 {
        let sums = self.reporters.values().map(|held| held.sum);
        sums.fold(0, u32::saturating_add)
    }

    /// Upper bound of the open flows at any upstream: each instance's largest number, added up. It is the same from
    /// samples as from values by upstream, so a service doesn't alternate between the two.
    pub(super) fn most_flows(&self) -> u32 {
        let most = self.reporters.values().map(|held| held.most_flows);
        most.fold(0, u32::saturating_add)
    }

    /// Openings by class.
    pub(super) fn classes(&self) -> Vec<ClassLoad> {
        ClassLoad::sums(self.reporters.values().flat_map(|held| &held.classes))
    }

    /// Load of the group.
    pub(super) fn load(&mut self, listed: &[ListedSlots], now: Time) -> ZoneLoad {
        let mut load = ZoneLoad {
            in_flight: self.undetailed(),
            ..ZoneLoad::default()
        };
        let mut service_time = ServiceTime::default();
        for upstream in listed.iter().filter(|upstream| upstream.is_open) {
            load.slots += upstream.slots;
            let Some(totals) = self.upstreams.get_mut(&upstream.echo) else {
                continue;
            };
            totals.service_time.set_slots(upstream.slots);
            totals.service_time.advance(totals.in_flight, now);
            load.in_flight = load.in_flight.saturating_add(totals.in_flight);
            service_time.merge(&totals.service_time);
        }
        load.service_time = service_time.mean();
        load
    }

    /// Sums by upstream, or `None` while they lack much of the work.
    pub(super) fn upstream_sums(&self) -> Option<Vec<UpstreamSum>> {
        let sums = self.upstreams.iter().map(|(echo, totals)| UpstreamSum {
            echo: *echo,
            in_flight: totals.in_flight,
            open_flows: totals.open_flows,
            service_us: to_micros(totals.service_time.mean()),
        });
        let mut sums: Vec<UpstreamSum> = sums.collect();
        sums.sort_unstable_by_key(|sum| sum.echo);
        let undetailed = self.undetailed();
        let detailed = sums.iter().map(|sum| sum.in_flight);
        let detailed = detailed.fold(0, u32::saturating_add);
        (undetailed.saturating_mul(MAX_UNDETAILED_ONE_IN) <= detailed.saturating_add(undetailed)).then_some(sums)
    }

    /// The instances that have reported at the given time or later.
    pub(super) fn recipients(&self, since: Time) -> Vec<LoadRecipient> {
        let recent = self.reporters.iter().filter(|(_, held)| held.at >= since);
        let recipients = recent.map(|(name, held)| LoadRecipient {
            name: *name,
            included: if held.is_counted() { held.seq } else { 0 },
            is_in_other_zone: held.is_in_other_zone,
        });
        recipients.collect()
    }
}

impl Contribution {
    /// Whether it has values by upstream.
    fn is_detailed(&self) -> bool {
        self.is_complete || !self.by_upstream.is_empty()
    }

    /// Whether the sums include any of it.
    fn is_counted(&self) -> bool {
        self.sum > 0 || !self.by_upstream.is_empty()
    }

    fn apply(&mut self, work: &ReportedWork, upstreams: &mut HashMap<Echo, UpstreamTotals>, now: Time) {
        match work {
            ReportedWork::Sum(in_flight) => {
                self.clear(upstreams, now);
                self.sum = *in_flight;
            }
            ReportedWork::SumWithFlows(in_flight, most_flows) => {
                self.clear(upstreams, now);
                self.sum = *in_flight;
                self.most_flows = *most_flows;
            }
            ReportedWork::All(values) => {
                self.sum = 0;
                self.most_flows = 0;
                let kept: HashMap<Echo, WorkCounts> = values.iter().copied().collect();
                let by_upstream = self.by_upstream.iter();
                let gone = by_upstream.filter(|(echo, _)| !kept.contains_key(echo));
                for (echo, old) in gone {
                    let totals = upstreams.entry(*echo).or_default();
                    totals.replace(*old, WorkCounts::default(), 0, now);
                }
                self.by_upstream.retain(|echo, _| kept.contains_key(echo));
                self.set(values, upstreams, now);
                self.is_complete = true;
            }
            ReportedWork::Changed(values) => self.set(values, upstreams, now),
        }
    }

    fn set(&mut self, values: &[(Echo, WorkCounts)], upstreams: &mut HashMap<Echo, UpstreamTotals>, now: Time) {
        for (echo, new) in values {
            self.most_flows = self.most_flows.max(new.open_flows);
            let old = self.by_upstream.insert(*echo, *new);
            // The first count of a sender that was not known before includes requests of long ago.
            let earlier = match old {
                Some(old) => old.completed,
                None if self.is_complete => 0,
                None => new.completed,
            };
            let completed = completed_since(earlier, new.completed);
            let totals = upstreams.entry(*echo).or_default();
            totals.replace(old.unwrap_or_default(), *new, completed, now);
        }
    }

    /// Removes it from the sums.
    fn clear(&mut self, upstreams: &mut HashMap<Echo, UpstreamTotals>, now: Time) {
        self.sum = 0;
        self.most_flows = 0;
        self.is_complete = false;
        for (echo, old) in self.by_upstream.drain() {
            let totals = upstreams.entry(echo).or_default();
            totals.replace(old, WorkCounts::default(), 0, now);
        }
    }
}
