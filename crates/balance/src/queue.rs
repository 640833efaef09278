//! Requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Time;
use units::UpstreamName;
use units::Weight;

use crate::Ask;
use crate::estimate::Estimate;

/// What share of its time to wait a request may be behind a later one that has less time.
///
/// With all of it, the earliest deadline goes first, and patient requests wait as soon as there is any queue.
const PATIENCE: f64 = 0.05;

/// Where a request stands: in order of arrival, but somewhat later if it has much time, and somewhat earlier if it
/// has little.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    turn: Time,
    arrival: u64,
}

/// Requests that wait for the same slots.
pub(crate) type Line<K> = BTreeMap<Place, Ask<K>>;

/// All waiting requests of a service: one line for any upstream, and one for each upstream that flows are pinned to.
#[derive(Debug, Clone)]
pub(crate) struct Queue<K> {
    shared: Line<K>,
    pinned: BTreeMap<UpstreamName, Line<K>>,
    places: BTreeMap<K, (Option<UpstreamName>, Place)>,
    arrivals: u64,
}

impl<K: Clone + Ord> Queue<K> {
    pub(crate) fn new() -> Self {
        Self {
            shared: Line::new(),
            pinned: BTreeMap::new(),
            places: BTreeMap::new(),
            arrivals: 0,
        }
    }

    /// How many requests wait in all.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether this request waits.
    pub(crate) fn contains(&self, key: &K) -> bool {
        self.places.contains_key(key)
    }

    /// How many requests wait for any upstream.
    pub(crate) fn shared_len(&self) -> usize {
        self.shared.len()
    }

    /// How many requests wait for this very upstream.
    pub(crate) fn pinned_len(&self, upstream: &UpstreamName) -> usize {
        self.pinned.get(upstream).map_or(0, BTreeMap::len)
    }

    /// The line for this upstream, or for any.
    pub(crate) fn line(&self, upstream: Option<&UpstreamName>) -> Option<&Line<K>> {
        match upstream {
            Some(name) => self.pinned.get(name),
            None => Some(&self.shared),
        }
    }

    /// Adds a request to the line of an upstream, or to the shared one.
    pub(crate) fn push(&mut self, ask: Ask<K>, upstream: Option<UpstreamName>, now: Time) {
        self.arrivals += 1;
        let place = Place {
            turn: now + now.until(ask.deadline).mul_f64(PATIENCE),
            arrival: self.arrivals,
        };
        self.places.insert(ask.key.clone(), (upstream.clone(), place));
        let line = match upstream {
            Some(name) => self.pinned.entry(name).or_default(),
            None => &mut self.shared,
        };
        line.insert(place, ask);
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, key: &K) -> Option<Ask<K>> {
        let (upstream, place) = self.places.remove(key)?;
        let Some(name) = upstream else {
            return self.shared.remove(&place);
        };
        let line = self.pinned.get_mut(&name)?;
        let ask = line.remove(&place);
        if line.is_empty() {
            self.pinned.remove(&name);
        }
        ask
    }

    /// The first request of each line for one upstream.
    pub(crate) fn pinned_heads(&self) -> impl Iterator<Item = (&UpstreamName, Place, &Ask<K>)> {
        let head = |(name, line)| Line::first_key_value(line).map(|(place, ask)| (name, *place, ask));
        self.pinned.iter().filter_map(head)
    }

    /// Some waiting request.
    pub(crate) fn first(&self) -> Option<K> {
        self.places.keys().next().cloned()
    }

    /// The upstreams that requests wait for.
    pub(crate) fn pins(&self) -> Vec<UpstreamName> {
        self.pinned.keys().cloned().collect()
    }

    /// Lets the requests that wait for this upstream wait for any.
    pub(crate) fn unpin(&mut self, upstream: &UpstreamName) {
        let Some(line) = self.pinned.remove(upstream) else {
            return;
        };
        for (place, ask) in line {
            self.places.insert(ask.key.clone(), (None, place));
            self.shared.insert(place, ask);
        }
    }

    /// Takes out the requests that fail `keep`.
    pub(crate) fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        let gone: Vec<K> = self.places.keys().filter(|key| !keep(key)).cloned().collect();
        for key in gone {
            self.remove(&key);
        }
    }
}

/// The request that gives way when a line cannot start all of its requests in time, or when the queue is full.
///
/// The line is served by `servers` slots. The first request that would start too late is found, and of those up to
/// it the one is named that brings least per second of a slot; of equals, the one that came last.
pub(crate) fn victim<K: Clone>(
    line: &Line<K>,
    estimate: &Estimate,
    servers: f64,
    full: bool,
    patience: f64,
    now: Time,
) -> Option<K> {
    let mut start = estimate.mean().unwrap_or(0.0) / servers;
    let mut least: Option<(f64, Place, &K)> = None;
    for (place, ask) in line {
        let service = estimate.mean_of(ask.weight);
        let density = density(ask.weight, service);
        let gives_way =
            |(value, other, _): (f64, Place, &K)| density < value || density <= value && place.arrival > other.arrival;
        if least.is_none_or(gives_way) {
            least = Some((density, *place, &ask.key));
        }
        if ask.deadline <= now {
            return Some(ask.key.clone());
        }
        let remaining = now.until(ask.deadline).as_secs_f64();
        if start > (remaining - service) * patience {
            return least.map(|(_, _, key)| key.clone());
        }
        start += service / servers;
    }
    if full {
        least.map(|(_, _, key)| key.clone())
    } else {
        None
    }
}

/// What a second of a slot brings when it is spent on requests of this weight and mean service time.
fn density(weight: Weight, service: f64) -> f64 {
    const FLOOR: f64 = 1e-6;
    f64::from(weight.0) / service.max(FLOOR)
}

/// The point in time that lies `span` before `time`.
pub(crate) fn before(time: Time, span: Duration) -> Time {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    Time(time.0.saturating_sub(micros))
}
