//! Openings that are held: their packets were dropped, and their clients will retransmit them.

use std::time::Duration;

use units::Time;

use crate::flows::FlowKey;

/// How late a retransmission may arrive before its client is considered gone.
const RETURN_GRACE: Duration = Duration::from_millis(100);

/// How much longer an opening must have waited to go before another one. Smaller differences are due to network delays,
/// and capacity that becomes available much before a retransmission would stay unused until then.
const MIN_PRECEDENCE: Duration = Duration::from_millis(100);

/// A held opening.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldOpening {
    pub(super) flow: FlowKey,
    pub(super) rank: u8,
    /// When the packet was first transmitted.
    pub(super) since: Time,
    /// When the next retransmission is due.
    pub(super) due: Time,
    /// The longest response time at which the next retransmission can still be served.
    pub(super) budget: Duration,
}

impl HeldOpening {
    fn is_expected(&self, now: Time) -> bool {
        now <= self.due + RETURN_GRACE
    }
}

/// The held openings of a service. There are few, as no more are held than can be served when they return.
#[derive(Debug, Default)]
pub(super) struct HeldOpenings {
    openings: Vec<HeldOpening>,
}

impl HeldOpenings {
    pub(super) fn len(&self) -> usize {
        self.openings.len()
    }

    /// Adds an opening, and removes those whose retransmission has not arrived in time.
    pub(super) fn add(&mut self, opening: HeldOpening, now: Time) {
        self.openings.retain(|held| held.is_expected(now));
        self.openings.push(opening);
    }

    /// Removes an opening. Returns whether it was held.
    pub(super) fn remove(&mut self, flow: &FlowKey) -> bool {
        let index = self.openings.iter().position(|held| held.flow == *flow);
        index.map(|index| self.openings.swap_remove(index)).is_some()
    }

    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.openings.iter().any(|held| held.flow == *flow)
    }

    /// Whether any opening is still expected.
    pub(super) fn is_any_expected(&self, now: Time) -> bool {
        self.openings.iter().any(|held| held.is_expected(now))
    }

    /// The number of other openings that are at least as urgent as `rank` and still expected.
    pub(super) fn count(&self, flow: &FlowKey, rank: u8, now: Time) -> usize {
        self.expected(flow, rank, now).count()
    }

    /// The opening that goes before another one: the one that has waited longest of those at least as urgent.
    pub(super) fn ahead_of(&self, flow: &FlowKey, rank: u8, since: Time, now: Time) -> Option<&HeldOpening> {
        let expected = self.expected(flow, rank, now);
        let earlier = expected.filter(|held| held.since + MIN_PRECEDENCE <= since);
        earlier.min_by_key(|held| held.since)
    }

    fn expected(&self, flow: &FlowKey, rank: u8, now: Time) -> impl Iterator<Item = &HeldOpening> {
        let is_other = move |held: &&HeldOpening| held.rank <= rank && held.flow != *flow;
        self.openings
            .iter()
            .filter(is_other)
            .filter(move |held| held.is_expected(now))
    }
}
