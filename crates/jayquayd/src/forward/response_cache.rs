//! Caches the last response to other instances, so that simultaneous identical requests share it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;

use flow::Knowledge;
use flow::Positions;

use super::exchange;
use super::exchange::EncodedChange;
use super::exchange::Query;

/// Cache key of a response: the query, and the positions of the knowledge here.
type CacheKey = (Query, Positions);

#[derive(Debug)]
struct CachedResponse {
    key: CacheKey,
    bytes: Weak<[u8]>,
    is_compressed: bool,
}

/// The last response, for as long as it is still being sent to some requester. In a fleet that starts simultaneously,
/// many instances request the same at the same time, and the list of all upstreams is long.
#[derive(Debug, Default)]
pub(crate) struct ResponseCache {
    last: Mutex<Option<CachedResponse>>,
}

impl ResponseCache {
    /// The encoded response to a query.
    pub(crate) fn get(&self, query: Query, knowledge: &Knowledge) -> EncodedChange {
        let key = (query, knowledge.positions());
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let held = last.as_ref().filter(|last| last.key == key);
        if let Some(encoded) = held.and_then(CachedResponse::encoded) {
            return encoded;
        }
        let encoded = EncodedChange::new(&exchange::changes_for(knowledge, query), query.reads_compressed);
        *last = Some(CachedResponse {
            key,
            bytes: Arc::downgrade(&encoded.bytes),
            is_compressed: encoded.is_compressed,
        });
        encoded
    }
}

impl CachedResponse {
    fn encoded(&self) -> Option<EncodedChange> {
        Some(EncodedChange {
            bytes: self.bytes.upgrade()?,
            is_compressed: self.is_compressed,
        })
    }
}
