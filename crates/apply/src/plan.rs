//! The effect of applying a document, determined before anything is written.

use config::Change;
use config::Difference;
use config::Document;
use platform::Client;
use units::Revision;
use wire::Digest;

use crate::Refusal;
use crate::refusal;

/// The document that a plan replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Base {
    /// There is no document yet.
    Absent,
    /// The document is valid.
    Checked(Document),
    /// There is no valid text of that revision to compare with, because the platform's text is invalid or is no longer
    /// kept. Every part of the new document counts as added.
    Invalid,
}

impl Base {
    pub(crate) fn parse(text: &str) -> Self {
        config::parse(text).map_or(Self::Invalid, Self::Checked)
    }

    /// Returns the differences from this base to `document`.
    pub fn differences(&self, document: &Document) -> Vec<Difference> {
        match self {
            Self::Checked(base) => config::diff(base, document),
            Self::Absent | Self::Invalid => config::diff(&empty_document(), document),
        }
    }
}

/// A document to apply, with the changes that this would make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The revision that was reviewed, 0 if there is no document yet.
    pub from: Revision,
    /// The document of that revision.
    pub base: Base,
    /// The document to apply.
    pub document: Document,
    /// The differences from the base to the document.
    pub differences: Vec<Difference>,
    /// The newest revision at the platform if an identical document has already been written as this revision, so that
    /// nothing is left to do.
    pub applied: Option<Revision>,
}

/// Plans to replace the revision `from`, which is the reviewed one, by `document`.
pub async fn plan(client: &Client, from: Revision, document: Document) -> Result<Plan, Refusal> {
    if document.revision != from.next() {
        let stated = document.revision;
        return Err(Refusal::WrongRevision { from, stated });
    }
    let current = client.document().await?;
    let newest = current.as_ref().map_or(Revision(0), |current| current.revision);
    if newest < from {
        return Err(Refusal::UnknownRevision { from, newest });
    }
    let base = read_base(client, from).await?;
    let applied = match client.revision(document.revision).await? {
        None => None,
        Some(applied) if applied.text == document.text => Some(newest.max(applied.revision)),
        Some(winner) => return Err(refusal::conflict(&base, &document, &winner)),
    };
    let differences = base.differences(&document);
    Ok(Plan {
        from,
        base,
        document,
        differences,
        applied,
    })
}

async fn read_base(client: &Client, from: Revision) -> Result<Base, Refusal> {
    if from == Revision(0) {
        return Ok(Base::Absent);
    }
    // A revision that the platform no longer keeps cannot be compared, but it can be replaced.
    let found = client.revision(from).await?;
    Ok(found.map_or(Base::Invalid, |found| Base::parse(&found.text)))
}

/// Returns an empty document. It is invalid, and serves only as the old side of a comparison.
fn empty_document() -> Document {
    Document {
        revision: Revision(0),
        digest: Digest::of(&[]),
        text: String::new(),
        change: Change {
            author: String::new(),
            approver: String::new(),
            reason: String::new(),
        },
        zones: Vec::new(),
        services: Vec::new(),
    }
}
