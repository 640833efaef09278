//! Admission of new flows: what the joint view of load says about the capacity of a service, and what follows from it
//! for one opening packet.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use units::Time;
use units::ZoneName;

use super::Core;
use crate::admission::Admission;
use crate::admission::FreeSlots;
use crate::admission::Opening;
use crate::admission::Room;
use crate::admission::Search;
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

/// Maximum mean number of openings that a free slot gets until the view of load shows that it is in use. A view is
/// about as old as a request takes.
const OPENINGS_PER_FREE_SLOT: f64 = 2.0;
/// How long it takes until the view of load shows an opening: the interval of reports, and half of that of digests.
const VIEW_DELAY: Duration = Duration::from_millis(150);
/// Number of upstreams that are compared for an opening.
const COMPARED_UPSTREAMS: f64 = 2.0;

/// Upstreams of a zone that were searched for a free slot.
#[derive(Debug, Default)]
struct SearchedZone {
    /// Slots of those that are listed as accepting flows.
    slots: u32,
    /// Slots of those that can get a flow now.
    usable_slots: u32,
    /// Those that can get a flow now, with their slots.
    usable: Vec<(UpstreamId, u32)>,
    /// Free slots of those whose load is known.
    free_slots: u32,
    /// Those known to have a free slot, with their free slots.
    free: Vec<(UpstreamId, u32)>,
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

/// The verdict for an opening that is not admitted. One that another instance may have placed isn't reset.
fn verdict(admission: Admission, packet: &Packet, may_be_placed: bool) -> Option<Verdict> {
    match admission {
        Admission::Admit => None,
        Admission::Hold => Some(Verdict::Drop(DropCause::Held)),
        Admission::Refuse if may_be_placed => Some(Verdict::Drop(DropCause::Held)),
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
        let room = self.searches.full_room(service, now)?;
        if self.admission.assess(service, opening, room, now) == Admission::Admit {
            return None;
        }
        let may_be_placed = self.admission.may_be_placed(service, opening);
        verdict(
            self.admission.decide(service, opening, room, now),
            packet,
            may_be_placed,
        )
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
        let mut room = self.room(service, &candidate, now);
        if !self.is_within_share(service, opening, &candidate, room, now) {
            room.has_free_slot = false;
            room.expected = Some(Duration::MAX);
        }
        if self.admission.assess(service, opening, room, now) != Admission::Admit
            && let Some(id) = self.find_free_upstream(service, room, now)
        {
            candidate.id = id;
            candidate.tier = Tier::Ready;
            room.has_free_slot = true;
        }
        let may_be_placed = self.admission.may_be_placed(service, opening);
        let admission = self.admission.decide(service, opening, room, now);
        verdict(admission, packet, may_be_placed).map_or(Ok(candidate), Err)
    }

    /// Sets the number of instances in this instance's availability zone.
    pub fn set_zone_instances(&mut self, instances: u32) {
        self.zone_instances = instances.max(1);
    }

    /// The number of openings that all instances of this zone receive for a service within [`VIEW_DELAY`]. It is
    /// estimated from those of this instance, as routers spread clients' flows evenly over the instances of a zone.
    fn openings_per_view(&self, service: &str, now: Time) -> f64 {
        let rate = self.admission.opening_rate(service, now) * f64::from(self.zone_instances);
        rate * VIEW_DELAY.as_secs_f64()
    }

    /// Whether an opening may go to a candidate, drawn so that the instances of the zone together send it no more than
    /// it has room for.
    ///
    /// While many openings are refused, the few upstreams with room attract all openings that compare them, and the
    /// view shows that only afterwards.
    fn is_within_share(
        &mut self,
        service: &str,
        opening: &Opening,
        candidate: &Candidate,
        room: Room,
        now: Time,
    ) -> bool {
        let (Some(expected), Some(service_time)) = (room.expected, room.service_time) else {
            return true;
        };
        let Some(listed) = self.directory.get(candidate.id) else {
            return true;
        };
        let zones = self.loads.zones(service, now);
        let zone = zones.and_then(|zones| zones.get(&listed.upstream().zone));
        // Another zone gets few flows from here, and they follow its sums gradually.
        let Some(zone) = zone.filter(|_| listed.upstream().zone == self.options.zone) else {
            return true;
        };
        let slots = f64::from(listed.upstream().slots.0.max(1));
        let work = self.loads.work(candidate.id, now).map_or(0, |work| work.in_flight);
        let relative_utilization = f64::from(work) / slots * f64::from(zone.slots) / f64::from(zone.in_flight.max(1));
        // How often the candidate wins a comparison, as a multiple of the zone's mean: an idle upstream wins all that
        // it is drawn for, a busier one fewer.
        let wins = COMPARED_UPSTREAMS * (-relative_utilization).exp();
        let arrivals = self.openings_per_view(service, now) * wins * slots / f64::from(zone.slots.max(1));
        let budget = self.admission.budget(service, opening, now);
        let wait = budget.saturating_sub(expected) + VIEW_DELAY;
        let space = slots * wait.as_secs_f64() / service_time.as_secs_f64().max(f64::MIN_POSITIVE);
        self.rng.random::<f64>() * arrivals < space
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
                Some(work) => work.free_slots(listed.upstream().slots.0.into()) > 0,
                None => zone.is_some_and(|zone| zone.in_flight < zone.slots),
            },
            expected: candidate.expected,
            service_time: work.and_then(|work| work.service_time).or(zone_service_time),
        }
    }

    /// Finds an upstream with a free slot: in the local zone, or in a zone that must have one by its sums.
    ///
    /// All instances have the same view. If each sent all openings that have no room elsewhere to the few free slots,
    /// these upstreams would get many times what they can serve. So an opening gets a free slot with a probability
    /// that follows from the number of free slots and of openings that ask for one. Another zone gets openings by how
    /// much larger its share of free slots is than the local one, so that zones with equal shares exchange nothing.
    fn find_free_upstream(&mut self, service: &str, room: Room, now: Time) -> Option<UpstreamId> {
        if self.searches.recent(service, now).is_none() {
            let search = self.search(service, room, now);
            self.searches.insert(service, search);
        }
        let Search { local, other, .. } = self.searches.recent(service, now)?;
        let extra = f64::from(other.slots) * (1.0 - local.share / other.share.max(f64::MIN_POSITIVE)).max(0.0);
        let openings = self.openings_per_view(service, now).max(1.0);
        for (slots, upstreams) in [(f64::from(local.slots), &local.upstreams), (extra, &other.upstreams)] {
            if self.rng.random::<f64>() >= slots * OPENINGS_PER_FREE_SLOT / openings {
                continue;
            }
            let Ok((id, _)) = upstreams.choose_weighted(&mut self.rng, |(_, weight)| *weight) else {
                continue;
            };
            let id = *id;
            if self.still_has_free_slot(id, now) {
                return Some(id);
            }
        }
        None
    }

    /// Whether an upstream that a recent search has found can get a flow now and isn't known to be full.
    fn still_has_free_slot(&self, id: UpstreamId, now: Time) -> bool {
        let Some((_, listed)) = self.directory.reachable(id) else {
            return false;
        };
        let slots = u32::from(listed.upstream().slots.0);
        let work = self.loads.work(id, now);
        listed.gone_since.is_none()
            && work.is_none_or(|work| work.free_slots(slots) > 0)
            && self.is_usable(id, listed, now)
    }

    /// Searches a service for free slots.
    fn search(&mut self, service: &str, room: Room, now: Time) -> Search {
        let count = self.directory.service_ids(service).len();
        self.stats.examined += count.min(MAX_SEARCHED) as u64;
        let first = self.rng.random_range(0..count.max(1));
        let mut zones = self.search_zones(service, first, now);
        let local = zones.remove(&self.options.zone).unwrap_or_default();
        Search {
            at: now,
            room,
            local: FreeSlots::new(local.free_slots, local.usable_slots, local.free),
            other: self.free_slots_elsewhere(service, zones, now),
        }
    }

    /// Searches upstreams of a service, from the one at index `first` on, for free slots.
    fn search_zones(&self, service: &str, first: usize, now: Time) -> BTreeMap<&ZoneName, SearchedZone> {
        let mut zones: BTreeMap<&ZoneName, SearchedZone> = BTreeMap::new();
        let (before, after) = self.directory.service_ids(service).split_at(first);
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
            zone.usable.push((id, slots));
            let free = self.loads.work(id, now).map_or(0, |work| work.free_slots(slots));
            if free > 0 {
                zone.free_slots += free;
                zone.free.push((id, free));
            }
        }
        zones
    }

    /// The free slots of the other zone with the most by its sums.
    ///
    /// The sums include upstreams that can't be used now, so only the usable part of the slots counts.
    fn free_slots_elsewhere(&self, service: &str, others: BTreeMap<&ZoneName, SearchedZone>, now: Time) -> FreeSlots {
        let mut most = 0;
        let mut best = FreeSlots::default();
        for (name, zone) in others {
            let loads = self.loads.zones(service, now);
            let Some(load) = loads.and_then(|loads| loads.get(name)) else {
                continue;
            };
            let usable = u64::from(load.slots) * u64::from(zone.usable_slots) / u64::from(zone.slots.max(1));
            let free = usable.saturating_sub(load.in_flight.into()) as u32;
            if free > most {
                most = free;
                best = FreeSlots::new(free, usable as u32, zone.usable);
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
