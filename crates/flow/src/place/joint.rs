//! Placement by the joint view of load, which all instances share: power of two choices, and spillover to other zones.
//!
//! All instances hold the same numbers, which are up to some hundred milliseconds old. If each chose the least loaded
//! upstream, all would choose the same one (herd behaviour). Drawing two at random and taking the better one bounds
//! the share of any upstream to twice its share of the capacity.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use crate::load::ZoneLoad;
use crate::place::Candidate;
use crate::place::Tier;
use crate::place::spillover::Spillover;
use crate::place::view::MIN_SERVICE_TIME;
use crate::place::view::OTHER_ZONE_ROUND_TRIP;
use crate::place::view::View;
use crate::upstream::UpstreamId;

/// Capacity of a cold upstream relative to a warm one.
const COLD_CAPACITY: f64 = 0.5;
/// Largest ratio between the service times of an upstream and its zone that counts in the comparison of upstreams. A
/// free slot at a slower one is still better than a long queue at a fast one, which may refuse the request.
const MAX_SLOWNESS: f64 = 2.0;

/// Number of draws of another zone that are made if the local zone has no upstream for the flow.
const OTHER_ZONE_ATTEMPTS: usize = 3;

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

/// Numbers that all upstreams of a zone share.
#[derive(Debug, Clone, Copy)]
struct ZoneEstimate {
    /// Work in flight per slot, if known.
    utilization: Option<f64>,
    /// Mean service time in seconds.
    service_time: f64,
    /// Network round trip in seconds.
    round_trip: f64,
}

impl ZoneEstimate {
    fn new(zone: &ZoneName, view: &View<'_>) -> Self {
        let load = view.zones.get(zone);
        let round_trip = if zone == view.local {
            Duration::ZERO
        } else {
            OTHER_ZONE_ROUND_TRIP
        };
        Self {
            utilization: load.filter(|load| load.slots > 0).map(ZoneLoad::utilization),
            service_time: view.service_time(load),
            round_trip: round_trip.as_secs_f64(),
        }
    }
}

/// Contender with the numbers that decide between it and others.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    id: UpstreamId,
    warmth: Warmth,
    zone: ZoneEstimate,
    /// Requests per second that it can serve.
    capacity: f64,
    /// Work in flight per slot, the new request included.
    utilization: f64,
    /// Seconds that a request occupies a slot.
    service_time: f64,
}

impl Estimate {
    fn new(contender: &Contender<'_>, zone: ZoneEstimate) -> Option<Self> {
        let slots = f64::from(contender.slots.max(1));
        let of_zone = || zone.utilization.map(|utilization| utilization * slots);
        let in_flight = contender.in_flight.map(f64::from).or_else(of_zone)?;
        let service_time = contender.service_time.map(|time| time.as_secs_f64());
        let service_time = service_time.unwrap_or(zone.service_time).max(MIN_SERVICE_TIME);
        let slots = match contender.warmth {
            Warmth::Warm => slots,
            Warmth::Cold | Warmth::Permitted => slots * COLD_CAPACITY,
        };
        Some(Self {
            id: contender.id,
            warmth: contender.warmth,
            zone,
            capacity: slots / service_time,
            utilization: (in_flight + 1.0) / slots,
            service_time,
        })
    }

    /// Seconds that a new request waits for a slot.
    fn wait(&self) -> f64 {
        (self.utilization - 1.0).max(0.0) * self.service_time
    }

    /// Expected response time in seconds.
    fn expected(&self) -> f64 {
        self.wait() + self.service_time + self.zone.round_trip
    }

    /// Expected response time in seconds, by which upstreams of one zone are compared. Work at an upstream that has a
    /// free slot counts too, so that idle ones are preferred.
    fn cost(&self) -> f64 {
        let service_time = self.service_time.min(self.zone.service_time * MAX_SLOWNESS);
        self.wait() + service_time * self.utilization.min(1.0)
    }

    fn choice(&self) -> Choice {
        Choice {
            id: self.id,
            expected: Duration::try_from_secs_f64(self.expected()).unwrap_or(Duration::MAX),
        }
    }
}

/// Chooses the upstream for a new flow among `near`, the contenders of the local zone, and some of one other zone.
///
/// `near` and what `sample` returns for another zone may be all upstreams there or a random sample. Returns `None` if
/// their loads aren't known, or those of the local zone although it has contenders.
pub fn choose<'a>(
    near: &[Contender<'a>],
    mut sample: impl FnMut(&ZoneName, &mut SmallRng) -> Vec<Contender<'a>>,
    view: View<'_>,
    spillover: &mut Spillover,
    now: Time,
    rng: &mut SmallRng,
) -> Option<Choice> {
    if !near.is_empty() && !view.zones.contains_key(view.local) {
        return None;
    }
    let local = best_of_two(near, &view, rng);
    let share = spillover.update(&view, now);
    let attempts = match local {
        None => OTHER_ZONE_ATTEMPTS,
        Some(_) => usize::from(share > 0.0 && rng.random::<f64>() < share),
    };
    for _ in 0..attempts {
        let Some(zone) = draw_zone(&view, local.is_none(), rng) else {
            break;
        };
        let far = sample(zone, rng);
        let Some(other) = draw_other(&far, &view, local.is_none(), rng) else {
            continue;
        };
        if is_better(&other, local.as_ref()) {
            return Some(other.choice());
        }
    }
    local.map(|local| local.choice())
}

/// Whether an upstream of another zone is faster than one of the local zone by more than one service time. The margin
/// keeps two zones from exchanging load.
fn is_better(other: &Estimate, local: Option<&Estimate>) -> bool {
    local.is_none_or(|local| other.expected() + other.zone.service_time < local.expected())
}

/// Draws two upstreams by capacity, and returns the better one. Cold upstreams whose rate permits a flow now are
/// always compared, as few instances may use them.
fn best_of_two(near: &[Contender<'_>], view: &View<'_>, rng: &mut SmallRng) -> Option<Estimate> {
    let zone = ZoneEstimate::new(view.local, view);
    let mut estimates = Vec::with_capacity(near.len());
    estimates.extend(near.iter().filter_map(|contender| Estimate::new(contender, zone)));
    let first = draw(&estimates, None, |estimate| estimate.capacity, rng);
    let second = draw(&estimates, first, |estimate| estimate.capacity, rng);
    let permitted = estimates.iter().filter(|estimate| estimate.warmth == Warmth::Permitted);
    let drawn = [first, second].into_iter().flatten().map(|index| &estimates[index]);
    let best = drawn.chain(permitted).min_by(|a, b| a.cost().total_cmp(&b.cost()));
    best.copied()
}

/// Draws another zone by its room. Without an upstream in the local zone (`is_required`), zones that take no flows from
/// it are drawn too.
fn draw_zone<'a>(view: &View<'a>, is_required: bool, rng: &mut SmallRng) -> Option<&'a ZoneName> {
    let local = view.zones.get(view.local);
    let mut others = Vec::with_capacity(view.zones.len());
    for (zone, load) in view.zones {
        if zone == view.local || load.slots == 0 {
            continue;
        }
        if is_required || load.takes_from(local) {
            others.push((zone, load.room()));
        }
    }
    let index = draw(&others, None, |(_, room)| *room, rng)?;
    Some(others[index].0)
}

/// Draws an upstream of another zone by its slots.
fn draw_other(far: &[Contender<'_>], view: &View<'_>, is_required: bool, rng: &mut SmallRng) -> Option<Estimate> {
    let weight = |contender: &Contender<'_>| {
        let is_allowed = is_required || contender.warmth != Warmth::Cold;
        if is_allowed {
            f64::from(contender.slots.max(1))
        } else {
            0.0
        }
    };
    let index = draw(far, None, weight, rng)?;
    Estimate::new(&far[index], ZoneEstimate::new(far[index].zone, view))
}

/// Draws the index of an item with a probability proportional to its weight, leaving one item out. Items of no weight
/// aren't drawn.
fn draw<T>(items: &[T], without: Option<usize>, weight: impl Fn(&T) -> f64, rng: &mut SmallRng) -> Option<usize> {
    let weights = || {
        let weights = items.iter().map(&weight).enumerate();
        weights.filter(|(index, weight)| Some(*index) != without && *weight > 0.0)
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
