//! Time that clients wait for upstreams, as seen by this instance.

use std::time::Duration;

/// What a client waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitKind {
    /// Completion of the handshake: from the opening packet that was answered to the client's next packet.
    Handshake,
    /// A response: from the first packet of a request to the client's next packet that acknowledges new data.
    Response,
}

/// A wait that has ended. It includes the round trip to the client, as only the client's packets pass through this
/// instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// What the client waited for.
    pub kind: WaitKind,
    /// Whether the upstream is in this instance's availability zone.
    pub is_local_zone: bool,
    /// Duration of the wait.
    pub time: Duration,
}
