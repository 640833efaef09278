//! A fake of an instance's process: it runs, is frozen or has ended, and has a clock of its own.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use node::Action;
use node::Event;
use node::Node;
use node::Peer;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::Time;
use units::ZoneName;

/// How many datagrams wait in the socket's buffer of a frozen process.
const SOCKET_BUFFER: usize = 200;
/// How long the fabric goes on sending to an instance that is on a planned stop, or that has ended.
const FABRIC_LAG: Duration = Duration::from_secs(1);

/// Where an instance stands.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
}

/// An instance, through all its lives.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) spec: InstanceSpec,
    pub(crate) life: Option<Life>,
    pub(crate) lives: u64,
    /// Which life the platform lists, and until when if that has ended.
    pub(crate) lease: Option<(Incarnation, Option<Time>)>,
    /// When its last life ended for the fabric: at the beginning of a planned stop, or with the process.
    pub(crate) ended: Time,
}

impl Instance {
    /// Whether the fabric sends packets to it: the fabric is told of planned stops, and finds out about others.
    pub(crate) fn sprayed(&self, now: Time) -> bool {
        match &self.life {
            Some(life) => life.stopping.is_none_or(|at| now.since(at) < FABRIC_LAG),
            None => self.lives > 0 && now.since(self.ended) < FABRIC_LAG,
        }
    }

    /// The life of this incarnation, if it has not ended.
    pub(crate) fn life_of(&mut self, incarnation: Incarnation) -> Option<&mut Life> {
        self.life.as_mut().filter(|life| life.incarnation == incarnation)
    }

    /// The running life as its peers name it.
    pub(crate) fn peer(&self) -> Option<Peer> {
        let life = self.life.as_ref()?;
        Some(Peer {
            name: self.spec.name.clone(),
            incarnation: life.incarnation,
        })
    }
}

/// One life of an instance.
#[derive(Debug)]
pub(crate) struct Life {
    pub(crate) node: Node,
    pub(crate) incarnation: Incarnation,
    /// How far its clock is ahead.
    pub(crate) skew: Duration,
    pub(crate) frozen: bool,
    pub(crate) backlog: VecDeque<Event>,
    pub(crate) watching: bool,
    /// What it believes of the platform.
    pub(crate) platform: Option<bool>,
    /// When it last read the platform's list.
    pub(crate) listed: Option<Time>,
    pub(crate) in_force: Option<Revision>,
    /// When a planned stop began.
    pub(crate) stopping: Option<Time>,
    /// Since when it runs and reaches the platform without a break.
    pub(crate) calm_since: Time,
    /// Since when it has run without a break.
    pub(crate) awake_since: Time,
}

impl Life {
    /// Gives the node an event, or keeps it while the process is frozen.
    pub(crate) fn feed(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.frozen {
            self.hold(event);
        } else {
            self.node.handle(now + self.skew, event, &mut actions);
        }
        actions
    }

    /// What the kernel keeps for a frozen process.
    fn hold(&mut self, event: Event) {
        if matches!(event, Event::Tick) {
            return;
        }
        let datagram = |event: &&Event| matches!(event, Event::Datagram(..));
        if datagram(&&event) && self.backlog.iter().filter(datagram).count() >= SOCKET_BUFFER {
            return;
        }
        self.backlog.push_back(event);
    }
}
