//! What stays in force for a moment after the store has come back from an older copy.
//!
//! The copy lacks what was written last, and shows what had been replaced by it. Whoever wrote that writes it again. Until then what was
//! known before counts where the copy says otherwise: else upstreams that serve would seem gone all at once, and ones that have
//! left would get flows again.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Time;

/// For how long. Writers are back within about two seconds; what is still missing then has gone.
const LASTS: Duration = Duration::from_secs(2);

/// What was known before, where the copy says otherwise.
#[derive(Debug, Clone)]
pub(crate) struct Grace<K, V> {
    until: Time,
    kept: BTreeMap<K, V>,
}

impl<K, V> Default for Grace<K, V> {
    fn default() -> Self {
        Self {
            until: Time::default(),
            kept: BTreeMap::new(),
        }
    }
}

impl<K: Ord, V> Grace<K, V> {
    /// Begins anew with what was known before.
    pub(crate) fn begin(kept: BTreeMap<K, V>, now: Time) -> Self {
        Self {
            until: now + LASTS,
            kept,
        }
    }

    /// What counts in place of what the copy says, if anything does.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.kept.get(key)
    }

    /// All that counts so.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.kept.iter()
    }

    /// Something was written after the return, which counts.
    pub(crate) fn remove(&mut self, key: &K) {
        self.kept.remove(key);
    }

    /// Ends it if its time is over, and gives what counts no more.
    pub(crate) fn end(&mut self, now: Time) -> BTreeMap<K, V> {
        if now < self.until {
            return BTreeMap::new();
        }
        std::mem::take(&mut self.kept)
    }
}
