//! One instance's flow path: packets and news in, verdicts out.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use crate::directory::Directory;
use crate::directory::Listed;
use crate::flows::Flow;
use crate::flows::FlowKey;
use crate::flows::Flows;
use crate::flows::Sign;
use crate::health::Health;
use crate::knowledge::Knowledge;
use crate::packet::DropCause;
use crate::packet::Echo;
use crate::packet::Flags;
use crate::packet::Packet;
use crate::packet::Reset;
use crate::packet::ResetCause;
use crate::place;
use crate::place::Candidate;
use crate::place::Peers;
use crate::place::Tier;
use crate::route::Routes;
use crate::upstream::UpstreamId;

/// How long an upstream that is no longer listed may still get flows if its service has no other: its entry may have
/// lapsed with the platform's store, and entries that did are back within about two seconds.
const LAPSED_GRACE: Duration = Duration::from_secs(2);
/// How long an upstream that flows wait for is spared new ones before one is tried again.
const SUSPECT_PAUSE: Duration = Duration::from_secs(1);
/// At which copy of the same data a flow counts as stalled, if its upstream has answered nobody meanwhile. Copies come
/// 200 and 600 milliseconds after the first, and loss alone makes one copy common.
const STALLED_COPIES: u8 = 2;

/// What an instance is told at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The longest that a flow lives; upstreams that went are remembered for longer.
    pub max_flow: Duration,
    /// Seeds the choice between equals.
    pub seed: u64,
}

/// What becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to an upstream with this echo.
    Forward {
        /// The upstream.
        upstream: UpstreamId,
        /// Where it takes packets.
        address: SocketAddrV4,
        /// The echo that the packet carries from here on.
        echo: Echo,
    },
    /// Its flow is ended.
    Reset(Reset),
    /// It goes nowhere.
    Drop(DropCause),
}

/// Counts since the start.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Stats {
    /// Flows placed at an upstream, copies of opening packets included.
    pub placed: u64,
    /// Packets of flows forwarded.
    pub forwarded: u64,
    /// Flows reset, by cause.
    pub resets: BTreeMap<ResetCause, u64>,
    /// Packets dropped, by cause.
    pub drops: BTreeMap<DropCause, u64>,
}

/// One instance's flow path.
#[derive(Debug)]
pub struct Core {
    options: Options,
    rng: SmallRng,
    knowledge: Knowledge,
    routes: Routes,
    directory: Directory,
    health: HashMap<UpstreamId, Health>,
    flows: Flows,
    stats: Stats,
}

impl Core {
    /// A flow path that knows nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            knowledge: Knowledge::default(),
            routes: Routes::default(),
            directory: Directory::default(),
            health: HashMap::new(),
            flows: Flows::default(),
            stats: Stats::default(),
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

    /// Changes what is known and indexes it anew if the change says that something is new.
    pub fn learn(&mut self, now: Time, change: impl FnOnce(&mut Knowledge) -> bool) -> bool {
        if !change(&mut self.knowledge) {
            return false;
        }
        if let Some((_, document)) = self.knowledge.document() {
            self.routes = Routes::new(document);
        }
        self.directory = Directory::new(&self.knowledge, &self.directory, now);
        let directory = &self.directory;
        self.health.retain(|id, _| directory.contains(*id));
        true
    }

    /// Decides what becomes of a packet from a client.
    pub fn packet(&mut self, packet: &Packet, now: Time) -> Verdict {
        let verdict = if packet.flags.has(Flags::SYN) {
            self.open(packet, now)
        } else {
            self.carry(packet, now)
        };
        self.count(verdict);
        verdict
    }

    fn count(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Forward { .. } => self.stats.forwarded += 1,
            Verdict::Reset(reset) => *self.stats.resets.entry(reset.cause).or_default() += 1,
            Verdict::Drop(cause) => *self.stats.drops.entry(cause).or_default() += 1,
        }
    }

    /// Places a new flow, or a copy of its opening packet at another upstream than before.
    fn open(&mut self, packet: &Packet, now: Time) -> Verdict {
        if !self.knowledge.is_ready() {
            return Verdict::Drop(DropCause::NotReady);
        }
        let Some(route) = self.routes.at(packet.route) else {
            return Verdict::Reset(reset_opening(packet, ResetCause::NoRoute));
        };
        let Some(service) = route.service_for(packet.client) else {
            return Verdict::Reset(reset_opening(packet, ResetCause::NoUpstream));
        };
        let service = service.to_owned();
        let key = FlowKey::from(packet);
        let earlier = self.forget_opening(&key, now);
        let Some(id) = self.place(&service, earlier, now) else {
            return Verdict::Reset(reset_opening(packet, ResetCause::NoUpstream));
        };
        self.stats.placed += 1;
        let mut flow = Flow::new(id, packet, now);
        let health = self.health.entry(id).or_default();
        health.flows += 1;
        health.placed_at = now;
        flow.next_seq = packet.seq;
        self.flows.insert(key, flow);
        self.forward(id)
    }

    /// Takes back the choice that an earlier copy of an opening packet led to. It was not answered, which counts
    /// against its upstream.
    fn forget_opening(&mut self, key: &FlowKey, now: Time) -> Option<UpstreamId> {
        let mut flow = self.flows.remove(key)?;
        let health = self.health.get_mut(&flow.upstream)?;
        health.flows = health.flows.saturating_sub(1);
        if !flow.is_open {
            health.note_copy(&mut flow, now);
        }
        Some(flow.upstream)
    }

    /// The best upstream for a new flow, another than `earlier` if there is one.
    fn place(&mut self, service: &str, earlier: Option<UpstreamId>, now: Time) -> Option<UpstreamId> {
        self.best(service, earlier, now)
            .or_else(|| self.best(service, None, now))
    }

    fn best(&mut self, service: &str, except: Option<UpstreamId>, now: Time) -> Option<UpstreamId> {
        let health = &self.health;
        let rng = &mut self.rng;
        let zone = &self.options.zone;
        let unused = Health::default();
        let tier = |id, listed: &Listed| tier(listed, health.get(&id), now);
        let view = |id, listed: &Listed| place::View::new(listed, health.get(&id).unwrap_or(&unused), now);
        let mut peers = Peers::default();
        for (id, listed, _) in place::candidates(&self.directory, service, None, tier) {
            peers.add(view(id, listed), listed.upstream.zone == *zone);
        }
        let candidates = place::candidates(&self.directory, service, except, tier);
        let costed = candidates.map(|(id, listed, tier)| Candidate {
            id,
            tier,
            cost: place::cost(listed, view(id, listed), &peers, zone, now, rng),
        });
        place::best(costed).map(|candidate| candidate.id)
    }

    /// Forwards a packet of a flow to the upstream that its echo names.
    fn carry(&mut self, packet: &Packet, now: Time) -> Verdict {
        let Some(id) = self.directory.by_echo(packet.echo) else {
            return Verdict::Drop(unknown_echo(packet));
        };
        let key = FlowKey::from(packet);
        if packet.flags.has(Flags::RST) || packet.flags.has(Flags::FIN) {
            self.close(&key);
            return self.forward(id);
        }
        let sign = self.see(&key, id, packet, now);
        if sign.is_copy && self.is_stalled(&key) {
            let seq = packet.ack;
            self.close(&key);
            return Verdict::Reset(Reset {
                client: packet.client,
                route: packet.route,
                seq,
                cause: ResetCause::Stalled,
            });
        }
        self.forward(id)
    }

    /// Notes what a packet tells of its flow and of its upstream.
    fn see(&mut self, key: &FlowKey, id: UpstreamId, packet: &Packet, now: Time) -> Sign {
        if self.flows.get_mut(key).is_none_or(|flow| flow.upstream != id) {
            self.close(key);
            self.flows.insert(*key, Flow::new(id, packet, now));
            self.health.entry(id).or_default().flows += 1;
        }
        let Some(flow) = self.flows.get_mut(key) else {
            return Sign::default();
        };
        let sign = flow.see(packet, now);
        let health = self.health.entry(id).or_default();
        if sign.is_progress {
            health.note_progress(now);
        }
        if let Some(waited) = sign.waited {
            health.note_response(waited, now);
        }
        if sign.is_request {
            health.note_request(now);
        }
        if sign.is_copy {
            health.note_copy(flow, now);
        }
        sign
    }

    /// Whether a flow waits for an upstream that answers nobody.
    fn is_stalled(&mut self, key: &FlowKey) -> bool {
        let Some(flow) = self.flows.get_mut(key) else {
            return false;
        };
        let Some(pending) = flow.pending else {
            return false;
        };
        let Some(health) = self.health.get(&flow.upstream) else {
            return false;
        };
        pending.copies >= STALLED_COPIES && health.last_progress <= pending.since
    }

    /// Forgets a flow that has ended.
    fn close(&mut self, key: &FlowKey) {
        let Some(flow) = self.flows.remove(key) else {
            return;
        };
        if let Some(health) = self.health.get_mut(&flow.upstream) {
            health.flows = health.flows.saturating_sub(1);
        }
    }

    fn forward(&self, id: UpstreamId) -> Verdict {
        match self.directory.get(id) {
            Some(listed) => Verdict::Forward {
                upstream: id,
                address: listed.upstream.address,
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
                health.flows = health.flows.saturating_sub(1);
            }
        }
        let memory = self.options.max_flow * 2;
        let then = Time(
            now.0
                .saturating_sub(u64::try_from(memory.as_micros()).unwrap_or(u64::MAX)),
        );
        self.learn(now, |knowledge| knowledge.forget(then));
    }
}

/// How good a choice an upstream is at best, `None` if it gets no new flows.
fn tier(listed: &Listed, health: Option<&Health>, now: Time) -> Option<Tier> {
    if listed.upstream.leaving {
        return None;
    }
    if let Some(since) = listed.gone_since {
        return (now.since(since) < LAPSED_GRACE).then_some(Tier::Lapsed);
    }
    let Some(health) = health else {
        return Some(Tier::Ready);
    };
    if health.stalled > 0 && now.since(health.placed_at) < SUSPECT_PAUSE {
        return Some(Tier::Suspect);
    }
    Some(Tier::Ready)
}

fn reset_opening(packet: &Packet, cause: ResetCause) -> Reset {
    Reset {
        client: packet.client,
        route: packet.route,
        seq: 0,
        cause,
    }
}

fn unknown_echo(packet: &Packet) -> DropCause {
    if packet.flags.has(Flags::RST) {
        return DropCause::Reset;
    }
    if packet.echo == Echo::NONE {
        return DropCause::NoEcho;
    }
    DropCause::UnknownEcho
}
