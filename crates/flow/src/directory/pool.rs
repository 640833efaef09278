//! The upstreams of one service, and the rotation over subsets of them.

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::seq::index;
use units::ZoneName;

use crate::place::spillover::Spillover;
use crate::upstream::UpstreamId;

/// The largest number of upstreams that are all considered for a new flow. Of more than this, a rotating subset is
/// considered: among hundreds of upstreams, the best of a few is about as good as the best of all.
const MAX_FULL_SCAN: usize = 256;
/// The size of the subset from the own availability zone, and of the subset from all zones.
const ZONE_SUBSET: usize = 24;
const GLOBAL_SUBSET: usize = 8;

/// The upstreams of one service, ordered by id.
#[derive(Debug, Default, Clone)]
pub(crate) struct Pool {
    all: Vec<UpstreamId>,
    by_zone: HashMap<ZoneName, Vec<UpstreamId>>,
    /// The number of flows for which only a subset was considered.
    turns: usize,
    /// The share of new flows for which other zones are considered, with the time of its last update.
    pub(crate) spillover: Spillover,
}

impl Pool {
    pub(super) fn insert(&mut self, id: UpstreamId, zone: &ZoneName) {
        insert(&mut self.all, id);
        insert(self.by_zone.entry(zone.clone()).or_default(), id);
    }

    pub(super) fn remove(&mut self, id: UpstreamId, zone: &ZoneName) {
        remove(&mut self.all, id);
        if let Some(ids) = self.by_zone.get_mut(zone) {
            remove(ids, id);
        }
    }

    /// All upstreams of the service.
    pub(crate) fn all(&self) -> &[UpstreamId] {
        &self.all
    }

    /// The upstreams of the service by availability zone.
    pub(crate) fn zones(&self) -> impl Iterator<Item = (&ZoneName, &[UpstreamId])> {
        self.by_zone.iter().map(|(zone, ids)| (zone, ids.as_slice()))
    }

    /// The upstreams of the service in an availability zone.
    pub(crate) fn in_zone(&self, zone: &ZoneName) -> &[UpstreamId] {
        self.by_zone.get(zone).map(Vec::as_slice).unwrap_or_default()
    }

    /// The next candidates for a new flow from a zone, if there are too many upstreams to consider all of them;
    /// otherwise `None`.
    ///
    /// `first` differs between instances, so that they do not all start with the same candidates.
    pub(crate) fn next_candidates(&mut self, zone: &ZoneName, first: usize) -> Option<Vec<UpstreamId>> {
        if self.all.len() <= MAX_FULL_SCAN {
            return None;
        }
        self.turns = self.turns.wrapping_add(1);
        let candidates = |ids, count| rotate(ids, first.wrapping_add(self.turns), count);
        let near = self.by_zone.get(zone).map(Vec::as_slice).unwrap_or_default();
        let mut next: Vec<UpstreamId> = candidates(near, ZONE_SUBSET).collect();
        next.extend(candidates(&self.all, GLOBAL_SUBSET));
        next.sort_unstable();
        next.dedup();
        Some(next)
    }

    /// Draws up to `count` different upstreams of a zone, in random order.
    pub(crate) fn draw(&self, zone: &ZoneName, count: usize, rng: &mut SmallRng) -> Vec<UpstreamId> {
        let ids = self.by_zone.get(zone).map(Vec::as_slice).unwrap_or_default();
        let indices = index::sample(rng, ids.len(), count.min(ids.len()));
        indices.into_iter().map(|index| ids[index]).collect()
    }
}

/// The next `count` ids in the rotation, for a given turn.
fn rotate(ids: &[UpstreamId], turn: usize, count: usize) -> impl Iterator<Item = UpstreamId> {
    let begin = turn.wrapping_mul(count) % ids.len().max(1);
    let next = ids.iter().cycle().skip(begin);
    next.take(count.min(ids.len())).copied()
}

/// Inserts an id into a sorted vector.
pub(super) fn insert(ids: &mut Vec<UpstreamId>, id: UpstreamId) {
    if let Err(place) = ids.binary_search(&id) {
        ids.insert(place, id);
    }
}

/// Removes an id from a sorted vector.
pub(super) fn remove(ids: &mut Vec<UpstreamId>, id: UpstreamId) {
    if let Ok(place) = ids.binary_search(&id) {
        ids.remove(place);
    }
}
