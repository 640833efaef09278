//! The upstreams of one service, and how some of many take turns.

use std::collections::HashMap;

use units::ZoneName;

use crate::upstream::UpstreamId;

/// Up to how many upstreams are all looked at for a new flow. Of more, some take turns: with hundreds of them, the best of a few is about
/// as good as the best of all.
const ALL: usize = 256;
/// How many of the own availability zone have their turn together, and how many of all.
const NEAR: usize = 24;
const ANYWHERE: usize = 8;

/// The upstreams of one service, in the order of their ids.
#[derive(Debug, Default, Clone)]
pub(crate) struct Pool {
    all: Vec<UpstreamId>,
    by_zone: HashMap<ZoneName, Vec<UpstreamId>>,
    /// How many flows have looked at some of them only.
    turns: usize,
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

    /// All of them.
    pub(crate) fn all(&self) -> &[UpstreamId] {
        &self.all
    }

    /// Those to look at for a new flow from a zone where there are too many to look at all; `None` where there are not.
    ///
    /// `first` differs from one instance to another, so that not all begin with the same.
    pub(crate) fn next(&mut self, zone: &ZoneName, first: usize) -> Option<Vec<UpstreamId>> {
        if self.all.len() <= ALL {
            return None;
        }
        self.turns = self.turns.wrapping_add(1);
        let turn_of = |ids, count| turn(ids, first.wrapping_add(self.turns), count);
        let near = self.by_zone.get(zone).map(Vec::as_slice).unwrap_or_default();
        let mut next: Vec<UpstreamId> = turn_of(near, NEAR).collect();
        next.extend(turn_of(&self.all, ANYWHERE));
        next.sort_unstable();
        next.dedup();
        Some(next)
    }
}

/// Those of several whose turn it is, so many at a time.
fn turn(ids: &[UpstreamId], turn: usize, count: usize) -> impl Iterator<Item = UpstreamId> {
    let begin = turn.wrapping_mul(count) % ids.len().max(1);
    let next = ids.iter().cycle().skip(begin);
    next.take(count.min(ids.len())).copied()
}

/// Puts an id into its place.
pub(super) fn insert(ids: &mut Vec<UpstreamId>, id: UpstreamId) {
    if let Err(place) = ids.binary_search(&id) {
        ids.insert(place, id);
    }
}

/// Takes an id out.
pub(super) fn remove(ids: &mut Vec<UpstreamId>, id: UpstreamId) {
    if let Ok(place) = ids.binary_search(&id) {
        ids.remove(place);
    }
}
