//! Documents in files.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use config::Document;
use config::Problem;

use super::error::Error;

/// What a file holds: a checked document, or every problem.
pub type Checked = Result<Document, Vec<Problem>>;

/// Reads a file.
pub fn text(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))
}

/// Reads and checks a document.
pub fn document(path: &Path) -> Result<Checked, Error> {
    let text = text(path)?;
    Ok(config::parse(&text))
}

/// Lists problems as `file:line:column: field: message`, one a line.
pub fn list(path: &Path, problems: &[Problem]) -> String {
    let mut text = String::new();
    for problem in problems {
        writeln!(text, "{}:{problem}", path.display()).expect("a string takes every write");
    }
    text
}
