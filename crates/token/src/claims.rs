//! What a token says.

use serde::Deserialize;
use serde::Serialize;
use units::FlowId;
use units::Incarnation;
use units::InstanceName;
use units::RequestSeq;
use units::ServiceName;
use units::Time;
use units::UpstreamName;

/// What a token says of its flow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The service of the flow.
    pub service: ServiceName,
    /// The instance that owns the flow.
    pub owner: InstanceName,
    /// The life of that instance that owns the flow.
    pub incarnation: Incarnation,
    /// The flow.
    pub flow: FlowId,
    /// Requests up to this number are not run under this token.
    pub floor: RequestSeq,
    /// The upstream that the flow keeps, where the service pins flows.
    pub pinned: Option<UpstreamName>,
    /// When the token was issued, by the issuer's clock.
    pub issued: Time,
}
