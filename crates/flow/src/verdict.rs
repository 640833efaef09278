//! Verdicts for packets.

use std::net::SocketAddrV4;

use crate::packet::DropCause;
use crate::packet::Echo;
use crate::packet::Flags;
use crate::packet::Packet;
use crate::packet::Reset;
use crate::packet::ResetCause;
use crate::upstream::UpstreamId;

/// Verdict for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it to an upstream.
    Forward {
        /// The upstream.
        upstream: UpstreamId,
        /// The address at which the upstream takes packets.
        address: SocketAddrV4,
        /// The echo that the forwarded packet carries.
        echo: Echo,
    },
    /// Reset its flow.
    Reset(Reset),
    /// Drop it.
    Drop(DropCause),
}

/// Reset in response to an opening packet.
pub(crate) fn reset_for_opening(packet: &Packet, cause: ResetCause) -> Reset {
    Reset {
        client: packet.client,
        route: packet.route,
        seq: 0,
        cause,
    }
}

/// Reset for an established flow.
pub(crate) fn reset_for_established(packet: &Packet, cause: ResetCause) -> Reset {
    Reset {
        client: packet.client,
        route: packet.route,
        seq: packet.ack,
        cause,
    }
}

/// Reason for dropping a packet whose echo doesn't identify an upstream.
pub(crate) fn unroutable_cause(packet: &Packet) -> DropCause {
    if packet.flags.contains(Flags::RST) {
        return DropCause::Reset;
    }
    if packet.echo == Echo::NONE {
        return DropCause::NoEcho;
    }
    DropCause::UnknownEcho
}
