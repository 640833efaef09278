//! The sessions with one instance: at most one that frames are sent on, and one more that the other side made.

use tokio::sync::mpsc;
use units::Incarnation;

use super::handshake::Side;
use super::link::Outgoing;
use crate::change::LinkId;

/// A session as the table knows it.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) id: LinkId,
    /// Unknown while a session is being made.
    pub(super) incarnation: Option<Incarnation>,
    pub(super) side: Side,
    pub(super) queue: mpsc::Sender<Outgoing>,
}

/// The sessions with one instance.
#[derive(Debug, Default)]
pub(super) struct Pair {
    /// The one that frames are sent on.
    pub(super) active: Option<Link>,
    /// Another one, which the other side may send on.
    pub(super) spare: Option<Link>,
}

impl Pair {
    pub(super) fn newest(&self) -> Option<Incarnation> {
        let links = [&self.active, &self.spare];
        links.into_iter().flatten().filter_map(|link| link.incarnation).max()
    }

    pub(super) fn link_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        let links = [&mut self.active, &mut self.spare];
        links.into_iter().flatten().find(|link| link.id == id)
    }

    /// Adds a session that the other side made, and tells whether the active one was given up for it.
    pub(super) fn add(&mut self, link: Link, is_newer_life: bool) -> bool {
        let replaces = match &self.active {
            None => true,
            // The other side makes a second one only when it holds the first for lost.
            Some(active) => is_newer_life || active.side == Side::Acceptor,
        };
        if !replaces {
            self.spare = Some(link);
            return false;
        }
        if is_newer_life {
            self.spare = None;
        }
        self.active.replace(link).is_some()
    }

    pub(super) fn remove(&mut self, id: LinkId) -> Option<Link> {
        if self.spare.as_ref().is_some_and(|link| link.id == id) {
            return self.spare.take();
        }
        if self.active.as_ref().is_some_and(|link| link.id == id) {
            return std::mem::replace(&mut self.active, self.spare.take());
        }
        None
    }
}
