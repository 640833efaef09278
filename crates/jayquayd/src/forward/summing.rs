//! Who sums up what instances see of an upstream, and who may have seen it.
//!
//! Two instances of the upstream's own availability zone, where most of its flows are, sum up for it, found by rendezvous
//! hashing: so whoever reports needs to ask nobody, and each instance sums up for as many upstreams as any other.

use flow::UpstreamId;
use membership::Membership;
use units::ZoneName;
use wire::Member;

/// How many instances sum up for an upstream: one may be gone for a second before the others know.
pub(crate) const AGGREGATORS: usize = 2;
/// How many instances are asked what they have seen of an upstream, at least: where a zone has fewer, some of other zones are
/// asked as well, which see part of its flows.
const LEAST_ASKED: usize = 12;

/// Those of an availability zone, or all where it has none.
pub(crate) fn of_zone<'a>(members: &[&'a Member], zone: Option<&ZoneName>) -> Vec<&'a Member> {
    let here = members.iter().copied().filter(|member| Some(&member.zone) == zone);
    let here: Vec<&Member> = here.collect();
    if here.is_empty() { members.to_vec() } else { here }
}

/// Who sums up for an upstream of an availability zone.
pub(crate) fn aggregators<'a>(
    members: &'a Membership,
    upstream: UpstreamId,
    zone: Option<&ZoneName>,
) -> Vec<&'a Member> {
    let drawn = members.ranked_members(upstream.0);
    let mut aggregators = of_zone(&drawn, zone);
    aggregators.truncate(AGGREGATORS);
    aggregators
}

/// Whether this instance sums up for an upstream.
pub(crate) fn is_aggregator(members: &Membership, upstream: UpstreamId, zone: Option<&ZoneName>) -> bool {
    let own = &members.me().name;
    aggregators(members, upstream, zone)
        .iter()
        .any(|member| member.name == *own)
}

/// Who may have seen an upstream answer, this instance left out: all of its zone, and some others where these are few.
pub(crate) fn witnesses<'a>(members: &'a Membership, upstream: UpstreamId, zone: Option<&ZoneName>) -> Vec<&'a Member> {
    let drawn = members.ranked_members(upstream.0);
    let own = &members.me().name;
    let others = drawn.into_iter().filter(|member| member.name != *own);
    let (mut near, far): (Vec<&Member>, Vec<&Member>) = others.partition(|member| Some(&member.zone) == zone);
    let missing = LEAST_ASKED.saturating_sub(near.len());
    near.extend(far.into_iter().take(missing));
    near
}
