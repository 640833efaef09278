//! Which upstream gets a new flow.

use std::fmt;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use crate::directory::DirectoryEntry;
use crate::health::Health;
use crate::upstream::UpstreamId;

/// How much dearer an upstream in another availability zone is. Its zone may be cut off at any time, which costs all
/// of its flows from here.
const OTHER_ZONE_FACTOR: f64 = 4.0;
/// How much dearer an upstream is that is still slow after its start.
const COLD_FACTOR: f64 = 1.5;
/// How much an upstream's flows count against its requests of the last second: a flow will send again.
const FLOW_WEIGHT: f64 = 0.5;
/// What a free upstream counts, so that factors apply to it as well.
const BASE_LOAD: f64 = 0.5;
/// Response times below this, in seconds, count as equal: the way there and back takes as long.
const LEAST_RESPONSE: f64 = 0.005;
/// How much more slowly than its best a zone may answer before another one gets cheaper. Means of a second or so vary by
/// half and more in a zone that is in good order, and each flow that this leads elsewhere is lost to the client when the way
/// there is cut.
const USUAL_PRESSURE: f64 = 2.2;
/// How steeply another zone gets cheaper beyond that: at 2.8 times its best, it is as cheap as the own one.
const PRESSURE_POWER: i32 = 6;
/// By how much of itself the base response time grows in a second without a sample as short, so that a service that has
/// become slower for good is not held to its past for more than a minute or so.
const BASE_GROWTH: f64 = 0.01;
/// Up to which part of its load an upstream may be favoured by chance, so that instances that know the same don't all
/// choose the same.
const JITTER: f64 = 0.1;

/// How good a choice an upstream is at best, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// It is listed as ready and answers.
    Ready,
    /// Flows wait for a sign of life from it.
    Suspect,
    /// It is no longer listed, but has been a moment ago: its entry may only have lapsed.
    Lapsed,
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "ready",
            Self::Suspect => "suspect",
            Self::Lapsed => "lapsed",
        })
    }
}

/// An upstream that could take a new flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) id: UpstreamId,
    pub(crate) tier: Tier,
    pub(crate) cost: f64,
}

/// How an upstream looks from here.
#[derive(Debug, Clone, Copy)]
pub(crate) struct View {
    /// Its flows seen here and the requests of the last second, for each slot.
    load: f64,
    /// How long it takes to answer, in seconds, if that was seen lately.
    response: Option<f64>,
}

impl View {
    pub(crate) fn new(listed: &DirectoryEntry, health: &Health, now: Time) -> Self {
        let flows = f64::from(health.flows);
        let load = flows * FLOW_WEIGHT + health.activity(now);
        Self {
            load: load / f64::from(listed.upstream().slots.0.max(1)),
            response: health.response(now),
        }
    }
}

/// How long the upstreams of one's own availability zone take to answer when they are not overloaded, in seconds.
///
/// It is the lowest mean over them, remembered for a minute or so. A mean varies little by chance, so that it tells
/// overload of the zone from one upstream's long request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Base {
    response: f64,
    at: Time,
}

impl Base {
    /// Takes in the mean seen now.
    pub(crate) fn update(held: Option<Self>, mean: Option<f64>, now: Time) -> Option<Self> {
        let held = held.map(|base| base.response * (1.0 + BASE_GROWTH * now.since(base.at).as_secs_f64()));
        let response = [held, mean].into_iter().flatten().min_by(f64::total_cmp)?;
        Some(Self { response, at: now })
    }
}

/// What the upstreams of a service have in common.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Peers {
    /// The sum of loads in one's own availability zone.
    load_at_home: f64,
    at_home: u32,
    /// The sum of response times seen there, in seconds.
    response_at_home: f64,
    answering: u32,
    /// The shortest response time seen anywhere, in seconds.
    fastest: Option<f64>,
    /// How long those at home take when they are not overloaded.
    pub(crate) base: Option<Base>,
}

impl Peers {
    pub(crate) fn add(&mut self, view: View, is_at_home: bool) {
        let fastest = [self.fastest, view.response].into_iter().flatten();
        self.fastest = fastest.min_by(f64::total_cmp);
        if !is_at_home {
            return;
        }
        self.load_at_home += view.load;
        self.at_home += 1;
        if let Some(response) = view.response {
            self.response_at_home += response;
            self.answering += 1;
        }
    }

    fn mean_load(&self) -> f64 {
        self.load_at_home / f64::from(self.at_home.max(1))
    }

    /// The mean response time at home, once most of those there were seen to answer.
    pub(crate) fn mean_response(&self) -> Option<f64> {
        let is_known = self.answering > 0 && self.answering * 2 >= self.at_home;
        is_known.then(|| self.response_at_home / f64::from(self.answering))
    }

    /// How much slower than the fastest an upstream answers, at least 1.
    fn slowness(&self, view: View) -> f64 {
        let (Some(fastest), Some(response)) = (self.fastest, view.response) else {
            return 1.0;
        };
        (response / fastest.max(LEAST_RESPONSE)).max(1.0)
    }

    /// How much slower those at home answer than when they are not overloaded, at least 1.
    fn pressure(&self) -> f64 {
        let (Some(base), Some(mean)) = (self.base, self.mean_response()) else {
            return 1.0;
        };
        (mean / base.response.max(LEAST_RESPONSE)).max(1.0)
    }

    /// How much dearer an upstream of another zone is.
    fn other_zone_factor(&self) -> f64 {
        let excess = (self.pressure() / USUAL_PRESSURE).max(1.0);
        (OTHER_ZONE_FACTOR / excess.powi(PRESSURE_POWER)).max(1.0)
    }
}

/// What a new flow costs at an upstream: its load, by zone, warmth and response time.
///
/// Flows that others lead to another zone's upstreams can't be seen from here. They are taken to be as busy as those
/// of one's own zone at least; without that, idle as they look, they would draw flows away from a zone in good order.
/// Response times count squared, so that an upstream that answers twice as slowly gets a quarter of the flows.
pub(crate) fn cost(
    listed: &DirectoryEntry,
    view: View,
    peers: &Peers,
    zone: &ZoneName,
    now: Time,
    rng: &mut SmallRng,
) -> f64 {
    let mut cost = if listed.upstream().zone == *zone {
        BASE_LOAD + view.load
    } else {
        (BASE_LOAD + view.load.max(peers.mean_load())) * peers.other_zone_factor()
    };
    cost *= peers.slowness(view).powi(2);
    if now < listed.cold_until {
        cost *= COLD_FACTOR;
    }
    cost * (1.0 + JITTER * rng.random::<f64>())
}

/// The best of several candidates.
pub(crate) fn best(candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    candidates.min_by(|a, b| a.tier.cmp(&b.tier).then(a.cost.total_cmp(&b.cost)))
}
