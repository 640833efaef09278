//! Grace period for known entries after the store has been restored from an older copy.
//!
//! The copy lacks the latest writes and contains entries that these had replaced. Their writers write them again. Until
//! then, the previously known state takes precedence where it differs from the copy: otherwise serving upstreams would
//! seem to disappear all at once, and upstreams that have left would get flows again.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Time;

/// Length of the grace period. Writers are back within about two seconds; entries that are still missing then have been
/// removed.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Entries known before the restore, where they differ from the copy.
#[derive(Debug, Clone)]
pub(crate) struct GracePeriod<K, V> {
    until: Time,
    previous: BTreeMap<K, V>,
}

impl<K, V> Default for GracePeriod<K, V> {
    fn default() -> Self {
        Self {
            until: Time::default(),
            previous: BTreeMap::new(),
        }
    }
}

impl<K: Ord, V> GracePeriod<K, V> {
    /// Starts a new grace period for the previously known entries.
    pub(crate) fn begin(previous: BTreeMap<K, V>, now: Time) -> Self {
        Self {
            until: now + GRACE_PERIOD,
            previous,
        }
    }

    /// Returns the entry that overrides the copy, if there is one.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.previous.get(key)
    }

    /// Iterates over all entries that override the copy.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.previous.iter()
    }

    /// Removes an entry because its key was written after the restore.
    pub(crate) fn remove(&mut self, key: &K) {
        self.previous.remove(key);
    }

    /// Ends the grace period if its time is over, and returns the entries that no longer apply.
    pub(crate) fn end(&mut self, now: Time) -> BTreeMap<K, V> {
        if now < self.until {
            return BTreeMap::new();
        }
        std::mem::take(&mut self.previous)
    }
}
