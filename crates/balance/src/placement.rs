//! Which waiting request gets which free slot, and which gives way when not all can be met.

use std::fmt::Debug;
use std::hash::Hash;

use config::Affinity;
use units::Time;
use units::UpstreamName;
use units::ZoneName;
use wire::Reason;

use crate::Ask;
use crate::Decision;
use crate::Pool;
use crate::held::Lease;
use crate::pool::MARGIN;
use crate::queue::Place;
use crate::queue::victim;
use crate::target::Target;

/// How much more loaded an upstream in the request's own availability zone may look and still go first.
const LOCAL_BONUS: f64 = 0.5;
/// For how many seconds a queue may stand before requests are refused that could still be met.
const BURST: f64 = 5.0;
/// What share of its time a request may wait when the queue has stood for long.
const LEAST_PATIENCE: f64 = 0.25;
/// How many waiting requests are looked at when the first ones can use none of the free slots.
const LOOK_AHEAD: usize = 8;

impl<K: Clone + Ord + Hash + Debug> Pool<K> {
    /// Brings the view of the upstreams up to date and gives out what that makes free.
    pub(crate) fn settle_view(&mut self, now: Time, out: &mut Vec<Decision<K>>) {
        self.targets.retain(|target| !target.is_over());
        self.distrust = self.most_look_unhealthy();
        for name in self.queue.pins() {
            if !self.keeps(&name) {
                self.queue.unpin(&name);
            }
        }
        if !self.targets.iter().any(Target::takes_part) {
            self.deny_all(out);
        }
        self.dispatch(now, out);
    }

    /// The line that an ask waits in: that of its upstream, as long as that one serves.
    pub(crate) fn line_of(&self, ask: &Ask<K>) -> Option<UpstreamName> {
        let name = ask.pinned.as_ref()?;
        let usable = self.keeps(name) && !ask.avoid.contains(name);
        usable.then(|| name.clone())
    }

    /// Gives free slots to waiting requests, in the order of the queue.
    pub(crate) fn dispatch(&mut self, now: Time, out: &mut Vec<Decision<K>>) {
        while let Some((key, upstream)) = self.next(now) {
            let Some(ask) = self.queue.remove(&key) else {
                return;
            };
            let lease = Lease {
                upstream: upstream.clone(),
                weight: Some(ask.weight),
                deadline: ask.deadline,
                expiry: ask.deadline + MARGIN,
            };
            self.lend(key.clone(), lease, now);
            out.push(Decision::Grant { key, upstream });
        }
        if self.queue.shared_len() == 0 {
            self.idle_at = now;
        }
    }

    /// Refuses requests of a line until the rest can be started in time.
    pub(crate) fn shed(&mut self, upstream: Option<&UpstreamName>, now: Time, out: &mut Vec<Decision<K>>) {
        let servers = match upstream {
            Some(name) => self.servers_of(name, now),
            None => self.servers(now),
        };
        loop {
            let Some(line) = self.queue.line(upstream) else {
                return;
            };
            let full = self.queue.len() > self.sharing.queue_limit as usize;
            // A flow's upstream may be busy for the life of another flow while the service as a whole is not overloaded.
            let patience = if upstream.is_some() { 1.0 } else { self.patience(now) };
            let Some(key) = victim(line, &self.estimate, servers, full, patience, now) else {
                return;
            };
            let Some(ask) = self.queue.remove(&key) else {
                return;
            };
            let reason = if ask.deadline <= now {
                Reason::Deadline
            } else {
                Reason::Overload
            };
            self.deny(key, reason, out);
        }
    }

    /// What share of its time a request may wait: all of it in a short burst, less when the queue has stood long.
    fn patience(&self, now: Time) -> f64 {
        let standing = now.since(self.idle_at).as_secs_f64();
        let excess = (standing - BURST) / BURST;
        1.0 - (1.0 - LEAST_PATIENCE) * excess.clamp(0.0, 1.0)
    }

    /// How many requests the service can have in progress, at least one.
    pub(crate) fn servers(&self, now: Time) -> f64 {
        let capacity = |target: &Target| target.capacity(self.sharing.slow_start, self.distrust, now);
        let sum: u32 = self.targets.iter().map(capacity).sum();
        f64::from(sum.max(1))
    }

    fn servers_of(&self, name: &UpstreamName, now: Time) -> f64 {
        let Ok(index) = self.find(name) else {
            return 1.0;
        };
        let capacity = self.targets[index].capacity(self.sharing.slow_start, self.distrust, now);
        f64::from(capacity.max(1))
    }

    /// Whether flows stay pinned to this upstream.
    fn keeps(&self, name: &UpstreamName) -> bool {
        self.find(name)
            .is_ok_and(|index| self.targets[index].is_eligible(self.distrust))
    }

    /// Whether fewer than half of the upstreams that take part look healthy.
    fn most_look_unhealthy(&self) -> bool {
        let all = self.targets.iter().filter(|target| target.takes_part()).count();
        let fit = self.targets.iter().filter(|target| target.is_eligible(false)).count();
        fit * 2 < all
    }

    fn deny_all(&mut self, out: &mut Vec<Decision<K>>) {
        while let Some(key) = self.queue.first() {
            self.queue.remove(&key);
            self.deny(key, Reason::NoUpstream, out);
        }
    }

    /// The next request to start, and where.
    fn next(&self, now: Time) -> Option<(K, UpstreamName)> {
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

    fn next_pinned(&self, now: Time) -> Option<(Place, (K, UpstreamName))> {
        let mut best: Option<(Place, (K, UpstreamName))> = None;
        for (name, place, ask) in self.queue.pinned_heads() {
            let free = self
                .find(name)
                .is_ok_and(|index| self.is_free(&self.targets[index], now));
            let earlier = best.as_ref().is_none_or(|(first, _)| place < *first);
            if free && earlier {
                best = Some((place, (ask.key.clone(), name.clone())));
            }
        }
        best
    }

    fn next_shared(&self, now: Time) -> Option<(Place, (K, UpstreamName))> {
        if self.queue.shared_len() == 0 {
            return None;
        }
        for (place, ask) in self.queue.line(None)?.iter().take(LOOK_AHEAD) {
            if let Some(name) = self.place(&ask.zone, &ask.avoid, now) {
                return Some((*place, (ask.key.clone(), name)));
            }
        }
        None
    }

    /// The least loaded free upstream for a request, if any.
    fn place(&self, zone: &ZoneName, avoid: &[UpstreamName], now: Time) -> Option<UpstreamName> {
        let slow_start = self.sharing.slow_start;
        let others = |target: &Target| target.is_eligible(self.distrust) && !avoid.contains(&target.name);
        // Where every upstream has failed a request already, one of them gets another chance.
        let all_avoided = !avoid.is_empty() && !self.targets.iter().any(others);
        // The later packets of a pinned flow may arrive in any zone, so that of the first one means nothing.
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
        target.is_free(self.sharing.slow_start, self.distrust, now)
    }
}
