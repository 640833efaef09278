//! New flows: which upstream an opening packet goes to, and what its copies tell.

use std::time::Duration;

use units::Time;

use super::Core;
use crate::decision::Decision;
use crate::directory::DirectoryEntry;
use crate::flows::Flow;
use crate::flows::FlowKey;
use crate::flows::MIN_RETRANSMISSION_INTERVAL;
use crate::flows::Stage;
use crate::health::Health;
use crate::packet::DropCause;
use crate::packet::Packet;
use crate::packet::ResetCause;
use crate::place;
use crate::place::Base;
use crate::place::Candidate;
use crate::place::Peers;
use crate::place::Tier;
use crate::place::View;
use crate::upstream::UpstreamId;
use crate::verdict::Verdict;
use crate::verdict::reset_opening;

/// How long an upstream that is no longer listed may still get flows if its service has no other: its entry may have
/// lapsed with the platform's store, and entries that did are back within about two seconds.
const LAPSED_GRACE: Duration = Duration::from_secs(2);

impl Core {
    /// Places a new flow, or a copy of its opening packet at another upstream than before.
    pub(super) fn open(&mut self, packet: &Packet, now: Time) -> Verdict {
        if !self.knowledge.is_ready() {
            return Verdict::Drop(DropCause::NotReady);
        }
        let Some(route) = self.routes.to(packet.route) else {
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
            return Verdict::Reset(reset_opening(packet, self.why_none(&service, now)));
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
        self.note_ration(id, now);
        self.loss.note_attempt(now);
        self.flows.insert(key, flow);
        self.checks.open(key, now);
        self.forward(id)
    }

    /// The upstream of an opening packet whose copy came just before: both were held up, and the second tells nothing. An
    /// upstream that has been told meanwhile to take no more gets neither.
    fn held_up(&mut self, key: &FlowKey, now: Time) -> Option<UpstreamId> {
        let flow = self.flows.get_mut(key)?;
        let is_held_up = flow.stage == Stage::Opening && now.since(flow.first_seen) < MIN_RETRANSMISSION_INTERVAL;
        let id = flow.upstream;
        let takes_flows = self.directory.get(id).is_some_and(DirectoryEntry::accepts_flows);
        (is_held_up && takes_flows).then_some(id)
    }

    /// Why a service has no upstream for a new flow.
    fn why_none(&self, service: &str, now: Time) -> ResetCause {
        let listed = || {
            let listed = self.directory.of_service(service).map(|(_, listed)| listed);
            listed.filter(|listed| listed.gone_since.is_none())
        };
        if listed().any(|listed| listed.accepts_flows() && listed.cold_rate(now).is_some()) {
            return ResetCause::Cold;
        }
        if listed().any(|listed| listed.is_evacuated) {
            return ResetCause::Evacuated;
        }
        ResetCause::NoUpstream
    }

    /// Takes back the choice that an earlier copy of an opening packet led to. It was not answered, which counts
    /// against its upstream.
    fn forget_opening(&mut self, key: &FlowKey, now: Time) -> Option<UpstreamId> {
        let mut flow = self.flows.remove(key)?;
        let health = self.health.get_mut(&flow.upstream)?;
        health.note_ended();
        if flow.stage == Stage::Opening {
            let is_lost = health.note_copy(&mut flow, now);
            self.loss.note_losses(is_lost.into(), now);
            self.judge(flow.upstream, now);
        }
        Some(flow.upstream)
    }

    /// The best upstream for a new flow, another than `earlier` if there is one.
    ///
    /// Of a service with very many upstreams some take turns, and all are looked at only where none of these is in good order.
    fn place(&mut self, service: &str, earlier: Option<UpstreamId>, now: Time) -> Option<Candidate> {
        if let Some(next) = self
            .directory
            .next_candidates(service, &self.options.zone, self.first_turn)
        {
            let best = self.best_of(&next, service, earlier, now);
            if let Some(best) = best.filter(|best| best.tier == Tier::Ready && Some(best.id) != earlier) {
                return Some(best);
            }
        }
        let all = self.directory.service_ids(service).to_vec();
        self.best_of(&all, service, earlier, now)
    }

    /// The best of some upstreams of a service for a new flow, another than `earlier` if there is one.
    fn best_of(
        &mut self,
        ids: &[UpstreamId],
        service: &str,
        earlier: Option<UpstreamId>,
        now: Time,
    ) -> Option<Candidate> {
        let zone = &self.options.zone;
        let unused = Health::default();
        let mut peers = Peers::default();
        let mut seen = Vec::new();
        let reachable = ids.iter().filter_map(|id| self.directory.reachable(*id));
        self.stats.looked_at += ids.len() as u64;
        for (id, listed) in reachable {
            let health = self.health.get(&id);
            let Some(tier) = tier(listed, health, now) else {
                continue;
            };
            if !self.bears(id, listed, health, now) {
                continue;
            }
            let view = View::new(listed, health.unwrap_or(&unused), now);
            peers.add(view, listed.upstream().zone == *zone);
            seen.push((id, listed, tier, view));
        }
        peers.base = Base::update(self.bases.get(service).copied(), peers.mean_response(), now);
        if let Some(base) = peers.base {
            self.bases.insert(service.to_owned(), base);
        }
        if seen.len() > 1 {
            seen.retain(|(id, ..)| Some(*id) != earlier);
        }
        let rng = &mut self.rng;
        let costed = seen.into_iter().map(|(id, listed, tier, view)| Candidate {
            id,
            tier,
            cost: place::cost(listed, view, &peers, zone, now, rng),
        });
        place::best(costed)
    }
}

/// How good a choice an upstream is at best, `None` if it gets no new flows.
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
