//! Evacuation of availability zones: reporting changes and the flows that are still open there.
//!
//! New flows avoid a zone as soon as its evacuation is known. Open flows continue until they end by themselves: their
//! upstreams are alive, and only the two endpoints know whether a request is in progress, so a reset might interrupt a
//! request that must not be repeated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use units::Time;
use units::ZoneName;

use super::Core;
use crate::decision::Decision;

impl Core {
    /// Records the zones whose evacuation has begun or ended since `before`.
    ///
    /// Upstreams of a restored zone are treated as cold: they have had no traffic for a while, and their entries may
    /// report this only later.
    pub(super) fn record_evacuations(&mut self, before: &BTreeSet<ZoneName>, now: Time) {
        let after = self.knowledge.evacuated();
        if after == *before {
            return;
        }
        let at = self.knowledge.evacuations().at;
        for zone in after.difference(before) {
            let (zone, flows) = (zone.clone(), self.flows_in(zone));
            self.decisions.push(Decision::Evacuated { zone, at, flows });
        }
        for zone in before.difference(&after) {
            self.directory.start_cold_period_in_zone(zone, now);
            let zone = zone.clone();
            self.decisions.push(Decision::Restored { zone, at });
        }
    }

    /// Number of flows that this instance has seen open at a zone's upstreams.
    fn flows_in(&self, zone: &ZoneName) -> u32 {
        let ids = self.directory.in_zone(zone).iter();
        ids.filter_map(|id| self.health.get(id))
            .map(|health| health.flows)
            .sum()
    }

    /// Evacuated zones, each with the number of flows that this instance has seen open there.
    pub fn evacuated(&self) -> BTreeMap<ZoneName, u32> {
        let zones = self.knowledge.evacuated().into_iter();
        zones
            .map(|zone| {
                let flows = self.flows_in(&zone);
                (zone, flows)
            })
            .collect()
    }
}
