//! What a node tells of itself.

use std::collections::BTreeMap;

use balance::State;
use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::ServiceName;
use units::Slots;
use units::Time;
use units::UpstreamName;
use units::ZoneName;
use wire::MemberState;
use wire::Reason;
use wire::Verdict;

use crate::Node;
use crate::stop::StopState;

/// What a node counts over its life.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Counters {
    pub packets: u64,
    pub malformed: u64,
    pub forwarded: u64,
    pub hops_exceeded: u64,
    pub opened: u64,
    pub answered: u64,
    refused: BTreeMap<(Verdict, Reason), u64>,
}

impl Counters {
    pub fn count_refusal(&mut self, verdict: Verdict, reason: Reason) {
        *self.refused.entry((verdict, reason)).or_default() += 1;
    }
}

/// How far a node is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It holds no configuration document, or has just begun.
    Starting,
    /// It serves.
    Serving,
    /// It is on a planned stop.
    Draining,
    /// It has stopped.
    Stopped,
}

/// What a node tells of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How far it is in its life.
    pub stage: Stage,
    /// Whether the platform answers it.
    pub platform: bool,
    /// Whether it watches the platform for its availability zone.
    pub watching: bool,
    /// The revision in force.
    pub revision: Option<Revision>,
    /// The digest of the document in force, in hexadecimal.
    pub digest: Option<String>,
    /// Documents that did not pass the checks.
    pub documents_rejected: u64,
    /// The instances that it knows, itself included.
    pub members: Vec<MemberStatus>,
    /// The services and where their homes are.
    pub homes: Vec<HomeStatus>,
    /// The upstreams of the services whose home it is.
    pub upstreams: Vec<UpstreamStatus>,
    /// How many flows have a ledger here.
    pub flows: usize,
    /// How many requests are in progress here.
    pub requests: usize,
    /// How many bytes of answers wait to be pulled.
    pub answer_bytes: u64,
    /// Packets from callers, over its life.
    pub packets: u64,
    /// Datagrams that could not be read.
    pub malformed: u64,
    /// Packets passed on to the owner of their flow.
    pub forwarded: u64,
    /// Packets dropped because they were passed on too often.
    pub hops_exceeded: u64,
    /// Flows opened here.
    pub opened: u64,
    /// Requests answered here.
    pub answered: u64,
    /// Refusals by verdict and reason.
    pub refused: Vec<RefusedCount>,
}

/// An instance as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How it fares.
    pub state: MemberState,
    /// The revision that it told of last. It may have a newer one in force by now, and never an older one.
    #[serde(default)]
    pub revision: Option<Revision>,
    /// The digest of that document, in hexadecimal.
    #[serde(default)]
    pub digest: Option<String>,
}

/// Where the home of a service is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeStatus {
    /// The service.
    pub service: ServiceName,
    /// Its home, if there is one.
    pub home: Option<InstanceName>,
}

/// An upstream as the home of its service sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its life, as it last told.
    pub incarnation: Option<Incarnation>,
    /// Its state: why it gets new work or not.
    pub state: State,
    /// Slots in use.
    pub busy: u32,
    /// Slots in all.
    pub slots: Slots,
    /// The smoothed share of its slots in use.
    pub utilisation: f64,
    /// The smoothed share of its calls that failed.
    pub failures: f64,
}

/// How often a node refused for one reason with one verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedCount {
    /// Whether the requests may have run.
    pub verdict: Verdict,
    /// Why they were refused.
    pub reason: Reason,
    /// How many.
    pub count: u64,
}

impl Node {
    /// Whether packets may be handed to this node: it holds a document and knows the fleet.
    pub fn is_ready(&self, now: Time) -> bool {
        self.stage(now) == Stage::Serving
    }

    /// How far this node is in its life.
    pub fn stage(&self, now: Time) -> Stage {
        match self.stop {
            StopState::Serving if self.documents.current().is_none() || !self.is_discovery_complete(now) => {
                Stage::Starting
            }
            StopState::Serving => Stage::Serving,
            StopState::Announced(_) | StopState::HandedOver(_) => Stage::Draining,
            StopState::Ended(_) => Stage::Stopped,
        }
    }

    /// What this node tells of itself.
    pub fn status(&self, now: Time) -> Status {
        let document = self.documents.current();
        Status {
            name: self.local.name.clone(),
            incarnation: self.local.incarnation,
            zone: self.zone.clone(),
            stage: self.stage(now),
            platform: self.platform_reachable,
            watching: self.watching,
            revision: self.documents.revision(),
            digest: document.map(|document| document.digest.to_string()),
            documents_rejected: self.documents.rejected,
            members: self.member_status(),
            homes: self.home_status(),
            upstreams: self.upstream_status(),
            flows: self.ledgers.len(),
            requests: self.tickets.len(),
            answer_bytes: self.ledgers.answer_bytes(),
            packets: self.counters.packets,
            malformed: self.counters.malformed,
            forwarded: self.counters.forwarded,
            hops_exceeded: self.counters.hops_exceeded,
            opened: self.counters.opened,
            answered: self.counters.answered,
            refused: self.refused_counts(),
        }
    }

    fn member_status(&self) -> Vec<MemberStatus> {
        let mut lines = Vec::new();
        for member in self.membership.members() {
            let document = self.membership.document_of(&member.name);
            lines.push(MemberStatus {
                name: member.name.clone(),
                incarnation: member.incarnation,
                zone: member.zone.clone(),
                state: member.state,
                revision: document.map(|(revision, _)| revision),
                digest: document.map(|(_, digest)| digest.to_string()),
            });
        }
        lines.sort_by(|a, b| a.name.cmp(&b.name));
        lines
    }

    fn home_status(&self) -> Vec<HomeStatus> {
        let mut lines = Vec::new();
        for (service, home) in &self.home_cache {
            let home = home.as_ref().map(|(peer, _)| peer.name.clone());
            lines.push(HomeStatus {
                service: service.clone(),
                home,
            });
        }
        lines
    }

    fn upstream_status(&self) -> Vec<UpstreamStatus> {
        let mut lines = Vec::new();
        for (service, home) in &self.homes {
            for status in home.pool.states() {
                lines.push(self.upstream_status_of(service, status));
            }
        }
        lines
    }

    fn upstream_status_of(&self, service: &ServiceName, status: balance::UpstreamStatus) -> UpstreamStatus {
        UpstreamStatus {
            service: service.clone(),
            incarnation: self.upstreams.get(&status.name).copied(),
            upstream: status.name,
            state: status.state,
            busy: status.busy,
            slots: status.slots,
            utilisation: status.utilisation,
            failures: status.failures,
        }
    }

    fn refused_counts(&self) -> Vec<RefusedCount> {
        let mut lines = Vec::new();
        for (&(verdict, reason), &count) in &self.counters.refused {
            lines.push(RefusedCount { verdict, reason, count });
        }
        lines
    }
}
