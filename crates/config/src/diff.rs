//! Differences between two documents, displayed in a form for audits.

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

/// The part of the document that a difference concerns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// An availability zone.
    Zone(ZoneName),
    /// A service.
    Service(ServiceName),
    /// An address that callers connect to.
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

/// How a subject changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// It was added, with these properties.
    Added(Vec<Property>),
    /// It was removed, and had these properties.
    Removed(Vec<Property>),
    /// One of its properties changed.
    Changed {
        /// The property's name in the document.
        name: &'static str,
        /// The old value.
        from: String,
        /// The new value.
        to: String,
    },
}

/// One difference between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The part of the document that changed.
    pub subject: Subject,
    /// How it changed.
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

/// Returns the differences between `old` and `new`: removals first, then additions and changes in the order of `new`.
///
/// The revision and the change record are not compared, because they differ between any two documents.
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

/// A subject with its properties. All subjects of one kind have the same properties in the same order, so that they
/// can be compared pairwise.
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
