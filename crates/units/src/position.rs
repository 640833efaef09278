//! Positions in the history of a store that may be restored from an older copy of its data.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Epoch;
use crate::id::ParseIdError;
use crate::id::Revision;

/// A position in a store's history. Later positions compare as greater.
///
/// A store that is restored from an older copy assigns the same revisions again, so a revision is ambiguous without its epoch. A
/// position in epoch 0 is written as its revision alone, such as `46`; one in a later epoch has the epoch in front, such as `2/46`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "PositionRepr", into = "PositionRepr")]
pub struct Position {
    /// How many times the store had been restored from an older copy.
    pub epoch: Epoch,
    /// The revision within that epoch.
    pub revision: Revision,
}

impl Position {
    /// Creates a position in the given epoch.
    pub fn new(epoch: Epoch, revision: Revision) -> Self {
        Self { epoch, revision }
    }

    /// Whether this is the placeholder for a position that is not known yet. Any position with revision 0 is.
    pub fn is_unset(self) -> bool {
        self.revision == Revision(0)
    }
}

impl From<Revision> for Position {
    /// Creates a position in epoch 0.
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

/// The serialised form of a position. In epoch 0 it is the bare revision, which programs that know no epochs read and write too.
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
