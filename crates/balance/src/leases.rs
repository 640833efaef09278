//! The slots that are lent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use units::Time;
use units::UpstreamName;
use units::Weight;

/// A slot that is lent.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    /// The upstream whose slot it is.
    pub(crate) upstream: UpstreamName,
    /// What the request counts, if this pool granted it.
    pub(crate) weight: Option<Weight>,
    /// When the request is to have ended.
    pub(crate) deadline: Time,
    /// When the slot is taken back.
    pub(crate) expiry: Time,
}

/// All slots that are lent, by key and by expiry.
#[derive(Debug, Clone)]
pub(crate) struct Leases<K> {
    leases: BTreeMap<K, Lease>,
    expiries: BTreeSet<(Time, K)>,
}

impl<K: Clone + Ord> Leases<K> {
    pub(crate) fn new() -> Self {
        Self {
            leases: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Whether a slot is lent under this key.
    pub(crate) fn contains(&self, key: &K) -> bool {
        self.leases.contains_key(key)
    }

    /// The slot that is lent under this key.
    pub(crate) fn get(&self, key: &K) -> Option<&Lease> {
        self.leases.get(key)
    }

    /// Whether no slot is lent.
    pub(crate) fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Lends a slot. The key must not be in use.
    pub(crate) fn insert(&mut self, key: K, lease: Lease) {
        self.expiries.insert((lease.expiry, key.clone()));
        self.leases.insert(key, lease);
    }

    /// Takes a slot back.
    pub(crate) fn remove(&mut self, key: &K) -> Option<Lease> {
        let lease = self.leases.remove(key)?;
        self.expiries.remove(&(lease.expiry, key.clone()));
        Some(lease)
    }

    /// Takes one slot back whose expiry has passed.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Lease> {
        let (expiry, key) = self.expiries.first()?;
        if *expiry > now {
            return None;
        }
        let key = key.clone();
        self.remove(&key)
    }

    /// Lets the slots of keys that fail `keep` expire at their deadline, without the margin.
    pub(crate) fn expire_at_deadline(&mut self, keep: impl Fn(&K) -> bool) {
        let Self { leases, expiries } = self;
        for (key, lease) in leases {
            if keep(key) {
                continue;
            }
            expiries.remove(&(lease.expiry, key.clone()));
            lease.expiry = lease.deadline;
            expiries.insert((lease.expiry, key.clone()));
        }
    }
}
