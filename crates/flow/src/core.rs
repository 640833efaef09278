//! The packet path of one instance: takes packets and control-plane updates, and returns verdicts.

mod admission;
mod capacity;
mod cold;
mod established;
mod evacuation;
mod inquiries;
mod load;
mod opening;
mod outliers;
mod overload;
mod silence;
mod status_updates;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use compact_str::CompactString;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use crate::admission::AdmissionPolicy;
use crate::admission::Searches;
use crate::answer_log::AnswerLog;
use crate::checks::Checks;
use crate::decision::Decision;
use crate::directory::Directory;
use crate::directory::IndexUpdate;
use crate::flows::FlowKey;
use crate::flows::Flows;
use crate::health::Health;
use crate::inquiry::Inquiry;
use crate::knowledge::Knowledge;
use crate::load::Loads;
use crate::loss::Loss;
use crate::outcome::Outcome;
use crate::packet::DropCause;
use crate::packet::Flags;
use crate::packet::Packet;
use crate::packet::Reset;
use crate::packet::ResetCause;
use crate::place::Baseline;
use crate::route::Priority;
use crate::route::Routes;
use crate::status_update::StatusUpdate;
use crate::typical::TypicalLength;
use crate::typical::TypicalService;
use crate::upstream::UpstreamId;
use crate::verdict::Verdict;
use crate::wait::Wait;
use crate::warning::Warning;
use capacity::Capacity;
pub use capacity::ServiceCapacity;
pub use capacity::SpillCause;

/// Range of the seeded start offset for round-robin selection; far larger than any rotation.
const START_OFFSETS: u64 = 1 << 20;

/// Start-up options of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// Maximum lifetime of a flow; removed upstreams are remembered for longer than this.
    pub max_flow: Duration,
    /// Whether the platform's operators can evacuate availability zones. If so, no flow is placed until the set of
    /// evacuated zones is known.
    pub awaits_evacuations: bool,
    /// Seed of the random choice between equally good upstreams.
    pub seed: u64,
}

/// Counters since start-up.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Stats {
    /// Flows placed on an upstream, including retransmitted opening packets that are placed again.
    pub placed: u64,
    /// Upstreams examined while placing flows.
    pub examined: u64,
    /// Upstream entries indexed by the directory.
    pub indexed: u64,
    /// Forwarded packets.
    pub forwarded: u64,
    /// Flows reset, by cause.
    pub resets: BTreeMap<ResetCause, u64>,
    /// Packets dropped, by cause.
    pub drops: BTreeMap<DropCause, u64>,
    /// Opening packets answered by a reset, by cause and the route's priority.
    pub refused: BTreeMap<(ResetCause, Priority), u64>,
    /// Opening packets dropped, so that their retransmission asks again, by cause and the route's priority.
    pub held: BTreeMap<(DropCause, Priority), u64>,
    /// Flows placed in another zone, by cause and the route's priority.
    pub spilled: BTreeMap<(SpillCause, Priority), u64>,
    /// Results of connection attempts and requests at upstreams.
    pub outcomes: BTreeMap<Outcome, u64>,
}

/// Packet path of one instance.
#[derive(Debug)]
pub struct Core {
    options: Options,
    rng: SmallRng,
    /// Start offset of this instance in round-robin selection.
    start_offset: usize,
    knowledge: Knowledge,
    routes: Routes,
    /// Warnings about the document that `routes` was built from.
    warnings: Vec<Warning>,
    directory: Directory,
    health: HashMap<UpstreamId, Health>,
    /// Baseline response time of each service.
    baselines: HashMap<String, Baseline>,
    /// Joint view of the load of all upstreams.
    loads: Loads,
    admission: AdmissionPolicy,
    /// Number of instances in the instance's availability zone.
    zone_instances: u32,
    searches: Searches,
    /// What is observed of the capacity of services, to be shown to operators.
    capacity: Capacity,
    loss: Loss,
    answer_log: AnswerLog,
    flows: Flows,
    /// Whether the packets being handled have waited in this instance's socket.
    is_reading_backlog: bool,
    resets: Vec<Reset>,
    decisions: Vec<Decision>,
    waits: Vec<Wait>,
    stats: Stats,
    /// Typical response time and results of each service.
    typical_services: HashMap<CompactString, TypicalService>,
    /// Typical response length of each route, by the address that clients connect to.
    typical_lengths: HashMap<SocketAddrV4, TypicalLength>,
    checks: Checks,
    /// Upstream status updates: decided here and not yet sent, and received from others with their arrival times.
    status_updates: Vec<StatusUpdate>,
    received_updates: Vec<(Time, StatusUpdate)>,
    /// Upstreams that other instances should be queried about, and queries in progress.
    due_inquiries: BTreeSet<UpstreamId>,
    inquiries: BTreeMap<UpstreamId, Inquiry>,
    /// Rate-limited cold upstreams that only this instance may send new flows to.
    assigned_cold: BTreeSet<UpstreamId>,
}

impl Core {
    /// Creates a packet path without any platform state.
    pub fn new(options: Options) -> Self {
        let knowledge = if options.awaits_evacuations {
            Knowledge::awaiting_evacuations()
        } else {
            Knowledge::default()
        };
        Self {
            start_offset: (options.seed % START_OFFSETS) as usize,
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            knowledge,
            routes: Routes::default(),
            warnings: Vec::new(),
            directory: Directory::default(),
            health: HashMap::new(),
            baselines: HashMap::new(),
            loads: Loads::default(),
            admission: AdmissionPolicy::default(),
            zone_instances: 1,
            searches: Searches::default(),
            capacity: Capacity::default(),
            loss: Loss::default(),
            answer_log: AnswerLog::default(),
            flows: Flows::default(),
            is_reading_backlog: false,
            resets: Vec::new(),
            decisions: Vec::new(),
            waits: Vec::new(),
            stats: Stats::default(),
            typical_services: HashMap::new(),
            typical_lengths: HashMap::new(),
            checks: Checks::default(),
            status_updates: Vec::new(),
            received_updates: Vec::new(),
            due_inquiries: BTreeSet::new(),
            inquiries: BTreeMap::new(),
            assigned_cold: BTreeSet::new(),
        }
    }

    /// Platform state known to this instance.
    pub fn knowledge(&self) -> &Knowledge {
        &self.knowledge
    }

    /// Counters since start-up.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Number of flows in the flow table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Applies a change to the platform state, and updates the routes and the directory if something is new.
    ///
    /// A position that advances without a change of content also counts as new. It has to be passed on to other
    /// instances; otherwise this instance considers itself ahead of them and stops asking them for updates.
    pub fn learn(&mut self, now: Time, change: impl FnOnce(&mut Knowledge) -> bool) -> bool {
        let before = self.knowledge.positions();
        let evacuated = self.knowledge.evacuated();
        if !change(&mut self.knowledge) && self.knowledge.positions() == before {
            return false;
        }
        if let Some(&(at, ref document)) = self.knowledge.document()
            && !self.routes.are_from(at, document)
        {
            let warnings = document
                .warnings
                .iter()
                .filter(|warning| !self.warnings.contains(warning));
            let document_number = document.revision;
            self.decisions.extend(warnings.map(|warning| Decision::DocumentWarning {
                document: document_number,
                warning: warning.clone(),
            }));
            self.warnings.clone_from(&document.warnings);
            self.routes = Routes::new(at, document);
            let routes = &self.routes;
            self.typical_lengths.retain(|address, _| routes.to(*address).is_some());
        }
        let mut changed = self.knowledge.take_changed();
        changed.is_all |= self.knowledge.evacuated() != evacuated;
        let IndexUpdate { indexed, restarted } = self.directory.apply_changes(&self.knowledge, &changed, now);
        self.stats.indexed += indexed;
        debug_assert!(
            self.directory.matches(&self.knowledge),
            "the directory follows what is known"
        );
        for id in restarted {
            self.discard_start(id);
        }
        self.record_evacuations(&evacuated, now);
        for id in &changed.ids {
            if !self.directory.contains(*id) {
                self.health.remove(id);
            }
        }
        true
    }

    /// Discards the observations of an upstream's previous start; they say nothing about the process that now has its
    /// id.
    ///
    /// Its flows are lost, but no resets are sent for them here: some may have been opened to the new process before
    /// this instance learned of the restart. The upstream itself resets the flows that it doesn't hold.
    fn discard_start(&mut self, id: UpstreamId) {
        let flows = self.flows.take_by_upstream(id);
        for (_, flow) in &flows {
            self.uncount_flow(flow);
        }
        let flows = flows.len();
        self.health.remove(&id);
        self.decisions.push(Decision::Restarted { upstream: id, flows });
    }

    /// Sets whether the packets that follow have waited in this instance's socket, as it wasn't ready. Their clients may
    /// have given up since, so that nothing follows them says nothing about their upstreams.
    pub fn set_reading_backlog(&mut self, is_reading_backlog: bool) {
        self.is_reading_backlog = is_reading_backlog;
    }

    /// Returns the verdict for a packet from a client.
    pub fn handle_packet(&mut self, packet: &Packet, now: Time) -> Verdict {
        self.run_due_checks(now);
        self.expire_work(now);
        let verdict = if packet.flags.contains(Flags::SYN) {
            let placed = self.stats.placed;
            let verdict = self.open_flow(packet, now);
            self.count_verdict(packet, verdict, self.stats.placed > placed, now);
            verdict
        } else {
            self.handle_established(packet, now)
        };
        if matches!(verdict, Verdict::Reset(_)) {
            let flow = FlowKey::from(packet);
            self.resets
                .retain(|reset| (reset.client, reset.route) != (flow.client, flow.route));
        }
        self.record_verdict(packet, verdict, now);
        verdict
    }

    /// Counts a verdict, and records it as a decision unless it only forwards the packet.
    fn record_verdict(&mut self, packet: &Packet, verdict: Verdict, now: Time) {
        let flow = FlowKey::from(packet);
        match verdict {
            Verdict::Forward { .. } => self.stats.forwarded += 1,
            Verdict::Reset(reset) => {
                *self.stats.resets.entry(reset.cause).or_default() += 1;
                let upstream = self.directory.by_echo(packet.echo);
                let cause = reset.cause;
                let loss = self.loss.percent(now);
                let health = upstream.and_then(|id| self.health.get(&id));
                let evidence = health.map(|health| health.evidence(loss, now));
                self.decisions.push(Decision::Reset {
                    flow,
                    upstream,
                    cause,
                    evidence,
                });
            }
            Verdict::Drop(cause) => {
                *self.stats.drops.entry(cause).or_default() += 1;
                let echo = packet.echo;
                self.decisions.push(Decision::Dropped { flow, echo, cause });
            }
        }
    }

    /// Takes the resets to send that packets and reports have caused since the last call, in addition to the verdicts
    /// of the packets themselves.
    pub fn take_resets(&mut self) -> Vec<Reset> {
        std::mem::take(&mut self.resets)
    }

    /// Takes the decisions made since the last call, in order. Forwarding by echo isn't recorded as a decision.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the client waits that have ended since the last call.
    pub fn take_waits(&mut self) -> Vec<Wait> {
        std::mem::take(&mut self.waits)
    }

    /// Removes a flow that has ended.
    fn close(&mut self, key: &FlowKey) {
        let Some(flow) = self.flows.remove(key) else {
            return;
        };
        self.uncount_flow(&flow);
        if let Some(health) = self.health.get_mut(&flow.upstream) {
            health.record_flow_end();
        }
    }

    fn forward(&self, id: UpstreamId) -> Verdict {
        match self.directory.get(id) {
            Some(listed) => Verdict::Forward {
                upstream: id,
                address: listed.upstream().address,
                echo: listed.echo,
            },
            None => Verdict::Drop(DropCause::UnknownEcho),
        }
    }

    /// Removes idle flows, and upstreams that were removed so long ago that no flow to them can still exist.
    pub fn tick(&mut self, now: Time) {
        let Some((_, document)) = self.knowledge.document() else {
            return;
        };
        let idle = document.idle_timeout.min(self.options.max_flow);
        for flow in self.flows.take_idle(idle, now) {
            self.uncount_flow(&flow);
            if let Some(health) = self.health.get_mut(&flow.upstream) {
                health.record_flow_end();
            }
        }
        let then = now.before(self.options.max_flow * 2);
        self.learn(now, |knowledge| knowledge.end_grace(now) | knowledge.forget(then));
        self.update_capacity(now);
    }
}
