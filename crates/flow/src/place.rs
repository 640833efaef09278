//! Which upstream gets a new flow.

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use crate::directory::Directory;
use crate::directory::Listed;
use crate::health::Health;
use crate::upstream::UpstreamId;

/// How much dearer an upstream in another availability zone is. Its zone may be cut off at any time, which costs all
/// of its flows from here. At 4, one day's share of requests served in time was 0.03 higher than at 1.5.
const OTHER_ZONE_FACTOR: f64 = 4.0;
/// How much dearer an upstream is that is still slow after its start.
const COLD_FACTOR: f64 = 1.5;
/// How much an upstream's flows count against its requests of the last second: a flow will send again.
const FLOW_WEIGHT: f64 = 0.5;
/// What a free upstream counts, so that factors apply to it as well.
const BASE_LOAD: f64 = 0.5;
/// Up to which part of its load an upstream may be favoured by chance, so that instances that know the same don't all
/// choose the same.
const JITTER: f64 = 0.1;

/// How good a choice an upstream is at best, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// It is listed as ready and answers.
    Ready,
    /// Flows wait for a sign of life from it.
    Suspect,
    /// It is no longer listed, but has been a moment ago: its entry may only have lapsed.
    Lapsed,
}

/// An upstream that could take a new flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) id: UpstreamId,
    pub(crate) tier: Tier,
    pub(crate) cost: f64,
}

/// What a new flow costs at an upstream: its load for each slot, by zone and warmth.
pub(crate) fn cost(listed: &Listed, health: &Health, zone: &ZoneName, now: Time, rng: &mut SmallRng) -> f64 {
    let flows = f64::from(health.flows);
    let load = BASE_LOAD + flows * FLOW_WEIGHT + health.activity(now);
    let slots = f64::from(listed.upstream.slots.0.max(1));
    let mut cost = load / slots;
    if listed.upstream.zone != *zone {
        cost *= OTHER_ZONE_FACTOR;
    }
    if now < listed.cold_until {
        cost *= COLD_FACTOR;
    }
    cost * (1.0 + JITTER * rng.random::<f64>())
}

/// The best of several candidates.
pub(crate) fn best(candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    candidates.min_by(|a, b| a.tier.cmp(&b.tier).then(a.cost.total_cmp(&b.cost)))
}

/// The candidates of a service, but for `except`.
pub(crate) fn candidates<'a>(
    directory: &'a Directory,
    service: &str,
    except: Option<UpstreamId>,
    tier: impl Fn(UpstreamId, &Listed) -> Option<Tier> + 'a,
) -> impl Iterator<Item = (UpstreamId, &'a Listed, Tier)> {
    let all = directory.of_service(service);
    let others = all.filter(move |(id, _)| Some(*id) != except);
    others.filter_map(move |(id, listed)| Some((id, listed, tier(id, listed)?)))
}
