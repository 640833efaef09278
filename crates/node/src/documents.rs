//! The configuration document in force, which is the highest valid revision seen. Lower revisions are ignored.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::Affinity;
use config::Document;
use config::Service;
use serde_bytes::ByteBuf;
use units::InstanceName;
use units::Revision;
use units::ServiceName;
use units::Time;
use units::UpstreamName;
use wire::Delta;
use wire::Frame;
use wire::TicketId;

use crate::Action;
use crate::Node;
use crate::Peer;
use crate::Record;
use crate::home::leaving_upstreams;
use crate::ingress::RETRY_SOON;
use crate::node::Context;
use crate::ticket::Ticket;

/// How many earlier documents are kept as bases for the deltas that are sent to other instances.
const MAX_EARLIER_DOCUMENTS: usize = 4;
/// How long to wait for a requested document before requesting it again.
const DOCUMENT_REQUEST_RETRY: Duration = Duration::from_millis(250);

/// The document in force and the most recent earlier ones.
#[derive(Debug, Default, Clone)]
pub(crate) struct Documents {
    current: Option<Arc<Document>>,
    earlier: VecDeque<Arc<Document>>,
    /// The index of each service in the document, which may hold thousands of services.
    by_name: HashMap<ServiceName, usize>,
    by_address: HashMap<SocketAddr, usize>,
    by_upstream: HashMap<UpstreamName, usize>,
    wanted: Option<(Revision, Time)>,
    /// The number of documents that failed validation.
    pub rejected: u64,
    last_rejected: Option<Revision>,
}

impl Documents {
    /// The document in force.
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// The revision of the document in force.
    pub fn revision(&self) -> Option<Revision> {
        self.current.as_ref().map(|document| document.revision)
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.current.as_ref()?.services.get(*self.by_name.get(name)?)
    }

    /// The service at this address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.current.as_ref()?.services.get(*self.by_address.get(&address)?)
    }

    /// The name of the service to which an upstream belongs.
    pub fn service_of(&self, upstream: &UpstreamName) -> Option<ServiceName> {
        let service = self.current.as_ref()?.services.get(*self.by_upstream.get(upstream)?)?;
        Some(service.name.clone())
    }

    /// Whether each flow of a service keeps using the same upstream.
    pub fn has_flow_affinity(&self, service: &ServiceName) -> bool {
        let service = self.service(service);
        service.is_some_and(|service| service.sharing.affinity == Affinity::Flow)
    }

    /// The services of the document that are missing from `known`.
    pub fn missing_from<V>(&self, known: &BTreeMap<ServiceName, V>) -> Vec<ServiceName> {
        let Some(document) = &self.current else {
            return Vec::new();
        };
        let missing = document
            .services
            .iter()
            .filter(|service| !known.contains_key(&service.name));
        missing.map(|service| service.name.clone()).collect()
    }

    fn is_newer(&self, revision: Revision) -> bool {
        self.revision().is_none_or(|held| revision > held)
    }

    fn install(&mut self, document: Document) -> bool {
        if !self.is_newer(document.revision) {
            return false;
        }
        self.by_name.clear();
        self.by_address.clear();
        self.by_upstream.clear();
        for (index, service) in document.services.iter().enumerate() {
            self.by_name.insert(service.name.clone(), index);
            self.by_address
                .extend(service.addresses.iter().map(|address| (*address, index)));
            let upstreams = service.upstreams.iter();
            self.by_upstream
                .extend(upstreams.map(|upstream| (upstream.name.clone(), index)));
        }
        let before = self.current.replace(Arc::new(document));
        self.earlier.extend(before);
        if self.earlier.len() > MAX_EARLIER_DOCUMENTS {
            self.earlier.pop_front();
        }
        true
    }

    fn delta_from(&self, revision: Revision) -> Option<Delta> {
        let base = self.earlier.iter().find(|document| document.revision == revision)?;
        let current = self.current.as_ref()?;
        Some(diff(base, current))
    }
}

impl Node {
    /// Takes a document from the platform or from another instance.
    pub(crate) fn load_document(&mut self, cx: &mut Context<'_>, revision: Revision, text: &str) {
        if !self.documents.is_newer(revision) {
            return;
        }
        let document = match config::parse(text) {
            Ok(document) if document.revision == revision => document,
            Ok(_) | Err(_) => return self.reject_document(cx, revision),
        };
        let digest = document.digest;
        if !self.documents.install(document) {
            return;
        }
        cx.record(Record::InForce(revision));
        let mut outputs = Vec::new();
        self.membership.set_document(revision, digest, cx.now, &mut outputs);
        self.apply_membership_outputs(cx, outputs);
        self.upstreams
            .retain(|name, _| self.documents.service_of(name).is_some());
        self.configure_homes(cx);
        self.refuse_unknown_services(cx);
        self.recompute_homes(cx);
    }

    /// Rejects a newer document and keeps the one in force. Records the rejection once per revision.
    fn reject_document(&mut self, cx: &mut Context<'_>, revision: Revision) {
        self.documents.rejected += 1;
        if self.documents.last_rejected != Some(revision) {
            self.documents.last_rejected = Some(revision);
            cx.record(Record::DocumentRejected(revision));
        }
    }

    fn configure_homes(&mut self, cx: &mut Context<'_>) {
        self.homes.retain(|name, _| self.documents.service(name).is_some());
        for (name, home) in &mut self.homes {
            let Some(service) = self.documents.service(name) else {
                continue;
            };
            let leaving = leaving_upstreams(service, &self.upstreams, &self.membership);
            let mut decisions = Vec::new();
            home.pool.configure(service, &leaving, cx.now, &mut decisions);
            self.pending_decisions.extend(decisions);
        }
    }

    /// Refuses waiting requests for services that are no longer in the document. Calls in progress may finish.
    fn refuse_unknown_services(&mut self, cx: &mut Context<'_>) {
        let unserved =
            |ticket: &Ticket| ticket.is_waiting() && self.documents.service(&ticket.claims.service).is_none();
        let ids: Vec<TicketId> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| unserved(ticket))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.refuse_request(cx, id, wire::Reason::Unknown, RETRY_SOON);
        }
    }

    /// Requests the document of this revision from an instance that holds it, if it is newer than the one in force.
    pub(crate) fn request_newer_document(
        &mut self,
        cx: &mut Context<'_>,
        from: InstanceName,
        address: SocketAddr,
        revision: Revision,
    ) {
        if !self.documents.is_newer(revision) {
            return;
        }
        let waiting = self
            .documents
            .wanted
            .is_some_and(|(wanted, since)| wanted >= revision && cx.now.since(since) < DOCUMENT_REQUEST_RETRY);
        if waiting {
            return;
        }
        self.documents.wanted = Some((revision, cx.now));
        let frame = Frame::Want(self.documents.revision());
        cx.push(Action::Send {
            to: from,
            address,
            frame,
        });
    }

    /// Sends the document in force to an instance that holds revision `have`, as a delta if possible.
    pub(crate) fn handle_document_request(&mut self, cx: &mut Context<'_>, peer: &Peer, have: Option<Revision>) {
        let Some(current) = self.documents.current() else {
            return;
        };
        if have.is_some_and(|have| have >= current.revision) {
            return;
        }
        let delta = have.and_then(|have| self.documents.delta_from(have));
        let frame = match delta {
            Some(delta) => Frame::Delta(delta),
            None => Frame::Document(full_document(current)),
        };
        self.send(cx, peer, frame);
    }

    pub(crate) fn handle_document(&mut self, cx: &mut Context<'_>, document: &wire::Document) {
        let Ok(text) = std::str::from_utf8(&document.text) else {
            return self.reject_document(cx, document.revision);
        };
        self.load_document(cx, document.revision, text);
    }

    /// Applies a delta to the document in force, or requests the full document if the delta does not apply.
    pub(crate) fn handle_delta(&mut self, cx: &mut Context<'_>, peer: &Peer, delta: &Delta) {
        if !self.documents.is_newer(delta.revision) {
            return;
        }
        let text = self
            .documents
            .current()
            .and_then(|document| apply_delta(document, delta));
        match text {
            Some(text) => self.load_document(cx, delta.revision, &text),
            None => self.send(cx, peer, Frame::Want(None)),
        }
    }
}

fn full_document(document: &Document) -> wire::Document {
    wire::Document {
        revision: document.revision,
        text: ByteBuf::from(document.text.as_bytes()),
    }
}

/// The delta between two documents: the bytes between their common prefix and their common suffix.
fn diff(base: &Document, current: &Document) -> Delta {
    let old = base.text.as_bytes();
    let new = current.text.as_bytes();
    let start = old.iter().zip(new).take_while(|(a, b)| a == b).count();
    let rest = old[start..].iter().rev().zip(new[start..].iter().rev());
    let tail = rest.take_while(|(a, b)| a == b).count();
    Delta {
        base: base.digest,
        revision: current.revision,
        digest: current.digest,
        start: start as u64,
        end: (old.len() - tail) as u64,
        insert: ByteBuf::from(&new[start..new.len() - tail]),
    }
}

/// Applies a delta. Returns `None` if its base is another document or the result does not match its digest.
fn apply_delta(document: &Document, delta: &Delta) -> Option<String> {
    if document.digest != delta.base {
        return None;
    }
    let old = document.text.as_bytes();
    let start = usize::try_from(delta.start).ok()?;
    let end = usize::try_from(delta.end).ok()?;
    if start > end {
        return None;
    }
    let mut new = old.get(..start)?.to_vec();
    new.extend_from_slice(&delta.insert);
    new.extend_from_slice(old.get(end..)?);
    if wire::Digest::of(&new) != delta.digest {
        return None;
    }
    String::from_utf8(new).ok()
}
