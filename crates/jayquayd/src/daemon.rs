//! Puts the parts together and runs them.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use config::Settings;
use metrics_exporter_prometheus::PrometheusHandle;
use node::Event;
use node::Listed;
use node::Node;
use node::NodeConfig;
use platform::Client;
use token::Keyring;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;
use units::Incarnation;

use crate::addresses::Addresses;
use crate::admin;
use crate::bucket::Rate;
use crate::callers;
use crate::clock::Clock;
use crate::engine::End;
use crate::engine::Engine;
use crate::engine::Parts;
use crate::feed::Feed;
use crate::feed::Wish;
use crate::intake::Intake;
use crate::intake::Queues;
use crate::sessions;
use crate::sessions::Sessions;
use crate::sessions::handshake::Identity;
use crate::sessions::handshake::Keys;
use crate::summary;
use crate::timeline::Ring;
use crate::upstreams::Upstreams;

/// How many entries of the time line are kept.
const TIMELINE_LEN: usize = 20_000;
/// How many sources of datagrams are told apart.
const SOURCES: usize = 65_536;

/// Why a process could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address could not be listened at.
    Listen(SocketAddr, io::Error),
    /// The HTTP client could not be made.
    Client(reqwest::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen at {address}: {error}"),
            Self::Client(error) => write!(f, "cannot make an HTTP client: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running instance. Dropping it ends it at once, as a crash would.
#[derive(Debug)]
pub struct Handle {
    addresses: Addresses,
    incarnation: Incarnation,
    intake: Intake,
    running: JoinSet<End>,
}

impl Handle {
    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Its life.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Begins a planned stop.
    pub async fn stop(&self) {
        // An engine that is gone needs no stop.
        let _closed = self.intake.event(Event::Stop).await;
    }

    /// What the node tells of itself, unless it has ended.
    pub async fn status(&self) -> Option<node::Status> {
        self.intake.status().await
    }

    /// Waits until it has ended.
    pub async fn ended(&mut self) -> End {
        match self.running.join_next().await {
            Some(Ok(end)) => end,
            Some(Err(_)) | None => End::Abandoned,
        }
    }
}

/// The sockets of a process.
struct Sockets {
    callers: UdpSocket,
    instances: TcpListener,
    admin: TcpListener,
}

impl Sockets {
    async fn bind(settings: &Settings) -> Result<Self, StartError> {
        let listen = &settings.listen;
        let callers = UdpSocket::bind(listen.callers).await;
        let instances = TcpListener::bind(listen.instances).await;
        let admin = TcpListener::bind(listen.admin).await;
        Ok(Self {
            callers: callers.map_err(|error| StartError::Listen(listen.callers, error))?,
            instances: instances.map_err(|error| StartError::Listen(listen.instances, error))?,
            admin: admin.map_err(|error| StartError::Listen(listen.admin, error))?,
        })
    }

    fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            instances: self.instances.local_addr()?,
            admin: self.admin.local_addr()?,
        })
    }
}

/// Starts an instance. `metrics` renders the metrics, if a recorder is installed.
pub async fn start(settings: &Settings, metrics: Option<PrometheusHandle>) -> Result<Handle, StartError> {
    let clock = Clock::start();
    let incarnation = clock.incarnation();
    let sockets = Sockets::bind(settings).await?;
    let addresses = sockets
        .addresses()
        .map_err(|error| StartError::Listen(settings.listen.callers, error))?;
    let own = Identity {
        name: settings.name.clone(),
        incarnation,
        zone: settings.zone.clone(),
        address: settings.advertise.instances.unwrap_or(addresses.instances),
    };
    let (intake, queues) = Intake::new();
    let mut tasks = JoinSet::new();
    let context = session_context(settings, own, &intake);
    let engine = assemble(settings, &context, clock, sockets.callers, queues, &mut tasks)?;
    let handshake_history = Arc::clone(&context.handshake_history);
    tasks.spawn(sessions::listen(sockets.instances, context));
    let context = admin::Context {
        handshake_history,
        intake: intake.clone(),
        clock,
        addresses,
        metrics,
    };
    tasks.spawn(admin::serve(sockets.admin, context));
    let mut running = JoinSet::new();
    running.spawn(supervise(engine, tasks));
    Ok(Handle {
        addresses,
        incarnation,
        intake,
        running,
    })
}

/// Runs the engine. The other parts end with it.
async fn supervise(engine: Engine, tasks: JoinSet<()>) -> End {
    let end = engine.run().await;
    drop(tasks);
    end
}

fn assemble(
    settings: &Settings,
    context: &sessions::Context,
    clock: Clock,
    socket: UdpSocket,
    queues: Queues,
    tasks: &mut JoinSet<()>,
) -> Result<Engine, StartError> {
    let sessions::Context { own, intake, .. } = context;
    let (receiver, replier) = callers::split(socket, clock, caller_limits(settings));
    tasks.spawn(receiver.run(intake.clone()));
    let (wish, wished) = watch::channel(Wish::default());
    feed(settings, own, clock, intake, &wished, tasks);
    let upstreams = Upstreams::new(own.name.clone(), own.incarnation, intake.clone()).map_err(StartError::Client)?;
    let parts = Parts {
        replier,
        sessions: Sessions::new(context.clone(), settings.limits.sessions as usize),
        upstreams,
        wish,
        ring: Ring::new(own.name.clone(), own.incarnation, TIMELINE_LEN),
    };
    let node = Node::new(setup(settings, own), clock.now());
    Ok(Engine::new(node, clock, queues, parts, settings.stop_within))
}

fn feed(
    settings: &Settings,
    own: &Identity,
    clock: Clock,
    intake: &Intake,
    wish: &watch::Receiver<Wish>,
    tasks: &mut JoinSet<()>,
) {
    let client = Client::new(platform::Options::new(settings.platform.clone()));
    tasks.spawn(summary::keep(client.clone(), clock, intake.clone()));
    let feed = Feed::new(client, intake.clone(), wish.clone());
    let entry = Listed::Entry {
        name: own.name.clone(),
        incarnation: own.incarnation,
        zone: own.zone.clone(),
        address: own.address,
        admin: admin_address(settings),
        leaving: false,
    };
    // Each of these ends only when the engine is gone.
    let document = feed.clone().read_document();
    let list = feed.clone().read_list(own.zone.clone());
    let peers = feed.clone().name_peers(seeds(settings));
    let entry = feed.keep_entry(entry);
    tasks.spawn(async {
        let _closed = document.await;
    });
    tasks.spawn(async {
        let _closed = list.await;
    });
    tasks.spawn(async {
        let _closed = peers.await;
    });
    tasks.spawn(async {
        let _closed = entry.await;
    });
}

/// Where operators on other hosts reach this instance, if they do.
fn admin_address(settings: &Settings) -> Option<SocketAddr> {
    let listen = settings.listen.admin;
    let is_reached = !listen.ip().is_loopback() && !listen.ip().is_unspecified() && listen.port() != 0;
    settings.advertise.admin.or(is_reached.then_some(listen))
}

/// The instances in the settings. Their lives are unknown, so that any life that is heard of is newer.
fn seeds(settings: &Settings) -> Vec<Listed> {
    let entries = settings.peers.iter().map(|seed| Listed::Entry {
        name: seed.name.clone(),
        incarnation: Incarnation::default(),
        zone: seed.zone.clone(),
        address: seed.address,
        admin: None,
        leaving: false,
    });
    entries.collect()
}

fn session_context(settings: &Settings, own: Identity, intake: &Intake) -> sessions::Context {
    sessions::Context {
        own,
        keys: Keys::new(&settings.secrets.current, &settings.secrets.previous),
        intake: intake.clone(),
        handshake_history: Arc::default(),
    }
}

fn caller_limits(settings: &Settings) -> callers::Limits {
    // What comes within one second may come at once.
    let rate = |per_second| Rate {
        per_second,
        burst: per_second,
    };
    callers::Limits {
        per_source: rate(settings.limits.packets_per_second),
        total: rate(settings.limits.total_packets_per_second),
        sources: SOURCES,
    }
}

fn setup(settings: &Settings, own: &Identity) -> NodeConfig {
    let secrets = &settings.secrets;
    NodeConfig {
        name: own.name.clone(),
        incarnation: own.incarnation,
        zone: own.zone.clone(),
        address: own.address,
        keyring: Keyring::new(&secrets.current, &secrets.previous, settings.token_lifetime),
        limits: node::Limits {
            flows: settings.limits.flows as usize,
            requests: settings.limits.requests as usize,
            answer_bytes: settings.limits.answer_bytes,
            ..node::Limits::default()
        },
        stop_within: settings.stop_within,
        seed: rand::random(),
    }
}
