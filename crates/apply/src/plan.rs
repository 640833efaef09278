//! What applying a document would do.

use config::Change;
use config::Difference;
use config::Document;
use platform::Client;
use units::Revision;
use wire::Digest;

use crate::Refusal;
use crate::refusal;

/// The document that a plan starts from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Base {
    /// There is none yet.
    Absent,
    /// It passes the checks.
    Checked(Document),
    /// The platform holds a text that does not pass the checks, so every part of the new document counts as added.
    Invalid,
}

impl Base {
    pub(crate) fn parse(text: &str) -> Self {
        config::parse(text).map_or(Self::Invalid, Self::Checked)
    }

    /// What `document` changes.
    pub fn differences(&self, document: &Document) -> Vec<Difference> {
        match self {
            Self::Checked(base) => config::diff(base, document),
            Self::Absent | Self::Invalid => config::diff(&empty_document(), document),
        }
    }
}

/// A document and what applying it would change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The revision that was reviewed, zero if there is no document yet.
    pub from: Revision,
    /// The document of that revision.
    pub base: Base,
    /// The document to apply.
    pub document: Document,
    /// What it changes.
    pub differences: Vec<Difference>,
    /// The newest revision at the platform, if this very text was made before and so nothing is left to do.
    pub applied: Option<Revision>,
}

/// Plans to apply `document` in place of the revision `from`, which is the one that was reviewed.
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
    // A revision that the platform no longer keeps cannot be compared with, but it can be replaced.
    let found = client.revision(from).await?;
    Ok(found.map_or(Base::Invalid, |found| Base::parse(&found.text)))
}

/// What an empty document would hold. It would not pass the checks, and only serves to compare with.
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
