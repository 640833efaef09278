//! Reading one directive of a scenario.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A scenario could not be read. The text says which line and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError(pub(crate) String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScenarioError {}

/// A directive: its name, its arguments as `name` or `name=value`, and the lines below it.
#[derive(Debug, Clone, Copy)]
pub struct Directive<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its arguments.
    pub args: &'a [(String, String)],
    /// The lines below it.
    pub input: &'a str,
}

impl Directive<'_> {
    /// The value of an argument, if it is given.
    pub(crate) fn value<T: FromStr>(&self, name: &str, default: T) -> Result<T, ScenarioError> {
        let Some((_, text)) = self.args.iter().find(|(arg, _)| arg == name) else {
            return Ok(default);
        };
        read(text, name)
    }

    /// The span that an argument gives, if it is given.
    pub(crate) fn span(&self, name: &str, default: Duration) -> Result<Duration, ScenarioError> {
        let Some((_, text)) = self.args.iter().find(|(arg, _)| arg == name) else {
            return Ok(default);
        };
        read_span(text)
    }

    /// The first argument without a value.
    pub(crate) fn word(&self) -> Result<&str, ScenarioError> {
        let word = self.args.iter().find(|(_, value)| value.is_empty());
        word.map(|(name, _)| name.as_str())
            .ok_or_else(|| ScenarioError(format!("{} needs an argument", self.name)))
    }

    /// The words of each line below.
    pub(crate) fn lines(&self) -> impl Iterator<Item = Vec<&str>> {
        let lines = self.input.lines().map(str::trim).filter(|line| !line.is_empty());
        lines.map(|line| line.split_whitespace().collect())
    }
}

/// These words mean nothing here.
pub(crate) fn misread(words: &[&str]) -> ScenarioError {
    ScenarioError(format!("cannot read: {}", words.join(" ")))
}

/// Reads one word.
pub(crate) fn read<T: FromStr>(text: &str, what: &str) -> Result<T, ScenarioError> {
    text.parse().map_err(|_| ScenarioError(format!("not {what}: {text}")))
}

/// Reads the number of a caller, such as `c3`.
pub(crate) fn read_caller(text: &str) -> Result<u32, ScenarioError> {
    read(text.trim_start_matches('c'), "a caller")
}

/// Reads a span, such as `2s` or `150ms`.
pub(crate) fn read_span(text: &str) -> Result<Duration, ScenarioError> {
    if let Some(millis) = text.strip_suffix("ms") {
        return read(millis, "a span").map(Duration::from_millis);
    }
    let seconds = text.strip_suffix('s').unwrap_or(text);
    read(seconds, "a span").map(Duration::from_secs)
}
