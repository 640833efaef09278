//! Starts and supervises the tasks of the flow mode.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use adapter::Store;
use flow::Core;
use flow::Options;
use membership::Membership;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use wire::Member;
use wire::MemberState;

use super::check;
use super::gossip;
use super::gossip::Peers;
use super::http;
use super::http::Context;
use super::packets;
use super::reload;
use super::settings::Settings;
use super::shared::Shared;
use super::stop;
use super::store;
use crate::clock::Clock;

/// Interval at which idle flows are expired.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Error that prevents a process in flow mode from running.
#[derive(Debug)]
pub enum RunError {
    /// The process could not listen on an address.
    Listen(SocketAddr, io::Error),
    /// A signal handler could not be installed, or a socket failed.
    Io(io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Io(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RunError {}

impl From<io::Error> for RunError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Runs until SIGTERM or SIGINT, then keeps forwarding until traffic has moved away from this instance or the grace
/// period ends.
pub async fn run(settings: &Settings, path: &Path, metrics: PrometheusHandle) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let (changes, current) = watch::channel(settings.clone());
    tokio::spawn(reload::run(path.to_owned(), hangup, changes));
    let shared = create_shared(settings);
    let listen = settings.listen;
    let packets = bind_udp(listen.packets).await?;
    let ready = http::bind(listen.ready).map_err(|error| RunError::Listen(listen.ready, error))?;
    let peers_http = http::bind(listen.peers).map_err(|error| RunError::Listen(listen.peers, error))?;
    let (check_channels, peer_channels) = check::channels();
    let peers = Peers::new(
        bind_udp(listen.peers).await?,
        shared.clone(),
        current.clone(),
        listen.advertised.port(),
        peer_channels,
    );
    let store = Store::new(settings.store);
    let checked = store.without_reuse();
    tokio::spawn(store::run(store, current.clone(), shared.clone()));
    tokio::spawn(check::run(checked, current.clone(), shared.clone(), check_channels));
    tokio::spawn(http::serve_ready(ready, shared.clone()));
    let context = Context {
        shared: shared.clone(),
        metrics,
        responses: Arc::default(),
        gauges: Arc::default(),
    };
    tokio::spawn(http::serve_peers(peers_http, context));
    tokio::spawn(peers.run());
    tokio::spawn(packets::run(Arc::new(packets), listen.packets.port(), shared.clone()));
    tokio::spawn(tick(shared.clone()));
    log::info!("daemon: started instance={} zone={}", settings.name, settings.zone);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("daemon: stopping");
    shared.stop();
    let grace = current.borrow().grace;
    stop::wait(&shared, grace).await;
    log::info!("daemon: stopped");
    Ok(())
}

fn create_shared(settings: &Settings) -> Shared {
    let clock = Clock::start();
    let core = Core::new(Options {
        zone: settings.zone.clone(),
        max_flow: settings.max_flow,
        awaits_evacuations: settings.evacuations,
        seed: rand::random(),
    });
    let me = Member {
        name: settings.name.clone(),
        incarnation: clock.incarnation(),
        zone: settings.zone.clone(),
        address: settings.listen.advertised,
        state: MemberState::Alive,
        refutation: 0,
    };
    let members = Membership::new(me, gossip::timing(), rand::random(), clock.now());
    Shared::new(clock, core, members)
}

async fn bind_udp(address: SocketAddr) -> Result<UdpSocket, RunError> {
    let socket = UdpSocket::bind(address).await;
    socket.map_err(|error| RunError::Listen(address, error))
}

async fn tick(shared: Shared) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        let now = shared.now();
        shared.core().tick(now);
        // A service may recover while no packet arrives that would lead to the decision being logged.
        shared.note_decisions();
    }
}
