//! Events that session tasks report to the engine.

use node::Peer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use units::InstanceName;
use wire::Frame;

use crate::timeline::Stamp;

/// Identifies a session within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SessionId(u64);

impl SessionId {
    /// Creates a random ID.
    pub(crate) fn next() -> Self {
        Self(rand::random())
    }
}

/// A change in the state of a session.
#[derive(Debug)]
pub enum SessionEvent {
    /// Another instance connected and was authenticated.
    Accepted {
        /// ID of the session.
        id: SessionId,
        /// The other instance.
        peer: Peer,
        /// Queue of frames to send on the session.
        queue: mpsc::Sender<(Stamp, Frame)>,
        /// Signals that the session is admitted; it ends if this is dropped instead.
        admit: oneshot::Sender<()>,
    },
    /// The instance that this one connected to was authenticated.
    Authenticated {
        /// ID of the session.
        id: SessionId,
        /// The other instance.
        peer: Peer,
    },
    /// A session ended or could not be established.
    Ended {
        /// ID of the session.
        id: SessionId,
        /// The other instance.
        name: InstanceName,
        /// Whether frames may have been lost.
        lost: bool,
    },
}
