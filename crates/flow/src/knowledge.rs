//! The platform state that instances hold and exchange: the document, the upstreams, and the evacuated zones, each as
//! of a position in the store's history.
//!
//! The store may be restored from an older copy of itself, and then reuses revisions. Positions are therefore ordered
//! by epoch first, and state from an earlier epoch stays in force until a later epoch overrides it. Documents are
//! ordered by the number that operators assigned before anything else: a document in the copy that had already been
//! replaced before the store failed never comes into force again.

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
use crate::entries::ChangedUpstreams;
use crate::entries::Entries;
use crate::entries::Entry;
use crate::evacuations;
use crate::evacuations::Evacuations;
use crate::route::Document;
use crate::upstream::ListingState;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

/// The weight of an epoch, in revisions, when a position is expressed as one number. It is far more than the revisions
/// that any store assigns.
const REVISIONS_PER_EPOCH: u64 = 1 << 40;

/// The positions in the store's history of the parts of an instance's knowledge, zero for unknown parts.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Positions {
    /// The revision that operators assigned to the document, if it is known.
    pub document: Option<Revision>,
    /// The position up to which no document is newer.
    pub document_at: Position,
    /// The position up to which all changes of upstreams are known.
    pub upstreams_at: Position,
    /// The position of the evacuated zones.
    pub evacuations_at: Position,
}

/// The knowledge that a peer lacks.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The latest document, or the steps to it.
    pub document: Update,
    /// The position of the document.
    #[serde(default)]
    pub document_at: Position,
    /// The position of the upstreams after this change.
    pub upstreams_at: Position,
    /// Whether all upstreams are included, rather than only those that have changed since the requested position.
    pub is_whole: bool,
    /// The changed upstreams, or all of them.
    pub upstreams: Vec<(UpstreamId, Arc<Entry>)>,
    /// The evacuated zones, if they are newer.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// Whether the positions include epochs.
    #[serde(default)]
    pub tells_epochs: bool,
}

/// The platform state that an instance holds. No part ever reverts to an older state.
#[derive(Debug, Default, Clone)]
pub struct Knowledge {
    /// Whether no flow may be placed before the evacuated zones are known.
    awaits_evacuations: bool,
    evacuations: evacuations::EvacuationState,
    documents: Documents,
    upstreams: Entries,
}

impl Knowledge {
    /// Creates the knowledge for a platform with evacuations: it is not ready before the evacuated zones are known as
    /// well.
    pub fn awaiting_evacuations() -> Self {
        Self {
            awaits_evacuations: true,
            ..Self::default()
        }
    }

    /// The document, and the position up to which no document is newer.
    pub fn document(&self) -> Option<&(Position, Document)> {
        self.documents.current()
    }

    /// The position up to which no document is newer than the one held, or zero if there is none.
    pub fn document_at(&self) -> Position {
        self.documents.at()
    }

    /// The position up to which all changes of upstreams are known, or zero if none have been read yet.
    pub fn upstreams_at(&self) -> Position {
        self.upstreams.at()
    }

    /// All upstreams, including removed ones that are still remembered.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamId, &Entry)> {
        self.upstreams.iter().map(|(id, entry)| (id, entry.as_ref()))
    }

    /// All upstreams, with shared ownership of their entries.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (UpstreamId, &Arc<Entry>)> {
        self.upstreams.iter()
    }

    /// The entry of an upstream, including a removed one.
    pub(crate) fn entry(&self, id: UpstreamId) -> Option<&Arc<Entry>> {
        self.upstreams.get(id)
    }

    /// Returns the upstreams that have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> ChangedUpstreams {
        self.upstreams.take_changed()
    }

    /// An upstream as last listed, including a removed one.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        self.upstreams.upstream(id)
    }

    /// The evacuated zones as last read from the store.
    pub fn evacuations(&self) -> &Evacuations {
        self.evacuations.current()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuations.contains(zone)
    }

    /// The zones that this instance treats as evacuated: those of the store, corrected for changes that the store lost
    /// recently.
    pub fn evacuated(&self) -> BTreeSet<ZoneName> {
        self.evacuations.zones()
    }

    /// Whether flows can be placed: a document, a list of upstreams and, if required, the evacuated zones are known.
    pub fn is_ready(&self) -> bool {
        let knows_zones = !self.awaits_evacuations || !self.evacuations().at.is_unset();
        self.has_routes_and_upstreams() && knows_zones
    }

    /// Whether a document and a list of upstreams are known.
    pub fn has_routes_and_upstreams(&self) -> bool {
        self.document().is_some() && !self.upstreams_at().is_unset()
    }

    /// A number that differs between two instances whenever one knows more than the other.
    ///
    /// Each part only grows, so the instance with the lower sum lacks something. Equal sums of different parts are
    /// distinguished by [`Knowledge::positions`].
    pub fn level(&self) -> Revision {
        let parts = self.parts().into_iter().map(to_number);
        Revision(parts.fold(0, u64::saturating_add))
    }

    /// The positions of all parts.
    pub fn parts(&self) -> [Position; 3] {
        [self.document_at(), self.upstreams_at(), self.evacuations().at]
    }

    /// The latest known epoch.
    pub fn epoch(&self) -> Epoch {
        let epochs = self.parts().map(|at| at.epoch);
        epochs.into_iter().max().unwrap_or_default()
    }

    /// Whether this instance has seen the store restored from an older copy.
    pub(crate) fn was_restored(&self) -> bool {
        self.upstreams.was_restored()
    }

    /// The positions of all parts by name, and the document's revision.
    pub fn positions(&self) -> Positions {
        let [document_at, upstreams_at, evacuations_at] = self.parts();
        Positions {
            document: self.document().map(|(_, document)| document.revision),
            document_at,
            upstreams_at,
            evacuations_at,
        }
    }

    /// Returns what a peer at these positions lacks.
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

    /// Applies a change from a peer. Returns whether anything is new.
    pub fn apply(&mut self, change: Change, now: Time) -> bool {
        let has_document = self.documents.apply_update(change.document, change.document_at);
        let has_zones = change
            .evacuations
            .is_some_and(|evacuations| self.evacuations.apply_received(evacuations, now));
        let is_ahead = change.upstreams_at > self.upstreams_at();
        if change.is_whole {
            self.upstreams.replace(change.upstreams_at, change.upstreams, now);
        } else {
            self.upstreams.apply(change.upstreams_at, change.upstreams, now);
        }
        is_ahead || has_document || has_zones
    }

    /// Applies the evacuated zones read from the platform. A zone whose entry can't be parsed keeps its state. Returns
    /// whether anything has changed.
    pub fn apply_evacuations(&mut self, read: Evacuations, unreadable: &BTreeSet<ZoneName>, now: Time) -> bool {
        self.evacuations.apply_read(read, unreadable, now)
    }

    /// Drops state that overrides a restored store, once the grace period for rewriting lost entries is over. Returns
    /// whether this changes anything.
    pub fn end_grace(&mut self, now: Time) -> bool {
        let upstreams = self.upstreams.end_grace(now);
        self.evacuations.end_grace(now) || upstreams
    }

    /// Applies a document. Returns whether anything has changed: the document in force, or the position up to which it
    /// is the latest.
    pub fn apply_document(&mut self, at: impl Into<Position>, document: Document) -> bool {
        self.documents.accept(at.into(), document)
    }

    /// Applies a complete list of upstreams as of a position. Returns whether anything has changed.
    pub fn apply_list<S>(&mut self, at: impl Into<Position>, list: Vec<(UpstreamId, Revision, S)>, now: Time) -> bool
    where
        S: Into<ListingState>,
    {
        self.upstreams.apply_list(at.into(), list, now)
    }

    /// Applies changes from a watch, in order. A change without an upstream means that it is no longer listed.
    pub fn apply_watched<S>(
        &mut self,
        at: impl Into<Position>,
        changes: Vec<(UpstreamId, Revision, S)>,
        now: Time,
    ) -> bool
    where
        S: Into<ListingState>,
    {
        self.upstreams.apply_watched(at.into(), changes, now)
    }

    /// When an upstream was removed, as far as this instance knows.
    pub fn gone_since(&self, id: UpstreamId) -> Option<Time> {
        self.upstreams.gone_since(id)
    }

    /// Forgets upstreams that were removed before `then`. Flows must not outlive this memory.
    pub fn forget(&mut self, then: Time) -> bool {
        self.upstreams.forget(then)
    }
}

/// Expresses a position as one number that grows with it.
fn to_number(at: Position) -> u64 {
    let Position { epoch, revision } = at;
    epoch.0.saturating_mul(REVISIONS_PER_EPOCH).saturating_add(revision.0)
}
