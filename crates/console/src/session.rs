//! What one console works on: the document that was reviewed, the draft made from it, and what is wrong with it.

use std::fmt;

use config::Difference;
use config::Document;
use config::Problem;
use platform::Client;
use units::Revision;

use crate::draft::Change;
use crate::draft::Draft;
use crate::input::FormPairs;
use crate::yaml;

/// Why a session could not begin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadError {
    /// The platform did not give its document.
    Platform(platform::Error),
    /// The platform's document does not pass the checks, so it cannot be shown in forms.
    Invalid(Revision, Vec<Problem>),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Invalid(revision, problems) => {
                write!(f, "revision {revision} at the platform does not pass the checks:")?;
                for problem in problems {
                    write!(f, "\n  {problem}")?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for LoadError {}

/// The document that is in force at the platform, if there is one.
pub async fn load(client: &Client) -> Result<Option<Document>, LoadError> {
    let stored = client.document().await.map_err(LoadError::Platform)?;
    let Some(stored) = stored else {
        return Ok(None);
    };
    let document = config::parse(&stored.text).map_err(|problems| LoadError::Invalid(stored.revision, problems))?;
    Ok(Some(document))
}

/// What one console works on.
#[derive(Debug, Clone)]
pub struct Session {
    /// The document that the draft is made from.
    pub base: Option<Document>,
    /// The draft.
    pub draft: Draft,
    /// Counts the changes of the draft, so that a page that shows an older one is found out.
    pub version: u64,
    /// Whether it was tried to apply the draft, so that a missing author is a problem and not just left open yet.
    pub apply_attempted: bool,
}

/// What the checks say of a draft.
#[derive(Debug)]
pub struct CheckResult {
    /// The text.
    pub text: String,
    /// The document, if there is no problem.
    pub document: Option<Document>,
    /// Every problem.
    pub problems: Vec<Problem>,
    /// What differs from the base, if nothing but the change itself is left to fill in.
    pub differences: Option<Vec<Difference>>,
}

impl Session {
    /// A session whose draft changes nothing yet.
    pub fn new(base: Option<Document>) -> Self {
        let draft = base.as_ref().map(Draft::from).unwrap_or_default();
        Self {
            base,
            draft,
            version: 0,
            apply_attempted: false,
        }
    }

    /// The revision that was reviewed, zero if there was no document.
    pub fn base_revision(&self) -> Revision {
        self.base.as_ref().map_or(Revision(0), |base| base.revision)
    }

    /// Starts anew from `base` and drops the draft.
    pub fn restart(&mut self, base: Option<Document>) {
        let version = self.version + 1;
        *self = Self::new(base);
        self.version = version;
    }

    /// Goes on with the draft, which from now on is compared with `base`.
    pub fn rebase(&mut self, base: Option<Document>) {
        self.base = base;
        self.version += 1;
    }

    /// Takes over a posted form and then carries out the button that was pressed.
    pub fn edit(&mut self, pairs: &FormPairs, button: Button<'_>) {
        self.draft.update(pairs);
        match button {
            Button::Save => {}
            Button::Add(path) => self.draft.add(path),
            Button::Remove(path) => self.draft.remove(path),
        }
        self.version += 1;
    }

    /// Whether who changes it and why is still left open.
    pub fn is_change_blank(&self) -> bool {
        !self.apply_attempted && self.draft.change == Change::default()
    }

    /// Checks the draft as `jayquay config check` does.
    pub fn check(&self) -> CheckResult {
        let revision = self.base_revision().next();
        let text = yaml::write(&self.draft, revision);
        let differences = self.differences(revision);
        match config::parse(&text) {
            Ok(document) => CheckResult {
                text,
                document: Some(document),
                problems: Vec::new(),
                differences,
            },
            Err(problems) => CheckResult {
                text,
                document: None,
                problems,
                differences,
            },
        }
    }

    /// Who changes it and why is filled in last, so the differences are told without it.
    fn differences(&self, revision: Revision) -> Option<Vec<Difference>> {
        let mut filled = self.draft.clone();
        filled.change = Change {
            author: "author".to_owned(),
            approver: "approver".to_owned(),
            reason: "reason".to_owned(),
        };
        let document = config::parse(&yaml::write(&filled, revision)).ok()?;
        let base = self.base.clone().map_or(apply::Base::Absent, apply::Base::Checked);
        Some(base.differences(&document))
    }
}

/// A button of a form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Button<'a> {
    /// Keep what was typed.
    Save,
    /// Add an item to the list at this path.
    Add(&'a str),
    /// Remove the item at this path.
    Remove(&'a str),
}

impl<'a> From<&'a str> for Button<'a> {
    /// Reads a button's value. An unknown one only saves.
    fn from(value: &'a str) -> Self {
        match value.split_once(' ') {
            Some(("add", path)) => Self::Add(path),
            Some(("remove", path)) => Self::Remove(path),
            _ => Self::Save,
        }
    }
}
