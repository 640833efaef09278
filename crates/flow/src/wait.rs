//! How long clients wait for upstreams, as this instance sees it.

use std::time::Duration;

/// What a client waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitKind {
    /// The end of the handshake: from the opening packet that was answered to the client's next packet.
    Handshake,
    /// An answer: from the first packet of a request to the client's next packet that says that something came.
    Response,
}

/// A wait that has ended. The way to the client and back is part of it, as only the client's packets pass here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// What the client waited for.
    pub kind: WaitKind,
    /// Whether the upstream is in this instance's availability zone.
    pub is_at_home: bool,
    /// How long it took.
    pub time: Duration,
}
