//! The sessions with one instance: at most one that frames are sent on, and one more that the other side made.

use tokio::sync::mpsc;
use units::Incarnation;

use super::handshake::Side;
use super::session::QueuedFrame;
use crate::session_event::SessionId;

/// A session as the table knows it.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) id: SessionId,
    /// Unknown while a session is being made.
    pub(super) incarnation: Option<Incarnation>,
    pub(super) side: Side,
    pub(super) queue: mpsc::Sender<QueuedFrame>,
}

/// The sessions with one instance.
#[derive(Debug, Default)]
pub(super) struct PeerSessions {
    /// The one that frames are sent on.
    pub(super) active: Option<Session>,
    /// Another one, which the other side may send on.
    pub(super) secondary: Option<Session>,
}

impl PeerSessions {
    pub(super) fn newest(&self) -> Option<Incarnation> {
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

    /// Adds a session that the other side made, and tells whether the active one was given up for it.
    pub(super) fn add(&mut self, session: Session, is_newer_incarnation: bool) -> bool {
        let replaces = match &self.active {
            None => true,
            // The other side makes a second one only when it holds the first for lost.
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
