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
            let prefix = if index == 0 { self.0 } else { ", " };
            write!(f, "{prefix}{} {}", property.name, property.value)?;
        }
        Ok(())
    }
}

/// Tells what differs between `old` and `new`: first what is gone, then what is new or changed, in the order of `new`.
///
/// The revision and who made it are no difference, because no two documents share them.
pub fn diff(old: &Document, new: &Document) -> Vec<Difference> {
    let old = items(old);
    let new = items(new);
    let mut differences = Vec::new();
    push_removed(&old, &new, &mut differences);
    push_added_or_changed(&old, &new, &mut differences);
    differences
}

fn push_removed(old: &[Item], new: &[Item], differences: &mut Vec<Difference>) {
    let new = index_by_subject(new);
    for item in old {
        if new.contains_key(&item.subject) {
            continue;
        }
        let edit = Edit::Removed(item.properties.clone());
        differences.push(item.difference(edit));
    }
}

fn push_added_or_changed(old: &[Item], new: &[Item], differences: &mut Vec<Difference>) {
    let old = index_by_subject(old);
    for item in new {
        let Some(before) = old.get(&item.subject) else {
            let edit = Edit::Added(item.properties.clone());
            differences.push(item.difference(edit));
            continue;
        };
        for (from, to) in before.properties.iter().zip(&item.properties) {
            if from == to {
                continue;
            }
            let edit = Edit::Changed {
                name: to.name,
                from: from.value.clone(),
                to: to.value.clone(),
            };
            differences.push(item.difference(edit));
        }
    }
}

/// A subject with its properties, which are the same ones in the same order for each kind of subject.
struct Item {
    subject: Subject,
    properties: Vec<Property>,
}

impl Item {
    fn new(subject: Subject) -> Self {
        let properties = Vec::new();
        Self { subject, properties }
    }

    fn with_property(mut self, name: &'static str, value: &impl fmt::Display) -> Self {
        let value = value.to_string();
        self.properties.push(Property { name, value });
        self
    }

    fn difference(&self, edit: Edit) -> Difference {
        let subject = self.subject.clone();
        Difference { subject, edit }
    }
}

fn index_by_subject(items: &[Item]) -> BTreeMap<&Subject, &Item> {
    items.iter().map(|item| (&item.subject, item)).collect()
}

fn items(document: &Document) -> Vec<Item> {
    let mut items = Vec::new();
    for zone in &document.zones {
        items.push(Item::new(Subject::Zone(zone.name.clone())).with_property("region", &zone.region));
    }
    for service in &document.services {
        items.push(service_item(service));
        for address in &service.addresses {
            items.push(Item::new(Subject::Address(*address)).with_property("service", &service.name));
        }
        for kind in &service.kinds {
            items.push(kind_item(service, kind));
        }
        for upstream in &service.upstreams {
            items.push(upstream_item(service, upstream));
        }
    }
    items
}

fn service_item(service: &Service) -> Item {
    let sharing = &service.sharing;
    Item::new(Subject::Service(service.name.clone()))
        .with_property("affinity", &sharing.affinity)
        .with_property("prefer-local-zone", &sharing.prefer_local_zone)
        .with_property("queue-limit", &sharing.queue_limit)
        .with_property("retry-budget-percent", &sharing.retry_budget_percent)
        .with_property("slow-start-ms", &sharing.slow_start.as_millis())
}

fn kind_item(service: &Service, kind: &Kind) -> Item {
    Item::new(Subject::Kind(service.name.clone(), kind.name.clone()))
        .with_property("weight", &kind.weight)
        .with_property("idempotent", &kind.idempotent)
}

fn upstream_item(service: &Service, upstream: &Upstream) -> Item {
    Item::new(Subject::Upstream(upstream.name.clone()))
        .with_property("service", &service.name)
        .with_property("zone", &upstream.zone)
        .with_property("address", &upstream.address)
        .with_property("slots", &upstream.slots)
        .with_property("state", &upstream.state)
}
