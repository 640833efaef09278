//! The objects of a stand-in for the platform, each with its versions.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use ::platform::api::Condition;
use ::platform::api::Key;
use ::platform::api::Kind;
use ::platform::api::Object;
use ::platform::api::PutRequest;
use node::Listed;
use tokio::sync::watch;
use units::Millis;
use units::Revision;
use units::Time;

use crate::platform::Counts;

/// How many versions of an object are kept.
const MAX_VERSIONS: usize = 256;

/// One version of an object and how long it counts as live.
#[derive(Debug, Clone)]
struct Version {
    object: Object,
    taken: Instant,
    ttl: Option<Millis>,
}

impl Version {
    fn is_live(&self, at: Instant) -> bool {
        let Some(ttl) = self.ttl else {
            return true;
        };
        at < self.taken + ttl.duration()
    }
}

#[derive(Debug, Default)]
struct State {
    /// The versions of each object, oldest first.
    objects: BTreeMap<Key, Vec<Version>>,
    counts: Counts,
}

/// All objects, and what was asked of them.
#[derive(Debug, Default)]
pub(crate) struct Store {
    state: Mutex<State>,
    /// Counts the writes that took effect.
    changes: watch::Sender<u64>,
}

impl Store {
    /// Writes an object if the condition holds, else tells what stands there.
    pub(crate) fn put(&self, key: &Key, condition: Condition, put: PutRequest) -> Result<Revision, Option<Object>> {
        let mut state = self.lock();
        let versions = state.objects.entry(key.clone()).or_default();
        let current = versions.last().map(|version| version.object.version);
        let holds = match condition {
            Condition::Any => true,
            Condition::Absent => current.is_none(),
            Condition::Version(wanted) => current == Some(wanted),
        };
        if !holds {
            let current = versions.last().map(|version| version.object.clone());
            state.counts.conflicts += 1;
            return Err(current);
        }
        let next = current.unwrap_or_default().next();
        versions.push(Version {
            object: Object {
                version: next,
                nonce: put.nonce,
                writer: put.writer,
                written_at: now(),
                value: put.value,
            },
            taken: Instant::now(),
            ttl: put.ttl_ms,
        });
        if versions.len() > MAX_VERSIONS {
            versions.remove(0);
        }
        state.counts.taken += 1;
        drop(state);
        self.changes.send_modify(|count| *count += 1);
        Ok(next)
    }

    /// The newest version of an object, or the one asked for, as a replica holds it that is `behind` by so many.
    pub(crate) fn find(&self, key: &Key, wanted: Option<Revision>, behind: u64) -> Option<Object> {
        let state = self.lock();
        let mut newest_first = state.objects.get(key)?.iter().rev().skip(behind as usize);
        let is_wanted = |version: &&Version| wanted.is_none_or(|wanted| version.object.version == wanted);
        newest_first.find(is_wanted).map(|version| version.object.clone())
    }

    /// Up to `limit` versions of an object, newest first, as a replica holds them that is `behind` by so many.
    pub(crate) fn history(&self, key: &Key, limit: usize, behind: u64) -> Vec<Object> {
        let state = self.lock();
        let versions = state.objects.get(key).map(Vec::as_slice).unwrap_or_default();
        let newest_first = versions.iter().rev().skip(behind as usize);
        newest_first.take(limit).map(|version| version.object.clone()).collect()
    }

    /// The leases that were live this long ago.
    pub(crate) fn list(&self, lag: Duration) -> Vec<Listed> {
        let Some(at) = Instant::now().checked_sub(lag) else {
            return Vec::new();
        };
        let state = self.lock();
        let mut entries = Vec::new();
        for (key, versions) in &state.objects {
            if !matches!(key.kind, Kind::Instances | Kind::Upstreams) {
                continue;
            }
            let Some(version) = versions.iter().rev().find(|version| version.taken <= at) else {
                continue;
            };
            if !version.is_live(at) {
                continue;
            }
            match serde_json::from_value(version.object.value.clone()) {
                Ok(entry) => entries.push(entry),
                Err(error) => log::warn!("stand-in: {} is not an entry: {error}", key.path()),
            }
        }
        entries
    }

    /// Tells of writes that take effect.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// What was counted so far.
    pub(crate) fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Counts something.
    pub(crate) fn count<F: FnOnce(&mut Counts)>(&self, change: F) {
        change(&mut self.lock().counts);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now() -> Time {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(since_epoch.as_micros() as u64)
}
