//! Requests for slots, and the decisions on them.

use units::Millis;
use units::Time;
use units::UpstreamName;
use units::Weight;
use units::ZoneName;
use wire::Reason;

/// A request for a slot of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest<K> {
    /// Identifies this request.
    pub key: K,
    /// The value of the request once it is completed.
    pub weight: Weight,
    /// The availability zone in which the request arrived.
    pub zone: ZoneName,
    /// When the caller stops waiting for the reply.
    pub deadline: Time,
    /// The upstream that the request's flow is pinned to, if the service pins flows.
    pub pinned: Option<UpstreamName>,
    /// Upstreams that have failed this request. If there are any, the request is a retry.
    pub avoid: Vec<UpstreamName>,
}

/// The decision on a [`SlotRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision<K> {
    /// The request may use a slot.
    Grant {
        /// The key of the request.
        key: K,
        /// The upstream that owns the slot.
        upstream: UpstreamName,
    },
    /// The request is refused.
    Deny {
        /// The key of the request.
        key: K,
        /// Why it is refused.
        reason: Reason,
        /// How long the caller should wait before it retries.
        retry_after: Millis,
    },
}
