//! Places in the history of a store that may come back from an older copy of itself.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Epoch;
use crate::id::ParseIdError;
use crate::id::Revision;

/// A place in a store's history: later ones compare as greater.
///
/// A store that comes back from an older copy gives out revisions anew, so a revision says nothing without its epoch. A place of the
/// first epoch is written as its revision alone, `46`, and later ones with the epoch in front, `2/46`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "PositionRepr", into = "PositionRepr")]
pub struct Position {
    /// How often the store had come back.
    pub epoch: Epoch,
    /// Its revision.
    pub revision: Revision,
}

impl Position {
    /// A place in an epoch.
    pub fn new(epoch: Epoch, revision: Revision) -> Self {
        Self { epoch, revision }
    }

    /// Whether it names no place: what nothing is known of yet stands here.
    pub fn is_unset(self) -> bool {
        self.revision == Revision(0)
    }
}

impl From<Revision> for Position {
    /// A place in the first epoch.
    fn from(revision: Revision) -> Self {
        Self::new(Epoch(0), revision)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { epoch, revision } = self;
        if *epoch == Epoch(0) {
            return revision.fmt(f);
        }
        write!(f, "{epoch}/{revision}")
    }
}

impl FromStr for Position {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        match text.split_once('/') {
            Some((epoch, revision)) => Ok(Self::new(epoch.parse()?, revision.parse()?)),
            None => Ok(text.parse::<Revision>()?.into()),
        }
    }
}

/// How a place is written in messages and pages. What knows no epochs reads and writes those of the first one.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum PositionRepr {
    First(Revision),
    Later(Epoch, Revision),
}

impl From<PositionRepr> for Position {
    fn from(repr: PositionRepr) -> Self {
        match repr {
            PositionRepr::First(revision) => revision.into(),
            PositionRepr::Later(epoch, revision) => Self::new(epoch, revision),
        }
    }
}

impl From<Position> for PositionRepr {
    fn from(position: Position) -> Self {
        let Position { epoch, revision } = position;
        if epoch == Epoch(0) {
            return Self::First(revision);
        }
        Self::Later(epoch, revision)
    }
}
