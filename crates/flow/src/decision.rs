//! What was decided, for those who have to explain it later.

use units::Position;
use units::Revision;
use units::ZoneName;

use crate::flows::FlowKey;
use crate::grounds::Grounds;
use crate::packet::DropCause;
use crate::packet::Echo;
use crate::packet::ResetCause;
use crate::place::Tier;
use crate::upstream::UpstreamId;
use crate::warning::Warning;

/// A decision that touches a flow, or a change of what is believed of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A document is in force of which something can't be read that could be read of the one before, or was not there.
    Unread {
        /// The document's number.
        document: Revision,
        /// What can't be read.
        warning: Warning,
    },
    /// A new flow goes to an upstream.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// Its upstream.
        upstream: UpstreamId,
        /// The upstream that an earlier copy of the same opening packet went to.
        earlier: Option<UpstreamId>,
        /// How good a choice the upstream is at best.
        tier: Tier,
        /// What the flow costs there: its load for each slot, by zone, warmth and response time.
        cost: f64,
    },
    /// A flow is ended towards its client.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Its upstream, if it has one.
        upstream: Option<UpstreamId>,
        /// Why.
        cause: ResetCause,
        /// What speaks for it, if the cause is that its upstream is silent.
        grounds: Option<Grounds>,
    },
    /// A packet goes nowhere.
    Dropped {
        /// Its flow.
        flow: FlowKey,
        /// The echo that it carries.
        echo: Echo,
        /// Why.
        cause: DropCause,
    },
    /// An upstream is taken for dead, and its flows are reset.
    Died {
        /// The upstream.
        upstream: UpstreamId,
        /// What speaks for it.
        grounds: Grounds,
        /// How many flows it had here.
        flows: usize,
    },
    /// An upstream that was taken for dead answers again.
    Revived(UpstreamId),
    /// An upstream gets no new flows for a while, as more tries at it end badly than chance explains.
    Ejected {
        /// The upstream.
        upstream: UpstreamId,
        /// How many of a hundred end badly elsewhere.
        usual_percent: u32,
    },
    /// An upstream gets no new flows for a while, as another instance has found it failing.
    Followed(UpstreamId),
    /// An upstream that was ejected gets flows like any other again.
    Readmitted(UpstreamId),
    /// An upstream has started again under its id; what was known of its earlier start is forgotten.
    Restarted {
        /// The upstream.
        upstream: UpstreamId,
        /// How many flows of the earlier start were remembered here.
        flows: usize,
    },
    /// Operators have asked for an availability zone to be emptied: its upstreams get no new flows, and open ones stay.
    Evacuated {
        /// The zone.
        zone: ZoneName,
        /// The place in the store's history at which this was so.
        at: Position,
        /// How many flows are open there, as far as they were seen here.
        flows: u32,
    },
    /// They have taken that back.
    Restored {
        /// The zone.
        zone: ZoneName,
        /// The place in the store's history at which this was so.
        at: Position,
    },
}
