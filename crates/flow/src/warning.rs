//! Warnings about values of the document in force that can't be parsed, and their fallbacks.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The maximum length of the kept part of a value, in characters.
const MAX_VALUE_LEN: usize = 64;

/// The part of the document that a value belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// The document as a whole.
    Document,
    /// The route of this name.
    Route(String),
    /// The service of this name.
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

/// The fallback for a value that can't be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fallback {
    /// Requests run at most once.
    Once,
    /// The value is treated as missing.
    Absent,
    /// The share receives no new flows while the route has other shares.
    NoWeight,
    /// The share is skipped.
    ShareLeftOut,
    /// The route is skipped: new flows to it are refused.
    LeftOut,
    /// Flows may be idle for as long as any flow lives.
    LongestIdle,
}

impl fmt::Display for Fallback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Once => "requests run once at most",
            Self::Absent => "treated as missing",
            Self::NoWeight => "the share gets no new flows while the route has others",
            Self::ShareLeftOut => "the share is skipped",
            Self::LeftOut => "the route is skipped and new flows to it are refused",
            Self::LongestIdle => "flows may be idle for as long as they live",
        })
    }
}

/// A warning about a value of a document that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warning {
    /// The part of the document that the value belongs to.
    pub subject: Subject,
    /// The name of the field.
    pub field: String,
    /// The value as written, truncated if it is long.
    pub value: String,
    /// The fallback.
    pub reading: Fallback,
}

impl Warning {
    pub(crate) fn new(subject: Subject, field: &str, value: &str, reading: Fallback) -> Self {
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
