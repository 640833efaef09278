//! The availability zones that operators are evacuating: their upstreams receive no new flows.
//!
//! There are few of them, so they are always read and sent as one set, as of one position in the store's history.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use units::Position;
use units::Time;
use units::ZoneName;

use crate::grace_period::GracePeriod;

/// The evacuated zones as of a position in the store's history.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The position in the store's history.
    pub at: Position,
    /// The evacuated zones.
    pub zones: BTreeSet<ZoneName>,
}

/// The evacuations that an instance holds.
#[derive(Debug, Default, Clone)]
pub(crate) struct EvacuationState {
    current: Evacuations,
    /// The latest position at which the platform listed exactly these zones. It may be later than the position that is
    /// sent to other instances, which need not be notified when nothing has changed.
    confirmed_at: Position,
    /// Overrides for zones for which a store restored from an older copy differs. They are not sent to other
    /// instances.
    overrides: GracePeriod<ZoneName, bool>,
}

impl EvacuationState {
    pub(crate) fn current(&self) -> &Evacuations {
        &self.current
    }

    /// Whether a zone is evacuated.
    pub(crate) fn contains(&self, zone: &ZoneName) -> bool {
        let is_listed = || self.current.zones.contains(zone);
        self.overrides.get(zone).copied().unwrap_or_else(is_listed)
    }

    /// All evacuated zones.
    pub(crate) fn zones(&self) -> BTreeSet<ZoneName> {
        let overrides = self.overrides.iter().map(|(zone, _)| zone);
        let zones = self.current.zones.iter().chain(overrides);
        zones.filter(|zone| self.contains(zone)).cloned().collect()
    }

    /// Replaces the current evacuations.
    fn set(&mut self, new: Evacuations, now: Time) {
        let before = self.zones();
        let is_later_epoch = !self.current.at.is_unset() && new.at.epoch > self.current.at.epoch;
        let changed: Vec<ZoneName> = self.current.zones.symmetric_difference(&new.zones).cloned().collect();
        self.current = new;
        if is_later_epoch {
            let differing = before.symmetric_difference(&self.current.zones);
            let overrides = differing.map(|zone| (zone.clone(), before.contains(zone)));
            self.overrides = GracePeriod::begin(overrides.collect(), now);
            return;
        }
        for zone in changed {
            self.overrides.remove(&zone);
        }
    }

    /// Drops the overrides of a restored store, once the grace period for rewriting lost entries is over. Returns
    /// whether this changes anything.
    pub(crate) fn end_grace(&mut self, now: Time) -> bool {
        !self.overrides.end(now).is_empty()
    }

    /// Applies evacuations read from the platform. A zone whose entry can't be parsed keeps its state. Returns whether
    /// other instances must be notified.
    pub(crate) fn apply_read(&mut self, mut read: Evacuations, unreadable: &BTreeSet<ZoneName>, now: Time) -> bool {
        if read.at <= self.confirmed_at {
            return false;
        }
        read.zones.extend(self.current.zones.intersection(unreadable).cloned());
        self.confirmed_at = read.at;
        let is_first = self.current.at.is_unset();
        let is_later_epoch = read.at.epoch > self.current.at.epoch;
        if !is_first && !is_later_epoch && read.zones == self.current.zones {
            return false;
        }
        self.set(read, now);
        true
    }

    /// Applies evacuations from a peer. Returns whether anything is new, or whether peers must be sent the current
    /// state.
    pub(crate) fn apply_received(&mut self, received: Evacuations, now: Time) -> bool {
        if received.at <= self.current.at {
            return false;
        }
        if received.at <= self.confirmed_at {
            // The sender knows of a change that has since been reverted. It only asks for the current state if its
            // position is later.
            self.current.at = self.confirmed_at;
            return true;
        }
        self.confirmed_at = received.at;
        self.set(received, now);
        true
    }

    /// The evacuations to send to a peer at the given position, if they are newer.
    pub(crate) fn since(&self, at: Position) -> Option<Evacuations> {
        (self.current.at > at).then(|| self.current.clone())
    }
}
