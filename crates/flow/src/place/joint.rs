//! Placement by the joint view of load, which all instances share: power of two choices, and spillover to other zones.
//!
//! All instances hold the same numbers, which are up to some hundred milliseconds old. If each chose the least loaded
//! upstream, all would choose the same one (herd behaviour). Drawing two at random and taking the better one bounds
//! the share of any upstream to twice its share of the capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use crate::load::ZoneLoad;
use crate::place::Candidate;
use crate::place::Tier;
use crate::place::spillover::OTHER_ZONE_ROUND_TRIP;
use crate::place::spillover::Spillover;
use crate::upstream::UpstreamId;

/// Service time of an upstream if no zone has finished enough requests. It cancels out between upstreams.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Service times in seconds below this count as equal: they are shorter than a packet takes to an upstream.
const MIN_SERVICE_TIME: f64 = 1e-4;
/// Capacity of a cold upstream relative to a warm one.
const COLD_CAPACITY: f64 = 0.5;
/// Largest ratio between the service times of an upstream and its zone that counts in the comparison of upstreams. A
/// free slot at a slower one is still better than a long queue at a fast one, which may refuse the request.
const MAX_SLOWNESS: f64 = 2.0;

/// Upstream that is ready for a new flow, with its load over all instances.
#[derive(Debug, Clone, Copy)]
pub struct Contender<'a> {
    /// Its id.
    pub id: UpstreamId,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Number of requests that it serves concurrently.
    pub slots: u32,
    /// Work in flight; `None` if only the sums of its zone are known.
    pub in_flight: Option<u32>,
    /// Mean time that a request occupies a slot, if known.
    pub service_time: Option<Duration>,
    /// Whether it has started recently.
    pub warmth: Warmth,
}

/// Whether an upstream has started recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It serves at its full speed.
    Warm,
    /// It has started recently, and operators have set no rate for new flows.
    Cold,
    /// It has started recently, and its rate permits a new flow now.
    Permitted,
}

/// Upstream for a new flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Its id.
    pub id: UpstreamId,
    /// Expected response time there, including the network round trip.
    pub expected: Duration,
}

impl From<Choice> for Candidate {
    fn from(choice: Choice) -> Self {
        Self {
            id: choice.id,
            tier: Tier::Ready,
            cost: choice.expected.as_secs_f64(),
            expected: Some(choice.expected),
        }
    }
}

/// Load of a service's zones as seen from one of them.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The zone of this instance.
    pub local: &'a ZoneName,
    /// The zones with a fresh view. A zone that is cut off has none.
    pub zones: &'a BTreeMap<ZoneName, ZoneLoad>,
}

impl View<'_> {
    /// Service time in a zone in seconds, with the longest one of any zone in place of an unknown one: an idle zone has
    /// finished no requests.
    pub(super) fn service_time(&self, zone: &ZoneName) -> f64 {
        let known = self.zones.get(zone).and_then(|zone| zone.service_time);
        let longest = || self.zones.values().filter_map(|zone| zone.service_time).max();
        let time = known.or_else(longest).unwrap_or(UNKNOWN_SERVICE_TIME);
        time.as_secs_f64().max(MIN_SERVICE_TIME)
    }
}

/// Contender with the numbers that decide between it and others.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    id: UpstreamId,
    /// Requests per second that it can serve.
    capacity: f64,
    /// Requests per slot, the new one included.
    fill: f64,
    /// Seconds that a request occupies a slot.
    service_time: f64,
    /// Mean of `service_time` in its zone.
    zone_service_time: f64,
    round_trip: f64,
}

impl Estimate {
    fn new(contender: &Contender<'_>, view: &View<'_>) -> Option<Self> {
        let zone = view.zones.get(contender.zone).filter(|zone| zone.slots > 0);
        let slots = f64::from(contender.slots.max(1));
        let of_zone = || zone.map(|zone| zone.fill() * slots);
        let in_flight = contender.in_flight.map(f64::from).or_else(of_zone)?;
        let zone_service_time = view.service_time(contender.zone);
        let service_time = contender
            .service_time
            .map(|time| time.as_secs_f64().max(MIN_SERVICE_TIME));
        let service_time = service_time.unwrap_or(zone_service_time);
        let warmth = if contender.warmth == Warmth::Warm {
            1.0
        } else {
            COLD_CAPACITY
        };
        let round_trip = if contender.zone == view.local {
            Duration::ZERO
        } else {
            OTHER_ZONE_ROUND_TRIP
        };
        Some(Self {
            id: contender.id,
            capacity: slots / service_time * warmth,
            fill: (in_flight + 1.0) / (slots * warmth),
            service_time,
            zone_service_time,
            round_trip: round_trip.as_secs_f64(),
        })
    }

    /// Seconds that a new request waits for a slot.
    fn wait(&self) -> f64 {
        (self.fill - 1.0).max(0.0) * self.service_time
    }

    /// Expected response time in seconds.
    fn expected(&self) -> f64 {
        self.wait() + self.service_time + self.round_trip
    }

    /// Expected response time in seconds, by which upstreams of one zone are compared. Work at an upstream that has a
    /// free slot counts too, so that idle ones are preferred.
    fn cost(&self) -> f64 {
        let service_time = self.service_time.min(self.zone_service_time * MAX_SLOWNESS);
        self.wait() + service_time * self.fill.min(1.0)
    }

    fn choice(&self) -> Choice {
        Choice {
            id: self.id,
            expected: Duration::try_from_secs_f64(self.expected()).unwrap_or(Duration::MAX),
        }
    }
}

/// Chooses the upstream for a new flow among `contenders`, which are all upstreams of a service or a random sample.
///
/// Returns `None` if their loads aren't known, or those of the local zone although it has contenders.
pub fn choose(
    contenders: &[Contender<'_>],
    view: View<'_>,
    spillover: &mut Spillover,
    now: Time,
    rng: &mut SmallRng,
) -> Option<Choice> {
    let near = contenders.iter().filter(|contender| contender.zone == view.local);
    if near.clone().next().is_some() && !view.zones.contains_key(view.local) {
        return None;
    }
    let near = near.filter_map(|contender| Some((Estimate::new(contender, &view)?, contender.warmth)));
    let near: Vec<(Estimate, Warmth)> = near.collect();
    let local = best_of_two(&near, rng);
    let share = spillover.update(&view, now);
    if local.is_none() || rng.random::<f64>() < share {
        let far: Vec<&Contender<'_>> = contenders
            .iter()
            .filter(|contender| contender.zone != view.local)
            .collect();
        let other = draw_other(&far, &view, local.is_none(), rng);
        if let Some(other) = other.filter(|other| is_better(other, local.as_ref())) {
            return Some(other.choice());
        }
    }
    local.map(|local| local.choice())
}

/// Whether an upstream of another zone is faster than one of the local zone by more than one service time. The margin
/// keeps two zones from exchanging load.
fn is_better(other: &Estimate, local: Option<&Estimate>) -> bool {
    local.is_none_or(|local| other.expected() + other.zone_service_time < local.expected())
}

/// Draws two upstreams by capacity, and returns the better one. Cold upstreams whose rate permits a flow now are
/// always compared, as few instances may use them.
fn best_of_two(near: &[(Estimate, Warmth)], rng: &mut SmallRng) -> Option<Estimate> {
    let weight = |(estimate, _): &(Estimate, Warmth)| estimate.capacity;
    let first = draw(near, None, weight, rng);
    let second = draw(near, first, weight, rng);
    let permitted = near.iter().filter(|(_, warmth)| *warmth == Warmth::Permitted);
    let drawn = [first, second].into_iter().flatten().map(|index| &near[index]);
    let estimates = drawn.chain(permitted).map(|(estimate, _)| *estimate);
    estimates.min_by(|a, b| a.cost().total_cmp(&b.cost()))
}

/// Draws an upstream of another zone: the zone by its free capacity, the upstream by its slots.
///
/// Without an upstream in the local zone (`is_required`), zones without free capacity are drawn from too.
fn draw_other(far: &[&Contender<'_>], view: &View<'_>, is_required: bool, rng: &mut SmallRng) -> Option<Estimate> {
    let far: Vec<&Contender<'_>> = far
        .iter()
        .copied()
        .filter(|contender| is_required || contender.warmth != Warmth::Cold)
        .collect();
    let has_upstream = |zone: &ZoneName| far.iter().any(|contender| contender.zone == zone);
    let zones: Vec<(&ZoneName, f64)> = view
        .zones
        .iter()
        .filter(|(zone, load)| *zone != view.local && load.slots > 0 && has_upstream(zone))
        .filter(|(_, load)| is_required || load.takes_from(view.zones.get(view.local)))
        .map(|(zone, load)| (zone, load.free_capacity()))
        .collect();
    let zone = zones[draw(&zones, None, |(_, free)| *free, rng)?].0;
    let in_zone: Vec<&Contender<'_>> = far.into_iter().filter(|contender| contender.zone == zone).collect();
    let chosen = draw(&in_zone, None, |contender| f64::from(contender.slots.max(1)), rng)?;
    Estimate::new(in_zone[chosen], view)
}

/// Draws the index of an item with a probability proportional to its weight, leaving one item out.
fn draw<T>(items: &[T], without: Option<usize>, weight: impl Fn(&T) -> f64, rng: &mut SmallRng) -> Option<usize> {
    let weights = || {
        let kept = items.iter().enumerate().filter(|(index, _)| Some(*index) != without);
        kept.map(|(index, item)| (index, weight(item)))
    };
    let total: f64 = weights().map(|(_, weight)| weight).sum();
    let mut point = rng.random::<f64>() * total;
    let mut last = None;
    for (index, weight) in weights() {
        last = Some(index);
        if point < weight {
            break;
        }
        point -= weight;
    }
    last
}
