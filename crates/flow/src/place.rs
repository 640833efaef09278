//! Upstream selection for new flows.

pub(crate) mod joint;
pub(crate) mod spillover;
pub(crate) mod view;

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use crate::directory::DirectoryEntry;
use crate::health::Health;
use crate::upstream::UpstreamId;

/// Cost factor for an upstream in another availability zone. That zone may be cut off at any time, which breaks all of
/// its flows from here.
const OTHER_ZONE_FACTOR: f64 = 4.0;
/// Cost factor for an upstream that is still slow after its start.
const COLD_FACTOR: f64 = 1.5;
/// Weight of an open flow relative to a request of the last second: the flow will send more requests.
const FLOW_WEIGHT: f64 = 0.5;
/// Base load of an idle upstream, so that cost factors apply to it too.
const BASE_LOAD: f64 = 0.5;
/// Response times in seconds below this count as equal: the network round trip takes as long.
const MIN_RESPONSE: f64 = 0.005;
/// How far the response time of the local zone may exceed its baseline before another zone gets cheaper. In a healthy
/// zone, means over a second or so vary by half and more, and each flow that is sent elsewhere because of this is lost
/// to the client when the path to that zone is cut.
const TOLERATED_PRESSURE: f64 = 2.2;
/// Exponent of the cost reduction beyond that: at 2.8 times the baseline, another zone is as cheap as the local one.
const PRESSURE_POWER: i32 = 6;
/// Growth of the baseline response time per second without a sample as short, as a fraction. A service that has become
/// slower for good isn't measured against its old baseline for more than a minute or so.
const BASELINE_GROWTH: f64 = 0.01;
/// Maximum random increase of a cost, as a fraction, so that instances with the same information don't all choose the
/// same upstream.
const JITTER: f64 = 0.1;

/// Preference class of an upstream, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Listed as ready, and answering.
    Ready,
    /// Flows are stalled on it.
    Suspect,
    /// No longer listed, but was a moment ago: its entry may only have expired.
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

/// Candidate upstream for a new flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) id: UpstreamId,
    pub(crate) tier: Tier,
    pub(crate) cost: f64,
    /// Expected response time there, including the network round trip, if the joint view of its load is fresh.
    pub(crate) expected: Option<Duration>,
}

/// Load and response time of an upstream as seen from here.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamLoad {
    /// Weighted open flows plus requests of the last second, per slot.
    per_slot: f64,
    /// Mean response time in seconds, if there are recent samples.
    response: Option<f64>,
}

impl UpstreamLoad {
    pub(crate) fn new(listed: &DirectoryEntry, health: &Health, now: Time) -> Self {
        let flows = f64::from(health.flows);
        let load = flows * FLOW_WEIGHT + health.activity(now);
        Self {
            per_slot: load / f64::from(listed.upstream().slots.0.max(1)),
            response: health.response(now),
        }
    }
}

/// Baseline response time of the local zone's upstreams, in seconds: how long they take when they aren't overloaded.
///
/// It is the lowest mean over these upstreams, kept for a minute or so. A mean varies little by chance, so it
/// distinguishes overload of the zone from a long request at one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Baseline {
    response: f64,
    at: Time,
}

impl Baseline {
    /// Returns the baseline updated with the current mean.
    pub(crate) fn update(held: Option<Self>, mean: Option<f64>, now: Time) -> Option<Self> {
        let held =
            held.map(|baseline| baseline.response * (1.0 + BASELINE_GROWTH * now.since(baseline.at).as_secs_f64()));
        let response = [held, mean].into_iter().flatten().min_by(f64::total_cmp)?;
        Some(Self { response, at: now })
    }
}

/// Aggregates over the upstreams of a service.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct PeerTotals {
    /// Sum of loads in the local zone.
    local_load: f64,
    local_count: u32,
    /// Sum of response times seen there, in seconds.
    local_response: f64,
    local_answering: u32,
    /// Shortest response time in any zone, in seconds.
    fastest: Option<f64>,
    /// Baseline response time of the local zone.
    pub(crate) baseline: Option<Baseline>,
}

impl PeerTotals {
    pub(crate) fn add(&mut self, load: UpstreamLoad, is_local: bool) {
        let fastest = [self.fastest, load.response].into_iter().flatten();
        self.fastest = fastest.min_by(f64::total_cmp);
        if !is_local {
            return;
        }
        self.local_load += load.per_slot;
        self.local_count += 1;
        if let Some(response) = load.response {
            self.local_response += response;
            self.local_answering += 1;
        }
    }

    fn mean_load(&self) -> f64 {
        self.local_load / f64::from(self.local_count.max(1))
    }

    /// Mean response time in the local zone, if at least half of its upstreams have recent samples.
    pub(crate) fn mean_response(&self) -> Option<f64> {
        let is_known = self.local_answering > 0 && self.local_answering * 2 >= self.local_count;
        is_known.then(|| self.local_response / f64::from(self.local_answering))
    }

    /// Response time relative to the fastest upstream, at least 1.
    fn slowness(&self, load: UpstreamLoad) -> f64 {
        let (Some(fastest), Some(response)) = (self.fastest, load.response) else {
            return 1.0;
        };
        (response / fastest.max(MIN_RESPONSE)).max(1.0)
    }

    /// Response time of the local zone relative to its baseline, at least 1.
    fn pressure(&self) -> f64 {
        let (Some(baseline), Some(mean)) = (self.baseline, self.mean_response()) else {
            return 1.0;
        };
        (mean / baseline.response.max(MIN_RESPONSE)).max(1.0)
    }

    /// Cost factor for upstreams of another zone.
    fn other_zone_factor(&self) -> f64 {
        let excess = (self.pressure() / TOLERATED_PRESSURE).max(1.0);
        (OTHER_ZONE_FACTOR / excess.powi(PRESSURE_POWER)).max(1.0)
    }
}

/// Cost of a new flow at an upstream, from its load, zone, warm-up state and response time.
///
/// Flows that other instances send to another zone's upstreams aren't visible here. These upstreams are assumed to be
/// at least as busy as those of the local zone; otherwise they would look idle and attract flows away from a healthy
/// zone. The relative response time is squared, so an upstream that answers twice as slowly gets a quarter of the
/// flows.
pub(crate) fn cost(
    listed: &DirectoryEntry,
    load: UpstreamLoad,
    peers: &PeerTotals,
    zone: &ZoneName,
    now: Time,
    rng: &mut SmallRng,
) -> f64 {
    let mut cost = if listed.upstream().zone == *zone {
        BASE_LOAD + load.per_slot
    } else {
        (BASE_LOAD + load.per_slot.max(peers.mean_load())) * peers.other_zone_factor()
    };
    cost *= peers.slowness(load).powi(2);
    if now < listed.cold_until {
        cost *= COLD_FACTOR;
    }
    cost * (1.0 + JITTER * rng.random::<f64>())
}

/// Returns the best candidate.
pub(crate) fn best(candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    candidates.min_by(|a, b| a.tier.cmp(&b.tier).then(a.cost.total_cmp(&b.cost)))
}
