//! Leases on the slots of upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use units::Time;
use units::UpstreamName;
use units::Weight;

/// A leased slot.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    /// The upstream that owns the slot.
    pub(crate) upstream: UpstreamName,
    /// The weight of the request, if this pool granted the slot.
    pub(crate) weight: Option<Weight>,
    /// The deadline of the request.
    pub(crate) deadline: Time,
    /// When the lease is revoked.
    pub(crate) expiry: Time,
}

/// All leases, indexed by key and by expiry.
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

    /// Whether there is a lease with this key.
    pub(crate) fn contains(&self, key: &K) -> bool {
        self.leases.contains_key(key)
    }

    /// Returns the lease with this key.
    pub(crate) fn get(&self, key: &K) -> Option<&Lease> {
        self.leases.get(key)
    }

    /// Whether there are no leases.
    pub(crate) fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Adds a lease. The key must not be in use.
    pub(crate) fn insert(&mut self, key: K, lease: Lease) {
        self.expiries.insert((lease.expiry, key.clone()));
        self.leases.insert(key, lease);
    }

    /// Removes a lease.
    pub(crate) fn remove(&mut self, key: &K) -> Option<Lease> {
        let lease = self.leases.remove(key)?;
        self.expiries.remove(&(lease.expiry, key.clone()));
        Some(lease)
    }

    /// Removes one lease that has expired.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Lease> {
        let (expiry, key) = self.expiries.first()?;
        if *expiry > now {
            return None;
        }
        let key = key.clone();
        self.remove(&key)
    }

    /// Makes the leases whose keys fail `keep` expire at their deadline, without the margin.
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
