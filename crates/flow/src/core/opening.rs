//! New flows: selects an upstream for an opening packet, and handles retransmitted opening packets.

use std::time::Duration;

use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use super::Core;
use super::admission;
use crate::admission::Opening;
use crate::decision::Decision;
use crate::directory::DirectoryEntry;
use crate::flows::Flow;
use crate::flows::FlowKey;
use crate::flows::MIN_RETRANSMISSION_INTERVAL;
use crate::flows::Stage;
use crate::health::Health;
use crate::load::BUSY;
use crate::packet::DropCause;
use crate::packet::Packet;
use crate::packet::ResetCause;
use crate::place;
use crate::place::Baseline;
use crate::place::Candidate;
use crate::place::PeerTotals;
use crate::place::Tier;
use crate::place::UpstreamLoad;
use crate::place::joint::Contender;
use crate::place::joint::Warmth;
use crate::place::joint::choose;
use crate::place::view::View;
use crate::upstream::UpstreamId;
use crate::verdict::Verdict;
use crate::verdict::reset_for_opening;

/// How long an upstream that is no longer listed may still get flows if its service has no other. Its entry may have
/// expired along with the platform's store; such entries are back within about two seconds.
const LAPSED_GRACE: Duration = Duration::from_secs(2);

/// Number of upstreams of the local zone that two are drawn from by their capacity.
const NEAR_SAMPLE: usize = 8;
/// Number of upstreams of the local zone that are examined at most to find these, if many are avoided.
const MAX_NEAR_EXAMINED: usize = 16;
/// Number of upstreams of another zone that one is drawn from by its slots.
const FAR_SAMPLE: usize = 2;
/// Number of upstreams of another zone that are examined at most to find these.
const MAX_FAR_EXAMINED: usize = 8;

impl Core {
    /// Places a new flow, or moves a retransmitted opening packet to another upstream.
    pub(super) fn open_flow(&mut self, packet: &Packet, now: Time) -> Verdict {
        if !self.knowledge.is_ready() {
            return Verdict::Drop(DropCause::NotReady);
        }
        let Some(route) = self.routes.to(packet.route) else {
            return Verdict::Reset(reset_for_opening(packet, ResetCause::NoRoute));
        };
        let Some(service) = route.service_for(packet.client) else {
            return Verdict::Reset(reset_for_opening(packet, ResetCause::NoUpstream));
        };
        let service = service.to_owned();
        let opening = admission::opening(packet, route, &self.routes, &service);
        let key = opening.flow;
        if let Some(id) = self.delayed_duplicate(&key, now) {
            return self.forward(id);
        }
        let is_admitted = self.is_admitted(&opening, now);
        if !is_admitted && let Some(verdict) = self.reject_early(packet, &service, &opening, now) {
            return verdict;
        }
        let earlier = self.remove_unanswered_opening(&key, now);
        let Some(mut candidate) = self.place(&service, earlier, now) else {
            return Verdict::Reset(reset_for_opening(packet, self.no_upstream_cause(&service, now)));
        };
        if !is_admitted {
            candidate = match self.admit(packet, &service, &opening, candidate, now) {
                Ok(candidate) => candidate,
                Err(verdict) => return verdict,
            };
        }
        self.record_placement(packet, candidate, earlier, now);
        self.forward(candidate.id)
    }

    /// Records a new flow at its upstream.
    fn record_placement(&mut self, packet: &Packet, candidate: Candidate, earlier: Option<UpstreamId>, now: Time) {
        let key = FlowKey::from(packet);
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
        self.health.entry(id).or_default().record_placement(now);
        self.record_cold_flow(id, now);
        self.loss.note_attempt(now);
        self.flows.insert(key, flow);
        self.count_opening(&key, id, now);
        // The next copy of a retransmitted packet comes later than the check, or not at all.
        if packet.ack == 0 && !self.is_reading_backlog {
            self.checks.add_opening(key, now);
        }
    }

    /// The upstream of an opening packet whose copy arrived just before. Both were delayed on the way, so the second
    /// isn't a sign of an unresponsive upstream, nor is it one if nothing follows. An upstream that has since been told
    /// to take no new flows gets neither.
    fn delayed_duplicate(&mut self, key: &FlowKey, now: Time) -> Option<UpstreamId> {
        let flow = self.flows.get_mut(key)?;
        let is_delayed = flow.stage == Stage::Opening && now.since(flow.first_seen) < MIN_RETRANSMISSION_INTERVAL;
        flow.is_delayed |= is_delayed;
        let id = flow.upstream;
        let takes_flows = self.directory.get(id).is_some_and(DirectoryEntry::accepts_flows);
        (is_delayed && takes_flows).then_some(id)
    }

    /// Whether an opening packet is a further copy of one that was admitted. Its flow may be established already, if
    /// the network has reordered the copy with the client's first acknowledgement.
    fn is_admitted(&mut self, opening: &Opening, now: Time) -> bool {
        let Some(flow) = self.flows.get_mut(&opening.flow) else {
            return false;
        };
        flow.stage == Stage::Opening
            || opening.retransmissions > 0
            || now.since(flow.first_seen) < MIN_RETRANSMISSION_INTERVAL
    }

    /// Reason why a service has no upstream for a new flow.
    fn no_upstream_cause(&self, service: &str, now: Time) -> ResetCause {
        let listed = || {
            let listed = self.directory.of_service(service).map(|(_, listed)| listed);
            listed.filter(|listed| listed.gone_since.is_none())
        };
        if listed().any(|listed| listed.accepts_flows() && listed.cold_rate(now).is_some()) {
            return ResetCause::Cold;
        }
        let at_limit = |id, listed: &DirectoryEntry| {
            listed.gone_since.is_none() && listed.accepts_flows() && self.is_at_connection_limit(id, listed, now)
        };
        let mut of_service = self.directory.of_service(service);
        if of_service.any(|(id, listed)| at_limit(id, listed)) {
            return ResetCause::Overload;
        }
        if listed().any(|listed| listed.is_evacuated) {
            return ResetCause::Evacuated;
        }
        ResetCause::NoUpstream
    }

    /// Removes the flow of an earlier copy of an opening packet. The copy was not answered, which counts against its
    /// upstream.
    fn remove_unanswered_opening(&mut self, key: &FlowKey, now: Time) -> Option<UpstreamId> {
        let mut flow = self.flows.remove(key)?;
        self.uncount_flow(&flow);
        let health = self.health.get_mut(&flow.upstream)?;
        health.record_flow_end();
        if flow.stage == Stage::Opening {
            let is_lost = health.record_retransmission(&mut flow, now);
            self.loss.note_losses(is_lost.into(), now);
            self.evaluate(flow.upstream, now);
        }
        Some(flow.upstream)
    }

    /// Selects the best upstream for a new flow, avoiding `earlier` if there is another one.
    ///
    /// For a service with very many upstreams, only a rotating subset is examined; all are examined only if none of the
    /// subset is [`Tier::Ready`].
    fn place(&mut self, service: &str, earlier: Option<UpstreamId>, now: Time) -> Option<Candidate> {
        if let Some(best) = self.best_by_load(service, earlier, now) {
            return Some(best);
        }
        if let Some(next) = self
            .directory
            .next_candidates(service, &self.options.zone, self.start_offset)
        {
            let best = self.best_of(&next, service, earlier, now);
            if let Some(best) = best.filter(|best| best.tier == Tier::Ready && Some(best.id) != earlier) {
                return Some(best);
            }
        }
        let all = self.directory.service_ids(service).to_vec();
        self.best_of(&all, service, earlier, now)
    }

    /// Selects the best of `ids` for a new flow, avoiding `earlier` if there is another one.
    fn best_of(
        &mut self,
        ids: &[UpstreamId],
        service: &str,
        earlier: Option<UpstreamId>,
        now: Time,
    ) -> Option<Candidate> {
        let zone = &self.options.zone;
        let unused = Health::default();
        let mut peers = PeerTotals::default();
        let mut seen = Vec::new();
        let reachable = ids.iter().filter_map(|id| self.directory.reachable(*id));
        self.stats.examined += ids.len() as u64;
        for (id, listed) in reachable {
            let health = self.health.get(&id);
            let Some(tier) = self.tier_of(id, listed, health, now) else {
                continue;
            };
            let load = UpstreamLoad::new(listed, health.unwrap_or(&unused), now);
            peers.add(load, listed.upstream().zone == *zone);
            seen.push((id, listed, tier, load));
        }
        peers.baseline = Baseline::update(self.baselines.get(service).copied(), peers.mean_response(), now);
        if let Some(baseline) = peers.baseline {
            self.baselines.insert(service.to_owned(), baseline);
        }
        if seen.len() > 1 {
            seen.retain(|(id, ..)| Some(*id) != earlier);
        }
        let rng = &mut self.rng;
        let costed = seen.into_iter().map(|(id, listed, tier, load)| Candidate {
            id,
            tier,
            cost: place::cost(listed, load, &peers, zone, now, rng),
            expected: None,
        });
        place::best(costed)
    }

    /// The tier of an upstream, or `None` if it gets no new flow from here now.
    pub(super) fn tier_of(
        &self,
        id: UpstreamId,
        listed: &DirectoryEntry,
        health: Option<&Health>,
        now: Time,
    ) -> Option<Tier> {
        let tier = tier(listed, health, now)?;
        let takes_flow =
            self.permits_new_flow(id, listed, health, now) && !self.is_at_connection_limit(id, listed, now);
        takes_flow.then_some(tier)
    }

    /// Selects an upstream by the joint view of load, among a random sample of the service's upstreams.
    ///
    /// Returns `None` without a view, while the service isn't busy, and if none of the sample is [`Tier::Ready`].
    fn best_by_load(&mut self, service: &str, earlier: Option<UpstreamId>, now: Time) -> Option<Candidate> {
        if self.loads.utilization(service, now)? < BUSY {
            return None;
        }
        let zone = &self.options.zone;
        let zones = self.loads.zones(service, now)?;
        let view = View { local: zone, zones };
        let pool = self.directory.pool(service)?;
        let mut spillover = pool.spillover;
        let mut rng = self.rng.clone();
        let mut examined = 0;
        let mut sample = |zone: &ZoneName, most: usize, wanted: usize, rng: &mut SmallRng| {
            let mut contenders = Vec::with_capacity(wanted);
            for id in pool.draw(zone, most, rng) {
                examined += 1;
                contenders.extend(self.contender(id, earlier, now));
                if contenders.len() == wanted {
                    break;
                }
            }
            contenders
        };
        let near = sample(zone, MAX_NEAR_EXAMINED, NEAR_SAMPLE, &mut rng);
        let far = |zone: &ZoneName, rng: &mut SmallRng| sample(zone, MAX_FAR_EXAMINED, FAR_SAMPLE, rng);
        let choice = choose(&near, far, view, &mut spillover, now, &mut rng);
        self.rng = rng;
        self.stats.examined += examined;
        self.directory.set_spillover(service, spillover);
        choice.map(Candidate::from)
    }

    /// An upstream as a contender for a new flow, if it is [`Tier::Ready`] and isn't `earlier`.
    fn contender(&self, id: UpstreamId, earlier: Option<UpstreamId>, now: Time) -> Option<Contender<'_>> {
        let (id, listed) = self.directory.reachable(id).filter(|(id, _)| Some(*id) != earlier)?;
        let tier = self.tier_of(id, listed, self.health.get(&id), now);
        tier.filter(|tier| *tier == Tier::Ready)?;
        let work = self.loads.work(id, now);
        let warmth = match listed.cold_rate(now) {
            _ if now >= listed.cold_until => Warmth::Warm,
            Some(_) => Warmth::Permitted,
            None => Warmth::Cold,
        };
        Some(Contender {
            id,
            zone: &listed.upstream().zone,
            slots: listed.upstream().slots.0.into(),
            in_flight: work.map(|work| work.in_flight),
            service_time: work.and_then(|work| work.service_time),
            warmth,
        })
    }
}

/// The tier of an upstream, or `None` if it gets no new flows.
fn tier(listed: &DirectoryEntry, health: Option<&Health>, now: Time) -> Option<Tier> {
    if !listed.accepts_flows() {
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
