//! What instances know of the platform and tell one another: the document, the upstreams, and the zones to be emptied, each as it
//! stood at a place in the store's history.
//!
//! The store may come back from an older copy of itself, and then gives out revisions anew. So places are ordered by their epoch first, and
//! what is held of an earlier epoch stays in force until a later one tells otherwise. Documents are ordered by the number that
//! their operators gave them before all else: one that is in the copy, and was replaced before the store went away, is never in force again.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use units::Epoch;
use units::Position;
use units::Revision;
use units::Time;
use units::ZoneName;

use crate::documents::Documents;
use crate::documents::Update;
use crate::entries::Changed;
use crate::entries::Entries;
use crate::entries::Entry;
use crate::evacuations;
use crate::evacuations::Evacuations;
use crate::route::Document;
use crate::upstream::Sighting;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// How many revisions an epoch counts for where both are one number: far more than any store gives out.
const REVISIONS: u64 = 1 << 40;

/// The places in the store's history that a holder's knowledge stands at, zero for what it knows nothing of.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Positions {
    /// The number that operators gave the document, if it is known.
    pub document: Option<Revision>,
    /// Up to where no document is newer.
    pub document_at: Position,
    /// The one up to which all changes of upstreams are held.
    pub upstreams_at: Position,
    /// The one at which the zones to be emptied stood.
    pub evacuations_at: Position,
}

/// What one holder knows that another does not.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The newest document, or the steps to it.
    pub document: Update,
    /// The place that the document stands at.
    #[serde(default)]
    pub document_at: Position,
    /// The place that the upstreams stand at after this change.
    pub upstreams_at: Position,
    /// Whether all upstreams are told, and not only those that have changed since the place that was asked for.
    pub is_whole: bool,
    /// The upstreams that have changed, or all.
    pub upstreams: Vec<(UpstreamId, Arc<Entry>)>,
    /// The zones to be emptied, if there is something newer.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// Whether its places tell their epochs.
    #[serde(default)]
    pub tells_epochs: bool,
}

/// What an instance holds. Nothing here ever steps down to an older state.
#[derive(Debug, Default, Clone)]
pub struct Knowledge {
    /// Whether nothing may be placed before it is known which zones are to be emptied.
    awaits_evacuations: bool,
    evacuations: evacuations::Held,
    documents: Documents,
    upstreams: Entries,
}

impl Knowledge {
    /// Knowledge of a platform whose operators empty availability zones: it is not ready before that is known as well.
    pub fn awaiting_evacuations() -> Self {
        Self {
            awaits_evacuations: true,
            ..Self::default()
        }
    }

    /// The document, and the place up to which none is newer.
    pub fn document(&self) -> Option<&(Position, Document)> {
        self.documents.current()
    }

    /// The place up to which no document is newer than the one held, zero without one.
    pub fn document_at(&self) -> Position {
        self.documents.at()
    }

    /// The place up to which all changes of upstreams are held, zero if none were read yet.
    pub fn upstreams_at(&self) -> Position {
        self.upstreams.at()
    }

    /// All upstreams, also those remembered after they went.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamId, &Entry)> {
        self.upstreams.iter().map(|(id, entry)| (id, entry.as_ref()))
    }

    /// The same, to be held elsewhere as well.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (UpstreamId, &Arc<Entry>)> {
        self.upstreams.iter()
    }

    /// An upstream's entry, also after it went.
    pub(crate) fn entry(&self, id: UpstreamId) -> Option<&Arc<Entry>> {
        self.upstreams.get(id)
    }

    /// Which upstreams have become different since this was asked last.
    pub(crate) fn take_changed(&mut self) -> Changed {
        self.upstreams.take_changed()
    }

    /// An upstream as it was listed last, also after it went.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        self.upstreams.upstream(id)
    }

    /// The zones that operators have asked to be emptied, as the store had them at a place.
    pub fn evacuations(&self) -> &Evacuations {
        self.evacuations.current()
    }

    /// Whether a zone is to be emptied.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuations.contains(zone)
    }

    /// The zones that are to be emptied here: as the store says, but for what it has lost a moment ago.
    pub fn evacuated(&self) -> BTreeSet<ZoneName> {
        self.evacuations.zones()
    }

    /// Whether flows can be placed: there are a document and a list of upstreams, and it is known which zones are to be emptied.
    pub fn is_ready(&self) -> bool {
        let knows_zones = !self.awaits_evacuations || !self.evacuations().at.is_unset();
        self.has_routes_and_upstreams() && knows_zones
    }

    /// Whether there are a document and a list of upstreams.
    pub fn has_routes_and_upstreams(&self) -> bool {
        self.document().is_some() && !self.upstreams_at().is_unset()
    }

    /// One number that differs between two holders whenever one knows more than the other.
    ///
    /// Each part only grows, so whoever has the lower sum lacks something; equal sums with different parts are told
    /// apart by [`Knowledge::positions`].
    pub fn level(&self) -> Revision {
        let parts = self.parts().into_iter().map(as_number);
        Revision(parts.fold(0, u64::saturating_add))
    }

    /// The places of all parts.
    pub fn parts(&self) -> [Position; 3] {
        [self.document_at(), self.upstreams_at(), self.evacuations().at]
    }

    /// The latest epoch that is known of.
    pub fn epoch(&self) -> Epoch {
        let epochs = self.parts().map(|at| at.epoch);
        epochs.into_iter().max().unwrap_or_default()
    }

    /// Whether this holder has seen the store come back from an older copy.
    pub(crate) fn has_come_back(&self) -> bool {
        self.upstreams.has_come_back()
    }

    /// The places of all parts, by name, and the document's number.
    pub fn positions(&self) -> Positions {
        let [document_at, upstreams_at, evacuations_at] = self.parts();
        Positions {
            document: self.document().map(|(_, document)| document.revision),
            document_at,
            upstreams_at,
            evacuations_at,
        }
    }

    /// What a holder at these places lacks.
    pub fn since(&self, held: &Positions) -> Change {
        let (is_whole, upstreams) = self.upstreams.since(held.upstreams_at);
        Change {
            document: self.documents.since(held.document, held.document_at),
            document_at: self.document_at(),
            upstreams_at: self.upstreams_at(),
            is_whole,
            upstreams,
            evacuations: self.evacuations.since(held.evacuations_at),
            tells_epochs: true,
        }
    }

    /// Takes in what another holder knows. Tells whether anything is new.
    pub fn take(&mut self, change: Change, now: Time) -> bool {
        let has_document = self.documents.update(change.document, change.document_at);
        let has_zones = change
            .evacuations
            .is_some_and(|evacuations| self.evacuations.hear(evacuations, now));
        let is_ahead = change.upstreams_at > self.upstreams_at();
        if change.is_whole {
            self.upstreams.replace(change.upstreams_at, change.upstreams, now);
        } else {
            self.upstreams.apply(change.upstreams_at, change.upstreams, now);
        }
        is_ahead || has_document || has_zones
    }

    /// Takes in which zones the platform's operators ask to be emptied. Of those whose wish can't be read, the ones that are
    /// being emptied go on being so. Tells whether anything has changed.
    pub fn take_evacuations(&mut self, read: Evacuations, unreadable: &BTreeSet<ZoneName>, now: Time) -> bool {
        self.evacuations.read(read, unreadable, now)
    }

    /// Lets what the store says count for good once what was lost by its return has had time to be written again. Tells whether
    /// that changes anything.
    pub fn settle(&mut self, now: Time) -> bool {
        let upstreams = self.upstreams.settle(now);
        self.evacuations.settle(now) || upstreams
    }

    /// Takes in a document. Tells whether anything has changed: what is in force, or up to where nothing is newer.
    pub fn take_document(&mut self, at: impl Into<Position>, document: Document) -> bool {
        self.documents.take(at.into(), document)
    }

    /// Takes in the whole list of upstreams as it stood at a place. Tells whether anything has changed.
    pub fn take_list<S>(&mut self, at: impl Into<Position>, list: Vec<(UpstreamId, Revision, S)>, now: Time) -> bool
    where
        S: Into<Sighting>,
    {
        self.upstreams.take_list(at.into(), list, now)
    }

    /// Takes in what a watch told: changes in their order, without an upstream where it is no longer listed.
    pub fn take_watched<S>(
        &mut self,
        at: impl Into<Position>,
        changes: Vec<(UpstreamId, Revision, S)>,
        now: Time,
    ) -> bool
    where
        S: Into<Sighting>,
    {
        self.upstreams.take_watched(at.into(), changes, now)
    }

    /// When an upstream went, as far as this instance knows.
    pub fn gone_since(&self, id: UpstreamId) -> Option<Time> {
        self.upstreams.gone_since(id)
    }

    /// Forgets upstreams that went before `then`. Flows must not outlive this memory.
    pub fn forget(&mut self, then: Time) -> bool {
        self.upstreams.forget(then)
    }
}

/// A place as one number, which grows with it.
fn as_number(at: Position) -> u64 {
    let Position { epoch, revision } = at;
    epoch.0.saturating_mul(REVISIONS).saturating_add(revision.0)
}
