//! What of a document in force can't be read, and what holds in its place.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How much of a value that can't be read is kept, in characters.
const MAX_VALUE_LEN: usize = 64;

/// What a value belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// The document itself.
    Document,
    /// A route, by its name.
    Route(String),
    /// A service, by its name.
    Service(String),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Document => f.write_str("document"),
            Self::Route(name) => write!(f, "route {name}"),
            Self::Service(name) => write!(f, "service {name}"),
        }
    }
}

/// What holds in place of a value that can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reading {
    /// Requests run once at most.
    Once,
    /// As if nothing were told.
    Absent,
    /// A share gets no new flows while the route has others.
    NoWeight,
    /// A share is left out.
    ShareLeftOut,
    /// A route is left out: new flows to it are refused.
    LeftOut,
    /// Flows may be silent for as long as any lives.
    LongestIdle,
}

impl fmt::Display for Reading {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Once => "requests run once at most",
            Self::Absent => "taken for not told",
            Self::NoWeight => "the share gets no new flows beside others",
            Self::ShareLeftOut => "the share is left out",
            Self::LeftOut => "the route is left out and refuses new flows",
            Self::LongestIdle => "flows may be silent for as long as they live",
        })
    }
}

/// A value of a document that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warning {
    /// What it belongs to.
    pub subject: Subject,
    /// What it says of that.
    pub field: String,
    /// The value as it was written, its beginning if it is long.
    pub value: String,
    /// What holds in its place.
    pub reading: Reading,
}

impl Warning {
    pub(crate) fn new(subject: Subject, field: &str, value: &str, reading: Reading) -> Self {
        Self {
            subject,
            field: field.to_owned(),
            value: value.chars().take(MAX_VALUE_LEN).collect(),
            reading,
        }
    }
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            subject,
            field,
            value,
            reading,
        } = self;
        write!(f, "{subject}: {field} {value:?} can't be read, {reading}")
    }
}
