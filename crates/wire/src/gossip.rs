//! What instances tell one another about the fleet, riding on probes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::UpstreamName;
use units::ZoneName;

use crate::Digest;

/// How an instance fares, from best to worst. For one incarnation the worse report wins, but for a refutation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It missed a probe and has some time to refute this.
    Suspect,
    /// It is on a planned stop: it is home of nothing, but still owns flows.
    Leaving,
    /// It is gone.
    Dead,
}

/// What is known of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// How it fares.
    pub state: MemberState,
    /// Counts its refutations: a higher one replaces any report of `Alive` or `Suspect` with a lower one.
    pub refutation: u32,
}

/// The ledgers of an incarnation have moved to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Successor {
    /// The instance that stopped.
    pub from: InstanceName,
    /// Its incarnation.
    pub from_incarnation: Incarnation,
    /// The instance that holds the ledgers now.
    pub to: InstanceName,
    /// Its incarnation.
    pub to_incarnation: Incarnation,
}

/// An incarnation of an upstream that gets no new work any more.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// The upstream.
    pub name: UpstreamName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// News for another instance. Every list is short; what does not fit rides on a later probe. Empty lists take no bytes.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// A hash over the members, hand-overs and leaving upstreams that the sender knows. Two that differ for long
    /// exchange all they know. Zero where the frame does not ask for that.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub view: u64,
    /// News of members.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "crate::vec_without_prealloc::deserialize"
    )]
    pub members: Vec<Member>,
    /// News of hand-overs.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "crate::vec_without_prealloc::deserialize"
    )]
    pub successors: Vec<Successor>,
    /// News of leaving upstreams.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "crate::vec_without_prealloc::deserialize"
    )]
    pub leaving: Vec<LeavingUpstream>,
    /// The sender's configuration document, if it holds one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<(Revision, Digest)>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_zero(view: &u64) -> bool {
    *view == 0
}
