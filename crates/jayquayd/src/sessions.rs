//! Authenticated WebSocket sessions with other instances, established on demand.
//!
//! The engine task owns the session table. Each session runs in its own task, which receives outgoing frames through
//! a bounded queue. If both sides connect at the same time, each side sends on one of the two sessions and reads from
//! both, so that frames stay in order. This module does not interpret frames.

pub mod handshake;

mod connection;
mod context;
mod handshake_history;
mod listener;
mod outgoing;
mod peer_sessions;
mod session;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use node::Peer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;
use units::InstanceName;
use wire::Frame;

use self::handshake::Side;
use self::outgoing::OutgoingSession;
use self::peer_sessions::PeerSessions;
use self::peer_sessions::Session;
use crate::metric;
use crate::session_event::SessionEvent;
use crate::session_event::SessionId;
use crate::throttle::LogThrottle;
use crate::timeline::Stamp;

pub use self::context::Context;
pub use self::handshake_history::HandshakeHistory;
pub use self::listener::MAX_HANDSHAKES;
pub use self::listener::listen;

/// Maximum delay between two attempts to connect to the same instance.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Minimum delay between two attempts to connect to the same instance.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Number of failures after which the reconnect delay no longer doubles.
const MAX_DOUBLINGS: u32 = 6;
/// Number of unreachable instances tracked before expired entries are evicted.
const MAX_TRACKED_FAILURES: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct ConnectFailure {
    doublings: u32,
    retry_at: Instant,
}

/// The session table, keyed by the name of the other instance.
#[derive(Debug)]
pub struct Sessions {
    context: Context,
    capacity: usize,
    peers: HashMap<InstanceName, PeerSessions>,
    failures: HashMap<InstanceName, ConnectFailure>,
    tasks: JoinSet<()>,
    drop_log: LogThrottle,
    /// Rate limit for log lines about handshakes closed by the other side.
    rejection_log: Arc<LogThrottle>,
}

impl Sessions {
    /// Creates an empty table for sessions with at most `capacity` instances.
    pub fn new(context: Context, capacity: usize) -> Self {
        Self {
            context,
            capacity,
            peers: HashMap::new(),
            failures: HashMap::new(),
            tasks: JoinSet::new(),
            drop_log: LogThrottle::default(),
            rejection_log: Arc::default(),
        }
    }

    /// Queues a frame, starting a session first if there is none. Returns whether the frame was queued; if it was not,
    /// frames queued before it are lost as well.
    #[must_use]
    pub fn send(&mut self, to: &InstanceName, address: SocketAddr, stamp: Stamp, frame: Frame) -> bool {
        while self.tasks.try_join_next().is_some() {}
        if let Some(session) = self.active(to) {
            let is_established = session.incarnation.is_some();
            let queued = session.queue.try_send((stamp, frame)).is_ok();
            // A session that is still connecting reports its own failure, including the loss of its queued frames.
            if !queued && is_established {
                self.drop_session(to);
            }
            return queued;
        }
        if self.peers.len() >= self.capacity {
            metric::sessions_failed("limit").increment(1);
            return false;
        }
        let session = self.connect(to, address);
        let queued = session.queue.try_send((stamp, frame)).is_ok();
        self.peers.entry(to.clone()).or_default().active = Some(session);
        queued
    }

    /// Updates the table for a session event. Returns the name of the instance if frames to it may have been lost.
    pub fn handle_event(&mut self, event: SessionEvent) -> Option<InstanceName> {
        let lost = match event {
            SessionEvent::Accepted { id, peer, queue, admit } => {
                let session = Session {
                    id,
                    incarnation: Some(peer.incarnation),
                    side: Side::Acceptor,
                    queue,
                };
                self.on_accepted(session, peer, admit)
            }
            SessionEvent::Authenticated { id, peer } => self.on_authenticated(id, peer),
            SessionEvent::Ended { id, name, lost } => self.on_ended(id, name, lost),
        };
        metric::sessions_up().set(self.established() as f64);
        lost
    }

    /// Number of instances with an established active session.
    pub fn established(&self) -> usize {
        let is_established = |peer_sessions: &&PeerSessions| {
            peer_sessions
                .active
                .as_ref()
                .is_some_and(|session| session.incarnation.is_some())
        };
        self.peers.values().filter(is_established).count()
    }

    /// Releases all sessions, which close after flushing their queues, and returns their IDs.
    pub fn release_all(&mut self) -> HashSet<SessionId> {
        let peers = std::mem::take(&mut self.peers);
        let sessions = peers
            .into_values()
            .flat_map(|peer_sessions| [peer_sessions.active, peer_sessions.secondary]);
        sessions.flatten().map(|session| session.id).collect()
    }

    fn active(&self, name: &InstanceName) -> Option<&Session> {
        self.peers.get(name)?.active.as_ref()
    }

    fn drop_session(&mut self, name: &InstanceName) {
        self.peers.remove(name);
        metric::sessions_ended("full").increment(1);
        if let Some(suppressed) = self.drop_log.allow() {
            log::warn!("sessions: the send queue for {name} is full, session dropped{suppressed}");
        }
    }

    fn connect(&mut self, to: &InstanceName, address: SocketAddr) -> Session {
        let (queue, receiver) = mpsc::channel(session::QUEUE_LEN);
        let id = SessionId::next();
        let outgoing = OutgoingSession {
            id,
            peer_name: to.clone(),
            address,
            not_before: self.failures.get(to).map(|failure| failure.retry_at),
            rejection_log: Arc::clone(&self.rejection_log),
        };
        self.tasks.spawn(outgoing.run(self.context.clone(), receiver));
        Session {
            id,
            incarnation: None,
            side: Side::Initiator,
            queue,
        }
    }

    fn on_accepted(&mut self, session: Session, peer: Peer, admit: oneshot::Sender<()>) -> Option<InstanceName> {
        let is_new = !self.peers.contains_key(&peer.name);
        if is_new && self.peers.len() >= self.capacity {
            metric::sessions_failed("limit").increment(1);
            return None;
        }
        self.failures.remove(&peer.name);
        let peer_sessions = self.peers.entry(peer.name.clone()).or_default();
        let newest = peer_sessions.newest_incarnation();
        if newest > Some(peer.incarnation) {
            metric::sessions_failed("old_life").increment(1);
            return None;
        }
        // If the session has ended in the meantime, its `Ended` event is already queued.
        let _ended = admit.send(());
        metric::sessions_begun("incoming").increment(1);
        log::debug!("sessions: {} ({}) connected", peer.name, peer.incarnation);
        let is_newer_incarnation = newest.is_some_and(|newest| newest < peer.incarnation);
        peer_sessions.add(session, is_newer_incarnation).then_some(peer.name)
    }

    fn on_authenticated(&mut self, id: SessionId, peer: Peer) -> Option<InstanceName> {
        self.failures.remove(&peer.name);
        let peer_sessions = self.peers.get_mut(&peer.name)?;
        if peer_sessions.newest_incarnation() > Some(peer.incarnation) {
            peer_sessions.remove(id);
            metric::sessions_failed("old_life").increment(1);
            return Some(peer.name);
        }
        if let Some(session) = peer_sessions.session_mut(id) {
            session.incarnation = Some(peer.incarnation);
            metric::sessions_begun("outgoing").increment(1);
            log::debug!("sessions: connected to {} ({})", peer.name, peer.incarnation);
        }
        None
    }

    fn on_ended(&mut self, id: SessionId, name: InstanceName, lost: bool) -> Option<InstanceName> {
        let peer_sessions = self.peers.get_mut(&name)?;
        let removed = peer_sessions.remove(id)?;
        if peer_sessions.active.is_none() {
            self.peers.remove(&name);
        }
        if removed.incarnation.is_none() {
            self.record_failure(&name);
        }
        lost.then_some(name)
    }

    fn record_failure(&mut self, name: &InstanceName) {
        let now = Instant::now();
        if self.failures.len() >= MAX_TRACKED_FAILURES {
            self.failures.retain(|_, failure| failure.retry_at > now);
        }
        let doublings = self.failures.get(name).map_or(0, |failure| failure.doublings + 1);
        let delay = MIN_BACKOFF * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        let jitter = rand::random_range(0.5..1.0);
        let failure = ConnectFailure {
            doublings,
            retry_at: now + delay.min(MAX_BACKOFF).mul_f64(jitter),
        };
        self.failures.insert(name.clone(), failure);
    }
}
