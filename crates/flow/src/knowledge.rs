//! What instances know of the platform and tell one another: the document, the upstreams, and the zones to be emptied, each with a
//! revision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use units::Revision;
use units::Time;
use units::ZoneName;

use crate::documents::Documents;
use crate::documents::Update;
use crate::evacuations;
use crate::evacuations::Evacuations;
use crate::route::Document;
use crate::upstream::Sighting;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// One upstream's entry. An upstream that has gone is remembered without what it was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The platform's revision at which it became so, or a later one.
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
}

/// The platform's revisions that a holder's knowledge stands at, zero for what it knows nothing of.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// That of the document.
    pub document_at: Revision,
    /// The one up to which all changes of upstreams are held.
    pub upstreams_at: Revision,
    /// The one at which the zones to be emptied stood.
    #[serde(default)]
    pub evacuations_at: Revision,
}

/// What one holder knows that another does not.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The newest document, or the steps to it.
    pub document: Update,
    /// The revision that the upstreams stand at after this change.
    pub upstreams_at: Revision,
    /// Whether all upstreams are told, and not only those that have changed since the revision that was asked for.
    pub is_whole: bool,
    /// The upstreams that have changed, or all.
    pub upstreams: Vec<(UpstreamId, Entry)>,
    /// The zones to be emptied, if there is something newer.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
}

/// What an instance holds. Nothing here ever steps down to an older revision.
#[derive(Debug, Default, Clone)]
pub struct Knowledge {
    /// Whether nothing may be placed before it is known which zones are to be emptied.
    awaits_evacuations: bool,
    evacuations: evacuations::Held,
    documents: Documents,
    upstreams_at: Revision,
    /// The revision from which on all changes are remembered, those that took an upstream away among them.
    complete_since: Revision,
    upstreams: BTreeMap<UpstreamId, Entry>,
    /// When each upstream went, as this instance learnt it.
    gone_since: BTreeMap<UpstreamId, Time>,
}

impl Knowledge {
    /// Knowledge of a platform whose operators empty availability zones: it is not ready before that is known as well.
    pub fn awaiting_evacuations() -> Self {
        Self {
            awaits_evacuations: true,
            ..Self::default()
        }
    }

    /// The document, and the platform's revision at which it was written.
    pub fn document(&self) -> Option<&(Revision, Document)> {
        self.documents.current()
    }

    /// The platform's revision of the document held, zero without one.
    pub fn document_at(&self) -> Revision {
        self.documents.at()
    }

    /// The revision up to which all changes of upstreams are held, zero if none were read yet.
    pub fn upstreams_at(&self) -> Revision {
        self.upstreams_at
    }

    /// All upstreams, also those remembered after they went.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamId, &Entry)> {
        self.upstreams.iter().map(|(id, entry)| (*id, entry))
    }

    /// An upstream as it was listed last, also after it went.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(&id).map(|entry| &entry.upstream)
    }

    /// The zones that operators have asked to be emptied, as they stood at a revision.
    pub fn evacuations(&self) -> &Evacuations {
        self.evacuations.current()
    }

    /// Whether operators have asked for a zone to be emptied.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuations().zones.contains(zone)
    }

    /// Whether flows can be placed: there are a document and a list of upstreams, and it is known which zones are to be emptied.
    pub fn is_ready(&self) -> bool {
        let knows_zones = !self.awaits_evacuations || self.evacuations().at > Revision(0);
        self.has_routes_and_upstreams() && knows_zones
    }

    /// Whether there are a document and a list of upstreams.
    pub fn has_routes_and_upstreams(&self) -> bool {
        self.document().is_some() && self.upstreams_at > Revision(0)
    }

    /// One number that differs between two holders whenever one knows more than the other.
    ///
    /// Each part only grows, so whoever has the lower sum lacks something; equal sums with different parts are told
    /// apart by [`Knowledge::parts`].
    pub fn level(&self) -> Revision {
        let parts = self.parts().into_iter();
        Revision(parts.map(|at| at.0).fold(0, u64::saturating_add))
    }

    /// The revisions of all parts.
    pub fn parts(&self) -> [Revision; 3] {
        [self.document_at(), self.upstreams_at, self.evacuations().at]
    }

    /// The revisions of all parts, by name.
    pub fn revisions(&self) -> Revisions {
        let [document_at, upstreams_at, evacuations_at] = self.parts();
        Revisions {
            document_at,
            upstreams_at,
            evacuations_at,
        }
    }

    /// What a holder at these revisions lacks.
    ///
    /// A list that was read from the platform does not tell what went before. A holder from before then gets all
    /// upstreams, so that it finds out by what is missing.
    pub fn since(&self, held: Revisions) -> Change {
        let Revisions {
            document_at,
            upstreams_at,
            evacuations_at,
        } = held;
        let is_newer = self.upstreams_at > upstreams_at;
        let is_whole = is_newer && upstreams_at < self.complete_since;
        let told = self.upstreams.iter();
        let told = told.filter(|(_, entry)| is_whole || (is_newer && entry.revision > upstreams_at));
        Change {
            document: self.documents.since(document_at),
            upstreams_at: self.upstreams_at,
            is_whole,
            upstreams: told.map(|(id, entry)| (*id, entry.clone())).collect(),
            evacuations: self.evacuations.since(evacuations_at),
        }
    }

    /// Takes in what another holder knows. Tells whether anything is new.
    pub fn take(&mut self, change: Change, now: Time) -> bool {
        let has_document = self.documents.update(change.document);
        let has_zones = change
            .evacuations
            .is_some_and(|evacuations| self.evacuations.hear(evacuations));
        let is_ahead = change.upstreams_at > self.upstreams_at;
        if change.is_whole {
            self.replace(change.upstreams_at, change.upstreams, now);
        } else {
            self.apply(change.upstreams_at, change.upstreams, now);
        }
        is_ahead || has_document || has_zones
    }

    /// Takes in which zones the platform's operators ask to be emptied. Of those whose wish can't be read, the ones that are
    /// being emptied go on being so. Tells whether anything has changed.
    pub fn take_evacuations(&mut self, read: Evacuations, unreadable: &BTreeSet<ZoneName>) -> bool {
        self.evacuations.read(read, unreadable)
    }

    /// Takes in a document. Tells whether it is newer than the one held.
    pub fn take_document(&mut self, at: Revision, document: Document) -> bool {
        self.documents.take(at, document)
    }

    /// Takes in the whole list of upstreams as it stood at a revision. Tells whether anything has changed.
    pub fn take_list<S>(&mut self, at: Revision, list: Vec<(UpstreamId, Revision, S)>, now: Time) -> bool
    where
        S: Into<Sighting>,
    {
        let entries = list.into_iter().filter_map(|(id, revision, sighting)| {
            let entry = self.entry(id, revision, sighting.into())?;
            Some((id, entry))
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

    /// Takes in all upstreams as they stood at a revision. Those that are not told as listed have gone by then, whenever
    /// the teller learnt it.
    fn replace(&mut self, at: Revision, mut entries: Vec<(UpstreamId, Entry)>, now: Time) -> bool {
        if at <= self.upstreams_at {
            return false;
        }
        let is_first = self.upstreams_at == Revision(0);
        let listed = entries.iter().filter(|(_, entry)| !entry.gone);
        let listed: BTreeSet<UpstreamId> = listed.map(|(id, _)| *id).collect();
        for (id, held) in &self.upstreams {
            if held.gone || listed.contains(id) {
                continue;
            }
            let gone = Entry {
                revision: at,
                gone: true,
                upstream: held.upstream.clone(),
            };
            entries.push((*id, gone));
        }
        self.complete_since = at;
        self.apply(at, entries, now) || is_first
    }

    /// Takes in what a watch told: changes in their order, without an upstream where it is no longer listed.
    ///
    /// Of several changes of one upstream the last counts, unless it tells of an earlier start. A change that takes an
    /// entry away counts as of `at`, which may lie after the revision at which the entry came back. An upstream that went
    /// keeps what was known of it. One that was never known here can't be remembered, so holders from before get all
    /// upstreams.
    pub fn take_watched<S>(&mut self, at: Revision, changes: Vec<(UpstreamId, Revision, S)>, now: Time) -> bool
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
            entries.push((id, entry));
        }
        self.apply(at, entries, now)
    }

    /// Takes in single changes that lead from the revision held, or an earlier one, to `at`. Tells whether anything
    /// has changed.
    pub fn apply(&mut self, at: Revision, changes: Vec<(UpstreamId, Entry)>, now: Time) -> bool {
        if at <= self.upstreams_at {
            return false;
        }
        let mut has_changed = false;
        for (id, entry) in changes {
            let held = self.upstreams.get(&id);
            if held.is_some_and(|held| held.revision >= entry.revision || held.is_later_start(&entry)) {
                continue;
            }
            has_changed = true;
            if entry.gone {
                self.gone_since.entry(id).or_insert(now);
            } else {
                self.gone_since.remove(&id);
            }
            self.upstreams.insert(id, entry);
        }
        self.upstreams_at = at;
        has_changed
    }

    /// When an upstream went, as far as this instance knows.
    pub fn gone_since(&self, id: UpstreamId) -> Option<Time> {
        self.gone_since.get(&id).copied()
    }

    /// Forgets upstreams that went before `then`. Flows must not outlive this memory.
    pub fn forget(&mut self, then: Time) -> bool {
        let before = self.upstreams.len();
        let gone_since = &mut self.gone_since;
        let complete_since = &mut self.complete_since;
        self.upstreams.retain(|id, entry| {
            if !entry.gone || gone_since.get(id).is_none_or(|since| *since >= then) {
                return true;
            }
            gone_since.remove(id);
            *complete_since = (*complete_since).max(entry.revision);
            false
        });
        self.upstreams.len() < before
    }
}
