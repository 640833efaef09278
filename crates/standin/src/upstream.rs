//! A stand-in for an upstream: it runs requests in slots, drains, sheds, and reports its health and load.
//!
//! It counts how often each request ran, which is the measure of "at most once". It knows callers only by what
//! reaches it.

mod answer;
mod behaviour;
mod registration;
mod routes;
mod time;
mod work;

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use units::Bytes;
use units::Incarnation;
use units::Millis;
use units::ServiceName;
use units::Slots;
use units::UpstreamName;

use crate::control::Controlled;
use crate::server::Server;
use crate::task::Task;
use crate::upstream::work::Work;

pub use crate::upstream::answer::ParseRequestKeyError;
pub use crate::upstream::answer::RequestKey;
pub use crate::upstream::answer::expected_answer;
pub use crate::upstream::behaviour::Behaviour;
pub use crate::upstream::behaviour::Claims;
pub use crate::upstream::behaviour::Counts;
pub use crate::upstream::behaviour::Run;
pub use crate::upstream::routes::HEADER_CALL;
pub use crate::upstream::routes::HEADER_KIND;
pub use crate::upstream::routes::HEADER_NOT_RUN;
pub use crate::upstream::routes::HEADER_REQUEST;
pub use crate::upstream::routes::HEADER_SERVICE;
pub use crate::upstream::routes::HEADER_TIMEOUT;
pub use crate::upstream::routes::Health;
pub use crate::upstream::routes::Load;
pub use crate::upstream::time::ColdStart;
pub use crate::upstream::time::ParseColdStartError;
pub use crate::upstream::time::ParseServiceTimeError;
pub use crate::upstream::time::ServiceTime;

/// How a stand-in starts.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Its name.
    pub name: UpstreamName,
    /// The service whose requests it runs. It counts others as violations and refuses them.
    pub service: ServiceName,
    /// Where it serves. Port zero asks the operating system for a port.
    pub address: SocketAddr,
    /// Where it takes orders.
    pub control: SocketAddr,
    /// Its first incarnation.
    pub incarnation: Incarnation,
    /// How many requests it runs at a time.
    pub slots: Slots,
    /// How long a request takes.
    pub service_time: ServiceTime,
    /// How it is slower at first.
    pub cold_start: ColdStart,
    /// How long an answer is.
    pub answer_len: Bytes,
    /// Where its random draws begin.
    pub seed: u64,
    /// The platform's addresses, if it is to keep an entry on the platform's list.
    pub platform: Vec<SocketAddr>,
    /// How long that entry lives after each renewal.
    pub ttl: Millis,
    /// How it behaves at first.
    pub behaviour: Behaviour,
}

impl Options {
    /// Options for an upstream of two quick slots on loopback.
    pub fn new(name: UpstreamName, service: ServiceName) -> Self {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            name,
            service,
            address: any,
            control: any,
            incarnation: Incarnation(1),
            slots: Slots(2),
            service_time: ServiceTime::Fixed(Millis(5)),
            cold_start: ColdStart::default(),
            answer_len: Bytes(100),
            seed: 1,
            platform: Vec::new(),
            ttl: Millis(3_000),
            behaviour: Behaviour::default(),
        }
    }
}

/// A running stand-in, stopped when this is dropped.
#[derive(Debug)]
pub struct Handle {
    upstream: Upstream,
    control: Server,
    _registration: Task,
}

/// What the handlers of a stand-in share.
#[derive(Debug, Clone)]
struct Shared {
    options: Arc<Options>,
    work: Arc<Work>,
    behaviour: Arc<watch::Sender<Behaviour>>,
}

/// What the control address works on.
#[derive(Debug, Clone)]
struct Upstream {
    shared: Shared,
    server: Arc<Server>,
}

impl Upstream {
    /// Ends this life, cutting what it runs, and begins the next one without faults.
    async fn restart(&self) -> Incarnation {
        self.server.cut().await;
        let incarnation = self.shared.work.next_life();
        self.behave(Behaviour::default()).await;
        incarnation
    }
}

impl Controlled for Upstream {
    type Behaviour = Behaviour;
    type Counts = Counts;

    fn behaviour(&self) -> Behaviour {
        self.shared.behaviour.borrow().clone()
    }

    async fn behave(&self, behaviour: Behaviour) {
        self.server.set_up(!behaviour.down).await;
        self.shared.work.note_draining(behaviour.draining);
        self.shared.behaviour.send_replace(behaviour);
    }

    fn counts(&self) -> Counts {
        self.shared.work.counts()
    }
}

/// Starts a stand-in.
pub async fn start(options: Options) -> io::Result<Handle> {
    let shared = Shared {
        work: Arc::new(Work::new(&options)),
        behaviour: Arc::new(watch::Sender::new(Behaviour::default())),
        options: Arc::new(options),
    };
    let server = Server::start(shared.options.address, routes::routes(&shared))?;
    let upstream = Upstream {
        shared: shared.clone(),
        server: Arc::new(server),
    };
    upstream.behave(shared.options.behaviour.clone()).await;
    Ok(Handle {
        control: Server::start(shared.options.control, routes::control(&upstream))?,
        _registration: Task::spawn(registration::keep(shared)),
        upstream,
    })
}

impl Handle {
    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.upstream.server.address()
    }

    /// Where orders are taken.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Behaves like this, from the return of this call on.
    pub async fn behave(&self, behaviour: Behaviour) {
        self.upstream.behave(behaviour).await;
    }

    /// How it behaves now.
    pub fn behaviour(&self) -> Behaviour {
        self.upstream.behaviour()
    }

    /// What it counted so far, over all its lives.
    pub fn counts(&self) -> Counts {
        self.upstream.counts()
    }

    /// How often each request ran, over all its lives.
    pub fn runs(&self) -> Vec<Run> {
        self.upstream.shared.work.runs()
    }

    /// Ends this life, cutting what it runs, and begins the next one without faults at the same address.
    pub async fn restart(&self) -> Incarnation {
        self.upstream.restart().await
    }

    /// Stops.
    pub fn stop(self) {}
}
