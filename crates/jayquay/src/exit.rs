//! How a command ends: what it prints and the exit code that a script reads.

use std::fmt;
use std::process::ExitCode;

use crate::output;

/// The command did what it was asked.
pub const DONE: u8 = 0;

/// The command refused or failed.
pub const REFUSED: u8 = 1;

/// The arguments make no sense.
pub const BAD_USAGE: u8 = 2;

/// What a command found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It did what it was asked.
    Done,
    /// It refuses what it was given.
    Refused,
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// What it found.
    pub outcome: Outcome,
    /// What goes to stdout.
    pub text: String,
}

impl Report {
    /// The result of a command that did what it was asked.
    pub fn done(text: String) -> Self {
        let outcome = Outcome::Done;
        Self { outcome, text }
    }

    /// The result of a command that refuses what it was given.
    pub fn refused(text: String) -> Self {
        let outcome = Outcome::Refused;
        Self { outcome, text }
    }
}

/// Prints the result of a command, its error to stderr, and gives the exit code.
pub fn finish<E: fmt::Display>(result: Result<Report, E>) -> ExitCode {
    let report = match result {
        Ok(report) => report,
        Err(error) => {
            output::complain(&error.to_string());
            return ExitCode::from(REFUSED);
        }
    };
    if let Err(error) = output::print(&report.text) {
        output::complain(&format!("stdout cannot be written: {error}"));
        return ExitCode::from(REFUSED);
    }
    match report.outcome {
        Outcome::Done => ExitCode::from(DONE),
        Outcome::Refused => ExitCode::from(REFUSED),
    }
}
