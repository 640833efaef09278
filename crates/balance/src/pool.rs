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

use crate::Decision;
use crate::Report;
use crate::SlotRequest;
use crate::UpstreamStatus;
use crate::leases::Lease;
use crate::leases::Leases;
use crate::queue::Queue;
use crate::retry_budget::RetryBudget;
use crate::service_time::ServiceTimeEstimate;
use crate::target::Target;

/// How long after its deadline a slot is taken back from an owner that does not settle.
pub(crate) const EXPIRY_MARGIN: Duration = Duration::from_millis(500);
/// What a service time is taken for while nothing is known.
const DEFAULT_SERVICE_TIME: f64 = 0.02;

/// One service's central queue at its home, and the slots of its upstreams.
///
/// `K` names a request for a slot.
#[derive(Debug, Clone)]
pub struct Pool<K> {
    pub(crate) sharing: Sharing,
    /// Sorted by name.
    pub(crate) targets: Vec<Target>,
    pub(crate) queue: Queue<K>,
    pub(crate) leases: Leases<K>,
    pub(crate) estimate: ServiceTimeEstimate,
    retry_budget: RetryBudget,
    /// Most upstreams look unhealthy, so this view is more likely wrong than they are.
    pub(crate) panic_mode: bool,
    /// When no request last waited for any upstream.
    pub(crate) last_empty_at: Time,
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
            leases: Leases::new(),
            estimate: ServiceTimeEstimate::default(),
            retry_budget: RetryBudget::new(service.sharing.retry_budget_percent),
            panic_mode: false,
            last_empty_at: now,
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
        self.retry_budget.set_percent(service.sharing.retry_budget_percent);
        for target in &mut self.targets {
            match service.upstream(&target.name) {
                Some(upstream) => target.configure(upstream),
                None => target.remove(),
            }
        }
        for upstream in &service.upstreams {
            if let Err(index) = self.find(&upstream.name) {
                let mut target = Target::new(upstream, now);
                target.begin_slow_start(now);
                self.targets.insert(index, target);
            }
        }
        for upstream in leaving {
            self.announce_drain(upstream);
        }
        self.refresh(now, out);
    }

    /// Asks for a slot. The decision comes at once if a slot is free or the ask is refused. An ask whose key waits or
    /// holds a slot already is ignored.
    pub fn acquire(&mut self, request: SlotRequest<K>, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        if self.queue.contains(&request.key) || self.leases.contains(&request.key) {
            return;
        }
        if request.deadline <= now {
            self.deny(request.key, Reason::Deadline, out);
            return;
        }
        if !self.targets.iter().any(Target::is_in_service) {
            self.deny(request.key, Reason::NoUpstream, out);
            return;
        }
        if !request.avoid.is_empty() && !self.retry_budget.try_spend() {
            self.deny(request.key, Reason::Upstream, out);
            return;
        }
        let lane = self.lane_of(&request);
        self.queue.push(request, lane.clone(), now);
        self.dispatch(now, out);
        self.shed(lane.as_ref(), now, out);
    }

    /// Takes an ask back, be it waiting or granted and unused.
    pub fn withdraw(&mut self, key: &K, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        if self.queue.remove(key).is_some() {
            return;
        }
        if let Some(lease) = self.leases.remove(key) {
            self.release(&lease, now);
            self.dispatch(now, out);
        }
    }

    /// Learns of a slot that is in use already.
    pub fn hold(&mut self, key: K, upstream: UpstreamName, deadline: Time, now: Time) {
        self.now = now;
        if self.leases.contains(&key) {
            return;
        }
        self.queue.remove(&key);
        let lease = Lease {
            upstream,
            weight: None,
            deadline,
            expiry: deadline + EXPIRY_MARGIN,
        };
        self.add_lease(key, lease, now);
    }

    /// A call ended and its slot is free. A key that holds no slot is ignored.
    pub fn settle(&mut self, key: &K, outcome: Outcome, took: Duration, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        self.release(&lease, now);
        self.record_outcome(&lease, outcome, took, now);
        self.refresh(now, out);
    }

    /// Drops the asks of owners that died. The slots they hold are freed at the deadline.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        self.queue.retain(&keep);
        self.leases.expire_at_deadline(&keep);
        self.expire(now);
        self.refresh(now, out);
    }

    /// Learns what an upstream says of itself, or that it said nothing.
    pub fn report(&mut self, upstream: &UpstreamName, report: Option<Report>, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        let Ok(index) = self.find(upstream) else {
            return;
        };
        self.targets[index].record_report(report, self.sharing.slow_start, now, &mut self.rng);
        self.refresh(now, out);
    }

    /// An upstream takes no new work in its present life. Requests that wait for it may go elsewhere from the next
    /// tick on.
    pub fn announce_drain(&mut self, upstream: &UpstreamName) {
        if let Ok(index) = self.find(upstream) {
            self.targets[index].announce_drain();
        }
    }

    /// An upstream has begun a new life.
    pub fn reset_after_restart(&mut self, upstream: &UpstreamName, now: Time) {
        self.now = now;
        if let Ok(index) = self.find(upstream) {
            self.targets[index].reset_after_restart(now);
        }
    }

    /// Time has passed: refuses what can no longer be met and frees slots that were not settled.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        self.expire(now);
        for target in &mut self.targets {
            target.health.tick(now);
        }
        self.refresh(now, out);
        self.shed(None, now, out);
        for name in self.queue.pinned_upstreams() {
            self.shed(Some(&name), now, out);
        }
    }

    /// The upstream whose slot is lent under this key.
    pub fn leased_upstream(&self, key: &K) -> Option<&UpstreamName> {
        self.leases.get(key).map(|lease| &lease.upstream)
    }

    /// How many upstreams it knows.
    pub fn upstreams(&self) -> usize {
        self.targets.len()
    }

    /// Whether nothing waits and no slot is lent.
    pub fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.leases.is_empty()
    }

    /// All upstreams, for status pages.
    pub fn statuses(&self) -> Vec<UpstreamStatus> {
        let queued = self.queue.shared_len() as u32;
        let status = |target: &Target| UpstreamStatus {
            name: target.name.clone(),
            state: target.state(self.sharing.slow_start, self.now),
            busy: target.busy,
            slots: target.slots,
            pinned: self.queue.pinned_len(&target.name) as u32,
            queued,
            utilisation: target.utilisation(self.now),
            failure_rate: target.health.failure_rate,
        };
        self.targets.iter().map(status).collect()
    }

    /// Where the upstream of this name stands, or where it would.
    pub(crate) fn find(&self, name: &UpstreamName) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.name.cmp(name))
    }

    pub(crate) fn add_lease(&mut self, key: K, lease: Lease, now: Time) {
        if let Ok(index) = self.find(&lease.upstream) {
            self.targets[index].acquire_slot(now);
        }
        self.leases.insert(key, lease);
    }

    fn release(&mut self, lease: &Lease, now: Time) {
        if let Ok(index) = self.find(&lease.upstream) {
            self.targets[index].release_slot(now);
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some(lease) = self.leases.pop_expired(now) {
            self.release(&lease, now);
        }
    }

    /// Draws from the end of a call what it tells of the upstream and of the service.
    fn record_outcome(&mut self, lease: &Lease, outcome: Outcome, took: Duration, now: Time) {
        let mean = self.estimate.mean().unwrap_or(DEFAULT_SERVICE_TIME);
        if outcome == Outcome::Completed {
            self.estimate.record(lease.weight, took);
            self.retry_budget.record_success();
        }
        if outcome.verdict() == Verdict::NotRun {
            self.retry_budget.refund();
        }
        let Ok(index) = self.find(&lease.upstream) else {
            return;
        };
        let target = &mut self.targets[index];
        match outcome {
            Outcome::Shed => {
                let jitter = self.rng.random_range(0.3..0.9);
                target.back_off(now + Duration::from_secs_f64(mean * jitter));
            }
            Outcome::Draining => target.announce_drain(),
            Outcome::Failed | Outcome::Unreachable => {
                let rest = Duration::from_secs_f64(mean).saturating_sub(took);
                target.reserve_slot(now + rest);
            }
            Outcome::Completed | Outcome::TimedOut | Outcome::Unused => {}
        }
        // A deadline that was short from the start says nothing about the upstream.
        let had_short_deadline = outcome == Outcome::TimedOut && took.as_secs_f64() < 2.0 * mean;
        if !had_short_deadline {
            // Only a failure is compared with others, so the usual call costs nothing here.
            let median = if outcome == Outcome::Completed {
                0.0
            } else {
                self.median_failure_rate()
            };
            self.targets[index]
                .health
                .record_outcome(outcome, median, now, &mut self.rng);
        }
    }

    /// The share of failed calls of the median upstream.
    fn median_failure_rate(&self) -> f64 {
        let mut shares: Vec<f64> = self.targets.iter().map(|target| target.health.failure_rate).collect();
        let middle = shares.len() / 2;
        let (_, median, _) = shares.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    /// Refuses an ask, and spreads the time at which its caller comes back.
    pub(crate) fn deny(&mut self, key: K, reason: Reason, out: &mut Vec<Decision<K>>) {
        const MIN_RETRY_AFTER: f64 = 0.05;
        let mean = self.estimate.mean().unwrap_or(DEFAULT_SERVICE_TIME);
        let queue_time = self.queue.len() as f64 * mean / self.servers(self.now);
        let jitter = self.rng.random_range(1.0..3.0);
        let seconds = (queue_time + mean).max(MIN_RETRY_AFTER) * jitter;
        out.push(Decision::Deny {
            key,
            reason,
            retry_after: Millis::from(Duration::from_secs_f64(seconds)),
        });
    }
}
