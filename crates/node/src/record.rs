//! Records for the timeline.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use units::FlowId;
use units::Incarnation;
use units::InstanceName;
use units::RequestSeq;
use units::Revision;
use units::ServiceName;
use units::UpstreamName;
use wire::Outcome;
use wire::Reason;
use wire::Verdict;

/// An event in the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A flow was opened.
    Opened(ServiceName, FlowId),
    /// A request was accepted by the owner of its flow.
    Accepted(ServiceName, FlowId, RequestSeq),
    /// A request was sent to an upstream.
    Called(UpstreamName, FlowId, RequestSeq),
    /// A call ended.
    Ended(UpstreamName, FlowId, RequestSeq, Outcome),
    /// A request was answered.
    Answered(FlowId, RequestSeq),
    /// A request was refused.
    Refused(FlowId, RequestSeq, Verdict, Reason),
    /// A configuration document came into force.
    InForce(Revision),
    /// A configuration document failed validation, and the previous one stays in force.
    DocumentRejected(Revision),
    /// An instance joined the membership view.
    Up(InstanceName, Incarnation),
    /// An instance announced a planned stop.
    Leaving(InstanceName, Incarnation),
    /// An instance was declared down.
    Down(InstanceName, Incarnation),
    /// The ledgers of the first instance were handed over to the second.
    HandedOver(InstanceName, InstanceName),
    /// An upstream was marked as leaving and gets no new work.
    UpstreamLeaving(UpstreamName, Incarnation),
    /// An upstream was ejected after failures.
    Ejected(UpstreamName),
    /// An ejected upstream was restored.
    Restored(UpstreamName),
    /// A planned stop started.
    Stopping,
    /// A planned stop ended with this many requests still in progress, whose outcome is unknown.
    Stopped(u32),
}

impl Record {
    /// The flow that the record refers to, if any.
    pub fn flow(&self) -> Option<FlowId> {
        match self {
            Self::Opened(_, flow) => Some(*flow),
            _ => self.request().map(|(flow, _)| flow),
        }
    }

    /// The request that the record refers to, if any.
    pub fn request(&self) -> Option<(FlowId, RequestSeq)> {
        match self {
            Self::Accepted(_, flow, seq)
            | Self::Called(_, flow, seq)
            | Self::Ended(_, flow, seq, _)
            | Self::Answered(flow, seq)
            | Self::Refused(flow, seq, _, _) => Some((*flow, *seq)),
            _ => None,
        }
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Opened(service, flow) => write!(f, "flow {flow} opened at {service}"),
            Self::Accepted(service, flow, seq) => write!(f, "request {flow}/{seq} accepted for {service}"),
            Self::Called(upstream, flow, seq) => write!(f, "request {flow}/{seq} sent to {upstream}"),
            Self::Ended(upstream, flow, seq, outcome) => {
                write!(f, "call {flow}/{seq} at {upstream} ended: {outcome:?}")
            }
            Self::Answered(flow, seq) => write!(f, "request {flow}/{seq} answered"),
            Self::Refused(flow, seq, verdict, reason) => write!(f, "request {flow}/{seq} refused, {verdict}: {reason}"),
            Self::InForce(revision) => write!(f, "revision {revision} in force"),
            Self::DocumentRejected(revision) => write!(f, "revision {revision} rejected: validation failed"),
            Self::Up(name, incarnation) => write!(f, "instance {name} ({incarnation}) is up"),
            Self::Leaving(name, incarnation) => write!(f, "instance {name} ({incarnation}) is leaving"),
            Self::Down(name, incarnation) => write!(f, "instance {name} ({incarnation}) is down"),
            Self::HandedOver(from, to) => write!(f, "ledgers of {from} handed over to {to}"),
            Self::UpstreamLeaving(name, incarnation) => write!(f, "upstream {name} ({incarnation}) is leaving"),
            Self::Ejected(name) => write!(f, "upstream {name} ejected"),
            Self::Restored(name) => write!(f, "upstream {name} restored"),
            Self::Stopping => f.write_str("planned stop started"),
            Self::Stopped(left) => write!(f, "planned stop ended, {left} requests in doubt"),
        }
    }
}
