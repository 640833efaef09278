//! Admission control for new flows while their service is short of capacity.
//!
//! A service is short of capacity for an opening if the joint view of its load is fresh and no upstream that the
//! opening can get has a free slot. What is left to distribute then are places in the queues of upstreams, measured by
//! the response time that an opening would see. A class may use them up to its response-time target. While openings of a
//! more urgent class are refused, it may use half as much, so that it leaves places to them. An opening that gets no place is held, if its
//! client's next retransmission can still be served in time, or else refused at once.
//!
//! Everything here is a function of plain values, so that it can be tested without a network.

mod fair_shares;
mod held;
mod searches;
mod service;

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use units::Time;

use crate::flows::ATTEMPT_TIMEOUT;
use crate::flows::FlowKey;
use crate::load::ClassLoad;
use fair_shares::FairShares;
pub(crate) use searches::FreeSlots;
pub(crate) use searches::Search;
pub(crate) use searches::Searches;
use service::Service;

/// Times of a client's retransmissions of an opening packet, after its first transmission.
const RETRANSMISSION_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// Interval between two sweeps of state that no longer matters.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The class of an opening: its route's priority among those of all routes to its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// The number of more urgent classes of the service.
    pub rank: u8,
    /// The number of classes of the service, at least one.
    pub count: u8,
}

/// An opening packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// The flow to open.
    pub flow: FlowKey,
    /// Its class.
    pub class: Class,
    /// The target response time of its route, if operators have set one.
    pub target: Option<Duration>,
    /// The time after which the client gives up on a request, if operators have set one.
    pub timeout: Option<Duration>,
    /// The number of earlier transmissions of the packet.
    pub retransmissions: u32,
}

impl Opening {
    /// The time since the first transmission, by the client's schedule.
    fn age(&self) -> Duration {
        let earlier = usize::try_from(self.retransmissions).unwrap_or(usize::MAX);
        let Some(last) = earlier.min(RETRANSMISSION_TIMES.len()).checked_sub(1) else {
            return Duration::ZERO;
        };
        RETRANSMISSION_TIMES[last]
    }

    /// The age at the next retransmission, if there will be one.
    fn next_age(&self) -> Option<Duration> {
        let earlier = usize::try_from(self.retransmissions).ok()?;
        RETRANSMISSION_TIMES.get(earlier).copied()
    }

    /// The response time, counted from the first transmission, up to which an answer is of use. Where a route has
    /// neither a target nor a timeout, the client's timeout for the opening stands in.
    fn limit(&self) -> Duration {
        let limit = self.target.or(self.timeout).unwrap_or(ATTEMPT_TIMEOUT);
        limit.min(self.timeout.unwrap_or(Duration::MAX))
    }
}

/// The capacity that the upstreams of a service have for an opening.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Whether an upstream has a free slot.
    pub has_free_slot: bool,
    /// The expected response time at the best upstream, or `None` without a fresh view.
    pub expected: Option<Duration>,
    /// The time that a request occupies a slot, if it is known.
    pub service_time: Option<Duration>,
}

/// Decision on an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The flow is opened.
    Admit,
    /// The packet is dropped; the client's retransmission can still be served in time.
    Hold,
    /// The flow is reset at once, as it can't be served in time.
    Refuse,
}

/// Admission control of one instance.
#[derive(Debug, Default)]
pub struct AdmissionPolicy {
    services: BTreeMap<CompactString, Service>,
    shares: FairShares,
    next_sweep_at: Time,
}

impl AdmissionPolicy {
    /// Decides on an opening and records the decision.
    pub fn decide(&mut self, service: &str, opening: &Opening, room: Room, now: Time) -> Admission {
        if room.expected.is_none() {
            return Admission::Admit;
        }
        self.sweep(now);
        let rank = self.rank(opening, now);
        let admission = self.assess(service, opening, room, now);
        let state = service_mut(&mut self.services, service);
        let was_held = state.held.remove(&opening.flow);
        if !was_held {
            let flow = opening.flow;
            self.shares.record(flow.route, *flow.client.ip(), now);
        }
        state.record_opening(now);
        state.record_room(room.has_free_slot, now);
        state.record_class_opening(rank, now);
        match admission {
            Admission::Admit => state.record_admission(rank, room.has_free_slot, now),
            Admission::Hold => {
                state.hold(opening, rank, now);
                state.record_rejection(rank, now);
            }
            Admission::Refuse => state.record_rejection(rank, now),
        }
        admission
    }

    /// Returns the decision that [`AdmissionPolicy::decide`] would take, without recording it.
    pub fn assess(&self, service: &str, opening: &Opening, room: Room, now: Time) -> Admission {
        let Some(expected) = room.expected else {
            return Admission::Admit;
        };
        if room.has_free_slot {
            return Admission::Admit;
        }
        let unused = Service::default();
        let state = self.services.get(service).unwrap_or(&unused);
        let rank = self.rank(opening, now);
        let is_in_time = opening.age().saturating_add(expected) <= opening.limit();
        let is_reserved = rank == opening.class.rank && state.is_reserved_for(opening.class, now);
        let service_time = room.service_time.unwrap_or(expected);
        if is_in_time && (is_reserved || expected <= state.budget(opening, rank, now)) {
            return Admission::Admit;
        }
        if state.may_hold(opening, rank, service_time, now) {
            return Admission::Hold;
        }
        Admission::Refuse
    }

    /// The rank of an opening. An address that opens more than its share is less urgent than all classes.
    fn rank(&self, opening: &Opening, now: Time) -> u8 {
        let flow = opening.flow;
        if self.shares.is_over(flow.route, *flow.client.ip(), now) {
            return opening.class.count;
        }
        opening.class.rank
    }

    /// The number of openings per second that ask for a service here, retries and the opening that is being decided on
    /// included.
    pub fn opening_rate(&self, service: &str, now: Time) -> f64 {
        let unused = Service::default();
        self.services.get(service).unwrap_or(&unused).opening_rate(now)
    }

    /// The longest expected response time at which an opening is admitted while the service is short of capacity.
    pub fn budget(&self, service: &str, opening: &Opening, now: Time) -> Duration {
        let unused = Service::default();
        let state = self.services.get(service).unwrap_or(&unused);
        state.budget(opening, self.rank(opening, now), now)
    }

    /// Openings for a service in about the last second, by class.
    pub(crate) fn class_loads(&self, service: &str, now: Time) -> Vec<ClassLoad> {
        let state = self.services.get(service);
        state.map(|state| state.class_loads(now)).unwrap_or_default()
    }

    /// Records the openings for a service over all instances. Classes that are short of capacity anywhere go before
    /// less urgent ones here.
    pub(crate) fn record_joint_classes(&mut self, service: &str, classes: &[ClassLoad], now: Time) {
        for class in classes.iter().filter(|class| class.is_short()) {
            service_mut(&mut self.services, service).record_shortage(class.rank, now);
        }
    }

    /// Whether an opening may have been placed by another instance: it is a copy, and no earlier one was held here. A
    /// reset would end the flow if it is open by now.
    pub(crate) fn may_be_placed(&self, service: &str, opening: &Opening) -> bool {
        let state = self.services.get(service);
        let is_held = state.is_some_and(|state| state.held.contains(&opening.flow));
        opening.retransmissions > 0 && !is_held
    }

    /// The number of openings that are held.
    pub fn held_count(&self) -> usize {
        self.services.values().map(|service| service.held.len()).sum()
    }

    /// Removes state that no longer matters, once per interval.
    fn sweep(&mut self, now: Time) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + SWEEP_INTERVAL;
        self.shares.sweep(now);
        self.services.retain(|_, service| service.is_active(now));
    }
}

fn service_mut<'a>(services: &'a mut BTreeMap<CompactString, Service>, name: &str) -> &'a mut Service {
    if !services.contains_key(name) {
        services.insert(name.into(), Service::default());
    }
    services.get_mut(name).expect("the service was inserted above")
}
