//! An index of upstreams by echo. Two ids may have the same echo, which then identifies neither.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::packet::Echo;
use crate::upstream::UpstreamId;

/// An index of upstreams by echo.
#[derive(Debug, Default, Clone)]
pub(super) struct Echoes {
    unique: HashMap<Echo, UpstreamId>,
    /// Echoes with two or more ids.
    shared: BTreeMap<Echo, BTreeSet<UpstreamId>>,
}

impl Echoes {
    /// The only upstream with this echo.
    pub(super) fn get(&self, echo: Echo) -> Option<UpstreamId> {
        self.unique.get(&echo).copied()
    }

    /// Whether an id is indexed under this echo, alone or with others.
    pub(super) fn contains(&self, echo: Echo, id: UpstreamId) -> bool {
        let is_shared = || self.shared.get(&echo).is_some_and(|ids| ids.contains(&id));
        self.get(echo) == Some(id) || is_shared()
    }

    pub(super) fn insert(&mut self, echo: Echo, id: UpstreamId) {
        if let Some(ids) = self.shared.get_mut(&echo) {
            ids.insert(id);
            return;
        }
        match self.unique.insert(echo, id) {
            Some(held) if held != id => {
                self.unique.remove(&echo);
                self.shared.insert(echo, BTreeSet::from([held, id]));
            }
            Some(_) | None => {}
        }
    }

    pub(super) fn remove(&mut self, echo: Echo, id: UpstreamId) {
        let Some(ids) = self.shared.get_mut(&echo) else {
            self.unique.remove(&echo);
            return;
        };
        ids.remove(&id);
        if ids.len() > 1 {
            return;
        }
        let last = ids.pop_first();
        self.shared.remove(&echo);
        if let Some(last) = last {
            self.unique.insert(echo, last);
        }
    }
}
