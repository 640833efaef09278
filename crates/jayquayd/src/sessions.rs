//! WebSocket sessions with other instances, made on demand and authenticated.
//!
//! The table belongs to the engine's task. Each session has one task of its own, which is told what to send through
//! a bounded queue. Both sides may have made a session at the same time: each then sends on one of the two and
//! reads from both, so that frames keep their order. What a frame says is not this part's business.

pub mod handshake;

mod connection;
mod context;
mod link;
mod listener;
mod meetings;
mod outward;
mod pair;

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
use self::outward::Outward;
use self::pair::Link;
use self::pair::Pair;
use crate::change::Change;
use crate::change::LinkId;
use crate::metric;
use crate::throttle::Throttle;
use crate::timeline::Stamp;

pub use self::context::Context;
pub use self::listener::MAX_HANDSHAKES;
pub use self::listener::listen;
pub use self::meetings::Meetings;

/// The longest pause between two attempts to connect to one instance.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The shortest pause between two attempts to connect to one instance.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The exponent at which a pause stops growing.
const MAX_DOUBLINGS: u32 = 6;
/// How many instances are remembered as unreachable.
const MAX_FAILURES: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Failure {
    doublings: u32,
    until: Instant,
}

/// The table of sessions.
#[derive(Debug)]
pub struct Sessions {
    context: Context,
    capacity: usize,
    pairs: HashMap<InstanceName, Pair>,
    failures: HashMap<InstanceName, Failure>,
    tasks: JoinSet<()>,
    throttle: Throttle,
    /// Limits what is said of handshakes that others ended.
    ended: Arc<Throttle>,
}

impl Sessions {
    /// An empty table for at most so many instances.
    pub fn new(context: Context, capacity: usize) -> Self {
        Self {
            context,
            capacity,
            pairs: HashMap::new(),
            failures: HashMap::new(),
            tasks: JoinSet::new(),
            throttle: Throttle::default(),
            ended: Arc::default(),
        }
    }

    /// Sends a frame, over a session that is made if there is none. Returns whether it could be queued; if not, what
    /// was queued before it is lost as well.
    #[must_use]
    pub fn send(&mut self, to: &InstanceName, address: SocketAddr, stamp: Stamp, frame: Frame) -> bool {
        while self.tasks.try_join_next().is_some() {}
        if let Some(link) = self.active(to) {
            let is_up = link.incarnation.is_some();
            let queued = link.queue.try_send((stamp, frame)).is_ok();
            // A session that is still being made fails by itself, with all that waits for it.
            if !queued && is_up {
                self.give_up(to);
            }
            return queued;
        }
        if self.pairs.len() >= self.capacity {
            metric::sessions_failed("limit").increment(1);
            return false;
        }
        let link = self.connect(to, address);
        let queued = link.queue.try_send((stamp, frame)).is_ok();
        self.pairs.entry(to.clone()).or_default().active = Some(link);
        queued
    }

    /// Takes note of a change. Returns the instance whose frames may have been lost, if one is concerned.
    pub fn change(&mut self, change: Change) -> Option<InstanceName> {
        let lost = match change {
            Change::Arrived { id, peer, queue, admit } => {
                let link = Link {
                    id,
                    incarnation: Some(peer.incarnation),
                    side: Side::Acceptor,
                    queue,
                };
                self.arrived(link, peer, admit)
            }
            Change::Authenticated { id, peer } => self.authenticated(id, peer),
            Change::Ended { id, name, lost } => self.ended(id, name, lost),
        };
        metric::sessions_up().set(self.up() as f64);
        lost
    }

    /// How many instances there are sessions with.
    pub fn up(&self) -> usize {
        let is_up = |pair: &&Pair| pair.active.as_ref().is_some_and(|link| link.incarnation.is_some());
        self.pairs.values().filter(is_up).count()
    }

    /// Gives all sessions up once they have sent what is queued, and names them.
    pub fn release(&mut self) -> HashSet<LinkId> {
        let pairs = std::mem::take(&mut self.pairs);
        let links = pairs.into_values().flat_map(|pair| [pair.active, pair.spare]);
        links.flatten().map(|link| link.id).collect()
    }

    fn active(&self, name: &InstanceName) -> Option<&Link> {
        self.pairs.get(name)?.active.as_ref()
    }

    fn give_up(&mut self, name: &InstanceName) {
        self.pairs.remove(name);
        metric::sessions_ended("full").increment(1);
        if let Some(held_back) = self.throttle.pass() {
            log::warn!("sessions: {name} takes no more frames, session dropped{held_back}");
        }
    }

    fn connect(&mut self, to: &InstanceName, address: SocketAddr) -> Link {
        let (queue, receiver) = mpsc::channel(link::QUEUE_LEN);
        let id = LinkId::next();
        let outgoing = Outward {
            id,
            to: to.clone(),
            address,
            not_before: self.failures.get(to).map(|failure| failure.until),
            ended: Arc::clone(&self.ended),
        };
        self.tasks.spawn(outgoing.run(self.context.clone(), receiver));
        Link {
            id,
            incarnation: None,
            side: Side::Initiator,
            queue,
        }
    }

    fn arrived(&mut self, link: Link, peer: Peer, admit: oneshot::Sender<()>) -> Option<InstanceName> {
        let is_new = !self.pairs.contains_key(&peer.name);
        if is_new && self.pairs.len() >= self.capacity {
            metric::sessions_failed("limit").increment(1);
            return None;
        }
        self.failures.remove(&peer.name);
        let pair = self.pairs.entry(peer.name.clone()).or_default();
        let newest = pair.newest();
        if newest > Some(peer.incarnation) {
            metric::sessions_failed("old_life").increment(1);
            return None;
        }
        // The session may have ended meanwhile; its end is on its way then.
        let _ended = admit.send(());
        metric::sessions_begun("incoming").increment(1);
        log::debug!("sessions: {} ({}) connected", peer.name, peer.incarnation);
        let is_newer_life = newest.is_some_and(|newest| newest < peer.incarnation);
        pair.add(link, is_newer_life).then_some(peer.name)
    }

    fn authenticated(&mut self, id: LinkId, peer: Peer) -> Option<InstanceName> {
        self.failures.remove(&peer.name);
        let pair = self.pairs.get_mut(&peer.name)?;
        if pair.newest() > Some(peer.incarnation) {
            pair.remove(id);
            metric::sessions_failed("old_life").increment(1);
            return Some(peer.name);
        }
        if let Some(link) = pair.link_mut(id) {
            link.incarnation = Some(peer.incarnation);
            metric::sessions_begun("outgoing").increment(1);
            log::debug!("sessions: connected to {} ({})", peer.name, peer.incarnation);
        }
        None
    }

    fn ended(&mut self, id: LinkId, name: InstanceName, lost: bool) -> Option<InstanceName> {
        let pair = self.pairs.get_mut(&name)?;
        let removed = pair.remove(id)?;
        if pair.active.is_none() {
            self.pairs.remove(&name);
        }
        if removed.incarnation.is_none() {
            self.remember_failure(&name);
        }
        lost.then_some(name)
    }

    fn remember_failure(&mut self, name: &InstanceName) {
        let now = Instant::now();
        if self.failures.len() >= MAX_FAILURES {
            self.failures.retain(|_, failure| failure.until > now);
        }
        let doublings = self.failures.get(name).map_or(0, |failure| failure.doublings + 1);
        let pause = MIN_BACKOFF * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        let jitter = rand::random_range(0.5..1.0);
        let failure = Failure {
            doublings,
            until: now + pause.min(MAX_BACKOFF).mul_f64(jitter),
        };
        self.failures.insert(name.clone(), failure);
    }
}
