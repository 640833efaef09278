//! Requests in progress at their owner.

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

/// The phase of a request in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a slot, which was last requested from the home at this time.
    Waiting(Time),
    /// A call to an upstream is in progress.
    Calling {
        /// The call.
        call: CallId,
        /// The upstream.
        upstream: UpstreamName,
        /// When the call started.
        since: Time,
    },
}

/// A request in progress at its owner.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    /// The request as received from the caller.
    pub request: Request,
    /// The claims of its token.
    pub claims: Claims,
    /// The address to which the answer is sent.
    pub caller: SocketAddr,
    /// The availability zone in which it arrived.
    pub zone: ZoneName,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// When the request times out.
    pub deadline: Time,
    /// Upstreams at which a call of the request did not succeed.
    pub avoid: Vec<UpstreamName>,
    /// Whether an earlier call may have run the request.
    pub in_doubt: bool,
    /// The home from which a slot was requested.
    pub home: Peer,
    /// The current phase.
    pub phase: Phase,
}

impl Ticket {
    /// The key of the request's flow.
    pub fn key(&self) -> FlowKey {
        FlowKey {
            owner: self.claims.incarnation,
            flow: self.claims.flow,
        }
    }

    /// Whether the request waits for a slot.
    pub fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting(_))
    }

    /// The verdict of a refusal, assuming that no call is in progress.
    pub fn verdict(&self) -> Verdict {
        if self.in_doubt {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}
