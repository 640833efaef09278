//! The groups that this instance collects: reports come in, digests and the sums of zones go out.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use units::Incarnation;
use units::Time;
use units::ZoneName;

use super::BUSY_PERCENT;
use super::COLLECTOR_COUNT;
use super::ClassLoad;
use super::ListedSlots;
use super::LoadDigest;
use super::LoadGroup;
use super::LoadRecipient;
use super::LoadReport;
use super::MessageBudget;
use super::ZoneClasses;
use super::ZoneLoad;
use super::ZoneLoads;
use super::ZoneSum;
use super::group_sums::GroupSums;
use super::iter_from;
use crate::report::ReporterId;

/// Interval of digests while the service is busy. Calls come every 100 milliseconds or a bit earlier or later, so the
/// intervals here end shortly before the call at which a message is due.
const BUSY_INTERVAL: Duration = Duration::from_millis(80);
/// Interval of digests while the service isn't busy.
const QUIET_INTERVAL: Duration = Duration::from_millis(980);
/// Interval at which collectors exchange sums while the service is busy.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(180);
/// Age from which the sums of another collector no longer count. They are at most 500 milliseconds old when they have
/// passed two collectors. Together with the time for which an instance keeps them, a zone that is cut off is no longer
/// shown within a second.
const SUM_VALIDITY: Duration = Duration::from_millis(700);
/// Longest interval between two calls for which the sums still hold. A longer one means that this process was paused
/// and that reports may be lost.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// The same as [`BUSY_PERCENT`], but below which a busy service no longer is. The distance keeps a service at the limit from alternating.
const QUIET_PERCENT: u32 = 40;

/// A digest and the instances that get it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueDigest {
    /// The digest. The sender sets [`LoadDigest::included`] for each recipient.
    pub digest: LoadDigest,
    /// The recipients.
    pub recipients: Vec<LoadRecipient>,
}

/// Sums of a zone or group as another collector gave them, or as this one last computed them.
#[derive(Debug, Clone, Copy)]
struct KnownSum {
    load: ZoneLoad,
    as_of: Time,
}

/// Openings by class in another zone, as a collector there gave them.
#[derive(Debug, Clone)]
struct KnownClasses {
    loads: Vec<ClassLoad>,
    at: Time,
}

/// One group that this instance collects.
#[derive(Debug)]
struct CollectedGroup {
    sums: GroupSums,
    is_busy: bool,
    /// When the next digest is due.
    digest_due: Time,
    /// When digests were last sent.
    digest_sent: Time,
    /// When the sums are next sent to other collectors.
    exchange_due: Time,
    /// Sums by zone, and by group within the zone; `None` is the whole zone.
    known: BTreeMap<(ZoneName, Option<u16>), KnownSum>,
    /// Openings in the other zones, by class.
    classes: BTreeMap<ZoneName, KnownClasses>,
    /// The latest message of each collector.
    latest: HashMap<ReporterId, (Incarnation, u64)>,
}

/// The groups that this instance collects.
#[derive(Debug, Default)]
pub(crate) struct Collector {
    groups: BTreeMap<LoadGroup, CollectedGroup>,
    pub(crate) budget: MessageBudget,
    /// The first group whose digest was put off for lack of budget.
    next_group: Option<LoadGroup>,
    /// Number of the latest digest or message with sums. It grows over all groups, as those without reporters are
    /// removed.
    seq: u64,
    /// When digests were last asked for, to detect that this process was paused.
    called_at: Time,
}

impl Collector {
    /// Applies a report. Returns whether it is the sender's latest.
    pub(crate) fn add_report(&mut self, from: (ReporterId, Incarnation), report: &LoadReport, now: Time) -> bool {
        self.group(&report.group, now).sums.add(from, report, now)
    }

    /// Applies the sums of another collector. Returns whether the message is the sender's latest.
    pub(crate) fn add_zone_loads(
        &mut self,
        (from, incarnation): (ReporterId, Incarnation),
        loads: &ZoneLoads,
        now: Time,
    ) -> bool {
        let group = self.group(&loads.to, now);
        let latest = (incarnation, loads.seq);
        if group.latest.get(&from).is_some_and(|held| *held >= latest) {
            return false;
        }
        group.latest.insert(from, latest);
        for sum in &loads.zones {
            let as_of = now.before(Duration::from_millis(sum.age_ms.into()));
            let key = (sum.zone.clone(), sum.group);
            if group.known.get(&key).is_none_or(|held| held.as_of <= as_of) {
                group.known.insert(key, KnownSum { load: sum.load, as_of });
            }
        }
        if let Some(ZoneClasses { zone, loads }) = loads.classes.clone() {
            group.classes.insert(zone, KnownClasses { loads, at: now });
        }
        true
    }

    /// Drops the values of an instance that is down.
    pub(crate) fn remove_reporter(&mut self, from: ReporterId, now: Time) {
        for group in self.groups.values_mut() {
            group.sums.remove(from, now);
        }
    }

    fn group(&mut self, key: &LoadGroup, now: Time) -> &mut CollectedGroup {
        if !self.groups.contains_key(key) {
            self.groups.insert(key.clone(), CollectedGroup::new(now));
        }
        self.groups.get_mut(key).expect("the group was inserted above")
    }

    /// Takes the digests that are due. `listed` gives the upstreams of a group, and `connection_limit` the limit for
    /// each upstream of a service.
    pub(crate) fn take_digests(
        &mut self,
        listed: impl Fn(&LoadGroup) -> Vec<ListedSlots>,
        connection_limit: impl Fn(&str) -> Option<u32>,
        now: Time,
    ) -> Vec<DueDigest> {
        let was_paused = now.since(std::mem::replace(&mut self.called_at, now)) > MAX_PAUSE;
        for (key, group) in &mut self.groups {
            if was_paused {
                group.sums.restart(now);
            }
            group.update(key, &listed(key), connection_limit(&key.service), now);
        }
        let mut due = Vec::new();
        self.budget.refill(now);
        let answers_only = self.budget.has_many_groups();
        let first = self.next_group.take();
        for (key, group) in iter_from(&mut self.groups, first.as_ref()) {
            if self.budget.is_used_up() {
                self.next_group = Some(key.clone());
                break;
            }
            if let Some(digest) = group.take_digest(key, answers_only, self.seq + 1, now) {
                self.seq += 1;
                self.budget.spend(digest.recipients.len());
                due.push(digest);
            }
        }
        self.groups.retain(|key, group| !group.is_unused(key));
        due
    }

    /// Takes the sums to send to other collectors, before the digests use up the budget. `zones` gives the zones of a
    /// service, each with its number of groups.
    pub(crate) fn take_zone_loads(
        &mut self,
        zones: impl Fn(&str) -> Vec<(ZoneName, u16)>,
        now: Time,
    ) -> Vec<ZoneLoads> {
        let mut due = Vec::new();
        self.budget.refill(now);
        for (key, group) in &mut self.groups {
            let is_due = group.is_busy && group.sums.is_warm(now) && now >= group.exchange_due;
            if !is_due || self.budget.is_used_up() {
                continue;
            }
            group.exchange_due = now + EXCHANGE_INTERVAL;
            let own_classes = group.own_classes(key);
            for (to, zones) in group.sums_to_send(key, &zones(&key.service), now) {
                self.seq += 1;
                self.budget.spend(COLLECTOR_COUNT);
                let classes = own_classes.clone().filter(|own| own.zone != to.zone);
                due.push(ZoneLoads {
                    to,
                    seq: self.seq,
                    zones,
                    classes,
                });
            }
        }
        due
    }
}

impl CollectedGroup {
    fn new(now: Time) -> Self {
        Self {
            sums: GroupSums::new(now),
            is_busy: false,
            digest_due: now,
            digest_sent: Time::default(),
            exchange_due: now,
            known: BTreeMap::new(),
            classes: BTreeMap::new(),
            latest: HashMap::new(),
        }
    }

    /// Recomputes the sums, and whether the service is busy.
    fn update(&mut self, key: &LoadGroup, listed: &[ListedSlots], connection_limit: Option<u32>, now: Time) {
        self.sums.expire(now);
        self.known.retain(|_, sum| now.since(sum.as_of) < SUM_VALIDITY);
        self.classes.retain(|_, classes| now.since(classes.at) < SUM_VALIDITY);
        let load = self.sums.load(listed, now);
        let own = (key.zone.clone(), Some(key.number));
        self.known.insert(own, KnownSum { load, as_of: now });
        let percent = if self.is_busy { QUIET_PERCENT } else { BUSY_PERCENT };
        let is_above = |sum: &KnownSum| {
            let ZoneLoad { slots, in_flight, .. } = sum.load;
            slots > 0 && in_flight.saturating_mul(100) >= slots.saturating_mul(percent)
        };
        let was_busy = self.is_busy;
        let most_flows = self.sums.most_flows();
        // Without values by upstream, the limit could not be kept for flows that are idle.
        let is_near_limit =
            connection_limit.is_some_and(|limit| most_flows.saturating_mul(100) >= limit.saturating_mul(percent));
        self.is_busy = is_near_limit || self.known.values().any(is_above);
        if self.is_busy && !was_busy {
            self.digest_due = now;
        }
    }

    /// Takes the digest, if it is due: while busy for all recent reporters, else for those that reported since the
    /// previous one.
    fn take_digest(&mut self, key: &LoadGroup, answers_only: bool, seq: u64, now: Time) -> Option<DueDigest> {
        if now < self.digest_due || !self.sums.may_answer(now) {
            return None;
        }
        self.digest_due = now + if self.is_busy { BUSY_INTERVAL } else { QUIET_INTERVAL };
        let sent = std::mem::replace(&mut self.digest_sent, now);
        let is_to_all = self.is_busy && !answers_only;
        let since = if is_to_all { Time::default() } else { sent };
        let recipients = self.sums.recipients(since);
        if recipients.is_empty() {
            return None;
        }
        let upstreams = self.is_busy.then(|| self.sums.upstream_sums()).flatten();
        let zones = self.zone_totals(key).into_iter();
        let digest = LoadDigest {
            group: key.clone(),
            seq,
            included: 0,
            is_busy: self.is_busy,
            upstreams,
            zones: zones.map(|(zone, sum)| (zone, sum.load)).collect(),
            classes: self.all_classes(),
        };
        Some(DueDigest { digest, recipients })
    }

    /// Openings by class at the instances of this zone, if the group is the one that they are reported for.
    fn own_classes(&self, key: &LoadGroup) -> Option<ZoneClasses> {
        let loads = self.sums.classes();
        (!loads.is_empty()).then(|| ZoneClasses {
            zone: key.zone.clone(),
            loads,
        })
    }

    /// Openings by class at all instances.
    fn all_classes(&self) -> Vec<ClassLoad> {
        let own = self.sums.classes();
        let others = self.classes.values().flat_map(|classes| &classes.loads);
        ClassLoad::sums(own.iter().chain(others))
    }

    /// Sums of whole zones. The collectors of a zone's first group add up all groups and send the total to the others,
    /// which add up the groups that they know until they have it.
    fn zone_totals(&self, key: &LoadGroup) -> BTreeMap<ZoneName, KnownSum> {
        let whole = self.known.iter().filter(|((_, group), _)| group.is_none());
        let mut zones: BTreeMap<ZoneName, KnownSum> = whole.map(|((zone, _), sum)| (zone.clone(), *sum)).collect();
        if key.number == 0 || !zones.contains_key(&key.zone) {
            let groups = self
                .known
                .iter()
                .filter(|((zone, group), _)| *zone == key.zone && group.is_some());
            if let Some(total) = add_up(groups.map(|(_, sum)| *sum)) {
                zones.insert(key.zone.clone(), total);
            }
        }
        zones
    }

    /// The sums to send to other collectors, by the group whose collectors get them. `all` lists the zones of the
    /// service with their numbers of groups.
    fn sums_to_send(&self, key: &LoadGroup, all: &[(ZoneName, u16)], now: Time) -> Vec<(LoadGroup, Vec<ZoneSum>)> {
        let to = |zone: &ZoneName, number| LoadGroup {
            service: key.service.clone(),
            zone: zone.clone(),
            number,
        };
        let zone_sum = |zone: &ZoneName, group, sum: &KnownSum| ZoneSum {
            zone: zone.clone(),
            group,
            load: sum.load,
            age_ms: u32::try_from(now.since(sum.as_of).as_millis()).unwrap_or(u32::MAX),
        };
        if key.number > 0 {
            let own = self.known.get(&(key.zone.clone(), Some(key.number)));
            let own = own.map(|sum| zone_sum(&key.zone, Some(key.number), sum));
            return own.map(|sum| (to(&key.zone, 0), vec![sum])).into_iter().collect();
        }
        let zones = self.zone_totals(key);
        let sums = zones.iter().map(|(zone, sum)| zone_sum(zone, None, sum));
        let sums: Vec<ZoneSum> = sums.collect();
        let own: Vec<ZoneSum> = sums.iter().filter(|sum| sum.zone == key.zone).cloned().collect();
        let mut out = Vec::new();
        for (zone, groups) in all {
            if *zone == key.zone {
                out.extend((1..*groups).map(|number| (to(zone, number), sums.clone())));
            } else {
                out.push((to(zone, 0), own.clone()));
            }
        }
        out
    }

    /// Whether nobody has reported recently, nor sent sums.
    fn is_unused(&self, key: &LoadGroup) -> bool {
        let is_own = |(zone, group): &(ZoneName, Option<u16>)| *zone == key.zone && *group == Some(key.number);
        self.sums.is_unused() && self.known.keys().all(is_own)
    }
}

/// Adds up the sums of groups.
fn add_up(groups: impl Iterator<Item = KnownSum>) -> Option<KnownSum> {
    groups.reduce(|a, b| KnownSum {
        load: a.load.combined(b.load),
        as_of: a.as_of.min(b.as_of),
    })
}
