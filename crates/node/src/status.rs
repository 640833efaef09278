//! The status of a node, as shown to operators.

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

/// Counters since the node started.
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

/// The stage of a node's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It holds no configuration document yet, or has not discovered the other instances.
    Starting,
    /// It serves packets.
    Serving,
    /// A planned stop is in progress.
    Draining,
    /// It has stopped.
    Stopped,
}

/// The status of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The name.
    pub name: InstanceName,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneName,
    /// The stage of the lifecycle.
    pub stage: Stage,
    /// Whether the platform can be reached.
    pub platform: bool,
    /// Whether it watches the platform's configuration document on behalf of its availability zone.
    pub watching: bool,
    /// The revision of the document in force.
    pub revision: Option<Revision>,
    /// The digest of the document in force, in hexadecimal.
    pub digest: Option<String>,
    /// Documents that failed validation.
    pub documents_rejected: u64,
    /// The instances that it knows, including itself.
    pub members: Vec<MemberStatus>,
    /// The services and their homes.
    pub homes: Vec<HomeStatus>,
    /// The upstreams of the services for which it is the home.
    pub upstreams: Vec<UpstreamStatus>,
    /// The number of flows with a ledger.
    pub flows: usize,
    /// The number of requests in progress.
    pub requests: usize,
    /// The number of bytes of answers that are held for callers to pull.
    pub answer_bytes: u64,
    /// Packets received from callers since the start.
    pub packets: u64,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Packets forwarded to another instance.
    pub forwarded: u64,
    /// Packets dropped because they had been forwarded too often.
    pub hops_exceeded: u64,
    /// Flows opened by this node.
    pub opened: u64,
    /// Requests answered by this node.
    pub answered: u64,
    /// Refusals by verdict and reason.
    pub refused: Vec<RefusedCount>,
}

/// An instance as seen by another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name.
    pub name: InstanceName,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneName,
    /// The membership state.
    pub state: MemberState,
    /// The document revision that it last announced. A newer one may be in force there by now, never an older one.
    #[serde(default)]
    pub revision: Option<Revision>,
    /// The digest of that document in hexadecimal.
    #[serde(default)]
    pub digest: Option<String>,
}

/// The home of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeStatus {
    /// The service.
    pub service: ServiceName,
    /// The home, if there is one.
    pub home: Option<InstanceName>,
}

/// An upstream as seen by the home of its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The incarnation that it last reported.
    pub incarnation: Option<Incarnation>,
    /// The state, which determines whether it gets new work.
    pub state: State,
    /// Slots in use.
    pub busy: u32,
    /// Total slots.
    pub slots: Slots,
    /// The smoothed fraction of its slots that are in use.
    pub utilisation: f64,
    /// The smoothed fraction of its calls that failed.
    pub failures: f64,
}

/// The number of refusals for one verdict and reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedCount {
    /// Whether the requests may have run.
    pub verdict: Verdict,
    /// The reason for the refusals.
    pub reason: Reason,
    /// The number of refusals.
    pub count: u64,
}

impl Node {
    /// Whether this node may receive packets: it holds a document and has discovered the other instances.
    pub fn is_ready(&self, now: Time) -> bool {
        self.stage(now) == Stage::Serving
    }

    /// The current stage of this node's lifecycle.
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

    /// The current status of this node.
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
        let mut statuses = Vec::new();
        for member in self.membership.members() {
            let document = self.membership.document_of(&member.name);
            statuses.push(MemberStatus {
                name: member.name.clone(),
                incarnation: member.incarnation,
                zone: member.zone.clone(),
                state: member.state,
                revision: document.map(|(revision, _)| revision),
                digest: document.map(|(_, digest)| digest.to_string()),
            });
        }
        statuses.sort_by(|a, b| a.name.cmp(&b.name));
        statuses
    }

    fn home_status(&self) -> Vec<HomeStatus> {
        let mut statuses = Vec::new();
        for (service, home) in &self.home_cache {
            let home = home.as_ref().map(|(peer, _)| peer.name.clone());
            statuses.push(HomeStatus {
                service: service.clone(),
                home,
            });
        }
        statuses
    }

    fn upstream_status(&self) -> Vec<UpstreamStatus> {
        let mut statuses = Vec::new();
        for (service, home) in &self.homes {
            for status in home.pool.statuses() {
                statuses.push(self.upstream_status_of(service, status));
            }
        }
        statuses
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
            failures: status.failure_rate,
        }
    }

    fn refused_counts(&self) -> Vec<RefusedCount> {
        let mut counts = Vec::new();
        for (&(verdict, reason), &count) in &self.counters.refused {
            counts.push(RefusedCount { verdict, reason, count });
        }
        counts
    }
}
