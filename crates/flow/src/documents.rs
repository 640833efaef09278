//! The document that an instance holds, and the steps that led to it.
//!
//! A document of many routes changes little from one revision to the next. Whoever holds a recent one is told the steps
//! from there, which are a hundredth of the size, so that a series of changes does not fill the links of small instances.

use std::collections::BTreeMap;
use std::collections::VecDeque;
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

/// How many steps are remembered. Changes come every few seconds at most for long, and within seconds they are
/// everywhere.
const STEPS: usize = 16;

/// What changed from one document to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The place of the document before.
    from: Position,
    /// The place of the document after.
    to: Position,
    /// The number that operators gave the document before, where the teller knows that places alone don't name a document.
    #[serde(default)]
    before: Option<Revision>,
    /// The number that operators gave the document after.
    revision: Revision,
    idle_timeout: Duration,
    cold_starts: BTreeMap<String, ColdStart>,
    /// What could not be read of the document after.
    #[serde(default)]
    warnings: Vec<Warning>,
    /// Routes that are new or different.
    set: BTreeMap<String, Route>,
    /// The names of routes that are gone.
    removed: Vec<String>,
    /// The digest of the document after.
    digest: Digest,
}

impl Step {
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
            warnings: after.warnings.clone(),
            set: set.map(|(name, route)| (name.clone(), route.clone())).collect(),
            removed: removed.cloned().collect(),
            digest: after.digest(),
        }
    }

    /// The document after, unless the step does not lead to the one that was meant.
    fn apply(&self, before: &Document) -> Option<Document> {
        let mut after = Document {
            revision: self.revision,
            routes: before.routes.clone(),
            idle_timeout: self.idle_timeout,
            cold_starts: self.cold_starts.clone(),
            warnings: self.warnings.clone(),
        };
        for name in &self.removed {
            after.routes.remove(name);
        }
        after.routes.extend(self.set.clone());
        (after.digest() == self.digest).then_some(after)
    }
}

/// How one holder tells another of its document.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// There is nothing newer.
    #[default]
    Nothing,
    /// The steps from the document that the other holds.
    Steps(Vec<Step>),
    /// The whole document, with the place up to which none is newer.
    Whole(Position, Document),
}

impl Update {
    /// Puts all its places in one epoch.
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
    steps: VecDeque<Step>,
}

impl Documents {
    pub(crate) fn current(&self) -> Option<&(Position, Document)> {
        self.current.as_ref()
    }

    /// The place up to which no document is newer than the one held, zero without one.
    pub(crate) fn at(&self) -> Position {
        self.current.as_ref().map(|(at, _)| *at).unwrap_or_default()
    }

    /// Takes in a document that stood at a place. Tells whether anything has changed.
    ///
    /// Operators number their documents, and their numbers only grow, whatever becomes of the store. So the number decides which of two
    /// documents is newer, and the place only between two of one number. A store that has come back from an older copy shows
    /// documents that were replaced long ago, at places that are later than all before: these are passed over, and only the
    /// place is kept.
    pub(crate) fn take(&mut self, at: Position, document: Document) -> bool {
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

    /// Notes that nothing is newer than the document held up to a place. Tells whether that is news.
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

    /// Puts a document in place of the one held, and remembers the step.
    fn set(&mut self, at: Position, document: Document) {
        if let Some((held_at, held)) = &self.current {
            self.steps.push_back(Step::new((*held_at, held), (at, &document)));
        }
        if self.steps.len() > STEPS {
            self.steps.pop_front();
        }
        self.current = Some((at, document));
    }

    /// What a holder lacks whose document has this number, if it tells, and stands at this place.
    pub(crate) fn since(&self, revision: Option<Revision>, at: Position) -> Update {
        let Some((held_at, document)) = &self.current else {
            return Update::Nothing;
        };
        let told = revision.unwrap_or(document.revision);
        if told > document.revision || (told == document.revision && at >= *held_at) {
            return Update::Nothing;
        }
        let is_next = |step: &Step| step.from == at && (revision.is_none() || step.before == revision);
        match self.steps.iter().position(is_next) {
            Some(first) => Update::Steps(self.steps.iter().skip(first).cloned().collect()),
            None => Update::Whole(*held_at, document.clone()),
        }
    }

    /// Takes in what another holder told, whose document stands at a place. Tells whether anything has changed.
    pub(crate) fn update(&mut self, update: Update, at: Position) -> bool {
        match update {
            // The teller has no newer document, up to where it stands.
            Update::Nothing => self.confirm(at),
            Update::Whole(at, document) => self.take(at, document),
            Update::Steps(steps) => {
                let mut has_changed = false;
                for step in steps {
                    has_changed |= self.step(&step);
                }
                has_changed
            }
        }
    }

    fn step(&mut self, step: &Step) -> bool {
        let Some((at, held)) = &self.current else {
            return false;
        };
        if step.from != *at || step.before.is_some_and(|before| before != held.revision) {
            return false;
        }
        match step.apply(held) {
            Some(document) => self.take(step.to, document),
            None => false,
        }
    }
}
