//! The availability zones that operators have asked to be emptied: nothing new is sent to their upstreams.
//!
//! There are few of them, so they are always read and told together, as they stood at one place in the store's history.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use units::Position;
use units::Time;
use units::ZoneName;

use crate::grace_period::GracePeriod;

/// The zones to be emptied, as they stood at a place in the store's history.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The place.
    pub at: Position,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

/// What an instance holds of them.
#[derive(Debug, Default, Clone)]
pub(crate) struct Held {
    current: Evacuations,
    /// The latest place at which the platform was seen to ask for just these. It may be later than what others are told, who
    /// need not hear of it each time that nothing has changed.
    confirmed_at: Position,
    /// Whether zones are to be emptied of which an older copy of the store says otherwise. It is not told to others.
    kept: GracePeriod<ZoneName, bool>,
}

impl Held {
    pub(crate) fn current(&self) -> &Evacuations {
        &self.current
    }

    /// Whether a zone is to be emptied.
    pub(crate) fn contains(&self, zone: &ZoneName) -> bool {
        let is_told = || self.current.zones.contains(zone);
        self.kept.get(zone).copied().unwrap_or_else(is_told)
    }

    /// The zones to be emptied.
    pub(crate) fn zones(&self) -> BTreeSet<ZoneName> {
        let kept = self.kept.iter().map(|(zone, _)| zone);
        let zones = self.current.zones.iter().chain(kept);
        zones.filter(|zone| self.contains(zone)).cloned().collect()
    }

    /// Puts others in place of those held.
    fn set(&mut self, new: Evacuations, now: Time) {
        let before = self.zones();
        let is_later_epoch = !self.current.at.is_unset() && new.at.epoch > self.current.at.epoch;
        let changed: Vec<ZoneName> = self.current.zones.symmetric_difference(&new.zones).cloned().collect();
        self.current = new;
        if is_later_epoch {
            let differing = before.symmetric_difference(&self.current.zones);
            let kept = differing.map(|zone| (zone.clone(), before.contains(zone)));
            self.kept = GracePeriod::begin(kept.collect(), now);
            return;
        }
        for zone in changed {
            self.kept.remove(&zone);
        }
    }

    /// Lets what the store says count for good once what was lost by its return has had time to be written again. Tells whether
    /// that changes anything.
    pub(crate) fn settle(&mut self, now: Time) -> bool {
        !self.kept.end(now).is_empty()
    }

    /// Takes in what was read from the platform. A zone whose wish can't be read stays as it is. Tells whether others must hear
    /// of it.
    pub(crate) fn read(&mut self, mut read: Evacuations, unreadable: &BTreeSet<ZoneName>, now: Time) -> bool {
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

    /// Takes in what another holder told. Tells whether anything is new, or others must hear what is held here.
    pub(crate) fn hear(&mut self, told: Evacuations, now: Time) -> bool {
        if told.at <= self.current.at {
            return false;
        }
        if told.at <= self.confirmed_at {
            // The teller knows of a change that was taken back since. Without a later place it would not ask.
            self.current.at = self.confirmed_at;
            return true;
        }
        self.confirmed_at = told.at;
        self.set(told, now);
        true
    }

    /// What a holder of those at a place lacks.
    pub(crate) fn since(&self, at: Position) -> Option<Evacuations> {
        (self.current.at > at).then(|| self.current.clone())
    }
}
