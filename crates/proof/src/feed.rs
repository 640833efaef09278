//! What an instance's daemon does towards the platform: the document, the list, and whether the platform answers.

use std::time::Duration;

use node::Event;
use node::Listed;
use node::Peer;
use units::Incarnation;
use units::InstanceName;
use units::Time;

use crate::fabric::millis;
use crate::violation::Violation;
use crate::world::Happening;
use crate::world::World;

/// How often an instance notices whether the platform answers.
const NOTICE_EVERY: Duration = Duration::from_secs(1);
/// How often a watcher reads the list.
const WATCHER_LIST_EVERY: Duration = Duration::from_secs(2);
/// How often the other instances read the list.
const OTHERS_LIST_EVERY: Duration = Duration::from_secs(10);
/// How long the list keeps an instance that has ended without a word.
const LEASE: Duration = Duration::from_secs(30);
/// How many instances the settings of another name.
const SETTINGS_PEERS: usize = 2;

impl World {
    /// Begins or ends a life's watch of the document.
    pub(crate) fn watch(&mut self, peer: &Peer, on: bool) {
        let Some(life) = self.instances.get_mut(&peer.name).and_then(|i| i.life.as_mut()) else {
            return;
        };
        let begins = on && !life.watching;
        life.watching = on;
        if begins {
            self.relist(peer);
        }
    }

    /// Gives an instance the document that the platform shows on a re-list.
    pub(crate) fn relist(&mut self, peer: &Peer) {
        if !self.platform_reached(&peer.name) {
            return;
        }
        let Some(accepted) = self.platform.relist() else {
            return;
        };
        let event = Event::DocumentLoaded(accepted.revision, accepted.text.clone());
        let delay = millis(&mut self.rng, 5, 50) + self.platform.delay();
        self.queue
            .push(self.now + delay, Happening::Event(peer.clone(), Box::new(event)));
    }

    /// Whether the platform answers an instance.
    pub(crate) fn platform_reached(&self, name: &InstanceName) -> bool {
        let zone = self.instances.get(name).map(|instance| &instance.spec.zone);
        self.platform.answers() && zone.is_some_and(|zone| self.cuts.platform(zone))
    }

    /// A new life reads the document and the list once, and knows the instances that its settings name.
    pub(crate) fn introduce(&mut self, peer: &Peer) {
        let list = self.settings_peers(&peer.name);
        let soon = self.now + millis(&mut self.rng, 1, 5);
        let event = Box::new(Event::InstanceList(list));
        self.queue.push(soon, Happening::Event(peer.clone(), event));
        self.relist(peer);
        self.queue.push(soon, Happening::Platform(peer.clone()));
    }

    fn settings_peers(&self, name: &InstanceName) -> Vec<Listed> {
        let after = self.instances.range(name.clone()..).skip(1);
        let before = self.instances.range(..name.clone());
        let mut list = Vec::new();
        for (_, instance) in after.chain(before).take(SETTINGS_PEERS) {
            list.push(Listed::Entry {
                name: instance.spec.name.clone(),
                incarnation: Incarnation(0),
                zone: instance.spec.zone.clone(),
                address: instance.spec.address,
                admin: None,
                leaving: false,
            });
        }
        list
    }

    /// An instance notices whether the platform answers, and reads the list now and then.
    pub(crate) fn turn_to_platform(&mut self, peer: Peer) -> Result<(), Violation> {
        let now = self.now;
        let reached = self.platform_reached(&peer.name);
        let Some(life) = self
            .instances
            .get_mut(&peer.name)
            .and_then(|i| i.life_of(peer.incarnation))
        else {
            return Ok(());
        };
        let next = now + NOTICE_EVERY + millis(&mut self.rng, 0, 200);
        self.queue.push(next, Happening::Platform(peer.clone()));
        if life.frozen {
            return Ok(());
        }
        let changed = life.platform.replace(reached) != Some(reached);
        let watching = life.watching;
        let every = if watching {
            WATCHER_LIST_EVERY
        } else {
            OTHERS_LIST_EVERY
        };
        let list_due = life.listed.is_none_or(|at| now.since(at) >= every);
        if reached && list_due {
            life.listed = Some(now);
        }
        if changed {
            self.feed(&peer, Event::PlatformReachable(reached))?;
        }
        if reached && changed && watching {
            self.relist(&peer);
        }
        if reached && list_due {
            self.read_list(peer);
        }
        Ok(())
    }

    fn read_list(&mut self, peer: Peer) {
        let list = Box::new(Event::InstanceList(self.platform.list(self.now)));
        let delay = millis(&mut self.rng, 2, 20) + self.platform.delay();
        self.queue.push(self.now + delay, Happening::Event(peer, list));
    }

    /// The list as it stands in the platform's service now.
    pub(crate) fn listed(&self) -> Vec<Listed> {
        let mut list = Vec::new();
        for instance in self.instances.values() {
            let Some((incarnation, until)) = instance.lease else {
                continue;
            };
            if until.is_some_and(|until: Time| until < self.now) {
                continue;
            }
            let life = instance.life.as_ref();
            list.push(Listed::Entry {
                name: instance.spec.name.clone(),
                incarnation,
                zone: instance.spec.zone.clone(),
                address: instance.spec.address,
                admin: None,
                leaving: life.is_some_and(|life| life.stopping.is_some()),
            });
        }
        for upstream in self.upstreams.values() {
            list.push(Listed::Upstream {
                name: upstream.spec.name.clone(),
                incarnation: upstream.incarnation,
                leaving: upstream.listed_leaving,
            });
        }
        list
    }

    /// A process that has ended without a word stays listed until its lease lapses.
    pub(crate) fn lapse_lease(&mut self, name: &InstanceName, planned: bool) {
        let until = self.now + LEASE;
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let lease = instance.lease.take().filter(|_| !planned);
        instance.lease = lease.map(|(incarnation, _)| (incarnation, Some(until)));
    }
}
