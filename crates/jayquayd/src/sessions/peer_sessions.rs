//! The sessions with one instance: one for sending frames, and at most one more that the other side established.

use tokio::sync::mpsc;
use units::Incarnation;

use super::handshake::Side;
use super::session::QueuedFrame;
use crate::session_event::SessionId;

/// An entry of the session table.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) id: SessionId,
    /// `None` until the other side is authenticated.
    pub(super) incarnation: Option<Incarnation>,
    pub(super) side: Side,
    pub(super) queue: mpsc::Sender<QueuedFrame>,
}

/// All sessions with one instance.
#[derive(Debug, Default)]
pub(super) struct PeerSessions {
    /// The session on which this instance sends.
    pub(super) active: Option<Session>,
    /// A second session, on which the other side may send.
    pub(super) secondary: Option<Session>,
}

impl PeerSessions {
    pub(super) fn newest_incarnation(&self) -> Option<Incarnation> {
        let sessions = [&self.active, &self.secondary];
        sessions
            .into_iter()
            .flatten()
            .filter_map(|session| session.incarnation)
            .max()
    }

    pub(super) fn session_mut(&mut self, id: SessionId) -> Option<&mut Session> {
        let sessions = [&mut self.active, &mut self.secondary];
        sessions.into_iter().flatten().find(|session| session.id == id)
    }

    /// Adds a session established by the other side. Returns whether it replaced the active one.
    pub(super) fn add(&mut self, session: Session, is_newer_incarnation: bool) -> bool {
        let replaces = match &self.active {
            None => true,
            // The other side opens a second session only if it considers the first one lost.
            Some(active) => is_newer_incarnation || active.side == Side::Acceptor,
        };
        if !replaces {
            self.secondary = Some(session);
            return false;
        }
        if is_newer_incarnation {
            self.secondary = None;
        }
        self.active.replace(session).is_some()
    }

    pub(super) fn remove(&mut self, id: SessionId) -> Option<Session> {
        if self.secondary.as_ref().is_some_and(|session| session.id == id) {
            return self.secondary.take();
        }
        if self.active.as_ref().is_some_and(|session| session.id == id) {
            return std::mem::replace(&mut self.active, self.secondary.take());
        }
        None
    }
}
