//! Requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Time;
use units::UpstreamName;
use units::Weight;

use crate::SlotRequest;
use crate::service_time::ServiceTimeEstimate;

/// What share of its time to wait a request may be behind a later one that has less time.
///
/// With all of it, the earliest deadline goes first, and patient requests wait as soon as there is any queue.
const DEADLINE_ORDER_SHARE: f64 = 0.05;

/// Where a request stands: in order of arrival, but somewhat later if it has much time, and somewhat earlier if it
/// has little.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    order_time: Time,
    arrival: u64,
}

/// Requests that wait for the same slots.
pub(crate) type Lane<K> = BTreeMap<QueuePosition, SlotRequest<K>>;

/// All waiting requests of a service: one line for any upstream, and one for each upstream that flows are pinned to.
#[derive(Debug, Clone)]
pub(crate) struct Queue<K> {
    shared: Lane<K>,
    pinned: BTreeMap<UpstreamName, Lane<K>>,
    positions: BTreeMap<K, (Option<UpstreamName>, QueuePosition)>,
    arrivals: u64,
}

impl<K: Clone + Ord> Queue<K> {
    pub(crate) fn new() -> Self {
        Self {
            shared: Lane::new(),
            pinned: BTreeMap::new(),
            positions: BTreeMap::new(),
            arrivals: 0,
        }
    }

    /// How many requests wait in all.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether this request waits.
    pub(crate) fn contains(&self, key: &K) -> bool {
        self.positions.contains_key(key)
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
    pub(crate) fn lane(&self, upstream: Option<&UpstreamName>) -> Option<&Lane<K>> {
        match upstream {
            Some(name) => self.pinned.get(name),
            None => Some(&self.shared),
        }
    }

    /// Adds a request to the line of an upstream, or to the shared one.
    pub(crate) fn push(&mut self, request: SlotRequest<K>, upstream: Option<UpstreamName>, now: Time) {
        self.arrivals += 1;
        let position = QueuePosition {
            order_time: now + now.until(request.deadline).mul_f64(DEADLINE_ORDER_SHARE),
            arrival: self.arrivals,
        };
        self.positions.insert(request.key.clone(), (upstream.clone(), position));
        let lane = match upstream {
            Some(name) => self.pinned.entry(name).or_default(),
            None => &mut self.shared,
        };
        lane.insert(position, request);
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, key: &K) -> Option<SlotRequest<K>> {
        let (upstream, position) = self.positions.remove(key)?;
        let Some(name) = upstream else {
            return self.shared.remove(&position);
        };
        let lane = self.pinned.get_mut(&name)?;
        let request = lane.remove(&position);
        if lane.is_empty() {
            self.pinned.remove(&name);
        }
        request
    }

    /// The first request of each line for one upstream.
    pub(crate) fn pinned_heads(&self) -> impl Iterator<Item = (&UpstreamName, QueuePosition, &SlotRequest<K>)> {
        let head = |(name, lane)| Lane::first_key_value(lane).map(|(position, request)| (name, *position, request));
        self.pinned.iter().filter_map(head)
    }

    /// Some waiting request.
    pub(crate) fn any_key(&self) -> Option<K> {
        self.positions.keys().next().cloned()
    }

    /// The upstreams that requests wait for.
    pub(crate) fn pinned_upstreams(&self) -> Vec<UpstreamName> {
        self.pinned.keys().cloned().collect()
    }

    /// Lets the requests that wait for this upstream wait for any.
    pub(crate) fn unpin(&mut self, upstream: &UpstreamName) {
        let Some(lane) = self.pinned.remove(upstream) else {
            return;
        };
        for (position, request) in lane {
            self.positions.insert(request.key.clone(), (None, position));
            self.shared.insert(position, request);
        }
    }

    /// Takes out the requests that fail `keep`.
    pub(crate) fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        let rejected: Vec<K> = self.positions.keys().filter(|key| !keep(key)).cloned().collect();
        for key in rejected {
            self.remove(&key);
        }
    }
}

/// The request that gives way when a line cannot start all of its requests in time, or when the queue is full.
///
/// The line is served by `servers` slots. The first request that would start too late is found, and of those up to
/// it the one is named that brings least per second of a slot; of equals, the one that came last.
pub(crate) fn request_to_shed<K: Clone>(
    lane: &Lane<K>,
    estimate: &ServiceTimeEstimate,
    servers: f64,
    full: bool,
    max_wait_share: f64,
    now: Time,
) -> Option<K> {
    let mut start_delay = estimate.mean().unwrap_or(0.0) / servers;
    let mut worst: Option<(f64, QueuePosition, &K)> = None;
    for (position, request) in lane {
        let service = estimate.mean_of(request.weight);
        let value_density = value_density(request.weight, service);
        let is_worse = |(value, other, _): (f64, QueuePosition, &K)| {
            value_density < value || value_density <= value && position.arrival > other.arrival
        };
        if worst.is_none_or(is_worse) {
            worst = Some((value_density, *position, &request.key));
        }
        if request.deadline <= now {
            return Some(request.key.clone());
        }
        let remaining = now.until(request.deadline).as_secs_f64();
        if start_delay > (remaining - service) * max_wait_share {
            return worst.map(|(_, _, key)| key.clone());
        }
        start_delay += service / servers;
    }
    if full {
        worst.map(|(_, _, key)| key.clone())
    } else {
        None
    }
}

/// What a second of a slot brings when it is spent on requests of this weight and mean service time.
fn value_density(weight: Weight, service: f64) -> f64 {
    const MIN_SERVICE_TIME: f64 = 1e-6;
    f64::from(weight.0) / service.max(MIN_SERVICE_TIME)
}

/// The point in time that lies `span` before `time`.
pub(crate) fn time_before(time: Time, duration: Duration) -> Time {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    Time(time.0.saturating_sub(micros))
}
