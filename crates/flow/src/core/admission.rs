//! Admission of new flows: what the joint view of load says about the capacity of a service, and what follows from it
//! for one opening packet.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use units::Time;
use units::ZoneName;

use super::Core;
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

/// Service time of a zone that has finished too few requests.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Shortest service time that counts, so that a share of it is defined.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);

/// Upstreams of a zone that were searched.
#[derive(Debug, Default)]
struct SearchedZone {
    /// Slots of those that are listed as accepting flows.
    slots: u32,
    /// Slots of those that can get a flow now.
    usable_slots: u32,
    /// Those that can get a flow now.
    usable: Vec<UpstreamId>,
    /// Free slots of those whose load is known.
    free_slots: u32,
    /// Those known to have a free slot.
    free: Vec<UpstreamId>,
}

/// Upstreams with free slots.
#[derive(Debug, Default)]
struct FreeSlots {
    slots: u32,
    upstreams: Vec<UpstreamId>,
}

/// Result of the search for a free slot.
#[derive(Debug, Clone, Copy)]
enum FreeUpstream {
    /// No upstream has one.
    None,
    /// Some have, but too few for all openings that look for one.
    Contended,
    /// An upstream with a free slot.
    Found(UpstreamId),
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
                FreeUpstream::Found(id) => {
                    candidate.id = id;
                    candidate.tier = Tier::Ready;
                    room.has_free_slot = true;
                }
                FreeUpstream::Contended => {}
                FreeUpstream::None => self.full_services.insert(service, room, now),
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

    /// Finds an upstream with a free slot: in the local zone, or in a zone that must have one by its sums.
    ///
    /// All instances have the same view. If each sent all openings that have no room elsewhere to the few free slots,
    /// these upstreams would get many times what they can serve. So each instance uses free slots at its share of the
    /// rate at which they can serve requests.
    fn find_free_upstream(&mut self, service: &str, now: Time) -> FreeUpstream {
        let ids = self.directory.service_ids(service);
        let first = self.rng.random_range(0..ids.len().max(1));
        let mut zones: BTreeMap<&ZoneName, SearchedZone> = BTreeMap::new();
        let (before, after) = ids.split_at(first);
        for id in after.iter().chain(before).take(MAX_SEARCHED) {
            let Some((id, listed)) = self.directory.reachable(*id) else {
                continue;
            };
            if !listed.accepts_flows() || listed.gone_since.is_some() {
                continue;
            }
            let zone = zones.entry(&listed.upstream().zone).or_default();
            let slots = u32::from(listed.upstream().slots.0);
            zone.slots += slots;
            if !self.is_usable(id, listed, now) {
                continue;
            }
            zone.usable_slots += slots;
            zone.usable.push(id);
            let in_flight = self.loads.work(id, now).map(|work| work.in_flight);
            if let Some(free) = in_flight.and_then(|in_flight| slots.checked_sub(in_flight).filter(|free| *free > 0)) {
                zone.free_slots += free;
                zone.free.push(id);
            }
        }
        let free = self.free_slots(service, zones, now);
        if free.upstreams.is_empty() {
            return FreeUpstream::None;
        }
        let due = self.free_slots_due(service, free.slots, now);
        if self.rng.random::<f64>() >= due {
            return FreeUpstream::Contended;
        }
        let chosen = self.rng.random_range(0..free.upstreams.len());
        FreeUpstream::Found(free.upstreams[chosen])
    }

    /// How many of the requests that free slots can serve are due to this instance since its last search: its share is
    /// that of the work in flight in its zone.
    fn free_slots_due(&mut self, service: &str, slots: u32, now: Time) -> f64 {
        let since = self.full_services.record_search(service, now);
        let zones = self.loads.zones(service, now);
        let Some(zone) = zones.and_then(|zones| zones.get(&self.options.zone)) else {
            return f64::from(slots);
        };
        let service_time = zone.service_time.unwrap_or(UNKNOWN_SERVICE_TIME);
        let requests = since.div_duration_f64(service_time.max(MIN_SERVICE_TIME)).min(1.0);
        let ids = self.directory.service_ids(service).iter();
        let own: u32 = ids.map(|id| self.loads.own.counts(*id).in_flight).sum();
        let share = f64::from(own.max(1)) / f64::from(zone.in_flight.max(1));
        f64::from(slots) * requests * share.min(1.0)
    }

    /// The free slots of the local zone or, if it has none, those of the zone with the most by its sums.
    ///
    /// The sums include upstreams that can't be used now, so only the usable part of the slots counts.
    fn free_slots(&self, service: &str, searched: BTreeMap<&ZoneName, SearchedZone>, now: Time) -> FreeSlots {
        let mut best = FreeSlots::default();
        for (name, zone) in searched {
            if !zone.free.is_empty() && *name == self.options.zone {
                return FreeSlots {
                    slots: zone.free_slots,
                    upstreams: zone.free,
                };
            }
            let loads = self.loads.zones(service, now);
            let Some(load) = loads
                .and_then(|loads| loads.get(name))
                .filter(|_| *name != self.options.zone)
            else {
                continue;
            };
            let usable = u64::from(load.slots) * u64::from(zone.usable_slots) / u64::from(zone.slots.max(1));
            let free = usable.saturating_sub(load.in_flight.into()) as u32;
            if free > best.slots {
                best = FreeSlots {
                    slots: free,
                    upstreams: zone.usable,
                };
            }
        }
        best
    }

    /// Whether an upstream that is listed as accepting flows can get one now.
    fn is_usable(&self, id: UpstreamId, listed: &DirectoryEntry, now: Time) -> bool {
        let health = self.health.get(&id);
        self.tier_of(id, listed, health, now) == Some(Tier::Ready)
    }
}
