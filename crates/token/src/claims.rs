//! Contents of a flow token.

use serde::Deserialize;
use serde::Serialize;
use units::FlowId;
use units::Incarnation;
use units::InstanceName;
use units::RequestSeq;
use units::ServiceName;
use units::Time;
use units::UpstreamName;

/// The contents of a flow token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The service of the flow.
    pub service: ServiceName,
    /// The instance that owns the flow.
    pub owner: InstanceName,
    /// The incarnation of the owner.
    pub incarnation: Incarnation,
    /// The flow's identifier, unique within the owner's incarnation.
    pub flow: FlowId,
    /// Requests with this sequence number or a lower one are not run under this token.
    pub floor: RequestSeq,
    /// The upstream that the flow is pinned to, if the service pins flows.
    pub pinned: Option<UpstreamName>,
    /// When the token was issued, according to the issuer's clock.
    pub issued: Time,
}
