//! Contacts instances that are not in the view: those from the settings, those from the platform's list, and dead
//! members.
//!
//! The platform's list lags behind, so an entry is only a hint where to probe: a listed instance may be long gone,
//! and an unlisted one may be alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use units::Incarnation;
use units::InstanceName;
use units::Time;
use units::ZoneName;
use wire::Frame;

use crate::dissemination::send_to;
use crate::membership::Membership;
use crate::output::Output;
use crate::table::MemberEntry;
use crate::timing::Timing;

/// The maximum number of hints that are retained.
const MAX_SEEDS: usize = 256;

/// A hint where an instance may be reachable.
#[derive(Debug, Clone)]
struct Seed {
    zone: ZoneName,
    address: SocketAddr,
    tries: u32,
}

/// The hints, and when to probe them next.
#[derive(Debug, Clone)]
pub(crate) struct Seeds {
    hints: BTreeMap<InstanceName, Seed>,
    /// How many hints may still be probed immediately after the start.
    burst: usize,
    next: Time,
    next_dead_probe: Time,
}

impl Seeds {
    pub(crate) fn new(timing: &Timing, now: Time) -> Self {
        Self {
            hints: BTreeMap::new(),
            burst: timing.fanout,
            next: now + timing.probe_interval,
            next_dead_probe: now + timing.dead_probe_interval,
        }
    }

    fn evict_most_tried(&mut self) {
        if self.hints.len() <= MAX_SEEDS {
            return;
        }
        let most_tried = self.hints.iter().max_by_key(|(_, seed)| seed.tries);
        if let Some(name) = most_tried.map(|(name, _)| name.clone()) {
            self.hints.remove(&name);
        }
    }
}

impl Membership {
    /// Adds a hint from the settings or the platform's list where an instance may be reachable.
    ///
    /// If the instance is not in the view, it is probed: the first few hints immediately, the others one per probe
    /// period, those of this availability zone first.
    pub fn add_seed(&mut self, name: &InstanceName, zone: &ZoneName, address: SocketAddr, out: &mut Vec<Output>) {
        if *name == self.me.name {
            return;
        }
        let tries = self.seeds.hints.get(name).map_or(0, |seed| seed.tries);
        let seed = Seed {
            zone: zone.clone(),
            address,
            tries,
        };
        self.seeds.hints.insert(name.clone(), seed);
        self.seeds.evict_most_tried();
        if self.is_absent(name) && tries == 0 && self.seeds.burst > 0 {
            self.seeds.burst -= 1;
            self.contact(name, out);
        }
    }

    /// Records that the platform's list reports an incarnation as leaving.
    ///
    /// It is no longer chosen as a ledger successor. Everything else waits until the instance announces its stop
    /// itself.
    pub fn set_listed_leaving(&mut self, name: &InstanceName, incarnation: Incarnation) {
        self.table.set_listed_leaving(name, incarnation);
    }

    /// Probes instances that are not in the view: new hints soon, other hints and dead members occasionally.
    ///
    /// So views converge after a partition of any length, whether or not the platform is available.
    pub(crate) fn contact_absent(&mut self, out: &mut Vec<Output>) {
        if self.now >= self.seeds.next {
            self.seeds.next = self.now + self.timing.probe_interval;
            let knows_nobody = self.table.present_count() == 0;
            let count = if knows_nobody { self.timing.fanout } else { 1 };
            for name in self.least_tried(count, knows_nobody) {
                self.contact(&name, out);
            }
        }
        if self.now < self.seeds.next_dead_probe {
            return;
        }
        self.seeds.next_dead_probe = self.now + self.timing.dead_probe_interval;
        let retained_since = self.now.0.saturating_sub(self.timing.dead_retention.as_micros() as u64);
        self.table.forget_dead_before(Time(retained_since));
        let dead = self
            .table
            .iter()
            .filter(|entry| !entry.is_present() && !entry.announced_stop);
        let dead = dead.map(|entry| &entry.member.name);
        let listed = self.seeds.hints.keys().filter(|name| self.table.get(name).is_none());
        let chosen = dead.chain(listed).choose(&mut self.rng).cloned();
        if let Some(name) = chosen {
            self.contact(&name, out);
        }
    }

    /// The absent hints with the fewest attempts. Unless this instance knows no other member, only those never tried.
    fn least_tried(&self, count: usize, knows_nobody: bool) -> Vec<InstanceName> {
        let seeds = self.seeds.hints.iter();
        let absent = seeds.filter(|(name, seed)| (knows_nobody || seed.tries == 0) && self.is_absent(name));
        let mut ranked: Vec<(&InstanceName, &Seed)> = absent.collect();
        ranked.sort_by_key(|(name, seed)| (seed.tries, seed.zone != self.me.zone, *name));
        ranked.into_iter().take(count).map(|(name, _)| name.clone()).collect()
    }

    fn is_absent(&self, name: &InstanceName) -> bool {
        !self.table.get(name).is_some_and(MemberEntry::is_present)
    }

    /// Probes an absent instance. A missing answer has no effect; an answer adds the instance to the view.
    fn contact(&mut self, name: &InstanceName, out: &mut Vec<Output>) {
        let entry = self.table.get(name).map(|entry| entry.member.clone());
        let listed = self.seeds.hints.get_mut(name).map(|seed| {
            seed.tries += 1;
            seed.address
        });
        let Some(address) = listed.or(entry.as_ref().map(|member| member.address)) else {
            return;
        };
        let mut gossip = self.introduction();
        gossip.members.extend(entry);
        let seq = self.probes.next_seq();
        out.push(send_to(name, address, Frame::Probe(seq, gossip)));
    }
}
