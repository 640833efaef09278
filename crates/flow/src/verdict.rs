//! What becomes of a packet.

use std::net::SocketAddrV4;

use crate::packet::DropCause;
use crate::packet::Echo;
use crate::packet::Flags;
use crate::packet::Packet;
use crate::packet::Reset;
use crate::packet::ResetCause;
use crate::upstream::UpstreamId;

/// What becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to an upstream with this echo.
    Forward {
        /// The upstream.
        upstream: UpstreamId,
        /// Where it takes packets.
        address: SocketAddrV4,
        /// The echo that the packet carries from here on.
        echo: Echo,
    },
    /// Its flow is ended.
    Reset(Reset),
    /// It goes nowhere.
    Drop(DropCause),
}

/// Ends a flow whose opening packet has come.
pub(crate) fn reset_opening(packet: &Packet, cause: ResetCause) -> Reset {
    Reset {
        client: packet.client,
        route: packet.route,
        seq: 0,
        cause,
    }
}

/// Ends an open flow.
pub(crate) fn reset_open(packet: &Packet, cause: ResetCause) -> Reset {
    Reset {
        client: packet.client,
        route: packet.route,
        seq: packet.ack,
        cause,
    }
}

/// Why a packet is dropped whose echo does not lead to one upstream.
pub(crate) fn unknown_echo(packet: &Packet) -> DropCause {
    if packet.flags.contains(Flags::RST) {
        return DropCause::Reset;
    }
    if packet.echo == Echo::NONE {
        return DropCause::NoEcho;
    }
    DropCause::UnknownEcho
}
