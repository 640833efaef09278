//! WebSocket sessions with other instances, made on demand and authenticated.
//!
//! The table belongs to the engine's task. Each session has one task of its own, which is told what to send through
//! a bounded queue. Both sides may have made a session at the same time: each then sends on one of the two and
//! reads from both, so that frames keep their order. What a frame says is not this part's business.

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

/// The longest pause between two attempts to connect to one instance.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The shortest pause between two attempts to connect to one instance.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The exponent at which a pause stops growing.
const MAX_DOUBLINGS: u32 = 6;
/// How many instances are remembered as unreachable.
const MAX_TRACKED_FAILURES: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct ConnectFailure {
    doublings: u32,
    retry_at: Instant,
}

/// The table of sessions.
#[derive(Debug)]
pub struct Sessions {
    context: Context,
    capacity: usize,
    peers: HashMap<InstanceName, PeerSessions>,
    failures: HashMap<InstanceName, ConnectFailure>,
    tasks: JoinSet<()>,
    drop_log: LogThrottle,
    /// Limits what is said of handshakes that others ended.
    rejection_log: Arc<LogThrottle>,
}

impl Sessions {
    /// An empty table for at most so many instances.
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

    /// Sends a frame, over a session that is made if there is none. Returns whether it could be queued; if not, what
    /// was queued before it is lost as well.
    #[must_use]
    pub fn send(&mut self, to: &InstanceName, address: SocketAddr, stamp: Stamp, frame: Frame) -> bool {
        while self.tasks.try_join_next().is_some() {}
        if let Some(session) = self.active(to) {
            let is_established = session.incarnation.is_some();
            let queued = session.queue.try_send((stamp, frame)).is_ok();
            // A session that is still being made fails by itself, with all that waits for it.
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

    /// Takes note of a change. Returns the instance whose frames may have been lost, if one is concerned.
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

    /// How many instances there are sessions with.
    pub fn established(&self) -> usize {
        let is_established = |peer_sessions: &&PeerSessions| {
            peer_sessions
                .active
                .as_ref()
                .is_some_and(|session| session.incarnation.is_some())
        };
        self.peers.values().filter(is_established).count()
    }

    /// Gives all sessions up once they have sent what is queued, and names them.
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
            log::warn!("sessions: {name} takes no more frames, session dropped{suppressed}");
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
        let newest = peer_sessions.newest();
        if newest > Some(peer.incarnation) {
            metric::sessions_failed("old_life").increment(1);
            return None;
        }
        // The session may have ended meanwhile; its end is on its way then.
        let _ended = admit.send(());
        metric::sessions_begun("incoming").increment(1);
        log::debug!("sessions: {} ({}) connected", peer.name, peer.incarnation);
        let is_newer_incarnation = newest.is_some_and(|newest| newest < peer.incarnation);
        peer_sessions.add(session, is_newer_incarnation).then_some(peer.name)
    }

    fn on_authenticated(&mut self, id: SessionId, peer: Peer) -> Option<InstanceName> {
        self.failures.remove(&peer.name);
        let peer_sessions = self.peers.get_mut(&peer.name)?;
        if peer_sessions.newest() > Some(peer.incarnation) {
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
