//! The state of one upstream: its slots, its load over time, and whether it may get new requests.

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

/// The time constant of the smoothed utilisation, in seconds.
const UTILISATION_WINDOW: f64 = 5.0;
/// The share of requests that an upstream gets at the beginning of its slow start, relative to its usual share.
const SLOW_START_MIN_SHARE: f64 = 0.1;
/// During slow start, an upstream may use up to this many times its share of its slots when the others are busy.
const SLOW_START_HEADROOM: f64 = 4.0;
/// The weight of one report in the smoothed number of slots that are in use by others.
const BUSY_ELSEWHERE_GAIN: f64 = 0.2;

/// The state of one upstream in its pool.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) name: UpstreamName,
    pub(crate) zone: ZoneName,
    pub(crate) slots: Slots,
    pub(crate) health: Health,
    /// The number of slots that this pool has leased.
    pub(crate) busy: u32,
    /// Whether the configuration document marks it as draining.
    draining: bool,
    /// Whether it was announced to be draining, by itself or by others. Reset when it restarts.
    drain_announced: bool,
    /// Whether the configuration document no longer lists it.
    removed: bool,
    /// One entry for each slot of a call that failed fast: the slot stays reserved until a call of mean duration would have
    /// ended.
    reserved_until: Vec<Time>,
    /// It refused a request because of overload and gets no new ones until this time.
    backoff_until: Time,
    /// When its slow start began, if it may still be in progress.
    slow_start_since: Option<Time>,
    utilisation: f64,
    utilisation_at: Time,
    /// The smoothed number of its slots that seem to be in use by others.
    busy_elsewhere: f64,
}

impl Target {
    pub(crate) fn new(upstream: &Upstream, now: Time) -> Self {
        Self {
            name: upstream.name.clone(),
            zone: upstream.zone.clone(),
            slots: upstream.slots,
            health: Health::new(),
            busy: 0,
            draining: upstream.state == UpstreamState::Draining,
            drain_announced: false,
            removed: false,
            reserved_until: Vec::new(),
            backoff_until: now,
            slow_start_since: None,
            utilisation: 0.0,
            utilisation_at: now,
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
    pub(crate) fn remove(&mut self) {
        self.removed = true;
    }

    /// Whether it is removed and has no request in progress.
    pub(crate) fn can_be_dropped(&self) -> bool {
        self.removed && self.busy == 0
    }

    /// Stops new requests until it restarts.
    pub(crate) fn announce_drain(&mut self) {
        self.drain_announced = true;
    }

    /// Discards what was learned about the previous process after a restart, and begins a slow start.
    pub(crate) fn reset_after_restart(&mut self, now: Time) {
        self.drain_announced = false;
        self.health = Health::new();
        self.backoff_until = now;
        self.busy_elsewhere = 0.0;
        self.begin_slow_start(now);
    }

    /// Begins the slow start at `started`.
    pub(crate) fn begin_slow_start(&mut self, started: Time) {
        self.slow_start_since = Some(started);
    }

    /// Whether it is meant to get new requests, regardless of its health.
    pub(crate) fn is_in_service(&self) -> bool {
        !self.draining && !self.drain_announced && !self.removed
    }

    /// Whether it may get new requests. In `panic_mode` its health is ignored.
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
        let share = (self.slow_start_share(slow_start, now) * SLOW_START_HEADROOM).min(1.0);
        (f64::from(slots) * share).ceil() as u32
    }

    /// Whether it has a slot for a request now.
    pub(crate) fn is_free(&self, slow_start: Duration, panic_mode: bool, now: Time) -> bool {
        let reserved = self.reserved_until.iter().filter(|until| **until > now).count();
        let used = self.busy + reserved as u32;
        now >= self.backoff_until && used < self.capacity(slow_start, panic_mode, now)
    }

    /// Its share of the usual number of requests, which grows to 1 during slow start.
    fn slow_start_share(&self, slow_start: Duration, now: Time) -> f64 {
        let Some(since) = self.slow_start_since else {
            return 1.0;
        };
        let age = now.since(since);
        if age >= slow_start {
            return 1.0;
        }
        let warm = age.as_secs_f64() / slow_start.as_secs_f64();
        SLOW_START_MIN_SHARE + (1.0 - SLOW_START_MIN_SHARE) * warm
    }

    /// The load for comparison with other upstreams: current and recent utilisation, scaled up during slow start, plus the
    /// failure rate.
    pub(crate) fn load(&self, slow_start: Duration, now: Time) -> f64 {
        let slots = f64::from(self.slots.0.max(1));
        let used = (f64::from(self.busy) + self.busy_elsewhere) / slots;
        (used + self.utilisation(now)) / self.slow_start_share(slow_start, now) + self.health.failure_rate
    }

    /// The smoothed share of its slots that this pool has leased.
    pub(crate) fn utilisation(&self, now: Time) -> f64 {
        let slots = f64::from(self.slots.0.max(1));
        let elapsed = now.since(self.utilisation_at).as_secs_f64();
        let gain = elapsed / (elapsed + UTILISATION_WINDOW);
        self.utilisation + (f64::from(self.busy) / slots - self.utilisation) * gain
    }

    /// Records that a slot is leased.
    pub(crate) fn acquire_slot(&mut self, now: Time) {
        self.update_utilisation(now);
        self.busy += 1;
    }

    /// Records that a slot is released.
    pub(crate) fn release_slot(&mut self, now: Time) {
        self.update_utilisation(now);
        self.busy = self.busy.saturating_sub(1);
    }

    fn update_utilisation(&mut self, now: Time) {
        self.utilisation = self.utilisation(now);
        self.utilisation_at = now;
        self.reserved_until.retain(|until| *until > now);
    }

    /// Keeps the slot of a call that failed fast reserved, so that failing fast does not attract more requests.
    pub(crate) fn reserve_slot(&mut self, until: Time) {
        self.reserved_until.push(until);
    }

    /// Stops new requests until the given time. It refused one because of overload, so others are using its slots.
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
        let others = f64::from(report.busy.0) - f64::from(self.busy);
        self.busy_elsewhere += (others.max(0.0) - self.busy_elsewhere) * BUSY_ELSEWHERE_GAIN;
        if report.age >= slow_start {
            // It is new to this pool only, for example because the service moved to a new home.
            self.slow_start_since = None;
        } else if self.slow_start_since.is_none() {
            self.begin_slow_start(crate::queue::time_before(now, report.age));
        }
    }

    /// The state shown on status pages.
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
            HealthState::Healthy if self.slow_start_share(slow_start, now) < 1.0 => State::Warming,
            HealthState::Healthy => State::Active,
        }
    }
}
