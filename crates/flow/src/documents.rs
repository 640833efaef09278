//! The document that an instance holds, and the steps (deltas) that led to it.
//!
//! A document with many routes changes little from one revision to the next. A peer with a recent document is sent the
//! steps from there, which are a hundredth of the size, so that a series of changes does not saturate the links of
//! small instances.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::num::NonZeroU32;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Epoch;
use units::Position;
use units::Revision;

use crate::route::ColdStart;
use crate::route::Digest;
use crate::route::Document;
use crate::route::Route;
use crate::warning::Warning;

/// The number of steps that are kept. A sustained rate of changes is at most one every few seconds, and each change
/// reaches all instances within seconds.
const MAX_STEPS: usize = 16;

/// The difference between two consecutive documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStep {
    /// The store position of the previous document.
    from: Position,
    /// The store position of the next document.
    to: Position,
    /// The revision that operators assigned to the previous document. It is absent if the sender is of a release that
    /// identifies documents by position alone.
    #[serde(default)]
    before: Option<Revision>,
    /// The revision that operators assigned to the next document.
    revision: Revision,
    idle_timeout: Duration,
    cold_starts: BTreeMap<String, ColdStart>,
    /// The connection limits of the next document. It is absent if the sender is of a release without them.
    #[serde(default)]
    connection_limits: Option<BTreeMap<String, NonZeroU32>>,
    /// The warnings of the next document.
    #[serde(default)]
    warnings: Vec<Warning>,
    /// Routes that were added or changed.
    set: BTreeMap<String, Route>,
    /// The names of removed routes.
    removed: Vec<String>,
    /// The digest of the next document.
    digest: Digest,
}

impl DocumentStep {
    fn new(from: (Position, &Document), to: (Position, &Document)) -> Self {
        let (from, before) = from;
        let (to, after) = to;
        let set = after
            .routes
            .iter()
            .filter(|(name, route)| before.routes.get(*name) != Some(*route));
        let removed = before.routes.keys().filter(|name| !after.routes.contains_key(*name));
        Self {
            from,
            to,
            before: Some(before.revision),
            revision: after.revision,
            idle_timeout: after.idle_timeout,
            cold_starts: after.cold_starts.clone(),
            connection_limits: Some(after.connection_limits.clone()),
            warnings: after.warnings.clone(),
            set: set.map(|(name, route)| (name.clone(), route.clone())).collect(),
            removed: removed.cloned().collect(),
            digest: after.digest(),
        }
    }

    /// Applies the step to a document. Returns `None` if the result does not have the expected digest.
    fn apply(&self, before: &Document) -> Option<Document> {
        let connection_limits = self.connection_limits.as_ref().unwrap_or(&before.connection_limits);
        let mut after = Document {
            revision: self.revision,
            routes: before.routes.clone(),
            idle_timeout: self.idle_timeout,
            cold_starts: self.cold_starts.clone(),
            connection_limits: connection_limits.clone(),
            warnings: self.warnings.clone(),
        };
        for name in &self.removed {
            after.routes.remove(name);
        }
        after.routes.extend(self.set.clone());
        (after.digest() == self.digest).then_some(after)
    }
}

/// An update of a peer's document.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The peer's document is up to date.
    #[default]
    Nothing,
    /// The steps from the document that the peer holds.
    Steps(Vec<DocumentStep>),
    /// The whole document, with the position up to which there is no newer one.
    Whole(Position, Document),
}

impl Update {
    /// Sets the epoch of all positions.
    pub(crate) fn set_epoch(&mut self, epoch: Epoch) {
        match self {
            Self::Nothing => {}
            Self::Steps(steps) => {
                for step in steps {
                    step.from.epoch = epoch;
                    step.to.epoch = epoch;
                }
            }
            Self::Whole(at, _) => at.epoch = epoch,
        }
    }
}

/// The document that an instance holds, and the steps that led to it.
#[derive(Debug, Default, Clone)]
pub(crate) struct Documents {
    current: Option<(Position, Document)>,
    steps: VecDeque<DocumentStep>,
}

impl Documents {
    pub(crate) fn current(&self) -> Option<&(Position, Document)> {
        self.current.as_ref()
    }

    /// The position up to which no document is newer than the one held, or zero if there is none.
    pub(crate) fn at(&self) -> Position {
        self.current.as_ref().map(|(at, _)| *at).unwrap_or_default()
    }

    /// Accepts a document that was read at a position. Returns whether anything has changed.
    ///
    /// Operators number their documents, and the numbers only grow, whatever happens to the store. Therefore the
    /// number decides which of two documents is newer, and the position only breaks ties. A store that was restored
    /// from an older copy lists documents that were replaced long ago, at later positions than any before: these
    /// documents are ignored, and only the position is recorded.
    pub(crate) fn accept(&mut self, at: Position, document: Document) -> bool {
        let Some((held_at, held)) = &self.current else {
            self.current = Some((at, document));
            return true;
        };
        if (document.revision, at) <= (held.revision, *held_at) {
            return self.confirm(at);
        }
        self.set(at.max(*held_at), document);
        true
    }

    /// Records that no document is newer than the current one up to a position. Returns whether the position advanced.
    fn confirm(&mut self, at: Position) -> bool {
        let Some((held_at, held)) = &self.current else {
            return false;
        };
        if at <= *held_at {
            return false;
        }
        self.set(at, held.clone());
        true
    }

    /// Replaces the current document and records the step.
    fn set(&mut self, at: Position, document: Document) {
        if let Some((held_at, held)) = &self.current {
            self.steps
                .push_back(DocumentStep::new((*held_at, held), (at, &document)));
        }
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
        self.current = Some((at, document));
    }

    /// The update for a peer whose document has the given revision, if it sent one, and position.
    pub(crate) fn since(&self, revision: Option<Revision>, at: Position) -> Update {
        let Some((held_at, document)) = &self.current else {
            return Update::Nothing;
        };
        let peer_revision = revision.unwrap_or(document.revision);
        if peer_revision > document.revision || (peer_revision == document.revision && at >= *held_at) {
            return Update::Nothing;
        }
        let is_next = |step: &DocumentStep| step.from == at && (revision.is_none() || step.before == revision);
        match self.steps.iter().position(is_next) {
            Some(first) => Update::Steps(self.steps.iter().skip(first).cloned().collect()),
            None => Update::Whole(*held_at, document.clone()),
        }
    }

    /// Applies an update from a peer whose document is at a position. Returns whether anything has changed.
    pub(crate) fn apply_update(&mut self, update: Update, at: Position) -> bool {
        match update {
            // The sender has no newer document up to its position.
            Update::Nothing => self.confirm(at),
            Update::Whole(at, document) => self.accept(at, document),
            Update::Steps(steps) => {
                let mut has_changed = false;
                for step in steps {
                    has_changed |= self.apply_step(&step);
                }
                has_changed
            }
        }
    }

    fn apply_step(&mut self, step: &DocumentStep) -> bool {
        let Some((at, held)) = &self.current else {
            return false;
        };
        if step.from != *at || step.before.is_some_and(|before| before != held.revision) {
            return false;
        }
        match step.apply(held) {
            Some(document) => self.accept(step.to, document),
            None => false,
        }
    }
}
