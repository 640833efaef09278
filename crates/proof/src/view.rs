//! What can be seen of a world from outside.

use std::collections::BTreeMap;

use units::InstanceName;
use units::Revision;
use units::UpstreamName;

use crate::instance::Instance;
use crate::upstream::Upstream;
use crate::upstream::UpstreamSpec;
use crate::world::World;

impl World {
    /// The revision that the platform holds.
    pub fn revision(&self) -> Option<Revision> {
        self.platform.revision()
    }

    /// Whether the platform answers at all.
    pub fn platform_answers(&self) -> bool {
        self.platform.answers()
    }

    /// How many callers there are. They are numbered from one.
    pub fn callers(&self) -> u32 {
        self.drivers.len() as u32
    }

    /// How many instances and upstreams there are.
    pub fn population(&self) -> usize {
        self.instances.len() + self.upstreams.len()
    }

    /// All instances.
    pub fn instance_names(&self) -> Vec<InstanceName> {
        self.instances.keys().cloned().collect()
    }

    /// The upstreams that serve, of services that can do without one of them.
    pub fn spare_upstreams(&self) -> Vec<UpstreamName> {
        let serving = |upstream: &&Upstream| upstream.up && !upstream.draining && !upstream.listed_leaving;
        let mut spare = Vec::new();
        for upstream in self.upstreams.values().filter(serving) {
            let fellows = self
                .upstreams
                .values()
                .filter(|u| u.spec.service == upstream.spec.service);
            if fellows.filter(serving).count() > 2 {
                spare.push(upstream.spec.name.clone());
            }
        }
        spare
    }

    /// What an upstream is, whether the document names it or not.
    pub fn upstream(&self, name: &UpstreamName) -> Option<UpstreamSpec> {
        self.upstreams.get(name).map(|upstream| upstream.spec.clone())
    }

    /// Whether this life of an upstream is the present one and has run anything.
    pub fn served(&self, name: &UpstreamName, life: u64) -> bool {
        let upstream = self.upstreams.get(name);
        upstream.is_some_and(|upstream| upstream.incarnation.0 == life && upstream.runs > 0)
    }

    /// Whether only planned changes have happened so far, so that no flow may break.
    pub fn planned_only(&self) -> bool {
        self.book.planned_only
    }

    /// How many operations ended in each way.
    pub fn endings(&self) -> BTreeMap<String, u32> {
        self.book.endings()
    }

    /// How many requests an upstream runs.
    pub fn busy(&self, name: &UpstreamName) -> u16 {
        self.upstreams.get(name).map_or(0, |upstream| upstream.busy)
    }

    /// The instances that run, are not frozen, and are not on a planned stop.
    pub fn running(&self) -> Vec<InstanceName> {
        let runs = |instance: &&Instance| {
            let life = instance.life.as_ref();
            life.is_some_and(|life| !life.frozen && life.stopping.is_none())
        };
        let found = self.instances.values().filter(runs);
        found.map(|instance| instance.spec.name.clone()).collect()
    }

    /// The revision in force at each running instance.
    pub fn in_force(&self) -> BTreeMap<InstanceName, Option<Revision>> {
        let mut found = BTreeMap::new();
        for (name, instance) in &self.instances {
            if let Some(life) = &instance.life {
                found.insert(name.clone(), life.in_force);
            }
        }
        found
    }
}
