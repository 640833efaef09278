//! The upstream entries that an instance holds, as of a position in the store's history.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use units::Position;
use units::Revision;
use units::Time;

use crate::grace_period::GracePeriod;
use crate::upstream::ListingState;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// The entry of one upstream. The entry of a removed upstream is kept for a while, with the upstream's last listed
/// state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The platform's revision of the last change, or a later one, in the epoch of the holder's upstreams. Zero if the
    /// last change was in an earlier epoch.
    pub revision: Revision,
    /// The upstream as last listed.
    pub upstream: Upstream,
    /// Whether the upstream is no longer listed.
    pub gone: bool,
}

impl Entry {
    /// Whether `other` is listed with an earlier start time than this entry. It is then a late write by a process that
    /// has ended.
    fn is_later_start(&self, other: &Self) -> bool {
        !other.gone && other.upstream.is_earlier_start(&self.upstream)
    }

    /// Whether this entry, known before the store was restored from an older copy, may be newer than the copy's entry
    /// for the same upstream. During one start an upstream only changes from serving to leaving to removed; it returns
    /// only with a new start time.
    fn may_supersede(&self, copied: &Self) -> bool {
        if self.upstream.is_other_start(&copied.upstream) {
            return false;
        }
        self.gone != copied.gone || (self.upstream.leaving && !copied.upstream.leaving)
    }
}

/// The set of upstreams that have changed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct ChangedUpstreams {
    /// The ids of changed upstreams.
    pub(crate) ids: BTreeSet<UpstreamId>,
    /// Whether any upstream may have changed.
    pub(crate) is_all: bool,
}

/// The upstream entries that an instance holds.
#[derive(Debug, Default, Clone)]
pub(crate) struct Entries {
    /// The position up to which all changes are known.
    at: Position,
    /// The position since which all changes are known, including removals.
    complete_since: Position,
    by_id: BTreeMap<UpstreamId, Arc<Entry>>,
    /// When this instance learnt of the removal of each removed upstream.
    gone_since: BTreeMap<UpstreamId, Time>,
    /// Whether the store was restored from an older copy since the first list.
    was_restored: bool,
    /// Entries that override those of a store restored from an older copy. They are not sent to other instances, which
    /// keep their own.
    overrides: GracePeriod<UpstreamId, Arc<Entry>>,
    /// The changes since the last call of `take_changed`.
    changed: ChangedUpstreams,
}

impl Entries {
    /// The position up to which all changes are known.
    pub(crate) fn at(&self) -> Position {
        self.at
    }

    /// Whether the store was restored from an older copy since the first list.
    pub(crate) fn was_restored(&self) -> bool {
        self.was_restored
    }

    /// All upstreams, including removed ones that are still remembered.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (UpstreamId, &Arc<Entry>)> {
        let entries = self.by_id.iter();
        entries.map(|(id, entry)| (*id, self.overrides.get(id).unwrap_or(entry)))
    }

    /// The entry of an upstream, including a removed one.
    pub(crate) fn get(&self, id: UpstreamId) -> Option<&Arc<Entry>> {
        let entry = self.by_id.get(&id)?;
        Some(self.overrides.get(&id).unwrap_or(entry))
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changed(&mut self) -> ChangedUpstreams {
        std::mem::take(&mut self.changed)
    }

    /// An upstream as last listed, including a removed one.
    pub(crate) fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        self.by_id.get(&id).map(|entry| &entry.upstream)
    }

    /// When an upstream was removed, as far as this instance knows.
    pub(crate) fn gone_since(&self, id: UpstreamId) -> Option<Time> {
        self.gone_since.get(&id).copied()
    }

    /// Returns the entries that a peer at the given position lacks, and whether these are all entries.
    ///
    /// A list read from the platform does not name the upstreams that were removed before it. A peer whose position is
    /// older than such a list therefore receives all upstreams, so that it detects removals by absence. The same holds
    /// for a peer in an earlier epoch.
    pub(crate) fn since(&self, held: Position) -> (bool, Vec<(UpstreamId, Arc<Entry>)>) {
        let is_newer = self.at > held;
        let is_whole = is_newer && held < self.complete_since;
        let entries = self.by_id.iter();
        let entries = entries.filter(|(_, entry)| is_whole || (is_newer && entry.revision > held.revision));
        (is_whole, entries.map(|(id, entry)| (*id, Arc::clone(entry))).collect())
    }

    /// Applies a complete list of upstreams as of a position. Returns whether anything has changed.
    pub(crate) fn apply_list<S>(&mut self, at: Position, list: Vec<(UpstreamId, Revision, S)>, now: Time) -> bool
    where
        S: Into<ListingState>,
    {
        let entries = list.into_iter().filter_map(|(id, revision, sighting)| {
            let entry = self.entry(id, revision, sighting.into())?;
            Some((id, Arc::new(entry)))
        });
        let entries = entries.collect();
        self.replace(at, entries, now)
    }

    /// The entry for an upstream that was listed in the given state. Returns `None` if the state contains no upstream
    /// and none was known before.
    ///
    /// An upstream whose entry can't be parsed receives no new flows. Its existing flows continue at the previously
    /// listed upstream, as for a leaving upstream.
    fn entry(&self, id: UpstreamId, revision: Revision, sighting: ListingState) -> Option<Entry> {
        let held = || self.upstream(id).cloned();
        let (upstream, gone) = match sighting {
            ListingState::Listed(upstream) => (upstream, false),
            ListingState::Unreadable => (
                Upstream {
                    leaving: true,
                    ..held()?
                },
                false,
            ),
            ListingState::Gone => (held()?, true),
        };
        Some(Entry {
            revision,
            upstream,
            gone,
        })
    }

    /// Replaces all upstreams with those of a position. Upstreams that are not listed there have been removed by then,
    /// regardless of when the sender learnt it.
    pub(crate) fn replace(&mut self, at: Position, mut entries: Vec<(UpstreamId, Arc<Entry>)>, now: Time) -> bool {
        if at <= self.at {
            return false;
        }
        let is_first = self.at.is_unset();
        let listed = entries.iter().filter(|(_, entry)| !entry.gone);
        let listed: BTreeSet<UpstreamId> = listed.map(|(id, _)| *id).collect();
        for (id, held) in &self.by_id {
            if held.gone || listed.contains(id) {
                continue;
            }
            let gone = Entry {
                revision: at.revision,
                gone: true,
                upstream: held.upstream.clone(),
            };
            entries.push((*id, Arc::new(gone)));
        }
        self.complete_since = at;
        if at.epoch > self.at.epoch && !is_first {
            return self.apply_restored(at, entries, now);
        }
        self.apply(at, entries, now) || is_first
    }

    /// Replaces all upstreams with those of a store that was restored from an older copy.
    fn apply_restored(&mut self, at: Position, entries: Vec<(UpstreamId, Arc<Entry>)>, now: Time) -> bool {
        let before: Vec<(UpstreamId, Arc<Entry>)> = self.iter().map(|(id, entry)| (id, Arc::clone(entry))).collect();
        let gone_since = self.gone_since.clone();
        self.begin_epoch(at);
        self.was_restored = true;
        let has_changed = self.apply(at, entries, now);
        let mut overrides = BTreeMap::new();
        for (id, entry) in before {
            if !self.by_id.get(&id).is_some_and(|copied| entry.may_supersede(copied)) {
                continue;
            }
            if entry.gone {
                self.gone_since.insert(id, gone_since.get(&id).copied().unwrap_or(now));
            }
            overrides.insert(id, entry);
        }
        self.overrides = GracePeriod::begin(overrides, now);
        self.changed.is_all = true;
        has_changed
    }

    /// Drops the entries that override a restored store, once the grace period for rewriting lost entries is over.
    /// Returns whether this changes anything.
    pub(crate) fn end_grace(&mut self, now: Time) -> bool {
        let ended = self.overrides.end(now);
        self.changed.ids.extend(ended.keys());
        for id in ended.keys() {
            if self.by_id.get(id).is_some_and(|entry| !entry.gone) {
                self.gone_since.remove(id);
            }
        }
        !ended.is_empty()
    }

    /// Starts a new epoch. Revisions of an earlier epoch are reused in a later one and can't be compared, so every
    /// entry read in the new epoch is newer.
    fn begin_epoch(&mut self, at: Position) {
        for entry in self.by_id.values_mut() {
            Arc::make_mut(entry).revision = Revision(0);
        }
        self.at = Position::new(at.epoch, Revision(0));
    }

    /// Applies changes from a watch, in order. A change without an upstream means that it is no longer listed.
    ///
    /// Of several changes to one upstream the last one applies, unless it has an earlier start time. A removal is
    /// dated `at`, which may be later than the revision at which the entry was listed again. A removed upstream keeps
    /// its last known state. The removal of an upstream that was never known here can't be recorded, so peers with an
    /// older position receive all upstreams.
    pub(crate) fn apply_watched<S>(&mut self, at: Position, changes: Vec<(UpstreamId, Revision, S)>, now: Time) -> bool
    where
        S: Into<ListingState>,
    {
        let mut last: BTreeMap<UpstreamId, (Revision, ListingState)> = BTreeMap::new();
        for (id, revision, sighting) in changes {
            let sighting = sighting.into();
            if let (Some((_, ListingState::Listed(held))), ListingState::Listed(new)) = (last.get(&id), &sighting)
                && new.is_earlier_start(held)
            {
                continue;
            }
            last.insert(id, (revision, sighting));
        }
        let mut entries = Vec::new();
        for (id, (revision, sighting)) in last {
            let Some(entry) = self.entry(id, revision, sighting) else {
                self.complete_since = self.complete_since.max(at);
                continue;
            };
            entries.push((id, Arc::new(entry)));
        }
        self.apply(at, entries, now)
    }

    /// Applies changes that lead from the current position, or an earlier one of the same epoch, to `at`. Returns
    /// whether anything has changed.
    pub(crate) fn apply(&mut self, at: Position, changes: Vec<(UpstreamId, Arc<Entry>)>, now: Time) -> bool {
        let is_next = at.epoch == self.at.epoch || self.at.is_unset();
        if at <= self.at || !is_next {
            return false;
        }
        let mut has_changed = false;
        for (id, entry) in changes {
            let held = self.by_id.get(&id);
            if held.is_some_and(|held| held.revision >= entry.revision || held.is_later_start(&entry)) {
                continue;
            }
            has_changed = true;
            // Another instance may have noticed the removal in a later list of the same copy. That is not a change.
            let is_still_missing = entry.gone && held.is_some_and(|held| held.gone);
            if !is_still_missing {
                self.overrides.remove(&id);
            }
            if entry.gone {
                self.gone_since.entry(id).or_insert(now);
            } else {
                self.gone_since.remove(&id);
            }
            self.by_id.insert(id, entry);
            self.changed.ids.insert(id);
        }
        self.at = at;
        has_changed
    }

    /// Forgets upstreams that were removed before `then`. Flows must not outlive this memory.
    pub(crate) fn forget(&mut self, then: Time) -> bool {
        let before = self.by_id.len();
        let gone_since = &mut self.gone_since;
        let complete_since = &mut self.complete_since;
        let changed = &mut self.changed;
        let epoch = self.at.epoch;
        self.by_id.retain(|id, entry| {
            if !entry.gone || gone_since.get(id).is_none_or(|since| *since >= then) {
                return true;
            }
            gone_since.remove(id);
            changed.ids.insert(*id);
            *complete_since = (*complete_since).max(Position::new(epoch, entry.revision));
            false
        });
        self.by_id.len() < before
    }
}
