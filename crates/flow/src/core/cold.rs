//! Rate limits for cold upstreams: which instance may send them new flows, and how often.
//!
//! The limit that operators configure applies to all instances together, whatever each knows of the others. So one
//! instance is responsible for each such upstream, chosen by the caller from the members that it sees; no other
//! instance sends new flows there. Dividing the limit among the instances would leave one flow a minute each where
//! there are hundreds, and would not prevent a burst when all choose the same best upstream.

use std::collections::BTreeSet;
use std::time::Duration;

use units::Rate;
use units::Time;

use super::Core;
use crate::directory::DirectoryEntry;
use crate::health::Health;
use crate::upstream::UpstreamId;

/// Number of instances that may consider themselves responsible for an upstream at the same time: while one joins or is
/// declared dead, the others learn of it at different times. Each sends flows at the configured rate divided by this
/// number.
const RESPONSIBLE_INSTANCES: u32 = 2;

/// Interval between new flows from the responsible instance to a cold upstream.
fn spacing(rate: Rate) -> Duration {
    rate.interval()
        .map_or(Duration::MAX, |spacing| spacing * RESPONSIBLE_INSTANCES)
}

impl Core {
    /// Cold upstreams with a configured rate limit.
    pub fn rate_limited(&self, now: Time) -> Vec<UpstreamId> {
        self.directory.rate_limited(now)
    }

    /// Sets the rate-limited upstreams that this instance is responsible for, replacing any earlier set.
    pub fn set_assigned_cold(&mut self, assigned: BTreeSet<UpstreamId>) {
        self.assigned_cold = assigned;
    }

    /// Whether the rate limit of an upstream permits a new flow from here now.
    pub(super) fn permits_new_flow(
        &self,
        id: UpstreamId,
        listed: &DirectoryEntry,
        health: Option<&Health>,
        now: Time,
    ) -> bool {
        if listed.cold_rate(now).is_none() {
            return true;
        }
        self.assigned_cold.contains(&id) && health.is_none_or(|health| now >= health.next_cold_flow_at)
    }

    /// Records a new flow against the rate limit of its upstream.
    pub(super) fn record_cold_flow(&mut self, id: UpstreamId, now: Time) {
        let rate = self.directory.get(id).and_then(|listed| listed.cold_rate(now));
        if let Some(rate) = rate {
            self.health.entry(id).or_default().next_cold_flow_at = now + spacing(rate);
        }
    }
}
