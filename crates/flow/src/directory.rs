//! Upstreams by echo, by service and by availability zone, rebuilt whenever what is known of them changes.

use std::collections::HashMap;
use std::collections::hash_map;

use units::Time;
use units::ZoneName;

use crate::knowledge::Knowledge;
use crate::packet::Echo;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// An upstream as the flow path uses it.
#[derive(Debug, Clone)]
pub(crate) struct Listed {
    pub(crate) upstream: Upstream,
    pub(crate) echo: Echo,
    /// Since when it is no longer listed.
    pub(crate) gone_since: Option<Time>,
    /// Until when it is slow after its start.
    pub(crate) cold_until: Time,
    /// Whether operators have asked for its zone to be emptied.
    pub(crate) is_evacuated: bool,
}

impl Listed {
    /// Whether new flows may go to it at all, whatever is seen of it. Open ones stay where they are.
    pub(crate) fn takes_flows(&self) -> bool {
        !self.upstream.leaving && !self.is_evacuated
    }
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
            let known_cold = held.map(|held| held.cold_until);
            let listed = Listed {
                upstream: entry.upstream.clone(),
                echo,
                gone_since: knowledge.gone_since(id).filter(|_| entry.gone),
                cold_until: known_cold.unwrap_or(now + entry.upstream.cold_for),
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
