//! A stand-in for the fabric: UDP packets from callers are sprayed over instances, one by one.
//!
//! Each caller has a socket of its own towards the instances, so that whatever instance answers to a packet's source
//! address reaches that caller. The fabric understands no packet.

mod link;
mod path;

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::routing::get;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use units::Millis;

use crate::Share;
use crate::control;
use crate::control::Controlled;
use crate::fabric::link::Shared;
use crate::server::Server;
use crate::task::Task;

/// How a stand-in starts.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The service addresses that callers dial. Port zero asks the operating system for a port.
    pub services: Vec<SocketAddr>,
    /// Where the instances take packets.
    pub instances: Vec<SocketAddr>,
    /// Where it takes orders.
    pub control: SocketAddr,
    /// Where its random draws begin.
    pub seed: u64,
    /// How it behaves at first.
    pub behaviour: Behaviour,
}

impl Options {
    /// Options for so many services on loopback.
    pub fn new(services: usize) -> Self {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            services: vec![any; services],
            instances: Vec::new(),
            control: any,
            seed: 1,
            behaviour: Behaviour::default(),
        }
    }
}

/// How a stand-in for the fabric behaves, in both directions. The default is without fault.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Loses this share of the packets.
    pub lost: Share,
    /// Sends this share twice. The copies may reach different instances.
    pub doubled: Share,
    /// Delays this share.
    pub delayed: Share,
    /// By how much these are delayed.
    pub delay: Millis,
    /// Holds this share back until another packet of the same caller in the same direction has passed.
    pub reordered: Share,
}

/// What a stand-in for the fabric counted, in both directions.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Packets from callers.
    pub from_callers: u64,
    /// Packets from instances.
    pub from_instances: u64,
    /// Packets that were lost.
    pub lost: u64,
    /// Packets that were sent twice.
    pub doubled: u64,
    /// Packets that were delayed.
    pub delayed: u64,
    /// Packets that were held back.
    pub reordered: u64,
    /// Packets that no instance could get, because none is set.
    pub unroutable: u64,
}

/// A running stand-in, stopped when this is dropped.
#[derive(Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    services: Vec<SocketAddr>,
    control: Server,
    _tasks: Vec<Task>,
}

impl Controlled for Arc<Shared> {
    type Behaviour = Behaviour;
    type Counts = Counts;

    fn behaviour(&self) -> Behaviour {
        self.lock().behaviour
    }

    async fn behave(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    fn counts(&self) -> Counts {
        self.lock().counts
    }
}

/// Starts a stand-in.
pub async fn start(options: Options) -> io::Result<Handle> {
    let shared = Arc::new(Shared::new(&options));
    let mut services = Vec::new();
    let mut tasks = Vec::new();
    for address in options.services {
        let socket = UdpSocket::bind(address).await?;
        services.push(socket.local_addr()?);
        tasks.push(Task::spawn(path::forward(Arc::clone(&shared), Arc::new(socket))));
    }
    let read = Arc::clone(&shared);
    let write = Arc::clone(&shared);
    let instances = get(move || async move { Json(read.lock().instances.clone()) });
    let instances = instances.put(move |Json(instances)| async move { write.lock().instances = instances });
    let routes = control::routes(&shared).route("/instances", instances);
    Ok(Handle {
        shared,
        services,
        control: Server::start(options.control, routes)?,
        _tasks: tasks,
    })
}

impl Handle {
    /// The service addresses, in the order of the options.
    pub fn services(&self) -> &[SocketAddr] {
        &self.services
    }

    /// Where orders are taken.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Sprays packets over these instances from now on.
    pub fn set_instances(&self, instances: Vec<SocketAddr>) {
        self.shared.lock().instances = instances;
    }

    /// Behaves like this from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        self.shared.lock().behaviour = behaviour;
    }

    /// How it behaves now.
    pub fn behaviour(&self) -> Behaviour {
        self.shared.behaviour()
    }

    /// What it counted so far.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Stops.
    pub fn stop(self) {}
}
