//! Which queued request gets which free slot, and which is refused when the load is too high.

use std::fmt::Debug;
use std::hash::Hash;

use config::Affinity;
use units::Time;
use units::UpstreamName;
use units::ZoneName;
use wire::Reason;

use crate::Decision;
use crate::Pool;
use crate::SlotRequest;
use crate::leases::Lease;
use crate::pool::EXPIRY_MARGIN;
use crate::queue::QueuePosition;
use crate::queue::request_to_shed;
use crate::target::Target;

/// The load by which an upstream in the request's own availability zone may exceed others and still be preferred.
const LOCAL_BONUS: f64 = 0.5;
/// For how many seconds the queue may stay non-empty before requests are refused that could still meet their deadline.
const BURST_TOLERANCE: f64 = 5.0;
/// The share of the time to its deadline that a request may wait once the queue has been non-empty for long.
const MIN_WAIT_SHARE: f64 = 0.25;
/// How many requests at the head of the shared lane are considered, as the first ones may be unable to use the free slots.
const LOOK_AHEAD: usize = 8;

impl<K: Clone + Ord + Hash + Debug> Pool<K> {
    /// Re-evaluates the state of the upstreams and grants the slots that this makes available.
    pub(crate) fn refresh(&mut self, now: Time, out: &mut Vec<Decision<K>>) {
        self.targets.retain(|target| !target.can_be_dropped());
        self.panic_mode = self.most_look_unhealthy();
        for name in self.queue.pinned_upstreams() {
            if !self.keeps_pins(&name) {
                self.queue.unpin(&name);
            }
        }
        if !self.targets.iter().any(Target::is_in_service) {
            self.deny_all(out);
        }
        self.dispatch(now, out);
    }

    /// The lane for a request: that of the upstream it is pinned to, if that one is usable, or else the shared one.
    pub(crate) fn lane_of(&self, request: &SlotRequest<K>) -> Option<UpstreamName> {
        let name = request.pinned.as_ref()?;
        let usable = self.keeps_pins(name) && !request.avoid.contains(name);
        usable.then(|| name.clone())
    }

    /// Grants free slots to queued requests, in queue order.
    pub(crate) fn dispatch(&mut self, now: Time, out: &mut Vec<Decision<K>>) {
        while let Some((key, upstream)) = self.next_grant(now) {
            let Some(request) = self.queue.remove(&key) else {
                return;
            };
            let lease = Lease {
                upstream: upstream.clone(),
                weight: Some(request.weight),
                deadline: request.deadline,
                expiry: request.deadline + EXPIRY_MARGIN,
            };
            self.add_lease(key.clone(), lease, now);
            out.push(Decision::Grant { key, upstream });
        }
        if self.queue.shared_len() == 0 {
            self.last_empty_at = now;
        }
    }

    /// Refuses requests of a lane until the remaining ones can start in time.
    pub(crate) fn shed(&mut self, upstream: Option<&UpstreamName>, now: Time, out: &mut Vec<Decision<K>>) {
        let servers = match upstream {
            Some(name) => self.pinned_servers(name, now),
            None => self.servers(now),
        };
        loop {
            let Some(lane) = self.queue.lane(upstream) else {
                return;
            };
            let full = self.queue.len() > self.sharing.queue_limit as usize;
            // An upstream can be busy for the lifetime of another flow while the service as a whole is not overloaded.
            let max_wait_share = if upstream.is_some() {
                1.0
            } else {
                self.max_wait_share(now)
            };
            let Some(key) = request_to_shed(lane, &self.estimate, servers, full, max_wait_share, now) else {
                return;
            };
            let Some(request) = self.queue.remove(&key) else {
                return;
            };
            let reason = if request.deadline <= now {
                Reason::Deadline
            } else {
                Reason::Overload
            };
            self.deny(key, reason, out);
        }
    }

    /// The share of the time to its deadline that a request may wait: all of it in a short burst, and less the longer the
    /// queue has been non-empty.
    fn max_wait_share(&self, now: Time) -> f64 {
        let busy_for = now.since(self.last_empty_at).as_secs_f64();
        let excess = (busy_for - BURST_TOLERANCE) / BURST_TOLERANCE;
        1.0 - (1.0 - MIN_WAIT_SHARE) * excess.clamp(0.0, 1.0)
    }

    /// The number of requests that the service can have in progress, at least one.
    pub(crate) fn servers(&self, now: Time) -> f64 {
        let capacity = |target: &Target| target.capacity(self.sharing.slow_start, self.panic_mode, now);
        let sum: u32 = self.targets.iter().map(capacity).sum();
        f64::from(sum.max(1))
    }

    fn pinned_servers(&self, name: &UpstreamName, now: Time) -> f64 {
        let Ok(index) = self.find(name) else {
            return 1.0;
        };
        let capacity = self.targets[index].capacity(self.sharing.slow_start, self.panic_mode, now);
        f64::from(capacity.max(1))
    }

    /// Whether requests that are pinned to this upstream keep waiting for it.
    fn keeps_pins(&self, name: &UpstreamName) -> bool {
        self.find(name)
            .is_ok_and(|index| self.targets[index].is_eligible(self.panic_mode))
    }

    /// Whether fewer than half of the upstreams in service are eligible by their health.
    fn most_look_unhealthy(&self) -> bool {
        let all = self.targets.iter().filter(|target| target.is_in_service()).count();
        let fit = self.targets.iter().filter(|target| target.is_eligible(false)).count();
        fit * 2 < all
    }

    fn deny_all(&mut self, out: &mut Vec<Decision<K>>) {
        while let Some(key) = self.queue.any_key() {
            self.queue.remove(&key);
            self.deny(key, Reason::NoUpstream, out);
        }
    }

    /// The next request to start, and its upstream.
    fn next_grant(&self, now: Time) -> Option<(K, UpstreamName)> {
        let any_free = self.queue.len() > 0 && self.targets.iter().any(|target| self.is_free(target, now));
        if !any_free {
            return None;
        }
        let pinned = self.next_pinned(now);
        let shared = self.next_shared(now);
        match (pinned, shared) {
            (Some(pinned), Some(shared)) => Some(if shared.0 < pinned.0 { shared.1 } else { pinned.1 }),
            (Some(one), None) | (None, Some(one)) => Some(one.1),
            (None, None) => None,
        }
    }

    fn next_pinned(&self, now: Time) -> Option<(QueuePosition, (K, UpstreamName))> {
        let mut best: Option<(QueuePosition, (K, UpstreamName))> = None;
        for (name, position, request) in self.queue.pinned_heads() {
            let free = self
                .find(name)
                .is_ok_and(|index| self.is_free(&self.targets[index], now));
            let earlier = best.as_ref().is_none_or(|(first, _)| position < *first);
            if free && earlier {
                best = Some((position, (request.key.clone(), name.clone())));
            }
        }
        best
    }

    fn next_shared(&self, now: Time) -> Option<(QueuePosition, (K, UpstreamName))> {
        if self.queue.shared_len() == 0 {
            return None;
        }
        for (position, request) in self.queue.lane(None)?.iter().take(LOOK_AHEAD) {
            if let Some(name) = self.least_loaded(&request.zone, &request.avoid, now) {
                return Some((*position, (request.key.clone(), name)));
            }
        }
        None
    }

    /// Returns the least loaded upstream with a free slot for a request.
    fn least_loaded(&self, zone: &ZoneName, avoid: &[UpstreamName], now: Time) -> Option<UpstreamName> {
        let slow_start = self.sharing.slow_start;
        let others = |target: &Target| target.is_eligible(self.panic_mode) && !avoid.contains(&target.name);
        // If every eligible upstream has failed this request already, they are all allowed again.
        let all_avoided = !avoid.is_empty() && !self.targets.iter().any(others);
        // Later packets of a pinned flow may arrive in any zone, so the zone of the first packet is irrelevant.
        let prefers_local = self.sharing.prefer_local_zone && self.sharing.affinity == Affinity::Request;
        let mut best: Option<(f64, &Target)> = None;
        for target in &self.targets {
            if !self.is_free(target, now) {
                continue;
            }
            if !all_avoided && avoid.contains(&target.name) {
                continue;
            }
            let local = prefers_local && &target.zone == zone;
            let bonus = if local { LOCAL_BONUS } else { 0.0 };
            let waiting = self.queue.pinned_len(&target.name) as f64 / f64::from(target.slots.0.max(1));
            let load = target.load(slow_start, now) + waiting - bonus;
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, target));
            }
        }
        best.map(|(_, target)| target.name.clone())
    }

    fn is_free(&self, target: &Target, now: Time) -> bool {
        target.has_free_slot(self.sharing.slow_start, self.panic_mode, now)
    }
}
