//! One upstream as its pool sees it: its slots, its load over time, and whether it may get new requests.

use std::time::Duration;

use config::Upstream;
use config::UpstreamState;
use rand::rngs::SmallRng;
use units::Slots;
use units::Time;
use units::UpstreamName;
use units::ZoneName;

use crate::Report;
use crate::State;
use crate::health::Health;
use crate::health::HealthState;

/// The smoothing time of the utilisation, in seconds: a value that lasts for this long gets half the weight. The decay
/// is hyperbolic, not exponential.
const UTILISATION_SMOOTHING_SECS: f64 = 5.0;
/// The slow-start factor at the beginning of a slow start. The load of an upstream is divided by this factor, which
/// grows linearly to 1.
const SLOW_START_MIN_FACTOR: f64 = 0.1;
/// During slow start, an upstream may use its number of slots times the slow-start factor times this value, at most all
/// of its slots. So it starts at 40 % of them, which leaves headroom for times when the other upstreams are busy.
const SLOW_START_HEADROOM: f64 = 4.0;
/// The weight of one [`Report`] in the smoothed number of slots in use by requests that this pool did not place.
const BUSY_ELSEWHERE_GAIN: f64 = 0.2;

/// An upstream and what its pool knows about it.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) name: UpstreamName,
    pub(crate) zone: ZoneName,
    pub(crate) slots: Slots,
    pub(crate) health: Health,
    /// The number of slots that this pool has leased to requests.
    pub(crate) leased_slots: u32,
    /// Whether the configuration document marks it as draining.
    draining: bool,
    /// Whether it is known to be draining from its own report, from the outcome of a call, or from the caller of the
    /// pool. Reset when it restarts.
    drain_announced: bool,
    /// Whether the configuration document no longer lists it.
    removed: bool,
    /// One entry for each call that failed fast, after its lease was released: one slot stays reserved until a call of
    /// mean duration would have ended.
    reserved_until: Vec<Time>,
    /// Until when it gets no new requests because it refused one due to overload.
    backoff_until: Time,
    /// When its slow start began, if it may still be in progress.
    slow_start_began_at: Option<Time>,
    /// The smoothed utilisation at `last_utilisation_at`.
    last_utilisation: f64,
    /// When `last_utilisation` was last updated.
    last_utilisation_at: Time,
    /// The smoothed estimate of its slots that are in use by requests that this pool did not place.
    busy_elsewhere: f64,
}

impl Target {
    pub(crate) fn new(upstream: &Upstream, now: Time) -> Self {
        Self {
            name: upstream.name.clone(),
            zone: upstream.zone.clone(),
            slots: upstream.slots,
            health: Health::new(),
            leased_slots: 0,
            draining: upstream.state == UpstreamState::Draining,
            drain_announced: false,
            removed: false,
            reserved_until: Vec::new(),
            backoff_until: now,
            slow_start_began_at: None,
            last_utilisation: 0.0,
            last_utilisation_at: now,
            busy_elsewhere: 0.0,
        }
    }

    /// Applies its current settings from the configuration document.
    pub(crate) fn configure(&mut self, upstream: &Upstream) {
        self.zone = upstream.zone.clone();
        self.slots = upstream.slots;
        self.draining = upstream.state == UpstreamState::Draining;
        self.removed = false;
    }

    /// Marks it as no longer listed in the configuration document.
    pub(crate) fn mark_removed(&mut self) {
        self.removed = true;
    }

    /// Whether it is removed and has no request in progress.
    pub(crate) fn can_be_dropped(&self) -> bool {
        self.removed && self.leased_slots == 0
    }

    /// Marks it as draining, so that it gets no new requests until it restarts.
    pub(crate) fn mark_draining(&mut self) {
        self.drain_announced = true;
    }

    /// After a restart, discards the health, backoff, drain mark and `busy_elsewhere` of the previous process, and
    /// begins a slow start. Leases, reservations and the smoothed utilisation remain.
    pub(crate) fn reset_after_restart(&mut self, now: Time) {
        self.drain_announced = false;
        self.health = Health::new();
        self.backoff_until = now;
        self.busy_elsewhere = 0.0;
        self.begin_slow_start(now);
    }

    /// Sets the time at which its slow start began, which may lie in the past.
    pub(crate) fn begin_slow_start(&mut self, started: Time) {
        self.slow_start_began_at = Some(started);
    }

    /// Whether it is neither draining nor removed, regardless of its health.
    pub(crate) fn is_in_service(&self) -> bool {
        !self.draining && !self.drain_announced && !self.removed
    }

    /// Whether it is in service and not ejected. In `panic_mode` its health is ignored.
    pub(crate) fn is_eligible(&self, panic_mode: bool) -> bool {
        let ejected = matches!(self.health.state, HealthState::Ejected(_));
        self.is_in_service() && (panic_mode || !ejected)
    }

    /// The number of concurrent requests that it may get.
    pub(crate) fn capacity(&self, slow_start: Duration, panic_mode: bool, now: Time) -> u32 {
        if !self.is_eligible(panic_mode) {
            return 0;
        }
        let slots = u32::from(self.slots.0);
        if !panic_mode && matches!(self.health.state, HealthState::Probing(_)) {
            return slots.min(1);
        }
        let factor = (self.slow_start_factor(slow_start, now) * SLOW_START_HEADROOM).min(1.0);
        (f64::from(slots) * factor).ceil() as u32
    }

    /// Whether it has a free slot for another request now.
    pub(crate) fn has_free_slot(&self, slow_start: Duration, panic_mode: bool, now: Time) -> bool {
        let reserved = self.reserved_until.iter().filter(|until| **until > now).count();
        let used = self.leased_slots + reserved as u32;
        now >= self.backoff_until && used < self.capacity(slow_start, panic_mode, now)
    }

    /// The slow-start factor: grows linearly from `SLOW_START_MIN_FACTOR` to 1 during slow start, and is 1 otherwise.
    fn slow_start_factor(&self, slow_start: Duration, now: Time) -> f64 {
        let Some(since) = self.slow_start_began_at else {
            return 1.0;
        };
        let age = now.since(since);
        if age >= slow_start {
            return 1.0;
        }
        let progress = age.as_secs_f64() / slow_start.as_secs_f64();
        SLOW_START_MIN_FACTOR + (1.0 - SLOW_START_MIN_FACTOR) * progress
    }

    /// The load score for comparison with other upstreams: the current utilisation, including by requests that
    /// this pool did not place, plus the smoothed utilisation by this pool, both scaled up during slow start, plus the
    /// failure rate.
    pub(crate) fn load(&self, slow_start: Duration, now: Time) -> f64 {
        let slots = f64::from(self.slots.0.max(1));
        let used = (f64::from(self.leased_slots) + self.busy_elsewhere) / slots;
        (used + self.utilisation(now)) / self.slow_start_factor(slow_start, now) + self.health.failure_rate
    }

    /// The smoothed share of its slots that this pool has leased.
    pub(crate) fn utilisation(&self, now: Time) -> f64 {
        let slots = f64::from(self.slots.0.max(1));
        let elapsed = now.since(self.last_utilisation_at).as_secs_f64();
        let gain = elapsed / (elapsed + UTILISATION_SMOOTHING_SECS);
        self.last_utilisation + (f64::from(self.leased_slots) / slots - self.last_utilisation) * gain
    }

    /// Records that a slot is leased.
    pub(crate) fn acquire_slot(&mut self, now: Time) {
        self.update_utilisation(now);
        self.leased_slots += 1;
    }

    /// Records that a slot is released.
    pub(crate) fn release_slot(&mut self, now: Time) {
        self.update_utilisation(now);
        self.leased_slots = self.leased_slots.saturating_sub(1);
    }

    /// Brings the smoothed utilisation up to date, and drops reservations that have expired.
    fn update_utilisation(&mut self, now: Time) {
        self.last_utilisation = self.utilisation(now);
        self.last_utilisation_at = now;
        self.reserved_until.retain(|until| *until > now);
    }

    /// Reserves a slot after a call that failed fast, so that failing fast does not attract more requests.
    pub(crate) fn reserve_slot(&mut self, until: Time) {
        self.reserved_until.push(until);
    }

    /// Stops new requests until the given time, after it refused one because of overload: its slots must be in use by
    /// requests that this pool did not place.
    pub(crate) fn back_off(&mut self, until: Time) {
        self.backoff_until = until;
    }

    /// Records the result of a poll, which is `None` if the poll failed.
    pub(crate) fn record_report(
        &mut self,
        report: Option<Report>,
        slow_start: Duration,
        now: Time,
        rng: &mut SmallRng,
    ) {
        self.health.record_report(report, now, rng);
        let Some(report) = report else {
            return;
        };
        self.drain_announced |= report.draining;
        let others = f64::from(report.busy.0) - f64::from(self.leased_slots);
        self.busy_elsewhere += (others.max(0.0) - self.busy_elsewhere) * BUSY_ELSEWHERE_GAIN;
        if report.age >= slow_start {
            // It has run for longer than a slow start: its slow start has ended, or it is new to this pool only, for
            // example because another instance now holds the pool of the service.
            self.slow_start_began_at = None;
        } else if self.slow_start_began_at.is_none() {
            self.begin_slow_start(crate::queue::time_before(now, report.age));
        }
    }

    /// The state shown on status pages. [`State::Warming`] is a healthy upstream during slow start.
    pub(crate) fn state(&self, slow_start: Duration, now: Time) -> State {
        if self.removed {
            return State::Removed;
        }
        if self.draining || self.drain_announced {
            return State::Draining;
        }
        match self.health.state {
            HealthState::Ejected(_) => State::Ejected,
            HealthState::Probing(_) => State::Probing,
            HealthState::Healthy if self.slow_start_factor(slow_start, now) < 1.0 => State::Warming,
            HealthState::Healthy => State::Active,
        }
    }
}
