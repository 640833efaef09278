//! Cold upstreams whose operators tell how many new flows they bear: who may send them any, and how often.
//!
//! What is told binds over all instances together, whatever each of them knows of the others. So each such upstream is kept by
//! one instance, which the caller names by the members that it sees; nobody else sends new flows there. A share for each
//! instance would be one flow in a minute where there are hundreds, and all at once where they agree on the best upstream.

use std::collections::BTreeSet;
use std::time::Duration;

use units::Rate;
use units::Time;

use super::Core;
use crate::directory::DirectoryEntry;
use crate::health::Health;
use crate::upstream::UpstreamId;

/// How many instances may take themselves for an upstream's keeper at a time: while one joins or is taken for dead, the others hear
/// of it at different times. Each sends this part of what the upstream bears.
const KEEPERS: u32 = 2;

/// How far apart a keeper's new flows to a cold upstream are.
fn spacing(rate: Rate) -> Duration {
    rate.spacing().map_or(Duration::MAX, |spacing| spacing * KEEPERS)
}

impl Core {
    /// The upstreams that are cold and whose operators tell what they bear.
    pub fn rationed(&self, now: Time) -> Vec<UpstreamId> {
        self.directory.rate_limited(now)
    }

    /// This instance keeps these of them from now on, and no others.
    pub fn keep(&mut self, kept: BTreeSet<UpstreamId>) {
        self.kept = kept;
    }

    /// Whether an upstream bears a new flow from here now.
    pub(super) fn bears(&self, id: UpstreamId, listed: &DirectoryEntry, health: Option<&Health>, now: Time) -> bool {
        if listed.cold_rate(now).is_none() {
            return true;
        }
        self.kept.contains(&id) && health.is_none_or(|health| now >= health.cold_next)
    }

    /// A new flow goes to an upstream.
    pub(super) fn note_ration(&mut self, id: UpstreamId, now: Time) {
        let rate = self.directory.get(id).and_then(|listed| listed.cold_rate(now));
        if let Some(rate) = rate {
            self.health.entry(id).or_default().cold_next = now + spacing(rate);
        }
    }
}
