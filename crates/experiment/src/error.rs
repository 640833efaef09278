//! Why an experiment could not be run.

use std::fmt;

use crate::scenario::Scenario;

/// Why an experiment could not be run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The deployment's YAML could not be read; the text says where.
    Yaml(String),
    /// A name in the deployment is not one.
    Name(units::NameError),
    /// The deployment or the options lack something.
    Missing(&'static str),
    /// No scenario has this name.
    Scenario(String),
    /// The plot could not be drawn.
    Plot(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Yaml(text) => write!(f, "the deployment cannot be read: {text}"),
            Self::Name(error) => write!(f, "the deployment has a bad name: {error}"),
            Self::Missing(what) => write!(f, "there are no {what}"),
            Self::Scenario(name) => {
                let known = Scenario::ALL.map(Scenario::as_str).join(", ");
                write!(f, "no scenario is called {name}; there are: {known}")
            }
            Self::Plot(text) => write!(f, "the plot cannot be drawn: {text}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<units::NameError> for Error {
    fn from(error: units::NameError) -> Self {
        Self::Name(error)
    }
}
