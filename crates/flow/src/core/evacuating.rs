//! Availability zones that operators empty: what is still open there, and what is told of a change.
//!
//! New flows keep away from the moment at which the wish is known. Open flows run on until they end by themselves: their upstreams
//! live, and only their two ends can tell whether a request is under way, so that a reset might cut one that runs once at most.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use units::Time;
use units::ZoneName;

use super::Core;
use crate::decision::Decision;

impl Core {
    /// Notes which zones are to be emptied now, and which no longer, since `before`.
    ///
    /// Upstreams that got nothing for a while may have become cold, and their entries may tell so only later.
    pub(super) fn note_evacuations(&mut self, before: &BTreeSet<ZoneName>, now: Time) {
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

    /// How many flows are open at a zone's upstreams, as far as they were seen here.
    fn flows_in(&self, zone: &ZoneName) -> u32 {
        let ids = self.directory.in_zone(zone).iter();
        ids.filter_map(|id| self.health.get(id))
            .map(|health| health.flows)
            .sum()
    }

    /// The zones to be emptied, each with the number of flows that are open there, as far as they were seen here.
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
