//! What is in force where, and whether that is what was approved.

mod columns;
mod finding;

use std::fmt;
use std::net::SocketAddr;

use config::Document;
use jayquayd::admin::Report;
use jayquayd::summary::Summary;
use serde::Serialize;
use units::InstanceName;
use units::Revision;
use units::Time;
use units::ZoneName;
use wire::Digest;

pub use self::finding::Finding;
pub use self::finding::Group;

/// The document that was approved last, as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Approved {
    /// Its revision.
    pub revision: Revision,
    /// The digest of its text, in hexadecimal.
    pub digest: String,
    /// Its regions are used to tell which views have to agree. Absent if the text does not pass the checks.
    #[serde(skip)]
    pub document: Option<Document>,
}

impl Approved {
    /// The revision with this text.
    pub fn new(revision: Revision, text: &str) -> Self {
        Self {
            revision,
            digest: Digest::of(text.as_bytes()).to_string(),
            document: config::parse(text).ok(),
        }
    }
}

/// Why there is nothing from an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Silence {
    /// It is on the platform's list without an address for operators, and none was given.
    NoAddress,
    /// It did not answer.
    Unreachable(String),
    /// It told nothing, and the platform's list says that it is on a planned stop.
    Left,
    /// Its answer could not be read.
    Unreadable(String),
    /// At the address that it gave, another instance answered.
    Another(InstanceName),
}

impl fmt::Display for Silence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("no admin address is known"),
            Self::Unreachable(cause) => write!(f, "it cannot be reached: {cause}"),
            Self::Left => f.write_str("it leaves, or has left, as planned"),
            Self::Another(name) => write!(f, "{name} answers at its admin address"),
            Self::Unreadable(cause) => write!(f, "its answer cannot be read: {cause}"),
        }
    }
}

/// An instance that was asked, or should have been.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Asked {
    /// Its name, if it is known.
    pub name: Option<InstanceName>,
    /// Where it was asked.
    pub address: Option<SocketAddr>,
    /// What it answered.
    pub answer: Result<Report, Silence>,
}

impl Asked {
    /// The name by which the instance is told of.
    pub fn label(&self) -> String {
        match (&self.answer, &self.name, self.address) {
            (Ok(report), _, _) => report.node.name.to_string(),
            (Err(_), Some(name), _) => name.to_string(),
            (Err(_), None, Some(address)) => address.to_string(),
            (Err(_), None, None) => "?".to_owned(),
        }
    }
}

/// A fleet as it was seen.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fleet {
    /// The approved document, if there is one, or why the platform does not tell.
    pub approved: Result<Option<Approved>, String>,
    /// The instances.
    pub instances: Vec<Asked>,
    /// What stands at the platform of availability zones with instances that told nothing.
    pub summaries: Vec<Zone>,
}

/// A zone's summary, as it stands at the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Zone {
    /// The zone.
    pub zone: ZoneName,
    /// Who wrote the summary.
    pub writer: String,
    /// When it changed last.
    pub written_at: Time,
    /// What it tells.
    pub summary: Summary,
}

impl Fleet {
    /// What the instances that answered said, with their names.
    fn reports(&self) -> impl Iterator<Item = &Report> {
        self.instances.iter().filter_map(|asked| asked.answer.as_ref().ok())
    }

    /// The region of an availability zone, by the approved document.
    fn region(&self, zone: &ZoneName) -> Option<&ZoneName> {
        let approved = self.approved.as_ref().ok()?.as_ref()?;
        approved.document.as_ref()?.region(zone)
    }
}
