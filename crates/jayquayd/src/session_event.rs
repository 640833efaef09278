//! What the engine is told of sessions with other instances.

use node::Peer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use units::InstanceName;
use wire::Frame;

use crate::timeline::Stamp;

/// Names a session within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SessionId(u64);

impl SessionId {
    /// A name that no other session has.
    pub(crate) fn next() -> Self {
        Self(rand::random())
    }
}

/// A session began or ended.
#[derive(Debug)]
pub enum SessionEvent {
    /// Another instance connected and proved itself.
    Accepted {
        /// Names the session.
        id: SessionId,
        /// The other instance.
        peer: Peer,
        /// What is put here is sent.
        queue: mpsc::Sender<(Stamp, Frame)>,
        /// Frames are taken once this has been told; otherwise the session ends.
        admit: oneshot::Sender<()>,
    },
    /// The instance that was connected to proved itself.
    Authenticated {
        /// Names the session.
        id: SessionId,
        /// The other instance.
        peer: Peer,
    },
    /// A session ended or could not be made.
    Ended {
        /// Names the session.
        id: SessionId,
        /// The other instance.
        name: InstanceName,
        /// Whether frames may have been lost with it.
        lost: bool,
    },
}
