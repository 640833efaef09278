//! What differs between two documents, in words that an auditor reads.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;
use units::KindName;
use units::ServiceName;
use units::UpstreamName;
use units::ZoneName;

use crate::Document;
use crate::Kind;
use crate::Service;
use crate::Upstream;

/// What a difference is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// An availability zone.
    Zone(ZoneName),
    /// A service.
    Service(ServiceName),
    /// An address that callers dial.
    Address(SocketAddr),
    /// A kind of request of a service.
    Kind(ServiceName, KindName),
    /// An upstream.
    Upstream(UpstreamName),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zone(name) => write!(f, "zone {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Address(address) => write!(f, "address {address}"),
            Self::Kind(service, name) => write!(f, "kind {name} of service {service}"),
            Self::Upstream(name) => write!(f, "upstream {name}"),
        }
    }
}

/// One property of a subject, as text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Property {
    /// Its name in the document.
    pub name: &'static str,
    /// Its value.
    pub value: String,
}

/// What became of a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// It is new, with these properties.
    Added(Vec<Property>),
    /// It is gone, and had these properties.
    Removed(Vec<Property>),
    /// One of its properties changed.
    Changed {
        /// The property's name in the document.
        name: &'static str,
        /// What it was.
        from: String,
        /// What it is.
        to: String,
    },
}

/// One difference between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// What it is about.
    pub subject: Subject,
    /// What became of it.
    pub edit: Edit,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let subject = &self.subject;
        match &self.edit {
            Edit::Added(properties) => write!(f, "{subject} added{}", Properties(": ", properties)),
            Edit::Removed(properties) => write!(f, "{subject} removed{}", Properties("; it had ", properties)),
            Edit::Changed { name, from, to } => write!(f, "{subject}: {name} changed from {from} to {to}"),
        }
    }
}

struct Properties<'a>(&'static str, &'a [Property]);

impl fmt::Display for Properties<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, property) in self.1.iter().enumerate() {
            let lead = if index == 0 { self.0 } else { ", " };
            write!(f, "{lead}{} {}", property.name, property.value)?;
        }
        Ok(())
    }
}

/// Tells what differs between `old` and `new`: first what is gone, then what is new or changed, in the order of `new`.
///
/// The revision and who made it are no difference, because no two documents share them.
pub fn diff(old: &Document, new: &Document) -> Vec<Difference> {
    let old = parts(old);
    let new = parts(new);
    let mut differences = Vec::new();
    removed(&old, &new, &mut differences);
    added_or_changed(&old, &new, &mut differences);
    differences
}

fn removed(old: &[Part], new: &[Part], differences: &mut Vec<Difference>) {
    let new = index(new);
    for part in old {
        if new.contains_key(&part.subject) {
            continue;
        }
        let edit = Edit::Removed(part.properties.clone());
        differences.push(part.difference(edit));
    }
}

fn added_or_changed(old: &[Part], new: &[Part], differences: &mut Vec<Difference>) {
    let old = index(old);
    for part in new {
        let Some(before) = old.get(&part.subject) else {
            let edit = Edit::Added(part.properties.clone());
            differences.push(part.difference(edit));
            continue;
        };
        for (from, to) in before.properties.iter().zip(&part.properties) {
            if from == to {
                continue;
            }
            let edit = Edit::Changed {
                name: to.name,
                from: from.value.clone(),
                to: to.value.clone(),
            };
            differences.push(part.difference(edit));
        }
    }
}

/// A subject with its properties, which are the same ones in the same order for each kind of subject.
struct Part {
    subject: Subject,
    properties: Vec<Property>,
}

impl Part {
    fn new(subject: Subject) -> Self {
        let properties = Vec::new();
        Self { subject, properties }
    }

    fn with(mut self, name: &'static str, value: &impl fmt::Display) -> Self {
        let value = value.to_string();
        self.properties.push(Property { name, value });
        self
    }

    fn difference(&self, edit: Edit) -> Difference {
        let subject = self.subject.clone();
        Difference { subject, edit }
    }
}

fn index(parts: &[Part]) -> BTreeMap<&Subject, &Part> {
    parts.iter().map(|part| (&part.subject, part)).collect()
}

fn parts(document: &Document) -> Vec<Part> {
    let mut parts = Vec::new();
    for zone in &document.zones {
        parts.push(Part::new(Subject::Zone(zone.name.clone())).with("region", &zone.region));
    }
    for service in &document.services {
        parts.push(service_part(service));
        for address in &service.addresses {
            parts.push(Part::new(Subject::Address(*address)).with("service", &service.name));
        }
        for kind in &service.kinds {
            parts.push(kind_part(service, kind));
        }
        for upstream in &service.upstreams {
            parts.push(upstream_part(service, upstream));
        }
    }
    parts
}

fn service_part(service: &Service) -> Part {
    let sharing = &service.sharing;
    Part::new(Subject::Service(service.name.clone()))
        .with("affinity", &sharing.affinity)
        .with("prefer-local-zone", &sharing.prefer_local_zone)
        .with("queue-limit", &sharing.queue_limit)
        .with("retry-budget-percent", &sharing.retry_budget_percent)
        .with("slow-start-ms", &sharing.slow_start.as_millis())
}

fn kind_part(service: &Service, kind: &Kind) -> Part {
    Part::new(Subject::Kind(service.name.clone(), kind.name.clone()))
        .with("weight", &kind.weight)
        .with("idempotent", &kind.idempotent)
}

fn upstream_part(service: &Service, upstream: &Upstream) -> Part {
    Part::new(Subject::Upstream(upstream.name.clone()))
        .with("service", &service.name)
        .with("zone", &upstream.zone)
        .with("address", &upstream.address)
        .with("slots", &upstream.slots)
        .with("state", &upstream.state)
}
