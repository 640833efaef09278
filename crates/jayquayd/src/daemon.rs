//! Builds the components of an instance and runs them.

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
use crate::engine::Components;
use crate::engine::Engine;
use crate::engine::ExitReason;
use crate::feed::DesiredState;
use crate::feed::PlatformSync;
use crate::input::InputQueues;
use crate::input::InputSender;
use crate::sessions;
use crate::sessions::Sessions;
use crate::sessions::handshake::Identity;
use crate::sessions::handshake::Keys;
use crate::summary;
use crate::timeline::TimelineBuffer;
use crate::upstreams::Upstreams;

/// Maximum number of timeline entries kept.
const TIMELINE_CAPACITY: usize = 20_000;
/// Maximum number of source addresses with a rate limit of their own.
const MAX_SOURCES: usize = 65_536;

/// An error that prevents an instance from starting.
#[derive(Debug)]
pub enum StartError {
    /// A socket could not be bound to an address.
    Listen(SocketAddr, io::Error),
    /// The HTTP client could not be created.
    Client(reqwest::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Client(error) => write!(f, "cannot create the HTTP client: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running instance. Dropping the handle ends the instance immediately, like a crash.
#[derive(Debug)]
pub struct Handle {
    addresses: Addresses,
    incarnation: Incarnation,
    input_sender: InputSender,
    engine_task: JoinSet<ExitReason>,
}

impl Handle {
    /// The addresses at which the instance listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The incarnation of the instance.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Starts a planned stop.
    pub async fn stop(&self) {
        // Fails only if the engine has already ended.
        let _closed = self.input_sender.send_event(Event::Stop).await;
    }

    /// The status of the node, or `None` if the engine has ended.
    pub async fn status(&self) -> Option<node::Status> {
        self.input_sender.status().await
    }

    /// Waits for the instance to end.
    pub async fn ended(&mut self) -> ExitReason {
        match self.engine_task.join_next().await {
            Some(Ok(exit_reason)) => exit_reason,
            Some(Err(_)) | None => ExitReason::EngineFailed,
        }
    }
}

/// The listening sockets of an instance.
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

/// Starts an instance. `metrics` renders the metrics for `/metrics`, if a recorder is installed.
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
    let (input_sender, queues) = InputSender::new();
    let mut tasks = JoinSet::new();
    let context = session_context(settings, own, &input_sender);
    let engine = build_engine(settings, &context, clock, sockets.callers, queues, &mut tasks)?;
    let handshake_history = Arc::clone(&context.handshake_history);
    tasks.spawn(sessions::listen(sockets.instances, context));
    let context = admin::Context {
        handshake_history,
        input_sender: input_sender.clone(),
        clock,
        addresses,
        metrics,
    };
    tasks.spawn(admin::serve(sockets.admin, context));
    let mut engine_task = JoinSet::new();
    engine_task.spawn(supervise(engine, tasks));
    Ok(Handle {
        addresses,
        incarnation,
        input_sender,
        engine_task,
    })
}

/// Runs the engine, then aborts all other tasks.
async fn supervise(engine: Engine, tasks: JoinSet<()>) -> ExitReason {
    let exit_reason = engine.run().await;
    drop(tasks);
    exit_reason
}

fn build_engine(
    settings: &Settings,
    context: &sessions::Context,
    clock: Clock,
    socket: UdpSocket,
    queues: InputQueues,
    tasks: &mut JoinSet<()>,
) -> Result<Engine, StartError> {
    let sessions::Context { own, input_sender, .. } = context;
    let (receiver, reply_sender) = callers::split(socket, clock, caller_limits(settings));
    tasks.spawn(receiver.run(input_sender.clone()));
    let (desired, desired_receiver) = watch::channel(DesiredState::default());
    spawn_platform_tasks(settings, own, clock, input_sender, &desired_receiver, tasks);
    let upstreams =
        Upstreams::new(own.name.clone(), own.incarnation, input_sender.clone()).map_err(StartError::Client)?;
    let components = Components {
        reply_sender,
        sessions: Sessions::new(context.clone(), settings.limits.sessions as usize),
        upstreams,
        desired,
        timeline: TimelineBuffer::new(own.name.clone(), own.incarnation, TIMELINE_CAPACITY),
    };
    let node = Node::new(node_config(settings, own), clock.now());
    Ok(Engine::new(node, clock, queues, components, settings.stop_within))
}

fn spawn_platform_tasks(
    settings: &Settings,
    own: &Identity,
    clock: Clock,
    input_sender: &InputSender,
    desired: &watch::Receiver<DesiredState>,
    tasks: &mut JoinSet<()>,
) {
    let client = Client::new(platform::Options::new(settings.platform.clone()));
    tasks.spawn(summary::run(client.clone(), clock, input_sender.clone()));
    let sync = PlatformSync::new(client, input_sender.clone(), desired.clone());
    let entry = Listed::Entry {
        name: own.name.clone(),
        incarnation: own.incarnation,
        zone: own.zone.clone(),
        address: own.address,
        admin: reachable_admin_address(settings),
        leaving: false,
    };
    // Each of these ends only once the engine has ended.
    let document = sync.clone().sync_document();
    let list = sync.clone().sync_list(own.zone.clone());
    let peers = sync.clone().announce_peers(configured_peers(settings));
    let entry = sync.maintain_entry(entry);
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

/// The admin address that is reachable from other hosts, if any.
fn reachable_admin_address(settings: &Settings) -> Option<SocketAddr> {
    let listen = settings.listen.admin;
    let is_reachable = !listen.ip().is_loopback() && !listen.ip().is_unspecified() && listen.port() != 0;
    settings.advertise.admin.or(is_reachable.then_some(listen))
}

/// The peers named in the settings. Their incarnations are unknown, so they get the lowest one, which any observed
/// incarnation supersedes.
fn configured_peers(settings: &Settings) -> Vec<Listed> {
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

fn session_context(settings: &Settings, own: Identity, input_sender: &InputSender) -> sessions::Context {
    sessions::Context {
        own,
        keys: Keys::new(&settings.secrets.current, &settings.secrets.previous),
        input_sender: input_sender.clone(),
        handshake_history: Arc::default(),
    }
}

fn caller_limits(settings: &Settings) -> callers::Limits {
    // A burst may be as large as the packets allowed in one second.
    let rate = |per_second| Rate {
        per_second,
        burst: per_second,
    };
    callers::Limits {
        per_source: rate(settings.limits.packets_per_second),
        total: rate(settings.limits.total_packets_per_second),
        max_sources: MAX_SOURCES,
    }
}

fn node_config(settings: &Settings, own: &Identity) -> NodeConfig {
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
