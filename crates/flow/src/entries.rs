//! The upstreams that an instance holds, as they stood at a place in the store's history.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use units::Position;
use units::Revision;
use units::Time;

use crate::grace_period::GracePeriod;
use crate::upstream::Sighting;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// One upstream's entry. An upstream that has gone is remembered without what it was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The platform's revision at which it became so, or a later one, in the epoch at which its holder's upstreams stand. Zero if it
    /// became so in an earlier epoch.
    pub revision: Revision,
    /// The upstream as it was listed last.
    pub upstream: Upstream,
    /// Whether it is no longer listed.
    pub gone: bool,
}

impl Entry {
    /// Whether `other` is listed by an earlier start: a late write of a process that has ended.
    fn is_later_start(&self, other: &Self) -> bool {
        !other.gone && other.upstream.is_earlier_start(&self.upstream)
    }

    /// Whether this, which was known before the store came back from an older copy, may be later than what the copy says of the same
    /// upstream. An upstream leaves and goes, and comes back only by another start.
    fn may_outdate(&self, copied: &Self) -> bool {
        if self.upstream.is_other_start(&copied.upstream) {
            return false;
        }
        self.gone != copied.gone || (self.upstream.leaving && !copied.upstream.leaving)
    }
}

/// Which upstreams have become different.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Changed {
    /// These.
    pub(crate) ids: BTreeSet<UpstreamId>,
    /// Any of them.
    pub(crate) is_all: bool,
}

/// The upstreams that an instance holds.
#[derive(Debug, Default, Clone)]
pub(crate) struct Entries {
    /// Up to where all changes are held.
    at: Position,
    /// The place from which on all changes are remembered, those that took an upstream away among them.
    complete_since: Position,
    by_id: BTreeMap<UpstreamId, Arc<Entry>>,
    /// When each upstream went, as this instance learnt it.
    gone_since: BTreeMap<UpstreamId, Time>,
    /// Whether the store has come back from an older copy since the first list.
    has_come_back: bool,
    /// What counts in place of what an older copy of the store says. It is not told to others, who have their own.
    kept: GracePeriod<UpstreamId, Arc<Entry>>,
    /// What has become different since it was asked last.
    changed: Changed,
}

impl Entries {
    /// Up to where all changes are held.
    pub(crate) fn at(&self) -> Position {
        self.at
    }

    /// Whether the store has come back from an older copy since the first list.
    pub(crate) fn has_come_back(&self) -> bool {
        self.has_come_back
    }

    /// All upstreams, also those remembered after they went.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (UpstreamId, &Arc<Entry>)> {
        let entries = self.by_id.iter();
        entries.map(|(id, entry)| (*id, self.kept.get(id).unwrap_or(entry)))
    }

    /// An upstream's entry, also after it went.
    pub(crate) fn get(&self, id: UpstreamId) -> Option<&Arc<Entry>> {
        let entry = self.by_id.get(&id)?;
        Some(self.kept.get(&id).unwrap_or(entry))
    }

    /// What has become different since this was asked last.
    pub(crate) fn take_changed(&mut self) -> Changed {
        std::mem::take(&mut self.changed)
    }

    /// An upstream as it was listed last, also after it went.
    pub(crate) fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        self.by_id.get(&id).map(|entry| &entry.upstream)
    }

    /// When an upstream went, as far as this instance knows.
    pub(crate) fn gone_since(&self, id: UpstreamId) -> Option<Time> {
        self.gone_since.get(&id).copied()
    }

    /// What a holder at this place lacks, and whether that is all there is.
    ///
    /// A list that was read from the platform does not tell what went before. A holder from before then gets all
    /// upstreams, so that it finds out by what is missing. So does a holder of an earlier epoch.
    pub(crate) fn since(&self, held: Position) -> (bool, Vec<(UpstreamId, Arc<Entry>)>) {
        let is_newer = self.at > held;
        let is_whole = is_newer && held < self.complete_since;
        let told = self.by_id.iter();
        let told = told.filter(|(_, entry)| is_whole || (is_newer && entry.revision > held.revision));
        (is_whole, told.map(|(id, entry)| (*id, Arc::clone(entry))).collect())
    }

    /// Takes in the whole list of upstreams as it stood at a place. Tells whether anything has changed.
    pub(crate) fn take_list<S>(&mut self, at: Position, list: Vec<(UpstreamId, Revision, S)>, now: Time) -> bool
    where
        S: Into<Sighting>,
    {
        let entries = list.into_iter().filter_map(|(id, revision, sighting)| {
            let entry = self.entry(id, revision, sighting.into())?;
            Some((id, Arc::new(entry)))
        });
        let entries = entries.collect();
        self.replace(at, entries, now)
    }

    /// What is to be remembered of an upstream that was seen so; `None` if nothing was known of it and nothing is told.
    ///
    /// An entry that can't be read names no upstream for new flows. Its open flows go on to where they were, as an upstream
    /// that leaves keeps its own.
    fn entry(&self, id: UpstreamId, revision: Revision, sighting: Sighting) -> Option<Entry> {
        let held = || self.upstream(id).cloned();
        let (upstream, gone) = match sighting {
            Sighting::Listed(upstream) => (upstream, false),
            Sighting::Unreadable => (
                Upstream {
                    leaving: true,
                    ..held()?
                },
                false,
            ),
            Sighting::Gone => (held()?, true),
        };
        Some(Entry {
            revision,
            upstream,
            gone,
        })
    }

    /// Takes in all upstreams as they stood at a place. Those that are not told as listed have gone by then, whenever
    /// the teller learnt it.
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
            return self.come_back(at, entries, now);
        }
        self.apply(at, entries, now) || is_first
    }

    /// Takes in all upstreams as a store holds them that has come back from an older copy.
    fn come_back(&mut self, at: Position, entries: Vec<(UpstreamId, Arc<Entry>)>, now: Time) -> bool {
        let before: Vec<(UpstreamId, Arc<Entry>)> = self.iter().map(|(id, entry)| (id, Arc::clone(entry))).collect();
        let gone_since = self.gone_since.clone();
        self.begin_epoch(at);
        self.has_come_back = true;
        let has_changed = self.apply(at, entries, now);
        let mut kept = BTreeMap::new();
        for (id, entry) in before {
            if !self.by_id.get(&id).is_some_and(|copied| entry.may_outdate(copied)) {
                continue;
            }
            if entry.gone {
                self.gone_since.insert(id, gone_since.get(&id).copied().unwrap_or(now));
            }
            kept.insert(id, entry);
        }
        self.kept = GracePeriod::begin(kept, now);
        self.changed.is_all = true;
        has_changed
    }

    /// Lets what the store says count for good once what was lost by its return has had time to be written again. Tells whether
    /// that changes anything.
    pub(crate) fn settle(&mut self, now: Time) -> bool {
        let ended = self.kept.end(now);
        self.changed.ids.extend(ended.keys());
        for id in ended.keys() {
            if self.by_id.get(id).is_some_and(|entry| !entry.gone) {
                self.gone_since.remove(id);
            }
        }
        !ended.is_empty()
    }

    /// Revisions of an earlier epoch say nothing in a later one, where they are given out again: whatever is told there is newer.
    fn begin_epoch(&mut self, at: Position) {
        for entry in self.by_id.values_mut() {
            Arc::make_mut(entry).revision = Revision(0);
        }
        self.at = Position::new(at.epoch, Revision(0));
    }

    /// Takes in what a watch told: changes in their order, without an upstream where it is no longer listed.
    ///
    /// Of several changes of one upstream the last counts, unless it tells of an earlier start. A change that takes an
    /// entry away counts as of `at`, which may lie after the revision at which the entry came back. An upstream that went
    /// keeps what was known of it. One that was never known here can't be remembered, so holders from before get all
    /// upstreams.
    pub(crate) fn take_watched<S>(&mut self, at: Position, changes: Vec<(UpstreamId, Revision, S)>, now: Time) -> bool
    where
        S: Into<Sighting>,
    {
        let mut last: BTreeMap<UpstreamId, (Revision, Sighting)> = BTreeMap::new();
        for (id, revision, sighting) in changes {
            let sighting = sighting.into();
            if let (Some((_, Sighting::Listed(held))), Sighting::Listed(new)) = (last.get(&id), &sighting)
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

    /// Takes in single changes that lead from the place held, or an earlier one of its epoch, to `at`. Tells whether anything
    /// has changed.
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
            // Others may have missed it in a later list of the same copy, which is no news.
            let is_still_missing = entry.gone && held.is_some_and(|held| held.gone);
            if !is_still_missing {
                self.kept.remove(&id);
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

    /// Forgets upstreams that went before `then`. Flows must not outlive this memory.
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
