//! Membership gossip between instances, piggybacked on probes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::UpstreamName;
use units::ZoneName;

use crate::Digest;

/// The state of a fleet member, ordered from best to worst. Of two reports about the same incarnation, the worse one
/// takes precedence unless the member has refuted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The instance answers probes.
    Alive,
    /// The instance missed a probe and can refute the suspicion within a limited time.
    Suspect,
    /// The instance is shutting down as planned: it is no longer home of any service, but still owns flows.
    Leaving,
    /// The instance has failed or left.
    Dead,
}

/// What the sender knows about a member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the instance.
    pub name: InstanceName,
    /// The incarnation that this report is about.
    pub incarnation: Incarnation,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// The address on which the instance listens for other instances.
    pub address: SocketAddr,
    /// The reported state.
    pub state: MemberState,
    /// Number of refutations by this incarnation. A report with a higher number replaces any report of `Alive` or
    /// `Suspect` with a lower one.
    pub refutation: u32,
}

/// The successor of an incarnation: the incarnation that has taken over its request records.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Successor {
    /// The instance that stopped.
    pub from: InstanceName,
    /// The incarnation that stopped.
    pub from_incarnation: Incarnation,
    /// The instance that holds the request records now.
    pub to: InstanceName,
    /// The incarnation that holds them.
    pub to_incarnation: Incarnation,
}

/// An incarnation of an upstream that receives no new requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// The upstream.
    pub name: UpstreamName,
    /// The incarnation that is leaving.
    pub incarnation: Incarnation,
}

/// Membership updates for another instance. Every list is short: updates that do not fit are sent with a later probe.
/// Empty lists are omitted from the encoding.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Hash of the members, handovers and leaving upstreams known to the sender. Instances whose hashes differ for long
    /// exchange their full state. Zero if the frame does not ask for this comparison.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub view: u64,
    /// Member updates.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "crate::vec_without_prealloc::deserialize"
    )]
    pub members: Vec<Member>,
    /// Handover updates.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "crate::vec_without_prealloc::deserialize"
    )]
    pub successors: Vec<Successor>,
    /// Updates about leaving upstreams.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "crate::vec_without_prealloc::deserialize"
    )]
    pub leaving: Vec<LeavingUpstream>,
    /// Revision and digest of the sender's configuration document, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<(Revision, Digest)>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_zero(view: &u64) -> bool {
    *view == 0
}
