//! What an instance tells operators of itself: what it holds and whom it knows.

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

/// The path of an instance's status, as JSON.
pub const PATH: &str = "/status";
/// The path of the document that an instance holds, as JSON. Without one, the answer is 404.
pub const DOCUMENT_PATH: &str = "/document";

/// An instance's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether flows may be led to it.
    pub is_ready: bool,
    /// Whether it is on a planned stop.
    pub is_stopping: bool,
    /// Whether it watches the store for its zone.
    pub watches: bool,
    /// The operators' revision of the document in force, if it holds one.
    pub document: Option<Revision>,
    /// A digest of it, in hexadecimal.
    pub document_digest: Option<String>,
    /// The place in the store's history at which it has seen a document that can't be read, so that the one above stays in force.
    #[serde(default)]
    pub unreadable_document: Option<Position>,
    /// Why it can't.
    #[serde(default)]
    pub why_unreadable: Option<String>,
    /// What of the document in force can't be read, and what holds in its place.
    #[serde(default)]
    pub warnings: Vec<Warning>,
    /// The place in the store's history up to which it knows changes of upstreams.
    pub upstreams_at: Position,
    /// How many upstreams each service has that may get flows.
    pub upstreams: BTreeMap<String, usize>,
    /// Upstreams that get no new flows from it, or single ones on trial, as tries at them end badly.
    #[serde(default)]
    pub ejected: Vec<UpstreamId>,
    /// The availability zones that operators have asked to be emptied, as far as it knows, each with the flows that it has seen
    /// and that are still open there.
    #[serde(default)]
    pub evacuated: BTreeMap<ZoneName, u32>,
    /// How many flows it remembers.
    pub flows: usize,
    /// The instances that it knows, itself first.
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
            why_unreadable: unreadable.map(|unreadable| unreadable.why),
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

/// The document that this process holds.
pub(crate) fn document(shared: &Shared) -> Option<Document> {
    let core = shared.core();
    let (_, document) = core.knowledge().document()?;
    Some(document.clone())
}
