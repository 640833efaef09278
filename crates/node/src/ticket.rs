//! A request in progress at its owner.

use std::net::SocketAddr;

use token::Claims;
use units::Time;
use units::UpstreamName;
use units::ZoneName;
use wire::Request;
use wire::Verdict;

use crate::CallId;
use crate::FlowKey;
use crate::Peer;

/// Where a request in progress stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a slot, for which the home was last asked at this time.
    Waiting(Time),
    /// It is being called.
    Calling {
        /// The call.
        call: CallId,
        /// The upstream.
        upstream: UpstreamName,
        /// When the call began.
        since: Time,
    },
}

/// A request in progress at its owner.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    /// The request, as the caller sent it.
    pub request: Request,
    /// What its token says.
    pub claims: Claims,
    /// Where the answer goes.
    pub caller: SocketAddr,
    /// The availability zone in which it arrived.
    pub zone: ZoneName,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: Time,
    /// Upstreams that have failed it.
    pub avoid: Vec<UpstreamName>,
    /// Whether an earlier call may have run it.
    pub in_doubt: bool,
    /// The instance that was asked for a slot.
    pub home: Peer,
    /// Where it stands.
    pub phase: Phase,
}

impl Ticket {
    /// The flow's key.
    pub fn key(&self) -> FlowKey {
        FlowKey {
            owner: self.claims.incarnation,
            flow: self.claims.flow,
        }
    }

    /// Whether it waits for a slot.
    pub fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting(_))
    }

    /// What a refusal now would have to say, given that no call is in progress.
    pub fn verdict(&self) -> Verdict {
        if self.in_doubt {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}
