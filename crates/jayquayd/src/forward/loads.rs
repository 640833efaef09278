//! Selects the instances that collect the load of upstreams, and finds the addresses of those that report it.
//!
//! Two instances of the upstreams' own availability zone act as collectors of a group, selected by rendezvous hashing
//! as the aggregators of failure reports are.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flow::COLLECTOR_COUNT;
use flow::LoadGroup;
use flow::ReporterId;
use membership::Membership;
use units::InstanceName;
use units::Time;
use wire::Member;

use super::aggregators::members_in_zone;

/// Interval at which the members are compared with those that the choice of collectors is based on.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// An instance that load messages are sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Recipient {
    /// This instance itself.
    Own,
    /// Another instance.
    Other(SocketAddr),
}

/// The collectors of each group, kept while the members stay the same.
#[derive(Debug, Default)]
pub(crate) struct Collectors {
    members: Vec<Member>,
    by_name: HashMap<ReporterId, Recipient>,
    chosen: HashMap<LoadGroup, Vec<Recipient>>,
    refreshed_at: Option<Time>,
}

impl Collectors {
    /// Discards the choice if the members have changed.
    pub(crate) fn refresh(&mut self, members: &Membership, now: Time) {
        if self.refreshed_at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(now);
        if members.members().eq(&self.members) {
            return;
        }
        self.members = members.members().cloned().collect();
        self.chosen.clear();
        let by_name = self.members.iter();
        let by_name = by_name.map(|member| (reporter_id(&member.name), recipient(member, members)));
        self.by_name = by_name.collect();
    }

    /// The collectors of a group.
    pub(crate) fn of(&mut self, group: &LoadGroup, members: &Membership) -> &[Recipient] {
        if !self.chosen.contains_key(group) {
            self.chosen.insert(group.clone(), choose(group, members));
        }
        self.chosen.get(group).map(Vec::as_slice).unwrap_or_default()
    }

    /// The instance that has sent reports under this name, if it is still a member.
    pub(crate) fn reporter(&self, name: ReporterId) -> Option<Recipient> {
        self.by_name.get(&name).copied()
    }
}

fn choose(group: &LoadGroup, members: &Membership) -> Vec<Recipient> {
    let ranked = members.ranked_members(subject(group));
    let in_zone = members_in_zone(&ranked, Some(&group.zone));
    let chosen = in_zone.into_iter().take(COLLECTOR_COUNT);
    chosen.map(|member| recipient(member, members)).collect()
}

fn recipient(member: &Member, members: &Membership) -> Recipient {
    if member.name == members.me().name {
        return Recipient::Own;
    }
    Recipient::Other(member.address)
}

/// The subject of the rendezvous hashing of a group's collectors.
fn subject(group: &LoadGroup) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for name in [group.service.as_str(), group.zone.as_str()] {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&group.number.to_be_bytes());
    first_eight(&hasher.finalize())
}

/// The identifier of a reporting instance.
pub(crate) fn reporter_id(name: &InstanceName) -> ReporterId {
    ReporterId(first_eight(&blake3::hash(name.as_str().as_bytes())))
}

fn first_eight(hash: &blake3::Hash) -> u64 {
    let head = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    u64::from_be_bytes(head)
}
