//! Selects the instances that aggregate the reports on an upstream, and those that may have observed it.
//!
//! Two instances of the upstream's own availability zone, where most of its flows are, act as its aggregators,
//! selected by rendezvous hashing: a reporting instance can compute them locally, and the work is spread evenly over
//! the instances.

use flow::UpstreamId;
use membership::Membership;
use units::ZoneName;
use wire::Member;

/// Number of aggregators per upstream: one may be down for a second before the others notice.
pub(crate) const AGGREGATOR_COUNT: usize = 2;
/// Minimum number of instances to ask for their observations of an upstream: if a zone has fewer, some of other zones
/// are asked as well, which see part of its flows.
const MIN_OBSERVERS: usize = 12;

/// The members of an availability zone, or all members if it has none.
pub(crate) fn members_in_zone<'a>(members: &[&'a Member], zone: Option<&ZoneName>) -> Vec<&'a Member> {
    let in_zone = members.iter().copied().filter(|member| Some(&member.zone) == zone);
    let in_zone: Vec<&Member> = in_zone.collect();
    if in_zone.is_empty() { members.to_vec() } else { in_zone }
}

/// The aggregators of an upstream in an availability zone.
pub(crate) fn aggregators<'a>(
    members: &'a Membership,
    upstream: UpstreamId,
    zone: Option<&ZoneName>,
) -> Vec<&'a Member> {
    let ranked = members.ranked_members(upstream.0);
    let mut aggregators = members_in_zone(&ranked, zone);
    aggregators.truncate(AGGREGATOR_COUNT);
    aggregators
}

/// Whether this instance is an aggregator of an upstream.
pub(crate) fn is_aggregator(members: &Membership, upstream: UpstreamId, zone: Option<&ZoneName>) -> bool {
    let own = &members.me().name;
    aggregators(members, upstream, zone)
        .iter()
        .any(|member| member.name == *own)
}

/// The members other than this one that may have observed an upstream: all of its zone, and some of other zones if
/// these are few.
pub(crate) fn observers<'a>(members: &'a Membership, upstream: UpstreamId, zone: Option<&ZoneName>) -> Vec<&'a Member> {
    let ranked = members.ranked_members(upstream.0);
    let own = &members.me().name;
    let others = ranked.into_iter().filter(|member| member.name != *own);
    let (mut local, remote): (Vec<&Member>, Vec<&Member>) = others.partition(|member| Some(&member.zone) == zone);
    let missing = MIN_OBSERVERS.saturating_sub(local.len());
    local.extend(remote.into_iter().take(missing));
    local
}
