//! What scripts read.

use config::Change;
use config::Difference;
use config::Document;
use config::Problem;
use serde::Serialize;
use units::Revision;

/// A problem in a document.
#[derive(Debug, Serialize)]
pub struct ProblemItem {
    line: u32,
    column: u32,
    field: String,
    message: String,
}

impl From<&Problem> for ProblemItem {
    fn from(problem: &Problem) -> Self {
        Self {
            line: problem.position.line,
            column: problem.position.column,
            field: problem.field.to_string(),
            message: problem.kind.to_string(),
        }
    }
}

/// Lists problems.
pub fn problems(problems: &[Problem]) -> Vec<ProblemItem> {
    problems.iter().map(ProblemItem::from).collect()
}

/// A difference, as an auditor reads it and in parts.
#[derive(Debug, Serialize)]
pub struct DifferenceItem<'a> {
    text: String,
    #[serde(flatten)]
    difference: &'a Difference,
}

/// Lists differences.
pub fn differences(differences: &[Difference]) -> Vec<DifferenceItem<'_>> {
    let item = |difference| DifferenceItem {
        text: ToString::to_string(difference),
        difference,
    };
    differences.iter().map(item).collect()
}

/// Which document it is.
#[derive(Debug, Serialize)]
pub struct Identity<'a> {
    revision: Revision,
    digest: String,
    author: &'a str,
    approver: &'a str,
    reason: &'a str,
}

impl<'a> From<&'a Document> for Identity<'a> {
    fn from(document: &'a Document) -> Self {
        let Change {
            author,
            approver,
            reason,
        } = &document.change;
        Self {
            revision: document.revision,
            digest: document.digest.to_string(),
            author,
            approver,
            reason,
        }
    }
}
