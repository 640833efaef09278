//! What operators approve, and its text as a configuration document.

use std::fmt::Write;
use std::net::SocketAddr;

use units::Revision;
use units::ServiceName;
use units::UpstreamName;
use units::ZoneName;

use crate::upstream::UpstreamSpec;

/// The kinds of request that every service takes, as they stand in the document.
const KINDS: &str = "
      - { name: read, weight: 1, idempotent: true }
      - { name: hold, weight: 5, idempotent: false }
      - { name: sheet, weight: 2, idempotent: true }";

/// A service of the plan.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Its name.
    pub name: ServiceName,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Whether a flow keeps its upstream.
    pub pinned: bool,
}

/// An upstream of the plan.
#[derive(Debug, Clone)]
pub struct UpstreamPlan {
    /// What it is.
    pub spec: UpstreamSpec,
    /// Whether the document says that it gets no new work.
    pub draining: bool,
}

/// What operators approve.
#[derive(Debug, Default, Clone)]
pub struct Plan {
    /// The availability zones, all of one region.
    pub zones: Vec<ZoneName>,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamPlan>,
}

impl Plan {
    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePlan> {
        self.services.iter().find(|service| &service.name == name)
    }

    /// The upstream of this name, to be changed.
    pub fn upstream_mut(&mut self, name: &UpstreamName) -> Option<&mut UpstreamPlan> {
        self.upstreams.iter_mut().find(|upstream| &upstream.spec.name == name)
    }

    /// The document's text.
    pub fn text(&self, revision: Revision, author: &str) -> String {
        let mut text = format!("revision: {revision}\nchange: {{ author: {author}, approver: Noor, reason: proof }}\n");
        text.push_str("zones:\n");
        for zone in &self.zones {
            add(&mut text, format_args!("  - {{ name: {zone}, region: north }}"));
        }
        text.push_str("services:\n");
        for service in &self.services {
            self.add_service(&mut text, service);
        }
        text
    }

    fn add_service(&self, text: &mut String, service: &ServicePlan) {
        let affinity = if service.pinned { "flow" } else { "request" };
        add(text, format_args!("  - name: {}", service.name));
        add(text, format_args!("    addresses: [\"{}\"]", service.address));
        add(text, format_args!("    sharing: {{ affinity: {affinity} }}"));
        add(text, format_args!("    kinds:{KINDS}"));
        let mine: Vec<&UpstreamPlan> = self
            .upstreams
            .iter()
            .filter(|u| u.spec.service == service.name)
            .collect();
        if mine.is_empty() {
            add(text, format_args!("    upstreams: []"));
            return;
        }
        add(text, format_args!("    upstreams:"));
        for upstream in mine {
            let state = if upstream.draining { "draining" } else { "active" };
            let spec = &upstream.spec;
            let (name, zone, address, slots) = (&spec.name, &spec.zone, spec.address, spec.slots);
            add(
                text,
                format_args!(
                    "      - {{ name: {name}, zone: {zone}, address: \"{address}\", slots: {slots}, state: {state} }}"
                ),
            );
        }
    }
}

fn add(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("a string takes every write");
}
