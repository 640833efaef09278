//! The directory: an index of upstreams by echo, by service and by availability zone. It shares the entries of the
//! instance's knowledge, and is updated entry by entry.

mod echoes;
mod pool;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use units::Rate;
use units::Time;
use units::ZoneName;

use crate::entries::ChangedUpstreams;
use crate::entries::Entry;
use crate::knowledge::Knowledge;
use crate::load::GROUP_LEN;
use crate::load::LoadGroup;
use crate::packet::Echo;
use crate::place::spillover::Spillover;
use crate::route::ColdStart;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;
use echoes::Echoes;
use pool::Pool;

/// An upstream with the state that the forwarding path needs.
#[derive(Debug, Clone)]
pub(crate) struct DirectoryEntry {
    entry: Arc<Entry>,
    pub(crate) echo: Echo,
    /// When it was removed from the list, if it was.
    pub(crate) gone_since: Option<Time>,
    /// The end of the cold period after its start.
    pub(crate) cold_until: Time,
    /// The limit for new flows while it is cold, if operators have set one.
    cold_rate: Option<Rate>,
    /// Whether operators are evacuating its zone.
    pub(crate) is_evacuated: bool,
}

impl DirectoryEntry {
    /// The upstream as last listed.
    pub(crate) fn upstream(&self) -> &Upstream {
        &self.entry.upstream
    }

    /// Whether it may receive new flows, regardless of its health. Existing flows stay.
    pub(crate) fn accepts_flows(&self) -> bool {
        !self.upstream().leaving && !self.is_evacuated
    }

    /// The limit for new flows over all instances, if the upstream is cold and operators have set a limit.
    pub(crate) fn cold_rate(&self, now: Time) -> Option<Rate> {
        self.cold_rate.filter(|_| now < self.cold_until)
    }
}

/// The end of an upstream's cold period, from its entry and from what was known before about the same start.
///
/// An entry gives the remaining time as of its writing. The time is counted from when the entry is first seen here,
/// which errs on the safe side. The same revision may denote two different writes, one before and one after the store
/// was restored from an older copy.
fn cold_until(entry: &Entry, held: Option<&DirectoryEntry>, now: Time) -> Time {
    let from_entry = now + entry.upstream.cold_for;
    let Some(held) = held else {
        return from_entry;
    };
    let is_same_write = held.entry.revision == entry.revision && *held.upstream() == entry.upstream;
    if is_same_write || entry.upstream.cold_for.is_zero() {
        return held.cold_until;
    }
    held.cold_until.max(from_entry)
}

/// The number of load groups of these upstreams.
fn group_count(ids: &[UpstreamId]) -> u16 {
    u16::try_from(ids.len().div_ceil(GROUP_LEN)).unwrap_or(u16::MAX)
}

/// The result of applying changes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct IndexUpdate {
    /// The number of entries that were indexed.
    pub(crate) indexed: u64,
    /// The upstreams that have restarted, ordered by id.
    pub(crate) restarted: Vec<UpstreamId>,
}

impl IndexUpdate {
    fn add(&mut self, id: UpstreamId, has_restarted: bool) {
        self.indexed += 1;
        self.restarted.extend(has_restarted.then_some(id));
    }
}

/// An index of upstreams by echo, by service and by availability zone.
#[derive(Debug, Default, Clone)]
pub(crate) struct Directory {
    listed: HashMap<UpstreamId, DirectoryEntry>,
    echoes: Echoes,
    by_service: HashMap<CompactString, Pool>,
    /// Ordered by id.
    by_zone: HashMap<ZoneName, Vec<UpstreamId>>,
    /// The cold start limits by service.
    cold_starts: BTreeMap<String, ColdStart>,
}

impl Directory {
    /// Applies changes to the entries.
    ///
    /// Only the entries that changed are visited, unless operators have changed a setting for all upstreams of a
    /// service.
    pub(crate) fn apply_changes(
        &mut self,
        knowledge: &Knowledge,
        changed: &ChangedUpstreams,
        now: Time,
    ) -> IndexUpdate {
        let cold_starts = knowledge.document().map(|(_, document)| &document.cold_starts);
        let has_cold_starts = cold_starts.is_none_or(|cold_starts| *cold_starts == self.cold_starts);
        if !has_cold_starts {
            self.cold_starts = cold_starts.cloned().unwrap_or_default();
        }
        let mut update = IndexUpdate::default();
        if changed.is_all || !has_cold_starts {
            let gone = self.listed.keys().copied();
            let gone: Vec<UpstreamId> = gone.filter(|id| knowledge.entry(*id).is_none()).collect();
            for id in gone {
                self.remove(id);
            }
            for (id, entry) in knowledge.entries() {
                update.add(id, self.upsert(id, entry, knowledge, now));
            }
            return update;
        }
        for id in &changed.ids {
            let Some(entry) = knowledge.entry(*id) else {
                self.remove(*id);
                continue;
            };
            update.add(*id, self.upsert(*id, entry, knowledge, now));
        }
        update
    }

    /// Inserts or updates one entry. Returns whether its upstream has restarted.
    fn upsert(&mut self, id: UpstreamId, entry: &Arc<Entry>, knowledge: &Knowledge, now: Time) -> bool {
        let held = self.listed.get(&id);
        let has_restarted = held.is_some_and(|held| entry.upstream.is_other_start(held.upstream()));
        let is_indexed = held.is_some_and(|held| {
            let held = held.upstream();
            held.service == entry.upstream.service && held.zone == entry.upstream.zone
        });
        let cold_start = self.cold_starts.get(entry.upstream.service.as_str());
        let listed = DirectoryEntry {
            entry: Arc::clone(entry),
            echo: held.map_or_else(|| id.echo(), |held| held.echo),
            gone_since: knowledge.gone_since(id).filter(|_| entry.gone),
            cold_until: cold_until(entry, held.filter(|_| !has_restarted), now),
            cold_rate: cold_start.and_then(|cold| cold.rate),
            is_evacuated: knowledge.is_evacuated(&entry.upstream.zone),
        };
        if !is_indexed {
            self.remove(id);
            self.index(id, &listed);
        }
        self.listed.insert(id, listed);
        has_restarted
    }

    fn index(&mut self, id: UpstreamId, listed: &DirectoryEntry) {
        let Upstream { service, zone, .. } = listed.upstream();
        self.echoes.insert(listed.echo, id);
        self.by_service.entry(service.clone()).or_default().insert(id, zone);
        pool::insert(self.by_zone.entry(zone.clone()).or_default(), id);
    }

    fn remove(&mut self, id: UpstreamId) {
        let Some(listed) = self.listed.remove(&id) else {
            return;
        };
        let Upstream { service, zone, .. } = listed.upstream();
        self.echoes.remove(listed.echo, id);
        if let Some(pool) = self.by_service.get_mut(service) {
            pool.remove(id, zone);
        }
        if let Some(ids) = self.by_zone.get_mut(zone) {
            pool::remove(ids, id);
        }
    }

    /// Whether the directory equals one that is rebuilt from `knowledge`.
    pub(crate) fn matches(&self, knowledge: &Knowledge) -> bool {
        let agrees = |id: UpstreamId, entry: &Arc<Entry>| {
            let Some(listed) = self.listed.get(&id) else {
                return false;
            };
            let Upstream { service, zone, .. } = listed.upstream();
            Arc::ptr_eq(entry, &listed.entry)
                && listed.gone_since == knowledge.gone_since(id).filter(|_| entry.gone)
                && listed.is_evacuated == knowledge.is_evacuated(zone)
                && self.echoes.contains(listed.echo, id)
                && self.in_zone(zone).binary_search(&id).is_ok()
                && self.service_ids(service).binary_search(&id).is_ok()
        };
        let indexed: usize = self.by_zone.values().map(Vec::len).sum();
        let pooled: usize = self.by_service.values().map(|pool| pool.all().len()).sum();
        let count = self.listed.len();
        (indexed, pooled, knowledge.entries().count()) == (count, count, count)
            && knowledge.entries().all(|(id, entry)| agrees(id, entry))
    }

    /// The only upstream with this echo.
    pub(crate) fn by_echo(&self, echo: Echo) -> Option<UpstreamId> {
        self.echoes.get(echo)
    }

    pub(crate) fn get(&self, id: UpstreamId) -> Option<&DirectoryEntry> {
        self.listed.get(&id)
    }

    /// All upstreams of a service, ordered by id.
    pub(crate) fn service_ids(&self, service: &str) -> &[UpstreamId] {
        self.by_service.get(service).map(Pool::all).unwrap_or_default()
    }

    /// The group in which the load of an upstream is collected, and its echo, if the echo is unique.
    pub(crate) fn load_group(&self, id: UpstreamId) -> Option<(LoadGroup, Echo)> {
        let (_, listed) = self.reachable(id)?;
        let Upstream { service, zone, .. } = listed.upstream();
        let ids = self.by_service.get(service)?.in_zone(zone);
        let group = LoadGroup {
            service: service.clone(),
            zone: zone.clone(),
            number: u16::try_from(ids.binary_search(&id).ok()? / GROUP_LEN).ok()?,
        };
        Some((group, listed.echo))
    }

    /// The load groups of a service in an availability zone.
    pub(crate) fn load_groups(&self, service: &CompactString, zone: &ZoneName) -> Vec<LoadGroup> {
        let pool = self.by_service.get(service);
        let count = pool.map_or(0, |pool| group_count(pool.in_zone(zone)));
        let groups = (0..count).map(|number| LoadGroup {
            service: service.clone(),
            zone: zone.clone(),
            number,
        });
        groups.collect()
    }

    /// The number of load groups of all services.
    pub(crate) fn load_group_count(&self) -> usize {
        let zones = self.by_service.values().flat_map(Pool::zones);
        zones.map(|(_, ids)| usize::from(group_count(ids))).sum()
    }

    /// The number of load groups of a service in each availability zone, ordered by zone.
    pub(crate) fn load_group_counts(&self, service: &str) -> Vec<(ZoneName, u16)> {
        let Some(pool) = self.by_service.get(service) else {
            return Vec::new();
        };
        let counts = pool.zones().map(|(zone, ids)| (zone.clone(), group_count(ids)));
        let mut counts: Vec<(ZoneName, u16)> = counts.filter(|(_, count)| *count > 0).collect();
        counts.sort_unstable();
        counts
    }

    /// The upstreams of a load group.
    pub(crate) fn group_ids(&self, group: &LoadGroup) -> &[UpstreamId] {
        let pool = self.by_service.get(&group.service);
        let ids = pool.map(|pool| pool.in_zone(&group.zone)).unwrap_or_default();
        ids.chunks(GROUP_LEN).nth(group.number.into()).unwrap_or_default()
    }

    /// The next candidates for a new flow from a zone, if the service has too many upstreams to consider all of them;
    /// otherwise `None`.
    pub(crate) fn next_candidates(&mut self, service: &str, zone: &ZoneName, first: usize) -> Option<Vec<UpstreamId>> {
        self.by_service.get_mut(service)?.next_candidates(zone, first)
    }

    /// The upstreams of a service.
    pub(crate) fn pool(&self, service: &str) -> Option<&Pool> {
        self.by_service.get(service)
    }

    /// Sets the share of a service's new flows for which other zones are considered.
    pub(crate) fn set_spillover(&mut self, service: &str, spillover: Spillover) {
        if let Some(pool) = self.by_service.get_mut(service) {
            pool.spillover = spillover;
        }
    }

    /// An upstream, if its echo is unique, so that packets can be routed back to it.
    pub(crate) fn reachable(&self, id: UpstreamId) -> Option<(UpstreamId, &DirectoryEntry)> {
        let listed = self.listed.get(&id)?;
        (self.by_echo(listed.echo) == Some(id)).then_some((id, listed))
    }

    /// The upstreams of a service that have a unique echo, including removed ones.
    pub(crate) fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (UpstreamId, &'a DirectoryEntry)> + use<'a> {
        self.service_ids(service).iter().filter_map(|id| self.reachable(*id))
    }

    /// The upstreams of an availability zone, ordered by id, including removed ones.
    pub(crate) fn in_zone(&self, zone: &ZoneName) -> &[UpstreamId] {
        self.by_zone.get(zone).map(Vec::as_slice).unwrap_or_default()
    }

    /// All cold upstreams with a limit for new flows, ordered by id.
    pub(crate) fn rate_limited(&self, now: Time) -> Vec<UpstreamId> {
        if self.cold_starts.values().all(|cold| cold.rate.is_none()) {
            return Vec::new();
        }
        let rate_limited = self.listed.iter().filter(|(_, listed)| listed.cold_rate(now).is_some());
        let mut ids: Vec<UpstreamId> = rate_limited.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Starts the cold period of an upstream, if operators have set a limit for its service.
    pub(crate) fn start_cold_period(&mut self, id: UpstreamId, now: Time) {
        let Some(listed) = self.listed.get_mut(&id) else {
            return;
        };
        let cold_start = self.cold_starts.get(listed.upstream().service.as_str());
        let Some(ColdStart { lasts, rate: Some(_) }) = cold_start else {
            return;
        };
        listed.cold_until = listed.cold_until.max(now + *lasts);
    }

    /// Starts the cold period of all upstreams of a zone, where operators have set a limit.
    pub(crate) fn start_cold_period_in_zone(&mut self, zone: &ZoneName, now: Time) {
        for id in self.in_zone(zone).to_vec() {
            self.start_cold_period(id, now);
        }
    }

    /// Whether the directory contains an upstream, including a removed one.
    pub(crate) fn contains(&self, id: UpstreamId) -> bool {
        self.listed.contains_key(&id)
    }
}
