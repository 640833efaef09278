//! Status of an instance for operators: what it holds and which members it knows.

use std::collections::BTreeMap;

use flow::Document;
use flow::UpstreamId;
use flow::Warning;
use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Position;
use units::Revision;
use units::ZoneName;
use wire::Member;

use super::role::Role;
use super::shared::Shared;

/// Path of the status, as JSON.
pub const PATH: &str = "/status";
/// Path of the document in force, as JSON. Without a document, the response is 404.
pub const DOCUMENT_PATH: &str = "/document";

/// An instance's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub name: InstanceName,
    /// Incarnation of the instance, which differs after each restart.
    pub incarnation: Incarnation,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Whether routers may send flows to it.
    pub is_ready: bool,
    /// Whether it is shutting down gracefully.
    pub is_stopping: bool,
    /// Whether it watches the store for its zone.
    pub watches: bool,
    /// The operators' revision of the document in force, if it holds one.
    pub document: Option<Revision>,
    /// Digest of that document, in hexadecimal.
    pub document_digest: Option<String>,
    /// Position in the store's history of a document that can't be parsed, because of which the one above stays in
    /// force.
    #[serde(default)]
    pub unreadable_document: Option<Position>,
    /// The reason why it can't be parsed.
    #[serde(default)]
    pub why_unreadable: Option<String>,
    /// Values of the document in force that can't be parsed, and what applies in their place.
    #[serde(default)]
    pub warnings: Vec<Warning>,
    /// Position in the store's history up to which it knows changes of upstreams.
    pub upstreams_at: Position,
    /// Number of upstreams that may receive flows, by service.
    pub upstreams: BTreeMap<String, usize>,
    /// Upstreams that receive no new flows from it, or only single trial flows, because of failed tries.
    #[serde(default)]
    pub ejected: Vec<UpstreamId>,
    /// The availability zones that it knows operators want evacuated, each with the number of flows seen here that are
    /// still open there.
    #[serde(default)]
    pub evacuated: BTreeMap<ZoneName, u32>,
    /// Number of flows that it tracks.
    pub flows: usize,
    /// The members that it knows, itself first.
    pub members: Vec<Member>,
}

impl Status {
    /// The status of this process.
    pub(crate) fn of(shared: &Shared) -> Self {
        let watches = Role::of(shared).is_some();
        let is_ready = shared.is_ready();
        let unreadable = shared.unreadable_document();
        let core = shared.core();
        let members = shared.members();
        let knowledge = core.knowledge();
        let document = knowledge.document().map(|(_, document)| document);
        let mut upstreams = BTreeMap::new();
        for (_, entry) in knowledge.upstreams() {
            if !entry.gone && !entry.upstream.leaving {
                *upstreams.entry(entry.upstream.service.to_string()).or_default() += 1;
            }
        }
        let me = members.me();
        Self {
            name: me.name.clone(),
            incarnation: me.incarnation,
            zone: me.zone.clone(),
            is_ready,
            is_stopping: shared.is_stopping(),
            watches,
            document: document.map(|document| document.revision),
            document_digest: document.map(|document| document.digest().to_string()),
            unreadable_document: unreadable.as_ref().map(|unreadable| unreadable.at),
            why_unreadable: unreadable.map(|unreadable| unreadable.reason),
            warnings: document.map(|document| document.warnings.clone()).unwrap_or_default(),
            upstreams_at: knowledge.upstreams_at(),
            upstreams,
            ejected: core.ejected(),
            evacuated: core.evacuated(),
            flows: core.flow_count(),
            members: members.members().cloned().collect(),
        }
    }
}

/// The document in force.
pub(crate) fn document(shared: &Shared) -> Option<Document> {
    let core = shared.core();
    let (_, document) = core.knowledge().document()?;
    Some(document.clone())
}
