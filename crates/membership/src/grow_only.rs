//! Grow-only sets of records that stay true once known: ledger hand-overs, and leaving upstreams.
//!
//! The size of each set is bounded. When a set is full, the record with the lowest incarnation is removed. All
//! instances agree on incarnations but not on local clocks, so instances that exchange all their records end up with
//! the same sets.

use std::collections::BTreeMap;

use units::Incarnation;
use units::InstanceName;
use units::UpstreamName;
use wire::LeavingUpstream;
use wire::Successor;

use crate::rendezvous::hash;

/// The maximum number of hand-overs that are retained.
const MAX_SUCCESSORS: usize = 1_024;
/// The maximum number of leaving upstreams that are retained.
const MAX_LEAVING_UPSTREAMS: usize = 4_096;

/// The name and incarnation of an instance, which identify one run of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InstanceId {
    pub(crate) name: InstanceName,
    pub(crate) incarnation: Incarnation,
}

/// The result of following the hand-overs of an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandoverEnd<'a> {
    /// No hand-over is known.
    NoHandover,
    /// The incarnation that the ledgers were last handed over to.
    At(&'a InstanceId),
    /// The records form a cycle, which no correct instance creates.
    Cycle,
}

/// The known hand-overs.
#[derive(Debug, Default, Clone)]
pub(crate) struct Successors {
    records: BTreeMap<InstanceId, InstanceId>,
    pub(crate) view_hash: u64,
}

impl Successors {
    /// Adds a record and returns whether it changed the set. Of two records for the same incarnation, every instance
    /// keeps the same one.
    pub(crate) fn add(&mut self, record: &Successor) -> bool {
        let from = InstanceId {
            name: record.from.clone(),
            incarnation: record.from_incarnation,
        };
        let to = InstanceId {
            name: record.to.clone(),
            incarnation: record.to_incarnation,
        };
        let held = self.records.get(&from);
        if from == to || held.is_some_and(|held| precedence(held) >= precedence(&to)) {
            return false;
        }
        if let Some(held) = held {
            self.view_hash ^= record_hash(&from, held);
        }
        self.view_hash ^= record_hash(&from, &to);
        self.records.insert(from.clone(), to);
        self.enforce_limit();
        self.records.contains_key(&from)
    }

    fn enforce_limit(&mut self) {
        if self.records.len() <= MAX_SUCCESSORS {
            return;
        }
        let age = |(from, to): &(&InstanceId, &InstanceId)| (from.incarnation.max(to.incarnation), (*from).clone());
        let oldest = self.records.iter().min_by_key(age).map(|(from, _)| from.clone());
        if let Some((from, to)) = oldest.and_then(|from| self.records.remove_entry(&from)) {
            self.view_hash ^= record_hash(&from, &to);
        }
    }

    /// Follows the hand-overs from an incarnation to the last one.
    pub(crate) fn resolve(&self, from: &InstanceId) -> HandoverEnd<'_> {
        let Some(mut last) = self.records.get(from) else {
            return HandoverEnd::NoHandover;
        };
        for _ in 0..self.records.len() {
            let Some(next) = self.records.get(last) else {
                return HandoverEnd::At(last);
            };
            last = next;
        }
        HandoverEnd::Cycle
    }

    pub(crate) fn get(&self, from: &InstanceId) -> Option<Successor> {
        self.records.get_key_value(from).map(|(from, to)| successor(from, to))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Successor> {
        self.records.iter().map(|(from, to)| successor(from, to))
    }
}

fn precedence(id: &InstanceId) -> (Incarnation, &InstanceName) {
    (id.incarnation, &id.name)
}

fn successor(from: &InstanceId, to: &InstanceId) -> Successor {
    Successor {
        from: from.name.clone(),
        from_incarnation: from.incarnation,
        to: to.name.clone(),
        to_incarnation: to.incarnation,
    }
}

fn record_hash(from: &InstanceId, to: &InstanceId) -> u64 {
    let text = format!("succ {} {} {} {}", from.name, from.incarnation, to.name, to.incarnation);
    hash(text.as_bytes())
}

/// The highest leaving incarnation of each upstream.
#[derive(Debug, Default, Clone)]
pub(crate) struct LeavingUpstreams {
    highest: BTreeMap<UpstreamName, Incarnation>,
    pub(crate) view_hash: u64,
}

impl LeavingUpstreams {
    /// Adds a mark and returns whether it changed the set.
    pub(crate) fn add(&mut self, mark: &LeavingUpstream) -> bool {
        let held = self.highest.get(&mark.name).copied();
        if held.is_some_and(|held| held >= mark.incarnation) {
            return false;
        }
        if let Some(held) = held {
            self.view_hash ^= leaving_hash(&mark.name, held);
        }
        self.view_hash ^= leaving_hash(&mark.name, mark.incarnation);
        self.highest.insert(mark.name.clone(), mark.incarnation);
        self.enforce_limit();
        self.is_leaving(&mark.name, mark.incarnation)
    }

    fn enforce_limit(&mut self) {
        if self.highest.len() <= MAX_LEAVING_UPSTREAMS {
            return;
        }
        let age = |(name, incarnation): &(&UpstreamName, &Incarnation)| (**incarnation, (*name).clone());
        let oldest = self.highest.iter().min_by_key(age).map(|(name, _)| name.clone());
        if let Some((name, incarnation)) = oldest.and_then(|name| self.highest.remove_entry(&name)) {
            self.view_hash ^= leaving_hash(&name, incarnation);
        }
    }

    /// Whether an incarnation is leaving. A mark covers the marked incarnation and all earlier ones.
    pub(crate) fn is_leaving(&self, name: &UpstreamName, incarnation: Incarnation) -> bool {
        self.highest.get(name).is_some_and(|highest| *highest >= incarnation)
    }

    pub(crate) fn get(&self, name: &UpstreamName) -> Option<LeavingUpstream> {
        self.highest.get_key_value(name).map(leaving_upstream)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = LeavingUpstream> {
        self.highest.iter().map(leaving_upstream)
    }
}

fn leaving_upstream((name, incarnation): (&UpstreamName, &Incarnation)) -> LeavingUpstream {
    LeavingUpstream {
        name: name.clone(),
        incarnation: *incarnation,
    }
}

fn leaving_hash(name: &UpstreamName, incarnation: Incarnation) -> u64 {
    hash(format!("mark {name} {incarnation}").as_bytes())
}
