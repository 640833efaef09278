//! The reasons why a document was not applied, or why the outcome is unknown.

use std::fmt;

use config::Change;
use config::Difference;
use config::Document;
use units::Revision;

use crate::Base;

/// The reason why a document was not applied, or why the outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The revision of the document is not the successor of the reviewed one.
    WrongRevision {
        /// The revision that was reviewed.
        from: Revision,
        /// The revision that the document states.
        stated: Revision,
    },
    /// The reviewed revision is newer than any that the platform knows.
    UnknownRevision {
        /// The revision that was reviewed.
        from: Revision,
        /// The newest revision that the platform knows.
        newest: Revision,
    },
    /// Another document was written as this revision first. Nothing was changed.
    Conflict(Box<Conflict>),
    /// A call to the platform failed. Nothing was changed.
    Platform(platform::Error),
    /// The write was sent, but whether it took effect could not be determined.
    InDoubt {
        /// The revision that the write would create.
        revision: Revision,
        /// Why the outcome could not be determined.
        cause: platform::Error,
    },
}

impl From<platform::Error> for Refusal {
    /// Converts the error of a call that precedes the write.
    fn from(error: platform::Error) -> Self {
        Self::Platform(error)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongRevision { from, stated } => {
                let expected = from.next();
                write!(
                    f,
                    "nothing was changed: the document states revision {stated}, but what follows "
                )?;
                write!(f, "revision {from} is revision {expected}")
            }
            Self::UnknownRevision { from, newest } => {
                write!(
                    f,
                    "nothing was changed: the platform knows no revision {from}, its newest is {newest}; "
                )?;
                f.write_str("if you have seen it, a replica lags, so try again")
            }
            Self::Conflict(conflict) => conflict.fmt(f),
            Self::Platform(error) => write!(f, "nothing was changed: {error}"),
            Self::InDoubt { revision, cause } => {
                write!(f, "it is not known whether revision {revision} was made: {cause}; ")?;
                f.write_str("apply the same file again to find out, which never makes it twice")
            }
        }
    }
}

impl std::error::Error for Refusal {}

/// A conflict with another document that was written first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The revision that both documents claim.
    pub revision: Revision,
    /// Who wrote the winning document.
    pub writer: String,
    /// The change record of the winning document, if that is valid.
    pub change: Option<Change>,
    /// What the winning document changed.
    pub winner_changes: Vec<Difference>,
    /// What the refused document would change in the winning one.
    pub remaining: Vec<Difference>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision = self.revision;
        write!(
            f,
            "nothing was changed: revision {revision} was made first by {}",
            self.writer
        )?;
        if let Some(change) = &self.change {
            let Change { approver, reason, .. } = change;
            write!(f, ", approved by {approver}, because: {reason}")?;
        }
        write!(f, "\nThat revision changed:")?;
        write_differences(f, &self.winner_changes)?;
        write!(f, "\nYour document would change in it:")?;
        write_differences(f, &self.remaining)?;
        write!(f, "\nReview again from revision {revision}.")
    }
}

fn write_differences(f: &mut fmt::Formatter<'_>, differences: &[Difference]) -> fmt::Result {
    if differences.is_empty() {
        return f.write_str("\n  nothing");
    }
    for difference in differences {
        write!(f, "\n  {difference}")?;
    }
    Ok(())
}

/// Returns the refusal of `document`, with the winner and the differences.
pub(crate) fn conflict(base: &Base, document: &Document, winner: &platform::Document) -> Refusal {
    let won = Base::parse(&winner.text);
    let remaining = won.differences(document);
    let mut conflict = Conflict {
        revision: winner.revision,
        writer: winner.writer.clone(),
        change: None,
        winner_changes: Vec::new(),
        remaining,
    };
    if let Base::Checked(won) = won {
        conflict.winner_changes = base.differences(&won);
        conflict.change = Some(won.change);
    }
    Refusal::Conflict(Box::new(conflict))
}
