//! Upstreams by echo, by service and by availability zone, rebuilt whenever what is known of them changes.

use std::collections::HashMap;
use std::collections::hash_map;

use units::Rate;
use units::Revision;
use units::Time;
use units::ZoneName;

use crate::entries::Entry;
use crate::knowledge::Knowledge;
use crate::packet::Echo;
use crate::route::ColdStart;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// An upstream as the flow path uses it.
#[derive(Debug, Clone)]
pub(crate) struct Listed {
    pub(crate) upstream: Upstream,
    pub(crate) echo: Echo,
    /// Since when it is no longer listed.
    pub(crate) gone_since: Option<Time>,
    /// The revision of the entry that this was read from.
    revision: Revision,
    /// Until when it is slow after its start.
    pub(crate) cold_until: Time,
    /// What its service's upstreams bear while they are cold.
    cold_start: Option<ColdStart>,
    /// Whether operators have asked for its zone to be emptied.
    pub(crate) is_evacuated: bool,
}

impl Listed {
    /// Whether new flows may go to it at all, whatever is seen of it. Open ones stay where they are.
    pub(crate) fn takes_flows(&self) -> bool {
        !self.upstream.leaving && !self.is_evacuated
    }

    /// How many new flows it bears, over all instances, if it is cold and operators tell.
    pub(crate) fn cold_rate(&self, now: Time) -> Option<Rate> {
        self.cold_start?.rate.filter(|_| now < self.cold_until)
    }

    /// It may be cold from now on, for as long as a start takes, if operators tell what it bears then.
    fn chill(&mut self, now: Time) {
        let Some(ColdStart { lasts, rate: Some(_) }) = self.cold_start else {
            return;
        };
        self.cold_until = self.cold_until.max(now + lasts);
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
    let is_same_write = held.revision == entry.revision && held.upstream == entry.upstream;
    if is_same_write || entry.upstream.cold_for.is_zero() {
        return held.cold_until;
    }
    held.cold_until.max(told)
}

/// Upstreams by echo, by service and by availability zone.
#[derive(Debug, Default, Clone)]
pub(crate) struct Directory {
    listed: HashMap<UpstreamId, Listed>,
    /// `None` where two ids have one echo: a packet with it can't be forwarded.
    by_echo: HashMap<Echo, Option<UpstreamId>>,
    by_service: HashMap<String, Vec<UpstreamId>>,
    by_zone: HashMap<ZoneName, Vec<UpstreamId>>,
}

impl Directory {
    /// Indexes what is known. Cold times already running are kept from `earlier`.
    pub(crate) fn new(knowledge: &Knowledge, earlier: &Self, now: Time) -> Self {
        let mut directory = Self::default();
        let cold_starts = knowledge.document().map(|(_, document)| &document.cold_starts);
        for (id, entry) in knowledge.upstreams() {
            let echo = id.echo();
            match directory.by_echo.entry(echo) {
                hash_map::Entry::Occupied(mut held) => {
                    held.insert(None);
                }
                hash_map::Entry::Vacant(free) => {
                    free.insert(Some(id));
                }
            }
            let held = earlier.listed.get(&id);
            let held = held.filter(|held| !entry.upstream.is_other_start(&held.upstream));
            let listed = Listed {
                upstream: entry.upstream.clone(),
                echo,
                gone_since: knowledge.gone_since(id).filter(|_| entry.gone),
                revision: entry.revision,
                cold_until: cold_until(entry, held, now),
                cold_start: cold_starts.and_then(|cold| cold.get(&entry.upstream.service).copied()),
                is_evacuated: knowledge.is_evacuated(&entry.upstream.zone),
            };
            let service = listed.upstream.service.clone();
            directory.by_service.entry(service).or_default().push(id);
            let zone = listed.upstream.zone.clone();
            directory.by_zone.entry(zone).or_default().push(id);
            directory.listed.insert(id, listed);
        }
        directory
    }

    /// The one upstream that an echo stands for.
    pub(crate) fn by_echo(&self, echo: Echo) -> Option<UpstreamId> {
        self.by_echo.get(&echo).copied().flatten()
    }

    /// An upstream by its id.
    pub(crate) fn get(&self, id: UpstreamId) -> Option<&Listed> {
        self.listed.get(&id)
    }

    /// The upstreams of a service that a packet can be led back to, gone ones among them.
    pub(crate) fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (UpstreamId, &'a Listed)> + use<'a> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let listed = ids.iter().filter_map(|id| Some((*id, self.listed.get(id)?)));
        listed.filter(|(id, listed)| self.by_echo(listed.echo) == Some(*id))
    }

    /// The upstreams of an availability zone in the order of their ids, gone ones among them.
    pub(crate) fn in_zone(&self, zone: &ZoneName) -> &[UpstreamId] {
        self.by_zone.get(zone).map(Vec::as_slice).unwrap_or_default()
    }

    /// All upstreams that are cold and whose operators tell what they bear, in the order of their ids.
    pub(crate) fn rationed(&self, now: Time) -> Vec<UpstreamId> {
        let rationed = self.listed.iter().filter(|(_, listed)| listed.cold_rate(now).is_some());
        let mut ids: Vec<UpstreamId> = rationed.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// An upstream may be cold from now on.
    pub(crate) fn chill(&mut self, id: UpstreamId, now: Time) {
        if let Some(listed) = self.listed.get_mut(&id) {
            listed.chill(now);
        }
    }

    /// All upstreams of a zone may be cold from now on.
    pub(crate) fn chill_zone(&mut self, zone: &ZoneName, now: Time) {
        for id in self.in_zone(zone).to_vec() {
            self.chill(id, now);
        }
    }

    /// The upstreams that have started again since `earlier`, in the order of their ids.
    pub(crate) fn restarted_since(&self, earlier: &Self) -> Vec<UpstreamId> {
        let restarted = self.listed.iter().filter(|(id, listed)| {
            let held = earlier.get(**id);
            held.is_some_and(|held| listed.upstream.is_other_start(&held.upstream))
        });
        let mut ids: Vec<UpstreamId> = restarted.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Whether an upstream is remembered.
    pub(crate) fn contains(&self, id: UpstreamId) -> bool {
        self.listed.contains_key(&id)
    }
}
