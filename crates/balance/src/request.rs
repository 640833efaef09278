//! What a pool is asked, and what it decides.

use units::Millis;
use units::Time;
use units::UpstreamName;
use units::Weight;
use units::ZoneName;
use wire::Reason;

/// Asks for a slot of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest<K> {
    /// Names this request for a slot.
    pub key: K,
    /// How much the request counts once it is completed.
    pub weight: Weight,
    /// The availability zone in which the request arrived.
    pub zone: ZoneName,
    /// When the caller stops waiting for the answer.
    pub deadline: Time,
    /// The upstream that the request's flow keeps, if the service pins flows.
    pub pinned: Option<UpstreamName>,
    /// Upstreams that have failed this request. If there are any, this is a retry.
    pub avoid: Vec<UpstreamName>,
}

/// What becomes of an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision<K> {
    /// The request may use a slot.
    Grant {
        /// The ask.
        key: K,
        /// The upstream whose slot it is.
        upstream: UpstreamName,
    },
    /// The request gets no slot.
    Deny {
        /// The ask.
        key: K,
        /// Why.
        reason: Reason,
        /// When asking again makes sense.
        retry_after: Millis,
    },
}
