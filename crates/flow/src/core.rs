//! One instance's flow path: packets and news in, verdicts out.

mod silence;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use crate::decision::Decision;
use crate::directory::Directory;
use crate::directory::Listed;
use crate::flows::COPY_SPACE;
use crate::flows::Flow;
use crate::flows::FlowKey;
use crate::flows::Flows;
use crate::flows::Sign;
use crate::flows::Stage;
use crate::health::Health;
use crate::health::Progress;
use crate::knowledge::Knowledge;
use crate::loss::Loss;
use crate::packet::DropCause;
use crate::packet::Flags;
use crate::packet::Packet;
use crate::packet::Reset;
use crate::packet::ResetCause;
use crate::place;
use crate::place::Base;
use crate::place::Candidate;
use crate::place::Peers;
use crate::place::Tier;
use crate::place::View;
use crate::route::Routes;
use crate::upstream::UpstreamId;
use crate::verdict::Verdict;
use crate::verdict::reset_open;
use crate::verdict::reset_opening;
use crate::verdict::unknown_echo;

/// How long an upstream that is no longer listed may still get flows if its service has no other: its entry may have
/// lapsed with the platform's store, and entries that did are back within about two seconds.
const LAPSED_GRACE: Duration = Duration::from_secs(2);
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
    /// How long each service's upstreams take to answer at best.
    bases: HashMap<String, Base>,
    loss: Loss,
    flows: Flows,
    resets: Vec<Reset>,
    decisions: Vec<Decision>,
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
            bases: HashMap::new(),
            loss: Loss::default(),
            flows: Flows::default(),
            resets: Vec::new(),
            decisions: Vec::new(),
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
        if matches!(verdict, Verdict::Reset(_)) {
            let flow = FlowKey::from(packet);
            self.resets
                .retain(|reset| (reset.client, reset.route) != (flow.client, flow.route));
        }
        self.note(packet, verdict);
        verdict
    }

    /// Counts a verdict, and notes it unless it only follows from an earlier one.
    fn note(&mut self, packet: &Packet, verdict: Verdict) {
        let flow = FlowKey::from(packet);
        match verdict {
            Verdict::Forward { .. } => self.stats.forwarded += 1,
            Verdict::Reset(reset) => {
                *self.stats.resets.entry(reset.cause).or_default() += 1;
                let upstream = self.directory.by_echo(packet.echo);
                let cause = reset.cause;
                self.decisions.push(Decision::Reset { flow, upstream, cause });
            }
            Verdict::Drop(cause) => {
                *self.stats.drops.entry(cause).or_default() += 1;
                let echo = packet.echo;
                self.decisions.push(Decision::Dropped { flow, echo, cause });
            }
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
        if let Some(id) = self.held_up(&key, now) {
            return self.forward(id);
        }
        let earlier = self.forget_opening(&key, now);
        let Some(candidate) = self.place(&service, earlier, now) else {
            return Verdict::Reset(reset_opening(packet, ResetCause::NoUpstream));
        };
        let id = candidate.id;
        self.stats.placed += 1;
        self.decisions.push(Decision::Placed {
            flow: key,
            upstream: id,
            earlier,
            tier: candidate.tier,
            cost: candidate.cost,
        });
        let flow = Flow::new(id, Stage::Opening, packet, now);
        self.health.entry(id).or_default().note_placed(now);
        self.loss.note_attempt(now);
        self.flows.insert(key, flow);
        self.forward(id)
    }

    /// The upstream of an opening packet whose copy came just before: both were held up, and the second tells nothing.
    fn held_up(&mut self, key: &FlowKey, now: Time) -> Option<UpstreamId> {
        let flow = self.flows.get_mut(key)?;
        let is_held_up = flow.stage == Stage::Opening && now.since(flow.first_seen) < COPY_SPACE;
        is_held_up.then_some(flow.upstream)
    }

    /// Takes back the choice that an earlier copy of an opening packet led to. It was not answered, which counts
    /// against its upstream.
    fn forget_opening(&mut self, key: &FlowKey, now: Time) -> Option<UpstreamId> {
        let mut flow = self.flows.remove(key)?;
        let health = self.health.get_mut(&flow.upstream)?;
        health.flows = health.flows.saturating_sub(1);
        if flow.stage == Stage::Opening {
            let is_lost = health.note_copy(&mut flow, now);
            self.loss.note_losses(is_lost.into(), now);
            self.judge(flow.upstream, now);
        }
        Some(flow.upstream)
    }

    /// The best upstream for a new flow, another than `earlier` if there is one.
    fn place(&mut self, service: &str, earlier: Option<UpstreamId>, now: Time) -> Option<Candidate> {
        self.best(service, earlier, now)
            .or_else(|| self.best(service, None, now))
    }

    fn best(&mut self, service: &str, except: Option<UpstreamId>, now: Time) -> Option<Candidate> {
        let zone = &self.options.zone;
        let unused = Health::default();
        let mut peers = Peers::default();
        let mut seen = Vec::new();
        for (id, listed) in self.directory.of_service(service) {
            let health = self.health.get(&id);
            let Some(tier) = tier(listed, health, now) else {
                continue;
            };
            let view = View::new(listed, health.unwrap_or(&unused), now);
            peers.add(view, listed.upstream.zone == *zone);
            seen.push((id, listed, tier, view));
        }
        peers.base = Base::update(self.bases.get(service).copied(), peers.mean_response(), now);
        if let Some(base) = peers.base {
            self.bases.insert(service.to_owned(), base);
        }
        let rng = &mut self.rng;
        let others = seen.into_iter().filter(|(id, ..)| Some(*id) != except);
        let costed = others.map(|(id, listed, tier, view)| Candidate {
            id,
            tier,
            cost: place::cost(listed, view, &peers, zone, now, rng),
        });
        place::best(costed)
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
        // A packet that shows a sign of life ends the belief that its upstream is dead, so this comes first.
        let sign = self.see(&key, id, packet, now);
        if packet.len > 0 && self.is_dead(id, now) {
            self.close(&key);
            return Verdict::Reset(reset_open(packet, ResetCause::Dead));
        }
        if sign.is_copy && self.is_stalled(&key, now) {
            self.close(&key);
            return Verdict::Reset(reset_open(packet, ResetCause::Stalled));
        }
        self.forward(id)
    }

    /// Notes what a packet tells of its flow and of its upstream.
    fn see(&mut self, key: &FlowKey, id: UpstreamId, packet: &Packet, now: Time) -> Sign {
        if self.flows.get_mut(key).is_none_or(|flow| flow.upstream != id) {
            self.close(key);
            self.flows.insert(*key, Flow::new(id, Stage::Adopted, packet, now));
            self.health.entry(id).or_default().flows += 1;
        }
        let Some(flow) = self.flows.get_mut(key) else {
            return Sign::default();
        };
        let sign = flow.see(packet, now);
        let health = self.health.entry(id).or_default();
        let progress = if sign.is_progress {
            health.note_progress(now)
        } else {
            Progress::default()
        };
        self.loss.note_losses(progress.losses, now);
        if let Some(waited) = sign.waited {
            health.note_response(waited, now);
        }
        if sign.is_request {
            health.note_request(now);
            self.loss.note_attempt(now);
        }
        if sign.is_copy {
            let is_lost = health.note_copy(flow, now);
            self.loss.note_losses(is_lost.into(), now);
            self.judge(id, now);
        }
        if progress.is_revived {
            self.decisions.push(Decision::Revived(id));
            self.revive_zone(id);
        }
        sign
    }

    /// Resets that packets and reports led to since the last call, beside the packets' own verdicts.
    pub fn take_resets(&mut self) -> Vec<Reset> {
        std::mem::take(&mut self.resets)
    }

    /// What was decided since the last call, in order. Forwarding by an echo is no decision.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
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
        let then = now.before(self.options.max_flow * 2);
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
    if health.is_avoided(now) {
        return Some(Tier::Suspect);
    }
    Some(Tier::Ready)
}
