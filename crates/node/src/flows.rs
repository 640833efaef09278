//! Ledgers by flow, when each is due to be looked at, and how many each group of callers has made.
//!
//! This part knows nothing of what ledgers say, nor of how long they are to be kept.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::IpAddr;

use units::Time;

use crate::FlowKey;
use crate::Ledger;

/// How many groups of callers are told apart. Memory must not grow with the number of callers.
const GROUPS: u64 = 4_096;

/// The callers whose addresses have the same hash. Few share a group with a given other one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Group(u16);

impl Group {
    /// The group of an address. Nobody who doesn't know the seed can choose whose group to be in.
    pub fn of(address: IpAddr, seed: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        seed.hash(&mut hasher);
        address.hash(&mut hasher);
        Self((hasher.finish() % GROUPS) as u16)
    }
}

/// A flow's ledger, when it is due, and whose it is if that is known.
#[derive(Debug, Clone)]
struct Kept {
    ledger: Ledger,
    due: Time,
    group: Option<Group>,
}

/// Ledgers by flow.
#[derive(Debug, Clone)]
pub(crate) struct Flows {
    kept: HashMap<FlowKey, Kept>,
    /// Each flow once, so that what is queued is bounded by the number of flows.
    due: BTreeSet<(Time, FlowKey)>,
    /// How many flows each group has.
    held: Vec<u32>,
}

impl Default for Flows {
    fn default() -> Self {
        Self {
            kept: HashMap::new(),
            due: BTreeSet::new(),
            held: vec![0; GROUPS as usize],
        }
    }
}

impl Flows {
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn expiries(&self) -> usize {
        self.due.len()
    }

    pub fn contains(&self, key: FlowKey) -> bool {
        self.kept.contains_key(&key)
    }

    pub fn get(&self, key: FlowKey) -> Option<&Ledger> {
        Some(&self.kept.get(&key)?.ledger)
    }

    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Ledger> {
        Some(&mut self.kept.get_mut(&key)?.ledger)
    }

    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, &Ledger)> {
        self.kept.iter().map(|(key, kept)| (*key, &kept.ledger))
    }

    /// Adds the ledger of a flow that has none.
    pub fn insert(&mut self, key: FlowKey, ledger: Ledger, due: Time) -> &mut Ledger {
        self.due.insert((due, key));
        let group = None;
        let kept = self.kept.entry(key).insert_entry(Kept { ledger, due, group });
        &mut kept.into_mut().ledger
    }

    pub fn remove(&mut self, key: FlowKey) -> Option<Ledger> {
        let kept = self.kept.remove(&key)?;
        self.due.remove(&(kept.due, key));
        if let Some(group) = kept.group {
            self.held[usize::from(group.0)] -= 1;
        }
        Some(kept.ledger)
    }

    /// A flow that is due, if there is one. It stays due until it is removed or set to a later time.
    pub fn first_due(&self, now: Time) -> Option<FlowKey> {
        let (due, key) = self.due.first()?;
        (*due <= now).then_some(*key)
    }

    pub fn set_due(&mut self, key: FlowKey, due: Time) {
        let Some(kept) = self.kept.get_mut(&key) else {
            return;
        };
        self.due.remove(&(kept.due, key));
        self.due.insert((due, key));
        kept.due = due;
    }

    /// How many flows a group has.
    pub fn held(&self, group: Group) -> usize {
        self.held[usize::from(group.0)] as usize
    }

    /// Notes whose a flow is, unless that is known.
    pub fn charge(&mut self, key: FlowKey, group: Group) {
        let kept = self.kept.get_mut(&key).filter(|kept| kept.group.is_none());
        if let Some(kept) = kept {
            kept.group = Some(group);
            self.held[usize::from(group.0)] += 1;
        }
    }

    /// Takes all ledgers out, in a fixed order.
    pub fn take(&mut self) -> Vec<(FlowKey, Ledger)> {
        let kept = std::mem::take(self).kept.into_iter();
        let mut flows: Vec<_> = kept.map(|(key, kept)| (key, kept.ledger)).collect();
        flows.sort_unstable_by_key(|(key, _)| *key);
        flows
    }
}
