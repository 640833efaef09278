//! One upstream: its slots, its load over time, and whether it may get new work.

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

/// How far back the smoothed utilisation looks, in seconds.
const UTILISATION_WINDOW: f64 = 5.0;
/// The share of the service's requests, relative to a warm one, that an upstream gets at the very start.
const SLOW_START_MIN_SHARE: f64 = 0.1;
/// How many times that share of its slots it may use when the others are busy.
const SLOW_START_HEADROOM: f64 = 4.0;
/// How much of a new report on foreign use counts.
const BUSY_ELSEWHERE_GAIN: f64 = 0.2;

/// One upstream as its pool sees it.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) name: UpstreamName,
    pub(crate) zone: ZoneName,
    pub(crate) slots: Slots,
    pub(crate) health: Health,
    /// How many slots this pool has lent.
    pub(crate) busy: u32,
    /// The document says that it drains.
    draining: bool,
    /// It said itself, or somebody said of it, that it leaves. This stands until its next life.
    drain_announced: bool,
    /// The document no longer names it.
    removed: bool,
    /// Slots of calls that failed fast, kept until a call of usual length would have ended.
    reserved_until: Vec<Time>,
    /// It shed work and gets none until then.
    backoff_until: Time,
    /// When it started, while that is not long ago.
    slow_start_since: Option<Time>,
    utilisation: f64,
    utilisation_at: Time,
    /// The smoothed number of its slots that others seem to use.
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

    /// The document names it, perhaps with new properties.
    pub(crate) fn configure(&mut self, upstream: &Upstream) {
        self.zone = upstream.zone.clone();
        self.slots = upstream.slots;
        self.draining = upstream.state == UpstreamState::Draining;
        self.removed = false;
    }

    /// The document no longer names it.
    pub(crate) fn remove(&mut self) {
        self.removed = true;
    }

    /// Whether nothing is left to remember of it.
    pub(crate) fn can_be_dropped(&self) -> bool {
        self.removed && self.busy == 0
    }

    /// It takes no new work in this life.
    pub(crate) fn announce_drain(&mut self) {
        self.drain_announced = true;
    }

    /// It has begun a new life, so nothing that was learned of the old one holds.
    pub(crate) fn reset_after_restart(&mut self, now: Time) {
        self.drain_announced = false;
        self.health = Health::new();
        self.backoff_until = now;
        self.busy_elsewhere = 0.0;
        self.begin_slow_start(now);
    }

    /// Starts the slow start at this time.
    pub(crate) fn begin_slow_start(&mut self, started: Time) {
        self.slow_start_since = Some(started);
    }

    /// Whether it takes part at all, be it healthy or not.
    pub(crate) fn is_in_service(&self) -> bool {
        !self.draining && !self.drain_announced && !self.removed
    }

    /// Whether it may get new work now or soon. With `panic_mode`, no matter how its calls ended.
    pub(crate) fn is_eligible(&self, panic_mode: bool) -> bool {
        let ejected = matches!(self.health.state, HealthState::Ejected(_));
        self.is_in_service() && (panic_mode || !ejected)
    }

    /// How many requests it may have at a time.
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

    /// Whether it may get a request now.
    pub(crate) fn is_free(&self, slow_start: Duration, panic_mode: bool, now: Time) -> bool {
        let reserved = self.reserved_until.iter().filter(|until| **until > now).count();
        let used = self.busy + reserved as u32;
        now >= self.backoff_until && used < self.capacity(slow_start, panic_mode, now)
    }

    /// The share of the usual number of requests that it gets, which grows while it is cold.
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

    /// How loaded it looks, in slots' shares: its use now and lately, and what speaks against it.
    pub(crate) fn load(&self, slow_start: Duration, now: Time) -> f64 {
        let slots = f64::from(self.slots.0.max(1));
        let used = (f64::from(self.busy) + self.busy_elsewhere) / slots;
        (used + self.utilisation(now)) / self.slow_start_share(slow_start, now) + self.health.failure_rate
    }

    /// The smoothed share of its slots that was in use.
    pub(crate) fn utilisation(&self, now: Time) -> f64 {
        let slots = f64::from(self.slots.0.max(1));
        let elapsed = now.since(self.utilisation_at).as_secs_f64();
        let gain = elapsed / (elapsed + UTILISATION_WINDOW);
        self.utilisation + (f64::from(self.busy) / slots - self.utilisation) * gain
    }

    /// A slot is lent.
    pub(crate) fn acquire_slot(&mut self, now: Time) {
        self.update_utilisation(now);
        self.busy += 1;
    }

    /// A slot is given back.
    pub(crate) fn release_slot(&mut self, now: Time) {
        self.update_utilisation(now);
        self.busy = self.busy.saturating_sub(1);
    }

    fn update_utilisation(&mut self, now: Time) {
        self.utilisation = self.utilisation(now);
        self.utilisation_at = now;
        self.reserved_until.retain(|until| *until > now);
    }

    /// Keeps a slot of a call that failed fast, so that failing fast does not attract more work.
    pub(crate) fn reserve_slot(&mut self, until: Time) {
        self.reserved_until.push(until);
    }

    /// It shed work, so its slots are in use by somebody else.
    pub(crate) fn back_off(&mut self, until: Time) {
        self.backoff_until = until;
    }

    /// It said something of itself, or nothing.
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
            // It is new to this pool only, as when its service has a new home.
            self.slow_start_since = None;
        } else if self.slow_start_since.is_none() {
            self.begin_slow_start(crate::queue::time_before(now, report.age));
        }
    }

    /// Whether it gets new work, for status pages.
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
