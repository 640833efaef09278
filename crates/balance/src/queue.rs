//! The queue of requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Time;
use units::UpstreamName;
use units::Weight;

use crate::SlotRequest;
use crate::service_time::ServiceTimeEstimate;

/// The share of the time to its deadline by which a request is ordered after its arrival.
///
/// With a share of 1 the queue would be ordered by deadline, and requests with late deadlines would wait as soon as there
/// is any queue. With 0 it would be ordered by arrival.
const DEADLINE_ORDER_SHARE: f64 = 0.05;

/// The sort key of a queued request: its arrival, delayed by a small share of the time to its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    order_time: Time,
    arrival: u64,
}

/// Requests that wait for the same slots, in queue order.
pub(crate) type Lane<K> = BTreeMap<QueuePosition, SlotRequest<K>>;

/// All queued requests of a service: one lane for requests that any upstream can serve, and one for each upstream that
/// queued requests are pinned to.
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

    /// The number of queued requests in all lanes.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether this request is queued.
    pub(crate) fn contains(&self, key: &K) -> bool {
        self.positions.contains_key(key)
    }

    /// The number of requests in the shared lane.
    pub(crate) fn shared_len(&self) -> usize {
        self.shared.len()
    }

    /// The number of requests pinned to this upstream.
    pub(crate) fn pinned_len(&self, upstream: &UpstreamName) -> usize {
        self.pinned.get(upstream).map_or(0, BTreeMap::len)
    }

    /// Returns the lane of this upstream, or the shared one for `None`.
    pub(crate) fn lane(&self, upstream: Option<&UpstreamName>) -> Option<&Lane<K>> {
        match upstream {
            Some(name) => self.pinned.get(name),
            None => Some(&self.shared),
        }
    }

    /// Adds a request to the lane of an upstream, or to the shared one for `None`.
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

    /// Removes a request.
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

    /// Returns the first request of each pinned lane.
    pub(crate) fn pinned_heads(&self) -> impl Iterator<Item = (&UpstreamName, QueuePosition, &SlotRequest<K>)> {
        let head = |(name, lane)| Lane::first_key_value(lane).map(|(position, request)| (name, *position, request));
        self.pinned.iter().filter_map(head)
    }

    /// Returns the key of an arbitrary queued request.
    pub(crate) fn any_key(&self) -> Option<K> {
        self.positions.keys().next().cloned()
    }

    /// The upstreams that queued requests are pinned to.
    pub(crate) fn pinned_upstreams(&self) -> Vec<UpstreamName> {
        self.pinned.keys().cloned().collect()
    }

    /// Moves the requests pinned to this upstream to the shared lane. They keep their queue positions.
    pub(crate) fn unpin(&mut self, upstream: &UpstreamName) {
        let Some(lane) = self.pinned.remove(upstream) else {
            return;
        };
        for (position, request) in lane {
            self.positions.insert(request.key.clone(), (None, position));
            self.shared.insert(position, request);
        }
    }

    /// Removes the requests whose keys fail `keep`.
    pub(crate) fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        let rejected: Vec<K> = self.positions.keys().filter(|key| !keep(key)).cloned().collect();
        for key in rejected {
            self.remove(&key);
        }
    }
}

/// Selects the request to refuse when a lane cannot start all of its requests in time, or when the queue is full.
///
/// The lane is served by `servers` slots. Of the requests up to and including the first one that would start too late,
/// returns the one with the least value per second of slot time; of equal ones, the last to arrive. A request whose
/// deadline has passed is returned itself.
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

/// The value per second of slot time of requests with this weight and mean service time.
fn value_density(weight: Weight, service: f64) -> f64 {
    const MIN_SERVICE_TIME: f64 = 1e-6;
    f64::from(weight.0) / service.max(MIN_SERVICE_TIME)
}

/// Returns the timestamp that lies `duration` before `time`.
pub(crate) fn time_before(time: Time, duration: Duration) -> Time {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    Time(time.0.saturating_sub(micros))
}
