//! The state of admission control for one service.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Time;

use super::Class;
use super::Opening;
use super::held::HeldOpening;
use super::held::HeldOpenings;
use crate::decaying_count::DecayingCount;
use crate::load::ClassLoad;

/// Share of the openings admitted while short of capacity that is reserved for all classes but the most urgent, so that
/// they are not starved.
const RESERVED_SHARE: f64 = 0.1;
/// Time constant of the counts that the reserved share is measured by. An instance of a large fleet admits only some
/// openings per second.
const RESERVE_SPAN: Duration = Duration::from_secs(10);
/// Time constant of the rate of openings. It is short, as the first second of a burst sends upstreams the most.
const OPENING_SPAN: Duration = Duration::from_millis(250);
/// Time constant of the rate of admissions, and of the counts by which a shortage is told.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// The number of openings that may be held whatever the rate of admissions. Packets arrive in bunches, and an instance
/// that has not admitted anything yet has no rate.
const MIN_HELD: usize = 4;
/// Openings without a free slot, beyond as many with one, that don't yet show that a shortage lasts. Packets arrive in
/// bunches.
const TOLERATED_FULL: f64 = 2.0;
/// The maximum number of held openings of a service beyond which no less urgent one is held.
const MAX_HELD: usize = 256;
/// How long a class counts as short of capacity after one of its openings was refused or held here, or after others have
/// reported that it is.
const SHORTAGE_SPAN: Duration = Duration::from_secs(1);
/// Time since the last rejection in a class after which its rejections are no longer reported.
const RECENT_REJECTION: Duration = Duration::from_millis(500);
/// Maximum number of halvings of a budget.
const MAX_HALVINGS: u8 = 16;
/// Count below which the openings of a service no longer matter.
const NEGLIGIBLE: f64 = 0.01;

/// The openings of one class.
#[derive(Debug, Default)]
struct ClassCounts {
    openings: DecayingCount,
    /// Those that were refused or held.
    rejected: DecayingCount,
    /// When one was last refused or held.
    rejected_at: Time,
}

/// The openings of one service, and what was decided on them.
#[derive(Debug, Default)]
pub(super) struct Service {
    pub(super) held: HeldOpenings,
    /// All openings.
    openings: DecayingCount,
    /// All admitted openings.
    admitted: DecayingCount,
    /// Openings that found a free slot.
    found_free: DecayingCount,
    /// Openings that found none.
    found_full: DecayingCount,
    /// Openings admitted while short of capacity, by rank.
    admitted_while_short: Vec<DecayingCount>,
    /// All openings by rank.
    classes: BTreeMap<u8, ClassCounts>,
    /// When a class was last short of capacity, by rank.
    short_at: BTreeMap<u8, Time>,
}

impl Service {
    /// The longest expected response time at which an opening is admitted while short of capacity.
    ///
    /// Its limit is halved for each more urgent class that is short of capacity. If an
    /// opening that goes before it is to return, half of what that one needs is left to it.
    pub(super) fn budget(&self, opening: &Opening, rank: u8, now: Time) -> Duration {
        let more_urgent = self.short_at.range(..rank);
        let short = more_urgent.filter(|(_, at)| now.since(**at) < SHORTAGE_SPAN);
        let budget = halved(opening.limit(), short.count() as u8);
        let since = now.before(opening.age());
        match self.held.ahead_of(&opening.flow, rank, since, now) {
            Some(ahead) => budget.min(ahead.budget / 2),
            None => budget,
        }
    }

    /// Whether an opening is part of the reserved share, which all classes but the most urgent divide equally.
    pub(super) fn is_reserved_for(&self, class: Class, now: Time) -> bool {
        if class.rank == 0 || class.count < 2 {
            return false;
        }
        let count = |admitted: &DecayingCount| admitted.value(RESERVE_SPAN, now);
        let total: f64 = self.admitted_while_short.iter().map(count).sum();
        let own = self
            .admitted_while_short
            .get(usize::from(class.rank))
            .map_or(0.0, count);
        own < total * RESERVED_SHARE / f64::from(class.count - 1)
    }

    /// Whether an opening may be held: it can still be served after its next retransmission, which is likely to find a
    /// free slot, and no more are waiting than are likely to be admitted until then.
    ///
    /// While the shortage lasts, a retransmission would only take the place of a new opening that has more time left.
    pub(super) fn may_hold(&self, opening: &Opening, rank: u8, service_time: Duration, now: Time) -> bool {
        let Some(next_age) = opening.next_age() else {
            return false;
        };
        let delay = next_age.saturating_sub(opening.age());
        if next_age.saturating_add(service_time) > opening.limit() || self.is_shortage_lasting(now) {
            return false;
        }
        let likely = self.admitted.value(RATE_SPAN, now) / RATE_SPAN.as_secs_f64() * delay.as_secs_f64();
        let likely = likely / f64::from(1_u32 << rank.min(MAX_HALVINGS));
        let allowed = (likely as usize).clamp(MIN_HELD, MAX_HELD);
        self.held.count(&opening.flow, rank, now) < allowed
    }

    /// Whether most openings of about the last second found no free slot.
    fn is_shortage_lasting(&self, now: Time) -> bool {
        self.found_full.value(RATE_SPAN, now) > self.found_free.value(RATE_SPAN, now) + TOLERATED_FULL
    }

    /// Records whether an opening found a free slot.
    pub(super) fn record_room(&mut self, has_free_slot: bool, now: Time) {
        let found = if has_free_slot {
            &mut self.found_free
        } else {
            &mut self.found_full
        };
        found.add(1, RATE_SPAN, now);
    }

    /// Records that an opening was refused or held.
    pub(super) fn record_rejection(&mut self, rank: u8, now: Time) {
        let class = self.classes.entry(rank).or_default();
        class.rejected.add(1, RATE_SPAN, now);
        class.rejected_at = now;
        self.record_shortage(rank, now);
    }

    /// Records that a class is short of capacity.
    pub(super) fn record_shortage(&mut self, rank: u8, now: Time) {
        self.short_at.insert(rank, now);
    }

    /// Records an opening by its class.
    pub(super) fn record_class_opening(&mut self, rank: u8, now: Time) {
        self.classes.entry(rank).or_default().openings.add(1, RATE_SPAN, now);
    }

    /// The openings of about the last second, by class. Rejections don't count once there have been none for a while,
    /// so that less urgent classes don't yield long after the end of a shortage.
    pub(super) fn class_loads(&self, now: Time) -> Vec<ClassLoad> {
        let count = |count: &DecayingCount| count.value(RATE_SPAN, now).round() as u32;
        let loads = self.classes.iter().map(|(rank, class)| {
            let is_recent = now.since(class.rejected_at) < RECENT_REJECTION;
            ClassLoad {
                rank: *rank,
                openings: count(&class.openings),
                rejected: if is_recent { count(&class.rejected) } else { 0 },
            }
        });
        loads.filter(|load| load.openings > 0).collect()
    }

    pub(super) fn record_opening(&mut self, now: Time) {
        self.openings.add(1, OPENING_SPAN, now);
    }

    /// Openings per second, one more than recorded included: the one that is being decided on.
    pub(super) fn opening_rate(&self, now: Time) -> f64 {
        (self.openings.value(OPENING_SPAN, now) + 1.0) / OPENING_SPAN.as_secs_f64()
    }

    pub(super) fn record_admission(&mut self, rank: u8, has_free_slot: bool, now: Time) {
        self.admitted.add(1, RATE_SPAN, now);
        if has_free_slot {
            return;
        }
        let rank = usize::from(rank);
        if self.admitted_while_short.len() <= rank {
            self.admitted_while_short.resize_with(rank + 1, DecayingCount::default);
        }
        self.admitted_while_short[rank].add(1, RESERVE_SPAN, now);
    }

    pub(super) fn hold(&mut self, opening: &Opening, rank: u8, now: Time) {
        let Some(next_age) = opening.next_age() else {
            return;
        };
        let since = now.before(opening.age());
        let held = HeldOpening {
            flow: opening.flow,
            rank,
            since,
            due: since + next_age,
            budget: opening.limit().saturating_sub(next_age),
        };
        self.held.add(held, now);
    }

    /// Whether anything that is remembered still matters.
    pub(super) fn is_active(&self, now: Time) -> bool {
        let is_recent = |count: &DecayingCount, span| count.value(span, now) > NEGLIGIBLE;
        self.held.is_any_expected(now)
            || self.short_at.values().any(|at| now.since(*at) < SHORTAGE_SPAN)
            || is_recent(&self.found_free, RATE_SPAN)
            || is_recent(&self.found_full, RATE_SPAN)
            || self
                .admitted_while_short
                .iter()
                .any(|count| is_recent(count, RESERVE_SPAN))
    }
}

/// A budget halved once for each more urgent class.
fn halved(budget: Duration, rank: u8) -> Duration {
    budget / (1_u32 << rank.min(MAX_HALVINGS))
}
