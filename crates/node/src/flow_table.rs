//! A table of ledgers by flow, with the time at which each is next checked for expiry and the number of flows per
//! group of callers.
//!
//! The table does not interpret ledgers and does not decide how long they are kept.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::IpAddr;

use units::Time;

use crate::FlowKey;
use crate::Ledger;

/// The number of groups of callers. Fixed, so that memory does not grow with the number of callers.
const CALLER_GROUPS: u64 = 4_096;

/// The callers whose addresses hash to the same value. Few callers share a group with a given other one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerGroup(u16);

impl CallerGroup {
    /// The group of an address. The hash is seeded so that a caller can't choose to share another caller's group.
    pub fn of(address: IpAddr, seed: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        seed.hash(&mut hasher);
        address.hash(&mut hasher);
        Self((hasher.finish() % CALLER_GROUPS) as u16)
    }
}

/// A flow's ledger, when it is next checked, and the group of the caller if known.
#[derive(Debug, Clone)]
struct TrackedFlow {
    ledger: Ledger,
    due: Time,
    group: Option<CallerGroup>,
}

/// Ledgers by flow.
#[derive(Debug, Clone)]
pub(crate) struct FlowTable {
    tracked: HashMap<FlowKey, TrackedFlow>,
    /// When each flow is next checked. Each flow appears once, so the size is bounded by the number of flows.
    due: BTreeSet<(Time, FlowKey)>,
    /// The number of flows per group.
    group_sizes: Vec<u32>,
}

impl Default for FlowTable {
    fn default() -> Self {
        Self {
            tracked: HashMap::new(),
            due: BTreeSet::new(),
            group_sizes: vec![0; CALLER_GROUPS as usize],
        }
    }
}

impl FlowTable {
    pub fn len(&self) -> usize {
        self.tracked.len()
    }

    pub fn expiries(&self) -> usize {
        self.due.len()
    }

    pub fn contains(&self, key: FlowKey) -> bool {
        self.tracked.contains_key(&key)
    }

    pub fn get(&self, key: FlowKey) -> Option<&Ledger> {
        Some(&self.tracked.get(&key)?.ledger)
    }

    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Ledger> {
        Some(&mut self.tracked.get_mut(&key)?.ledger)
    }

    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, &Ledger)> {
        self.tracked.iter().map(|(key, tracked)| (*key, &tracked.ledger))
    }

    /// Adds the ledger of a flow that has none.
    pub fn insert(&mut self, key: FlowKey, ledger: Ledger, due: Time) -> &mut Ledger {
        self.due.insert((due, key));
        let group = None;
        let tracked = self.tracked.entry(key).insert_entry(TrackedFlow { ledger, due, group });
        &mut tracked.into_mut().ledger
    }

    pub fn remove(&mut self, key: FlowKey) -> Option<Ledger> {
        let tracked = self.tracked.remove(&key)?;
        self.due.remove(&(tracked.due, key));
        if let Some(group) = tracked.group {
            self.group_sizes[usize::from(group.0)] -= 1;
        }
        Some(tracked.ledger)
    }

    /// A flow that is due, if there is one. It stays due until it is removed or [`FlowTable::set_due`] postpones it.
    pub fn first_due(&self, now: Time) -> Option<FlowKey> {
        let (due, key) = self.due.first()?;
        (*due <= now).then_some(*key)
    }

    pub fn set_due(&mut self, key: FlowKey, due: Time) {
        let Some(tracked) = self.tracked.get_mut(&key) else {
            return;
        };
        self.due.remove(&(tracked.due, key));
        self.due.insert((due, key));
        tracked.due = due;
    }

    /// The number of flows of a group.
    pub fn group_size(&self, group: CallerGroup) -> usize {
        self.group_sizes[usize::from(group.0)] as usize
    }

    /// Assigns a flow to a group unless it already belongs to one.
    pub fn assign_group(&mut self, key: FlowKey, group: CallerGroup) {
        let tracked = self.tracked.get_mut(&key).filter(|tracked| tracked.group.is_none());
        if let Some(tracked) = tracked {
            tracked.group = Some(group);
            self.group_sizes[usize::from(group.0)] += 1;
        }
    }

    /// Removes and returns all ledgers in a deterministic order.
    pub fn drain(&mut self) -> Vec<(FlowKey, Ledger)> {
        let tracked = std::mem::take(self).tracked.into_iter();
        let mut flows: Vec<_> = tracked.map(|(key, tracked)| (key, tracked.ledger)).collect();
        flows.sort_unstable_by_key(|(key, _)| *key);
        flows
    }
}
