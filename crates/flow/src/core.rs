//! One instance's flow path: packets and news in, verdicts out.

mod carrying;
mod evacuating;
mod failing;
mod inquiring;
mod opening;
mod silence;
mod standings;
mod warming;

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

use crate::answered::Answered;
use crate::checks::Checks;
use crate::decision::Decision;
use crate::directory::Directory;
use crate::directory::IndexUpdate;
use crate::flows::FlowKey;
use crate::flows::Flows;
use crate::health::Health;
use crate::inquiry::Inquiry;
use crate::knowledge::Knowledge;
use crate::loss::Loss;
use crate::outcome::Outcome;
use crate::packet::DropCause;
use crate::packet::Flags;
use crate::packet::Packet;
use crate::packet::Reset;
use crate::packet::ResetCause;
use crate::place::Base;
use crate::route::Routes;
use crate::standing::Standing;
use crate::upstream::UpstreamId;
use crate::usual::Length;
use crate::usual::Service;
use crate::verdict::Verdict;
use crate::wait::Wait;
use crate::warning::Warning;

/// How many places there are to begin at where upstreams take turns: far more than there are turns.
const FIRST_TURNS: u64 = 1 << 20;

/// What an instance is told at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The longest that a flow lives; upstreams that went are remembered for longer.
    pub max_flow: Duration,
    /// Whether operators of the platform empty availability zones: no flow is placed before it is known which.
    pub awaits_evacuations: bool,
    /// Seeds the choice between equals.
    pub seed: u64,
}

/// Counts since the start.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Stats {
    /// Flows placed at an upstream, copies of opening packets included.
    pub placed: u64,
    /// Upstreams looked at for new flows.
    pub looked_at: u64,
    /// Entries of upstreams taken into the directory.
    pub indexed: u64,
    /// Packets of flows forwarded.
    pub forwarded: u64,
    /// Flows reset, by cause.
    pub resets: BTreeMap<ResetCause, u64>,
    /// Packets dropped, by cause.
    pub drops: BTreeMap<DropCause, u64>,
    /// How tries at upstreams ended.
    pub outcomes: BTreeMap<Outcome, u64>,
}

/// One instance's flow path.
#[derive(Debug)]
pub struct Core {
    options: Options,
    rng: SmallRng,
    /// Where this instance begins where upstreams take turns.
    first_turn: usize,
    knowledge: Knowledge,
    routes: Routes,
    /// What can't be read of the document that the routes are of.
    warnings: Vec<Warning>,
    directory: Directory,
    health: HashMap<UpstreamId, Health>,
    /// How long each service's upstreams take to answer at best.
    bases: HashMap<String, Base>,
    loss: Loss,
    answered: Answered,
    flows: Flows,
    resets: Vec<Reset>,
    decisions: Vec<Decision>,
    waits: Vec<Wait>,
    stats: Stats,
    /// What is usual of each service.
    services: HashMap<CompactString, Service>,
    /// How long each route's answers are, by the address that clients dial.
    lengths: HashMap<SocketAddrV4, Length>,
    checks: Checks,
    /// Standings of upstreams that were decided here, and that others have told, with the time when they came.
    standings: Vec<Standing>,
    heard: Vec<(Time, Standing)>,
    /// Upstreams that others should be asked about, and those that they were asked about.
    questions: BTreeSet<UpstreamId>,
    inquiries: BTreeMap<UpstreamId, Inquiry>,
    /// The cold upstreams that this instance alone may send new flows to.
    kept: BTreeSet<UpstreamId>,
}

impl Core {
    /// A flow path that knows nothing yet.
    pub fn new(options: Options) -> Self {
        let knowledge = if options.awaits_evacuations {
            Knowledge::awaiting_evacuations()
        } else {
            Knowledge::default()
        };
        Self {
            first_turn: (options.seed % FIRST_TURNS) as usize,
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            knowledge,
            routes: Routes::default(),
            warnings: Vec::new(),
            directory: Directory::default(),
            health: HashMap::new(),
            bases: HashMap::new(),
            loss: Loss::default(),
            answered: Answered::default(),
            flows: Flows::default(),
            resets: Vec::new(),
            decisions: Vec::new(),
            waits: Vec::new(),
            stats: Stats::default(),
            services: HashMap::new(),
            lengths: HashMap::new(),
            checks: Checks::default(),
            standings: Vec::new(),
            heard: Vec::new(),
            questions: BTreeSet::new(),
            inquiries: BTreeMap::new(),
            kept: BTreeSet::new(),
        }
    }

    /// What this instance knows of the platform.
    pub fn knowledge(&self) -> &Knowledge {
        &self.knowledge
    }

    /// Counts since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// How many flows are remembered here.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Changes what is known, and indexes it anew if the change says that something is new. So does a place that grows
    /// without a change: others must hear of it, or this instance takes itself for ahead of them and asks them no more.
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
            self.decisions.extend(warnings.map(|warning| Decision::Unread {
                document: document_number,
                warning: warning.clone(),
            }));
            self.warnings.clone_from(&document.warnings);
            self.routes = Routes::new(at, document);
            let routes = &self.routes;
            self.lengths.retain(|address, _| routes.to(*address).is_some());
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
            self.forget_start(id);
        }
        self.note_evacuations(&evacuated, now);
        for id in &changed.ids {
            if !self.directory.contains(*id) {
                self.health.remove(id);
            }
        }
        true
    }

    /// Forgets what was learnt of an upstream's earlier start, which says nothing of the one that now has its id.
    ///
    /// Its flows are over, but no reset is sent for them here: some may have been opened at the new start before this was
    /// known. The upstream itself resets those that it does not hold.
    fn forget_start(&mut self, id: UpstreamId) {
        let flows = self.flows.take_by_upstream(id).len();
        self.health.remove(&id);
        self.decisions.push(Decision::Restarted { upstream: id, flows });
    }

    /// Decides what becomes of a packet from a client.
    pub fn packet(&mut self, packet: &Packet, now: Time) -> Verdict {
        self.settle_due(now);
        let verdict = if packet.flags.contains(Flags::SYN) {
            self.open(packet, now)
        } else {
            self.carry(packet, now)
        };
        if matches!(verdict, Verdict::Reset(_)) {
            let flow = FlowKey::from(packet);
            self.resets
                .retain(|reset| (reset.client, reset.route) != (flow.client, flow.route));
        }
        self.note(packet, verdict, now);
        verdict
    }

    /// Counts a verdict, and notes it unless it only follows from an earlier one.
    fn note(&mut self, packet: &Packet, verdict: Verdict, now: Time) {
        let flow = FlowKey::from(packet);
        match verdict {
            Verdict::Forward { .. } => self.stats.forwarded += 1,
            Verdict::Reset(reset) => {
                *self.stats.resets.entry(reset.cause).or_default() += 1;
                let upstream = self.directory.by_echo(packet.echo);
                let cause = reset.cause;
                let loss = self.loss.percent(now);
                let health = upstream.and_then(|id| self.health.get(&id));
                let grounds = health.map(|health| health.grounds(loss, now));
                self.decisions.push(Decision::Reset {
                    flow,
                    upstream,
                    cause,
                    grounds,
                });
            }
            Verdict::Drop(cause) => {
                *self.stats.drops.entry(cause).or_default() += 1;
                let echo = packet.echo;
                self.decisions.push(Decision::Dropped { flow, echo, cause });
            }
        }
    }

    /// Resets that packets and reports led to since the last call, beside the packets' own verdicts.
    pub fn take_resets(&mut self) -> Vec<Reset> {
        std::mem::take(&mut self.resets)
    }

    /// What was decided since the last call, in order. Forwarding by an echo is no decision.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Waits that have ended since the last call.
    pub fn take_waits(&mut self) -> Vec<Wait> {
        std::mem::take(&mut self.waits)
    }

    /// Forgets a flow that has ended.
    fn close(&mut self, key: &FlowKey) {
        let Some(flow) = self.flows.remove(key) else {
            return;
        };
        if let Some(health) = self.health.get_mut(&flow.upstream) {
            health.note_ended();
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

    /// Forgets flows that have been silent for long, and upstreams that went before any flow of theirs could live.
    pub fn tick(&mut self, now: Time) {
        let Some((_, document)) = self.knowledge.document() else {
            return;
        };
        let idle = document.idle_timeout.min(self.options.max_flow);
        for flow in self.flows.take_idle(idle, now) {
            if let Some(health) = self.health.get_mut(&flow.upstream) {
                health.note_ended();
            }
        }
        let then = now.before(self.options.max_flow * 2);
        self.learn(now, |knowledge| knowledge.end_grace(now) | knowledge.forget(then));
    }
}
