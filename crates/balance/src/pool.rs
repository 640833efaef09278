//! One service's central queue and the slots of its upstreams.

use std::fmt::Debug;
use std::hash::Hash;
use std::time::Duration;

use config::Service;
use config::Sharing;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Millis;
use units::Time;
use units::UpstreamName;
use wire::Outcome;
use wire::Reason;
use wire::Verdict;

use crate::Ask;
use crate::Decision;
use crate::Report;
use crate::UpstreamStatus;
use crate::budget::Budget;
use crate::estimate::Estimate;
use crate::held::Held;
use crate::held::Lease;
use crate::queue::Queue;
use crate::target::Target;

/// How long after its deadline a slot is taken back from an owner that does not settle.
pub(crate) const MARGIN: Duration = Duration::from_millis(500);
/// What a service time is taken for while nothing is known.
const USUAL_SERVICE: f64 = 0.02;

/// One service's central queue at its home, and the slots of its upstreams.
///
/// `K` names a request for a slot.
#[derive(Debug, Clone)]
pub struct Pool<K> {
    pub(crate) sharing: Sharing,
    /// Sorted by name.
    pub(crate) targets: Vec<Target>,
    pub(crate) queue: Queue<K>,
    pub(crate) held: Held<K>,
    pub(crate) estimate: Estimate,
    budget: Budget,
    /// Most upstreams look unhealthy, so this view is more likely wrong than they are.
    pub(crate) distrust: bool,
    /// When no request last waited for any upstream.
    pub(crate) idle_at: Time,
    rng: SmallRng,
    /// The latest time that was told.
    now: Time,
}

impl<K: Clone + Ord + Hash + Debug> Pool<K> {
    /// A pool with all slots free. Upstreams are taken for warm until they report their age.
    pub fn new(service: &Service, seed: u64, now: Time) -> Self {
        let mut targets: Vec<Target> = service
            .upstreams
            .iter()
            .map(|upstream| Target::new(upstream, now))
            .collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            sharing: service.sharing.clone(),
            targets,
            queue: Queue::new(),
            held: Held::new(),
            estimate: Estimate::default(),
            budget: Budget::new(service.sharing.retry_budget_percent),
            distrust: false,
            idle_at: now,
            rng: SmallRng::seed_from_u64(seed),
            now,
        }
    }

    /// Takes over a new description of the service. Slots in use stay so; removed upstreams get no new work.
    ///
    /// `leaving` names the upstreams that are known to leave. The queue may go to any other at once.
    pub fn configure(&mut self, service: &Service, leaving: &[UpstreamName], now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        self.sharing = service.sharing.clone();
        self.budget.set_percent(service.sharing.retry_budget_percent);
        for target in &mut self.targets {
            match service.upstream(&target.name) {
                Some(upstream) => target.configure(upstream),
                None => target.remove(),
            }
        }
        for upstream in &service.upstreams {
            if let Err(index) = self.find(&upstream.name) {
                let mut target = Target::new(upstream, now);
                target.warm_from(now);
                self.targets.insert(index, target);
            }
        }
        for upstream in leaving {
            self.leave(upstream);
        }
        self.settle_view(now, out);
    }

    /// Asks for a slot. The decision comes at once if a slot is free or the ask is refused. An ask whose key waits or
    /// holds a slot already is ignored.
    pub fn ask(&mut self, ask: Ask<K>, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        if self.queue.contains(&ask.key) || self.held.contains(&ask.key) {
            return;
        }
        if ask.deadline <= now {
            self.deny(ask.key, Reason::Deadline, out);
            return;
        }
        if !self.targets.iter().any(Target::takes_part) {
            self.deny(ask.key, Reason::NoUpstream, out);
            return;
        }
        if !ask.avoid.is_empty() && !self.budget.spend() {
            self.deny(ask.key, Reason::Upstream, out);
            return;
        }
        let line = self.line_of(&ask);
        self.queue.push(ask, line.clone(), now);
        self.dispatch(now, out);
        self.shed(line.as_ref(), now, out);
    }

    /// Takes an ask back, be it waiting or granted and unused.
    pub fn withdraw(&mut self, key: &K, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        if self.queue.remove(key).is_some() {
            return;
        }
        if let Some(lease) = self.held.remove(key) {
            self.release(&lease, now);
            self.dispatch(now, out);
        }
    }

    /// Learns of a slot that is in use already.
    pub fn hold(&mut self, key: K, upstream: UpstreamName, deadline: Time, now: Time) {
        self.now = now;
        if self.held.contains(&key) {
            return;
        }
        self.queue.remove(&key);
        let lease = Lease {
            upstream,
            weight: None,
            deadline,
            expiry: deadline + MARGIN,
        };
        self.lend(key, lease, now);
    }

    /// A call ended and its slot is free. A key that holds no slot is ignored.
    pub fn settle(&mut self, key: &K, outcome: Outcome, took: Duration, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        let Some(lease) = self.held.remove(key) else {
            return;
        };
        self.release(&lease, now);
        self.learn(&lease, outcome, took, now);
        self.settle_view(now, out);
    }

    /// Drops the asks of owners that died. The slots they hold are freed at the deadline.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        self.queue.retain(&keep);
        self.held.hasten(&keep);
        self.expire(now);
        self.settle_view(now, out);
    }

    /// Learns what an upstream says of itself, or that it said nothing.
    pub fn report(&mut self, upstream: &UpstreamName, report: Option<Report>, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        let Ok(index) = self.find(upstream) else {
            return;
        };
        self.targets[index].report(report, self.sharing.slow_start, now, &mut self.rng);
        self.settle_view(now, out);
    }

    /// An upstream takes no new work in its present life. Requests that wait for it may go elsewhere from the next
    /// tick on.
    pub fn leave(&mut self, upstream: &UpstreamName) {
        if let Ok(index) = self.find(upstream) {
            self.targets[index].leave();
        }
    }

    /// An upstream has begun a new life.
    pub fn readmit(&mut self, upstream: &UpstreamName, now: Time) {
        self.now = now;
        if let Ok(index) = self.find(upstream) {
            self.targets[index].readmit(now);
        }
    }

    /// Time has passed: refuses what can no longer be met and frees slots that were not settled.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        self.expire(now);
        for target in &mut self.targets {
            target.health.tick(now);
        }
        self.settle_view(now, out);
        self.shed(None, now, out);
        for name in self.queue.pins() {
            self.shed(Some(&name), now, out);
        }
    }

    /// The upstream whose slot is lent under this key.
    pub fn lent(&self, key: &K) -> Option<&UpstreamName> {
        self.held.get(key).map(|lease| &lease.upstream)
    }

    /// How many upstreams it knows.
    pub fn upstreams(&self) -> usize {
        self.targets.len()
    }

    /// Whether nothing waits and no slot is lent.
    pub fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.held.is_empty()
    }

    /// All upstreams, for status pages.
    pub fn states(&self) -> Vec<UpstreamStatus> {
        let queued = self.queue.shared_len() as u32;
        let status = |target: &Target| UpstreamStatus {
            name: target.name.clone(),
            state: target.state(self.sharing.slow_start, self.now),
            busy: target.busy,
            slots: target.slots,
            pinned: self.queue.pinned_len(&target.name) as u32,
            queued,
            utilisation: target.usage(self.now),
            failures: target.health.failures,
        };
        self.targets.iter().map(status).collect()
    }

    /// Where the upstream of this name stands, or where it would.
    pub(crate) fn find(&self, name: &UpstreamName) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.name.cmp(name))
    }

    pub(crate) fn lend(&mut self, key: K, lease: Lease, now: Time) {
        if let Ok(index) = self.find(&lease.upstream) {
            self.targets[index].lend(now);
        }
        self.held.insert(key, lease);
    }

    fn release(&mut self, lease: &Lease, now: Time) {
        if let Ok(index) = self.find(&lease.upstream) {
            self.targets[index].release(now);
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some(lease) = self.held.expire(now) {
            self.release(&lease, now);
        }
    }

    /// Draws from the end of a call what it tells of the upstream and of the service.
    fn learn(&mut self, lease: &Lease, outcome: Outcome, took: Duration, now: Time) {
        let mean = self.estimate.mean().unwrap_or(USUAL_SERVICE);
        if outcome == Outcome::Completed {
            self.estimate.add(lease.weight, took);
            self.budget.earn();
        }
        if outcome.verdict() == Verdict::NotRun {
            self.budget.refund();
        }
        let Ok(index) = self.find(&lease.upstream) else {
            return;
        };
        let target = &mut self.targets[index];
        match outcome {
            Outcome::Shed => {
                let spread = self.rng.random_range(0.3..0.9);
                target.back_off(now + Duration::from_secs_f64(mean * spread));
            }
            Outcome::Draining => target.leave(),
            Outcome::Failed | Outcome::Unreachable => {
                let rest = Duration::from_secs_f64(mean).saturating_sub(took);
                target.cool(now + rest);
            }
            Outcome::Completed | Outcome::TimedOut | Outcome::Unused => {}
        }
        // A deadline that was short from the start says nothing about the upstream.
        let hurried = outcome == Outcome::TimedOut && took.as_secs_f64() < 2.0 * mean;
        if !hurried {
            // Only a failure is compared with others, so the usual call costs nothing here.
            let usual = if outcome == Outcome::Completed {
                0.0
            } else {
                self.usual_failures()
            };
            self.targets[index].health.settle(outcome, usual, now, &mut self.rng);
        }
    }

    /// The share of failed calls of the median upstream.
    fn usual_failures(&self) -> f64 {
        let mut shares: Vec<f64> = self.targets.iter().map(|target| target.health.failures).collect();
        let middle = shares.len() / 2;
        let (_, median, _) = shares.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    /// Refuses an ask, and spreads the time at which its caller comes back.
    pub(crate) fn deny(&mut self, key: K, reason: Reason, out: &mut Vec<Decision<K>>) {
        const LEAST: f64 = 0.05;
        let mean = self.estimate.mean().unwrap_or(USUAL_SERVICE);
        let drain = self.queue.len() as f64 * mean / self.servers(self.now);
        let spread = self.rng.random_range(1.0..3.0);
        let seconds = (drain + mean).max(LEAST) * spread;
        out.push(Decision::Deny {
            key,
            reason,
            retry_after: Millis::from(Duration::from_secs_f64(seconds)),
        });
    }
}
