//! The joint view: the load of upstreams as the digests of collectors give it, without this instance's own work.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use units::Incarnation;
use units::Time;
use units::ZoneName;

use super::LoadDigest;
use super::LoadGroup;
use super::OwnWork;
use super::Pace;
use super::Work;
use super::ZoneLoad;
use super::from_micros;
use crate::packet::Echo;
use crate::report::ReporterId;
use crate::upstream::UpstreamId;

/// Age from which a view counts as no view.
const VALIDITY: Duration = Duration::from_secs(1);
/// Work in flight in percent of a zone's slots from which it is sampled more often.
const RISING_PERCENT: u32 = 25;
/// How long a zone is sampled more often after a digest that shows this.
const RISING_VALIDITY: Duration = Duration::from_millis(2_500);
/// How long the sums of a zone are kept that the digests of a busy service no longer give. Both collectors send one
/// every 100 milliseconds. A zone that isn't busy itself gives its own sums once a second.
const BUSY_SUM_VALIDITY: Duration = Duration::from_millis(300);
/// Interval at which stale views are removed, and the age from which they are.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// An upstream of a group, as the directory lists it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Member {
    pub(crate) id: UpstreamId,
    pub(crate) echo: Echo,
}

/// Work of the other instances at one upstream.
#[derive(Debug, Clone, Copy)]
struct UpstreamView {
    others: Work,
    at: Time,
}

/// Load of one service.
#[derive(Debug, Default)]
struct ServiceView {
    /// By availability zone, with this instance's latest changes.
    zones: BTreeMap<ZoneName, ZoneLoad>,
    /// Until when the load of each of these zones is kept unless a digest gives it again.
    valid_until: BTreeMap<ZoneName, Time>,
    /// When a collector last said that the service is busy.
    busy_at: Option<Time>,
    /// When a digest last showed a zone above [`RISING_PERCENT`].
    rising_at: Option<Time>,
    at: Time,
}

/// The latest digest of one collector about one group.
#[derive(Debug, Clone, Copy)]
struct LatestDigest {
    incarnation: Incarnation,
    seq: u64,
    at: Time,
}

/// The joint view, from the digests that were received.
#[derive(Debug, Default)]
pub(crate) struct Views {
    upstreams: HashMap<UpstreamId, UpstreamView>,
    services: HashMap<CompactString, ServiceView>,
    latest: HashMap<(ReporterId, LoadGroup), LatestDigest>,
    pruned_at: Time,
}

impl Views {
    /// Work of the other instances at an upstream, or `None` without a fresh view.
    pub(super) fn upstream(&self, id: UpstreamId, now: Time) -> Option<Work> {
        let view = self.upstreams.get(&id)?;
        (now.since(view.at) < VALIDITY).then_some(view.others)
    }

    fn service(&self, service: &str, now: Time) -> Option<&ServiceView> {
        let view = self.services.get(service)?;
        (now.since(view.at) < VALIDITY).then_some(view)
    }

    /// Load of a service by availability zone, or `None` without a fresh view.
    pub(super) fn zones(&self, service: &str, now: Time) -> Option<&BTreeMap<ZoneName, ZoneLoad>> {
        Some(&self.service(service, now)?.zones)
    }

    /// Work in flight at all services with a fresh view.
    pub(crate) fn in_flight(&self, now: Time) -> u32 {
        let fresh = self.services.values().filter(|view| now.since(view.at) < VALIDITY);
        fresh
            .flat_map(|view| view.zones.values())
            .fold(0, |sum, load| sum.saturating_add(load.in_flight))
    }

    /// How often the load of a service is reported.
    pub(crate) fn pace(&self, service: &str, now: Time) -> Pace {
        if self.is_busy(service, now) {
            return Pace::Busy;
        }
        let rising_at = self.services.get(service).and_then(|view| view.rising_at);
        let is_rising = rising_at.is_some_and(|at| now.since(at) < RISING_VALIDITY);
        if is_rising { Pace::Rising } else { Pace::Quiet }
    }

    /// Whether a collector says that the service is busy.
    pub(crate) fn is_busy(&self, service: &str, now: Time) -> bool {
        let busy_at = self.service(service, now).and_then(|view| view.busy_at);
        busy_at.is_some_and(|at| now.since(at) < VALIDITY)
    }

    /// Whether any service isn't quiet.
    pub(crate) fn is_any_active(&self, now: Time) -> bool {
        self.services
            .keys()
            .any(|service| self.pace(service, now) != Pace::Quiet)
    }

    /// Whether there is no view of any service.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Adds or subtracts one piece of own work.
    pub(crate) fn adjust(&mut self, service: &str, zone: &ZoneName, by: i32) {
        let Some(view) = self.services.get_mut(service) else {
            return;
        };
        if let Some(load) = view.zones.get_mut(zone) {
            load.in_flight = load.in_flight.saturating_add_signed(by);
        }
    }

    /// Applies the digest of a collector about a group with these members. Returns whether it is new.
    pub(crate) fn apply(
        &mut self,
        (from, incarnation): (ReporterId, Incarnation),
        digest: &LoadDigest,
        members: &[Member],
        own: &OwnWork,
        now: Time,
    ) -> bool {
        if !self.is_new((from, incarnation), digest, now) {
            return false;
        }
        if let Some(upstreams) = &digest.upstreams {
            let sums: HashMap<Echo, _> = upstreams.iter().map(|sum| (sum.echo, sum)).collect();
            for member in members {
                let sum = sums.get(&member.echo).copied().copied().unwrap_or_default();
                let base = own.counts_as_of(member.id, digest.included);
                let others = Work {
                    in_flight: sum.in_flight.saturating_sub(base.in_flight),
                    open_flows: sum.open_flows.saturating_sub(base.open_flows),
                    service_time: from_micros(sum.service_us),
                };
                self.upstreams.insert(member.id, UpstreamView { others, at: now });
            }
        }
        self.apply_zones(digest, own, now);
        self.prune(now);
        true
    }

    fn apply_zones(&mut self, digest: &LoadDigest, own: &OwnWork, now: Time) {
        let view = self.services.entry(digest.group.service.clone()).or_default();
        view.at = now;
        if digest.is_busy {
            view.busy_at = Some(now);
        }
        let is_rising =
            |load: &ZoneLoad| load.in_flight.saturating_mul(100) >= load.slots.saturating_mul(RISING_PERCENT);
        if digest.zones.iter().any(|(_, load)| load.slots > 0 && is_rising(load)) {
            view.rising_at = Some(now);
        }
        for (zone, load) in &digest.zones {
            view.zones.insert(zone.clone(), *load);
            let is_quiet = !digest.is_busy && *zone == digest.group.zone;
            let validity = if is_quiet { VALIDITY } else { BUSY_SUM_VALIDITY };
            view.valid_until.insert(zone.clone(), now + validity);
        }
        view.valid_until.retain(|_, until| now < *until);
        let valid_until = &view.valid_until;
        view.zones.retain(|zone, _| valid_until.contains_key(zone));
        if let Some(load) = view.zones.get_mut(&digest.group.zone) {
            let (current, included) = own.group_in_flight(&digest.group, digest.included);
            load.in_flight = load.in_flight.saturating_sub(included).saturating_add(current);
        }
    }

    /// Whether the digest is the latest one of its sender about its group.
    fn is_new(&mut self, (from, incarnation): (ReporterId, Incarnation), digest: &LoadDigest, now: Time) -> bool {
        let seq = digest.seq;
        let key = (from, digest.group.clone());
        let latest = self.latest.get(&key);
        if latest.is_some_and(|latest| (latest.incarnation, latest.seq) >= (incarnation, seq)) {
            return false;
        }
        let at = now;
        self.latest.insert(key, LatestDigest { incarnation, seq, at });
        true
    }

    /// Removes what has been stale for long.
    fn prune(&mut self, now: Time) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        let is_recent = |at: Time| now.since(at) < PRUNE_INTERVAL;
        self.upstreams.retain(|_, view| is_recent(view.at));
        self.services.retain(|_, view| is_recent(view.at));
        self.latest.retain(|_, latest| is_recent(latest.at));
    }
}
