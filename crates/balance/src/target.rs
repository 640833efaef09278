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
use crate::health::Verdict;

/// How far back the smoothed utilisation looks, in seconds.
const LOOK_BACK: f64 = 5.0;
/// The share of the service's requests, relative to a warm one, that an upstream gets at the very start.
const COLD_SHARE: f64 = 0.1;
/// How many times that share of its slots it may use when the others are busy.
const COLD_HEADROOM: f64 = 4.0;
/// How much of a new report on foreign use counts.
const REPORT_GAIN: f64 = 0.2;

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
    leaving: bool,
    /// The document no longer names it.
    removed: bool,
    /// Slots of calls that failed fast, kept until a call of usual length would have ended.
    cooling: Vec<Time>,
    /// It shed work and gets none until then.
    backoff: Time,
    /// When it started, while that is not long ago.
    cold_since: Option<Time>,
    usage: f64,
    usage_at: Time,
    /// The smoothed number of its slots that others seem to use.
    foreign: f64,
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
            leaving: false,
            removed: false,
            cooling: Vec::new(),
            backoff: now,
            cold_since: None,
            usage: 0.0,
            usage_at: now,
            foreign: 0.0,
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
    pub(crate) fn is_over(&self) -> bool {
        self.removed && self.busy == 0
    }

    /// It takes no new work in this life.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
    }

    /// It has begun a new life, so nothing that was learned of the old one holds.
    pub(crate) fn readmit(&mut self, now: Time) {
        self.leaving = false;
        self.health = Health::new();
        self.backoff = now;
        self.foreign = 0.0;
        self.warm_from(now);
    }

    /// Starts the slow start at this time.
    pub(crate) fn warm_from(&mut self, started: Time) {
        self.cold_since = Some(started);
    }

    /// Whether it takes part at all, be it healthy or not.
    pub(crate) fn takes_part(&self) -> bool {
        !self.draining && !self.leaving && !self.removed
    }

    /// Whether it may get new work now or soon. With `distrust`, no matter how its calls ended.
    pub(crate) fn is_eligible(&self, distrust: bool) -> bool {
        let ejected = matches!(self.health.verdict, Verdict::Ejected(_));
        self.takes_part() && (distrust || !ejected)
    }

    /// How many requests it may have at a time.
    pub(crate) fn capacity(&self, slow_start: Duration, distrust: bool, now: Time) -> u32 {
        if !self.is_eligible(distrust) {
            return 0;
        }
        let slots = u32::from(self.slots.0);
        if !distrust && matches!(self.health.verdict, Verdict::Probing(_)) {
            return slots.min(1);
        }
        let share = (self.share(slow_start, now) * COLD_HEADROOM).min(1.0);
        (f64::from(slots) * share).ceil() as u32
    }

    /// Whether it may get a request now.
    pub(crate) fn is_free(&self, slow_start: Duration, distrust: bool, now: Time) -> bool {
        let cooling = self.cooling.iter().filter(|until| **until > now).count();
        let used = self.busy + cooling as u32;
        now >= self.backoff && used < self.capacity(slow_start, distrust, now)
    }

    /// The share of the usual number of requests that it gets, which grows while it is cold.
    fn share(&self, slow_start: Duration, now: Time) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let age = now.since(since);
        if age >= slow_start {
            return 1.0;
        }
        let warm = age.as_secs_f64() / slow_start.as_secs_f64();
        COLD_SHARE + (1.0 - COLD_SHARE) * warm
    }

    /// How loaded it looks, in slots' shares: its use now and lately, and what speaks against it.
    pub(crate) fn load(&self, slow_start: Duration, now: Time) -> f64 {
        let slots = f64::from(self.slots.0.max(1));
        let used = (f64::from(self.busy) + self.foreign) / slots;
        (used + self.usage(now)) / self.share(slow_start, now) + self.health.failures
    }

    /// The smoothed share of its slots that was in use.
    pub(crate) fn usage(&self, now: Time) -> f64 {
        let slots = f64::from(self.slots.0.max(1));
        let span = now.since(self.usage_at).as_secs_f64();
        let gain = span / (span + LOOK_BACK);
        self.usage + (f64::from(self.busy) / slots - self.usage) * gain
    }

    /// A slot is lent.
    pub(crate) fn lend(&mut self, now: Time) {
        self.note(now);
        self.busy += 1;
    }

    /// A slot is given back.
    pub(crate) fn release(&mut self, now: Time) {
        self.note(now);
        self.busy = self.busy.saturating_sub(1);
    }

    fn note(&mut self, now: Time) {
        self.usage = self.usage(now);
        self.usage_at = now;
        self.cooling.retain(|until| *until > now);
    }

    /// Keeps a slot of a call that failed fast, so that failing fast does not attract more work.
    pub(crate) fn cool(&mut self, until: Time) {
        self.cooling.push(until);
    }

    /// It shed work, so its slots are in use by somebody else.
    pub(crate) fn back_off(&mut self, until: Time) {
        self.backoff = until;
    }

    /// It said something of itself, or nothing.
    pub(crate) fn report(&mut self, report: Option<Report>, slow_start: Duration, now: Time, rng: &mut SmallRng) {
        self.health.report(report, now, rng);
        let Some(report) = report else {
            return;
        };
        self.leaving |= report.draining;
        let others = f64::from(report.busy.0) - f64::from(self.busy);
        self.foreign += (others.max(0.0) - self.foreign) * REPORT_GAIN;
        if report.age >= slow_start {
            // It is new to this pool only, as when its service has a new home.
            self.cold_since = None;
        } else if self.cold_since.is_none() {
            self.warm_from(crate::queue::before(now, report.age));
        }
    }

    /// Whether it gets new work, for status pages.
    pub(crate) fn state(&self, slow_start: Duration, now: Time) -> State {
        if self.removed {
            return State::Removed;
        }
        if self.draining || self.leaving {
            return State::Draining;
        }
        match self.health.verdict {
            Verdict::Ejected(_) => State::Ejected,
            Verdict::Probing(_) => State::Probing,
            Verdict::Fit if self.share(slow_start, now) < 1.0 => State::Warming,
            Verdict::Fit => State::Active,
        }
    }
}
