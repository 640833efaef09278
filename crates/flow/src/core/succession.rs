//! Upstreams that have one address, one after the other.
//!
//! An upstream that crashed and came back has a new id at its old address as a rule, and its old entry is listed until it lapses. What is
//! sent to the earlier one then reaches nobody: the later one answers only what is meant for it. Two can't hold one address, so as
//! soon as one has answered something, every other that has not answered since has ended, and so have its flows: they are told so at
//! once, where a client would wait until its time is up.
//!
//! Only an answer decides. An entry may come from anybody, and one that claims a living upstream's address gets no answer there.

use std::time::Duration;

use units::Time;

use super::Core;
use crate::decision::Decision;
use crate::directory::Listed;
use crate::health::Health;
use crate::standing::Status;
use crate::upstream::UpstreamId;

/// For how long after a later upstream was listed at an address the earlier one gets new flows only if there is no other. Within that
/// time the entry of one that ended has lapsed; one that lives on, whatever is claimed, gets flows again.
const DOUBTED_FOR: Duration = Duration::from_secs(10);

impl Core {
    /// An upstream has answered something that was sent to it. Ends those that had its address before, and has all others do so.
    pub(super) fn note_holder(&mut self, id: UpstreamId, sent_at: Time, now: Time) {
        if self.end_earlier(id, sent_at) {
            let answered_ago = now.since(sent_at);
            self.tell_silence(id, Status::Alive { answered_ago });
        }
    }

    /// Ends those that had an upstream's address before, if it has answered something that was sent at this time. Tells whether
    /// there were any.
    pub(super) fn end_earlier(&mut self, id: UpstreamId, sent_at: Time) -> bool {
        // What was sent before it was told to be there may have reached it elsewhere.
        let is_there = self.directory.get(id).is_some_and(|listed| sent_at >= listed.since);
        if !is_there {
            return false;
        }
        let others = self.directory.sharing_with(id).map(|(other, _)| other);
        let ended: Vec<UpstreamId> = others
            .filter(|other| !self.has_answered_since(*other, sent_at))
            .collect();
        for other in &ended {
            self.health.entry(*other).or_default().note_replaced();
            let flows = self.end_flows(*other);
            self.decisions.push(Decision::Replaced {
                upstream: *other,
                by: id,
                flows,
            });
        }
        !ended.is_empty()
    }

    /// Whether an upstream has answered since, or is known to have been replaced already.
    fn has_answered_since(&self, id: UpstreamId, since: Time) -> bool {
        let health = self.health.get(&id);
        health.is_some_and(|health| health.is_replaced() || health.last_progress >= since)
    }

    /// Whether a later upstream was listed at an upstream's address a moment ago, and it has not answered since.
    pub(super) fn is_doubted(&self, id: UpstreamId, listed: &Listed, health: Option<&Health>, now: Time) -> bool {
        let answered_at = health.map(|health| health.last_progress).unwrap_or_default();
        self.directory.sharing_with(id).any(|(_, other)| {
            let is_recent = now.since(other.since) < DOUBTED_FOR;
            other.gone_since.is_none() && is_recent && answered_at <= other.since && other.is_later_than(listed)
        })
    }
}
