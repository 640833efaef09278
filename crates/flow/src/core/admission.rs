//! Admission of new flows: what the joint view of load says about the capacity of a service, and what follows from it
//! for one opening packet.

use std::collections::BTreeMap;

use rand::RngExt;
use units::Time;
use units::ZoneName;

use super::Core;
use super::opening::tier;
use crate::admission::Admission;
use crate::admission::Opening;
use crate::admission::Room;
use crate::directory::DirectoryEntry;
use crate::flows::FlowKey;
use crate::packet::DropCause;
use crate::packet::Packet;
use crate::packet::ResetCause;
use crate::place::Candidate;
use crate::place::Tier;
use crate::route::Route;
use crate::route::Routes;
use crate::upstream::UpstreamId;
use crate::verdict::Verdict;
use crate::verdict::reset_for_opening;

/// The maximum number of upstreams of a service that are searched for a free slot.
const MAX_SEARCHED: usize = 256;
/// Reciprocal of the part of a connection limit that is kept free, for flows that other instances open until the view
/// of load shows them.
const CONNECTION_MARGIN: u32 = 32;

/// Upstreams of a zone that were searched.
#[derive(Debug, Default)]
struct SearchedZone {
    /// Those that are listed as accepting flows.
    listed: u32,
    /// Those that can get a flow now.
    usable: Vec<UpstreamId>,
}

/// Describes an opening packet for admission control.
pub(super) fn opening(packet: &Packet, route: &Route, routes: &Routes, service: &str) -> Opening {
    Opening {
        flow: FlowKey::from(packet),
        class: routes.class(service, route.priority),
        target: Some(route.aim).filter(|aim| !aim.is_zero()),
        timeout: route.timeout,
        retransmissions: packet.ack,
    }
}

/// The verdict for an opening that is not admitted.
fn verdict(admission: Admission, packet: &Packet) -> Option<Verdict> {
    match admission {
        Admission::Admit => None,
        Admission::Hold => Some(Verdict::Drop(DropCause::Held)),
        Admission::Refuse => Some(Verdict::Reset(reset_for_opening(packet, ResetCause::Overload))),
    }
}

impl Core {
    /// Returns the verdict for an opening that is not admitted, if a search just before found no free slot. This saves
    /// selecting an upstream.
    pub(super) fn reject_early(
        &mut self,
        packet: &Packet,
        service: &str,
        opening: &Opening,
        now: Time,
    ) -> Option<Verdict> {
        let room = self.full_services.room(service, now)?;
        if self.admission.assess(service, opening, room, now) == Admission::Admit {
            return None;
        }
        verdict(self.admission.decide(service, opening, room, now), packet)
    }

    /// Returns the upstream for an opening that is admitted, or else the verdict for its packet.
    ///
    /// An opening that `candidate` has no room for gets another upstream with a free slot, if there is one.
    pub(super) fn admit(
        &mut self,
        packet: &Packet,
        service: &str,
        opening: &Opening,
        mut candidate: Candidate,
        now: Time,
    ) -> Result<Candidate, Verdict> {
        if candidate.expected.is_none() {
            return Ok(candidate);
        }
        let mut room = self.room(service, &candidate, now);
        if self.admission.assess(service, opening, room, now) != Admission::Admit {
            match self.find_free_upstream(service, now) {
                Some(id) => {
                    candidate.id = id;
                    candidate.tier = Tier::Ready;
                    room.has_free_slot = true;
                }
                None => self.full_services.insert(service, room, now),
            }
        }
        let admission = self.admission.decide(service, opening, room, now);
        verdict(admission, packet).map_or(Ok(candidate), Err)
    }

    /// Whether an upstream has as many open flows as its service's connection limit permits, over all instances.
    pub(super) fn is_at_connection_limit(&self, id: UpstreamId, listed: &DirectoryEntry, now: Time) -> bool {
        let Some(limit) = self.routes.connection_limit(&listed.upstream().service) else {
            return false;
        };
        let margin = limit / CONNECTION_MARGIN;
        let work = self.loads.work(id, now);
        work.is_some_and(|work| work.open_flows >= limit - margin)
    }

    /// The room that the best candidate for an opening has.
    fn room(&self, service: &str, candidate: &Candidate, now: Time) -> Room {
        let Some(listed) = self.directory.get(candidate.id) else {
            return Room::default();
        };
        let zones = self.loads.zones(service, now);
        let zone = zones.and_then(|zones| zones.get(&listed.upstream().zone));
        let work = self.loads.work(candidate.id, now);
        let zone_service_time = zone.and_then(|zone| zone.service_time);
        Room {
            // Only sums are known of other zones.
            has_free_slot: match work {
                Some(work) => work.in_flight < u32::from(listed.upstream().slots.0),
                None => zone.is_some_and(|zone| zone.in_flight < zone.slots),
            },
            expected: candidate.expected,
            service_time: work.and_then(|work| work.service_time).or(zone_service_time),
        }
    }

    /// Finds an upstream with a free slot: in the local zone, or in a zone that must have one by its sums. Which one of
    /// several is random, as all instances have the same view.
    fn find_free_upstream(&mut self, service: &str, now: Time) -> Option<UpstreamId> {
        let ids = self.directory.service_ids(service);
        let first = self.rng.random_range(0..ids.len().max(1));
        let mut zones: BTreeMap<&ZoneName, SearchedZone> = BTreeMap::new();
        let mut free = Vec::new();
        let (before, after) = ids.split_at(first);
        for id in after.iter().chain(before).take(MAX_SEARCHED) {
            let Some((id, listed)) = self.directory.reachable(*id) else {
                continue;
            };
            if !listed.accepts_flows() || listed.gone_since.is_some() {
                continue;
            }
            let zone = zones.entry(&listed.upstream().zone).or_default();
            zone.listed += 1;
            if !self.is_usable(id, listed, now) {
                continue;
            }
            zone.usable.push(id);
            let work = self.loads.work(id, now);
            if work.is_some_and(|work| work.in_flight < u32::from(listed.upstream().slots.0)) {
                free.push(id);
            }
        }
        if free.is_empty() {
            free = self.upstreams_of_free_zone(service, zones, now);
        }
        let chosen = self.rng.random_range(0..free.len().max(1));
        free.get(chosen).copied()
    }

    /// The usable upstreams of the other zone with the most free slots by its sums, or none if no zone has any.
    ///
    /// The sums include upstreams that can't be used now, so only the usable part of the slots counts.
    fn upstreams_of_free_zone(
        &self,
        service: &str,
        searched: BTreeMap<&ZoneName, SearchedZone>,
        now: Time,
    ) -> Vec<UpstreamId> {
        let Some(loads) = self.loads.zones(service, now) else {
            return Vec::new();
        };
        let mut best = (0, Vec::new());
        for (name, zone) in searched {
            let Some(load) = loads.get(name).filter(|_| *name != self.options.zone) else {
                continue;
            };
            let usable = u64::from(load.slots) * zone.usable.len() as u64 / u64::from(zone.listed.max(1));
            let free = usable.saturating_sub(load.in_flight.into());
            if free > best.0 {
                best = (free, zone.usable);
            }
        }
        best.1
    }

    /// Whether an upstream that is listed as accepting flows can get one now.
    fn is_usable(&self, id: UpstreamId, listed: &DirectoryEntry, now: Time) -> bool {
        let health = self.health.get(&id);
        tier(listed, health, now) == Some(Tier::Ready)
            && self.permits_new_flow(id, listed, health, now)
            && !self.is_at_connection_limit(id, listed, now)
    }
}
