//! The editing session: the reviewed document, the draft based on it, and the problems of the draft.

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

/// The reasons why the document cannot be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadError {
    /// Reading the document from the platform failed.
    Platform(platform::Error),
    /// The platform's document is invalid, so it cannot be shown in forms.
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

/// Loads the platform's current document, if there is one.
pub async fn load(client: &Client) -> Result<Option<Document>, LoadError> {
    let stored = client.document().await.map_err(LoadError::Platform)?;
    let Some(stored) = stored else {
        return Ok(None);
    };
    let document = config::parse(&stored.text).map_err(|problems| LoadError::Invalid(stored.revision, problems))?;
    Ok(Some(document))
}

/// The state of the editing session.
#[derive(Debug, Clone)]
pub struct Session {
    /// The document that the draft is based on.
    pub base: Option<Document>,
    /// The draft.
    pub draft: Draft,
    /// A counter of the draft's changes, used to detect forms that show an older draft.
    pub version: u64,
    /// Whether applying the draft was attempted. From then on, a blank change record counts as a problem.
    pub apply_attempted: bool,
}

/// The result of validating a draft.
#[derive(Debug)]
pub struct CheckResult {
    /// The draft as YAML text.
    pub text: String,
    /// The document, if the draft is valid.
    pub document: Option<Document>,
    /// All problems.
    pub problems: Vec<Problem>,
    /// The differences from the base, if the draft is valid apart from its change record.
    pub differences: Option<Vec<Difference>>,
}

impl Session {
    /// Creates a session with an unchanged draft.
    pub fn new(base: Option<Document>) -> Self {
        let draft = base.as_ref().map(Draft::from).unwrap_or_default();
        Self {
            base,
            draft,
            version: 0,
            apply_attempted: false,
        }
    }

    /// Returns the reviewed revision, 0 if there was no document.
    pub fn base_revision(&self) -> Revision {
        self.base.as_ref().map_or(Revision(0), |base| base.revision)
    }

    /// Discards the draft and starts again from `base`.
    pub fn restart(&mut self, base: Option<Document>) {
        let version = self.version + 1;
        *self = Self::new(base);
        self.version = version;
    }

    /// Keeps the draft, and compares it with `base` from now on.
    pub fn rebase(&mut self, base: Option<Document>) {
        self.base = base;
        self.version += 1;
    }

    /// Updates the draft from a posted form, then performs the action of the pressed button.
    pub fn edit(&mut self, pairs: &FormPairs, button: Button<'_>) {
        self.draft.update(pairs);
        match button {
            Button::Save => {}
            Button::Add(path) => self.draft.add(path),
            Button::Remove(path) => self.draft.remove(path),
        }
        self.version += 1;
    }

    /// Returns whether the change record is still blank and applying was not attempted.
    pub fn is_change_blank(&self) -> bool {
        !self.apply_attempted && self.draft.change == Change::default()
    }

    /// Validates the draft in the same way as `jayquay config check`.
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

    /// Returns the differences from the base. The operator fills in the change record last, so a placeholder is used
    /// for it here.
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
    /// Save the entered values.
    Save,
    /// Add an item to the list at this path.
    Add(&'a str),
    /// Remove the item at this path.
    Remove(&'a str),
}

impl<'a> From<&'a str> for Button<'a> {
    /// Parses the value of a button. An unknown value only saves.
    fn from(value: &'a str) -> Self {
        match value.split_once(' ') {
            Some(("add", path)) => Self::Add(path),
            Some(("remove", path)) => Self::Remove(path),
            _ => Self::Save,
        }
    }
}
