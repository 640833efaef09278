//! Record of decisions, to explain them to operators later.

use compact_str::CompactString;
use units::Position;
use units::Revision;
use units::ZoneName;

use crate::capacity_state::CapacityState;
use crate::evidence::SilenceEvidence;
use crate::flows::FlowKey;
use crate::outcome::FailureCounts;
use crate::packet::DropCause;
use crate::packet::Echo;
use crate::packet::ResetCause;
use crate::place::Tier;
use crate::upstream::UpstreamId;
use crate::warning::Warning;

/// A decision about a flow, or a change of an upstream's assumed state.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A document took effect with a warning about an unreadable part that the previous document didn't have.
    DocumentWarning {
        /// The document's revision.
        document: Revision,
        /// The unreadable part.
        warning: Warning,
    },
    /// A new flow was placed on an upstream.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// Its upstream.
        upstream: UpstreamId,
        /// The upstream that an earlier copy of the opening packet was sent to.
        earlier: Option<UpstreamId>,
        /// Preference class of the upstream.
        tier: Tier,
        /// Cost of the flow there: load per slot, adjusted for zone, warm-up state and response time.
        cost: f64,
    },
    /// A flow was reset towards its client.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Its upstream, if it has one.
        upstream: Option<UpstreamId>,
        /// Cause of the reset.
        cause: ResetCause,
        /// Evidence, if the cause is a silent upstream.
        evidence: Option<SilenceEvidence>,
    },
    /// A packet was dropped.
    Dropped {
        /// Its flow.
        flow: FlowKey,
        /// The echo of the packet.
        echo: Echo,
        /// Reason for the drop.
        cause: DropCause,
    },
    /// An upstream was marked dead, and its flows were reset.
    MarkedDead {
        /// The upstream.
        upstream: UpstreamId,
        /// Evidence for its silence.
        evidence: SilenceEvidence,
        /// Number of its flows seen open here.
        flows: usize,
    },
    /// An upstream that was considered dead answers again.
    Revived(UpstreamId),
    /// An upstream was ejected for a while because more attempts at it fail than chance explains.
    Ejected {
        /// The upstream.
        upstream: UpstreamId,
        /// Percentage of attempts that fail at other upstreams.
        usual_percent: u32,
        /// The failures that count as evidence.
        failures: FailureCounts,
    },
    /// An upstream was ejected for a while because another instance has found it failing.
    EjectedElsewhere(UpstreamId),
    /// An ejected upstream gets flows like any other again.
    Readmitted(UpstreamId),
    /// An upstream has restarted under its id; the observations of its previous start were discarded.
    Restarted {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of flows of the previous start that this instance held.
        flows: usize,
    },
    /// Operators have requested the evacuation of an availability zone: its upstreams get no new flows, and open flows
    /// stay.
    Evacuated {
        /// The zone.
        zone: ZoneName,
        /// The store position at which this was decided.
        at: Position,
        /// Number of flows that this instance has seen open there.
        flows: u32,
    },
    /// Operators have ended the evacuation of an availability zone.
    Restored {
        /// The zone.
        zone: ZoneName,
        /// The store position at which this was decided.
        at: Position,
    },
    /// A service has become short of capacity, has begun to place flows in other zones because of load, or neither
    /// any more.
    CapacityChanged {
        /// The service.
        service: CompactString,
        /// Its new state.
        state: CapacityState,
        /// Slots of its upstreams in all zones, zero without a fresh view.
        slots: u32,
        /// Work in flight there.
        in_flight: u32,
    },
}
