//! The pool: the central queue of a service and the slots of its upstreams.

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

/// How long after its deadline a lease is revoked that its owner has not settled.
pub(crate) const EXPIRY_MARGIN: Duration = Duration::from_millis(500);
/// The mean service time to assume while there is no estimate, in seconds.
const DEFAULT_SERVICE_TIME: f64 = 0.02;

/// The central queue of a service, which its home instance runs, and the slots of the service's upstreams.
///
/// `K` identifies a request for a slot.
#[derive(Debug, Clone)]
pub struct Pool<K> {
    pub(crate) sharing: Sharing,
    /// Sorted by name.
    pub(crate) targets: Vec<Target>,
    pub(crate) queue: Queue<K>,
    pub(crate) leases: Leases<K>,
    pub(crate) estimate: ServiceTimeEstimate,
    retry_budget: RetryBudget,
    /// Set while most upstreams look unhealthy. Health is ignored then, since the health data is more likely wrong than most
    /// upstreams are to fail at once.
    pub(crate) panic_mode: bool,
    /// When the shared lane was last empty.
    pub(crate) last_empty_at: Time,
    rng: SmallRng,
    /// The latest time passed to a method.
    now: Time,
}

impl<K: Clone + Ord + Hash + Debug> Pool<K> {
    /// Creates a pool with all slots free. Upstreams get no slow start unless they report that they started recently.
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

    /// Applies a new configuration of the service. Leases are kept; removed upstreams get no new requests.
    ///
    /// `leaving` lists the upstreams that are known to be draining, so that queued requests go to the others at once.
    pub fn configure(&mut self, service: &Service, leaving: &[UpstreamName], now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        self.sharing = service.sharing.clone();
        self.retry_budget.set_percent(service.sharing.retry_budget_percent);
        for target in &mut self.targets {
            match service.upstream(&target.name) {
                Some(upstream) => target.configure(upstream),
                None => target.mark_removed(),
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

    /// Requests a slot. The decision is immediate if a slot is free or the request is refused. A request whose key is
    /// already queued or holds a lease is ignored.
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

    /// Cancels a request that is queued, or granted and not used.
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

    /// Adds a lease that was granted elsewhere, on a slot that is already in use.
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

    /// Releases the slot of a call that ended and records its outcome. A key without a lease is ignored.
    pub fn settle(&mut self, key: &K, outcome: Outcome, took: Duration, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        let Some(lease) = self.leases.remove(key) else {
            return;
        };
        self.release(&lease, now);
        self.record_outcome(&lease, outcome, took, now);
        self.refresh(now, out);
    }

    /// Drops the requests whose keys fail `keep`, because their owners died. Leases of these owners expire at their deadline.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        self.queue.retain(&keep);
        self.leases.expire_at_deadline(&keep);
        self.expire(now);
        self.refresh(now, out);
    }

    /// Records the report of an upstream, or `None` if polling it failed.
    pub fn report(&mut self, upstream: &UpstreamName, report: Option<Report>, now: Time, out: &mut Vec<Decision<K>>) {
        self.now = now;
        let Ok(index) = self.find(upstream) else {
            return;
        };
        self.targets[index].record_report(report, self.sharing.slow_start, now, &mut self.rng);
        self.refresh(now, out);
    }

    /// Stops new requests to an upstream until it restarts. Requests that are queued for it may go to others from the next
    /// tick on.
    pub fn announce_drain(&mut self, upstream: &UpstreamName) {
        if let Ok(index) = self.find(upstream) {
            self.targets[index].mark_draining();
        }
    }

    /// Resets the state of an upstream that has restarted, and begins its slow start.
    pub fn reset_after_restart(&mut self, upstream: &UpstreamName, now: Time) {
        self.now = now;
        if let Ok(index) = self.find(upstream) {
            self.targets[index].reset_after_restart(now);
        }
    }

    /// Advances the time: refuses requests that can no longer meet their deadline and revokes expired leases.
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

    /// The upstream of the lease with this key.
    pub fn leased_upstream(&self, key: &K) -> Option<&UpstreamName> {
        self.leases.get(key).map(|lease| &lease.upstream)
    }

    /// The number of upstreams, including removed ones that still have requests in progress.
    pub fn upstreams(&self) -> usize {
        self.targets.len()
    }

    /// Whether no request is queued and there are no leases.
    pub fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.leases.is_empty()
    }

    /// The status of all upstreams, for status pages.
    pub fn statuses(&self) -> Vec<UpstreamStatus> {
        let queued = self.queue.shared_len() as u32;
        let status = |target: &Target| UpstreamStatus {
            name: target.name.clone(),
            state: target.state(self.sharing.slow_start, self.now),
            busy: target.leased_slots,
            slots: target.slots,
            pinned: self.queue.pinned_len(&target.name) as u32,
            queued,
            utilisation: target.utilisation(self.now),
            failure_rate: target.health.failure_rate,
        };
        self.targets.iter().map(status).collect()
    }

    /// Returns the index of the upstream with this name, or the index at which to insert it.
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

    /// Updates the service time, the retry budget and the state of the upstream after a call.
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
            Outcome::Draining => target.mark_draining(),
            Outcome::Failed | Outcome::Unreachable => {
                let rest = Duration::from_secs_f64(mean).saturating_sub(took);
                target.reserve_slot(now + rest);
            }
            Outcome::Completed | Outcome::TimedOut | Outcome::Unused => {}
        }
        // A timeout with a deadline that was short from the start is no evidence about the upstream.
        let had_short_deadline = outcome == Outcome::TimedOut && took.as_secs_f64() < 2.0 * mean;
        if !had_short_deadline {
            // Only failures are compared with the median, so it is not computed for completed calls.
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

    /// The median of the upstreams' failure rates.
    fn median_failure_rate(&self) -> f64 {
        let mut shares: Vec<f64> = self.targets.iter().map(|target| target.health.failure_rate).collect();
        let middle = shares.len() / 2;
        let (_, median, _) = shares.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    /// Refuses a request, with jitter in the retry delay so that callers do not return all at once.
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
