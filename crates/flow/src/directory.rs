//! Upstreams by echo, by service and by availability zone. It shares their entries with what is known of them, and follows that entry by
//! entry.

mod echoes;
mod pool;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use units::Rate;
use units::Time;
use units::ZoneName;

use crate::entries::Changed;
use crate::entries::Entry;
use crate::knowledge::Knowledge;
use crate::packet::Echo;
use crate::route::ColdStart;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;
use echoes::Echoes;
use pool::Pool;

/// An upstream as the flow path uses it.
#[derive(Debug, Clone)]
pub(crate) struct Listed {
    entry: Arc<Entry>,
    pub(crate) echo: Echo,
    /// Since when it is no longer listed.
    pub(crate) gone_since: Option<Time>,
    /// Until when it is slow after its start.
    pub(crate) cold_until: Time,
    /// How many new flows it bears while it is cold, where operators tell.
    cold_rate: Option<Rate>,
    /// Whether operators have asked for its zone to be emptied.
    pub(crate) is_evacuated: bool,
}

impl Listed {
    /// The upstream as it was listed last.
    pub(crate) fn upstream(&self) -> &Upstream {
        &self.entry.upstream
    }

    /// Whether new flows may go to it at all, whatever is seen of it. Open ones stay where they are.
    pub(crate) fn takes_flows(&self) -> bool {
        !self.upstream().leaving && !self.is_evacuated
    }

    /// How many new flows it bears, over all instances, if it is cold and operators tell.
    pub(crate) fn cold_rate(&self, now: Time) -> Option<Rate> {
        self.cold_rate.filter(|_| now < self.cold_until)
    }
}

/// Until when an upstream is cold, by what its entry tells and by what was known before of the same start.
///
/// An entry tells for how long from its writing on; it is counted from when it is first seen here, which errs on the safe side. One
/// revision may stand for two writes, before and after the store came back from an older copy.
fn cold_until(entry: &Entry, held: Option<&Listed>, now: Time) -> Time {
    let told = now + entry.upstream.cold_for;
    let Some(held) = held else {
        return told;
    };
    let is_same_write = held.entry.revision == entry.revision && *held.upstream() == entry.upstream;
    if is_same_write || entry.upstream.cold_for.is_zero() {
        return held.cold_until;
    }
    held.cold_until.max(told)
}

/// What came of following changes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Followed {
    /// How many entries were taken in.
    pub(crate) indexed: u64,
    /// The upstreams that have started again, in the order of their ids.
    pub(crate) restarted: Vec<UpstreamId>,
}

impl Followed {
    fn add(&mut self, id: UpstreamId, has_restarted: bool) {
        self.indexed += 1;
        self.restarted.extend(has_restarted.then_some(id));
    }
}

/// Upstreams by echo, by service and by availability zone.
#[derive(Debug, Default, Clone)]
pub(crate) struct Directory {
    listed: HashMap<UpstreamId, Listed>,
    echoes: Echoes,
    by_service: HashMap<CompactString, Pool>,
    /// In the order of their ids.
    by_zone: HashMap<ZoneName, Vec<UpstreamId>>,
    /// What the upstreams of services bear while they are cold.
    cold_starts: BTreeMap<String, ColdStart>,
}

impl Directory {
    /// Follows what has become different.
    ///
    /// It touches the entries that are named and no others, unless operators have changed what holds for all upstreams of a service.
    pub(crate) fn follow(&mut self, knowledge: &Knowledge, changed: &Changed, now: Time) -> Followed {
        let cold_starts = knowledge.document().map(|(_, document)| &document.cold_starts);
        let has_cold_starts = cold_starts.is_none_or(|cold_starts| *cold_starts == self.cold_starts);
        if !has_cold_starts {
            self.cold_starts = cold_starts.cloned().unwrap_or_default();
        }
        let mut followed = Followed::default();
        if changed.is_all || !has_cold_starts {
            let gone = self.listed.keys().copied();
            let gone: Vec<UpstreamId> = gone.filter(|id| knowledge.entry(*id).is_none()).collect();
            for id in gone {
                self.remove(id);
            }
            for (id, entry) in knowledge.entries() {
                followed.add(id, self.put(id, entry, knowledge, now));
            }
            return followed;
        }
        for id in &changed.ids {
            let Some(entry) = knowledge.entry(*id) else {
                self.remove(*id);
                continue;
            };
            followed.add(*id, self.put(*id, entry, knowledge, now));
        }
        followed
    }

    /// Takes in one entry. Tells whether its upstream has started again.
    fn put(&mut self, id: UpstreamId, entry: &Arc<Entry>, knowledge: &Knowledge, now: Time) -> bool {
        let held = self.listed.get(&id);
        let has_restarted = held.is_some_and(|held| entry.upstream.is_other_start(held.upstream()));
        let is_indexed = held.is_some_and(|held| {
            let held = held.upstream();
            held.service == entry.upstream.service && held.zone == entry.upstream.zone
        });
        let cold_start = self.cold_starts.get(entry.upstream.service.as_str());
        let listed = Listed {
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

    fn index(&mut self, id: UpstreamId, listed: &Listed) {
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

    /// Whether it lists just what is known, as if it were made anew.
    pub(crate) fn is_of(&self, knowledge: &Knowledge) -> bool {
        let agrees = |id: UpstreamId, entry: &Arc<Entry>| {
            let Some(listed) = self.listed.get(&id) else {
                return false;
            };
            let Upstream { service, zone, .. } = listed.upstream();
            Arc::ptr_eq(entry, &listed.entry)
                && listed.gone_since == knowledge.gone_since(id).filter(|_| entry.gone)
                && listed.is_evacuated == knowledge.is_evacuated(zone)
                && self.echoes.holds(listed.echo, id)
                && self.in_zone(zone).binary_search(&id).is_ok()
                && self.all_of(service).binary_search(&id).is_ok()
        };
        let indexed: usize = self.by_zone.values().map(Vec::len).sum();
        let pooled: usize = self.by_service.values().map(|pool| pool.all().len()).sum();
        let count = self.listed.len();
        (indexed, pooled, knowledge.entries().count()) == (count, count, count)
            && knowledge.entries().all(|(id, entry)| agrees(id, entry))
    }

    /// The one upstream that an echo stands for.
    pub(crate) fn by_echo(&self, echo: Echo) -> Option<UpstreamId> {
        self.echoes.get(echo)
    }

    /// An upstream by its id.
    pub(crate) fn get(&self, id: UpstreamId) -> Option<&Listed> {
        self.listed.get(&id)
    }

    /// All upstreams of a service, in the order of their ids.
    pub(crate) fn all_of(&self, service: &str) -> &[UpstreamId] {
        self.by_service.get(service).map(Pool::all).unwrap_or_default()
    }

    /// Those upstreams of a service to look at for a new flow from a zone where it has too many to look at all; `None` where it has not.
    pub(crate) fn next(&mut self, service: &str, zone: &ZoneName, first: usize) -> Option<Vec<UpstreamId>> {
        self.by_service.get_mut(service)?.next(zone, first)
    }

    /// An upstream that a packet can be led back to.
    pub(crate) fn reachable(&self, id: UpstreamId) -> Option<(UpstreamId, &Listed)> {
        let listed = self.listed.get(&id)?;
        (self.by_echo(listed.echo) == Some(id)).then_some((id, listed))
    }

    /// The upstreams of a service that a packet can be led back to, gone ones among them.
    pub(crate) fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (UpstreamId, &'a Listed)> + use<'a> {
        self.all_of(service).iter().filter_map(|id| self.reachable(*id))
    }

    /// The upstreams of an availability zone in the order of their ids, gone ones among them.
    pub(crate) fn in_zone(&self, zone: &ZoneName) -> &[UpstreamId] {
        self.by_zone.get(zone).map(Vec::as_slice).unwrap_or_default()
    }

    /// All upstreams that are cold and whose operators tell what they bear, in the order of their ids.
    pub(crate) fn rationed(&self, now: Time) -> Vec<UpstreamId> {
        if self.cold_starts.values().all(|cold| cold.rate.is_none()) {
            return Vec::new();
        }
        let rationed = self.listed.iter().filter(|(_, listed)| listed.cold_rate(now).is_some());
        let mut ids: Vec<UpstreamId> = rationed.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// An upstream may be cold from now on, for as long as a start takes, if operators tell what it bears then.
    pub(crate) fn chill(&mut self, id: UpstreamId, now: Time) {
        let Some(listed) = self.listed.get_mut(&id) else {
            return;
        };
        let cold_start = self.cold_starts.get(listed.upstream().service.as_str());
        let Some(ColdStart { lasts, rate: Some(_) }) = cold_start else {
            return;
        };
        listed.cold_until = listed.cold_until.max(now + *lasts);
    }

    /// All upstreams of a zone may be cold from now on.
    pub(crate) fn chill_zone(&mut self, zone: &ZoneName, now: Time) {
        for id in self.in_zone(zone).to_vec() {
            self.chill(id, now);
        }
    }

    /// Whether an upstream is remembered.
    pub(crate) fn contains(&self, id: UpstreamId) -> bool {
        self.listed.contains_key(&id)
    }
}
