//! Membership and the exchange between instances over UDP, with one message per datagram. The membership protocol
//! handles lost messages.

mod datagram;
mod readers;
mod upstreams;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use flow::FailureReport;
use flow::Report;
use flow::StatusUpdate;
use flow::UpstreamId;
use membership::Membership;
use membership::Output;
use membership::Timing;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::watch;
use units::Incarnation;
use units::InstanceName;
use wire::Frame;
use wire::Member;

use super::check::Gate;
use super::check::Question;
use super::failures;
use super::keeping;
use super::pull;
use super::pull::Newer;
use super::settings::Settings;
use super::shared::Shared;
use crate::metric;
use readers::Readers;

/// Interval of the membership protocol's timer.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which the seeds are contacted while no other instance is known.
const SEED_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of queued instances that hold newer knowledge.
const PULLS: usize = 64;
/// Increment of the incarnation when other instances know a later one, as after the wall clock was set back.
const INCARNATION_STEP: u64 = 10_000 << 10;
/// Maximum length of a received datagram.
const MAX_LEN: usize = 65_536;

/// Intervals of failure detection. A probe per second from each of two zones detects a dead watcher within the bound
/// for a change to take effect, and costs each instance about two datagrams per second.
pub(crate) fn timing() -> Timing {
    Timing {
        probe_interval: Duration::from_secs(1),
        probe_timeout: Duration::from_millis(300),
        base_suspicion_timeout: Duration::from_secs(1),
        dead_probe_interval: Duration::from_secs(3),
        prefer_own_zone: true,
        ..Timing::default()
    }
}

/// A message between instances, with its sender.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    from: InstanceName,
    incarnation: Incarnation,
    body: Body,
    /// Whether the sender's frames carry epochs. Those of an earlier release don't.
    #[serde(default)]
    tells_epochs: bool,
    /// Whether the sender supports compressed messages. Instances of an earlier release don't.
    #[serde(default)]
    reads_compressed: bool,
}

/// Payload of a message.
#[derive(Debug, Serialize, Deserialize)]
enum Body {
    /// A frame of the membership protocol.
    Member(Box<Frame>),
    /// Upstreams that flows wait for without an answer, sent to their aggregators, or better information in reply to
    /// that.
    Reports(Vec<Report>),
    /// Asks for the receiver's observations of these upstreams.
    Questions(Vec<UpstreamId>),
    /// The reply to `Questions`.
    Views(Vec<Report>),
    /// Failed tries, sent to the aggregators.
    Failures(Vec<FailureReport>),
    /// Upstreams that stop receiving new flows, or receive them again.
    Standings(Vec<StatusUpdate>),
    /// Asks the receiver to check the store for newer data.
    Check(Question),
}

/// The sender of a message, and the source address of its datagram.
struct Sender {
    name: InstanceName,
    source: SocketAddr,
}

/// Exchange with the other instances over one socket.
pub(crate) struct Peers {
    socket: Arc<UdpSocket>,
    shared: Shared,
    settings: watch::Receiver<Settings>,
    /// The port on which other instances reach every instance.
    port: u16,
    pulls: mpsc::Sender<Newer>,
    /// Checks of the store that instances forward to one another.
    checks: Gate,
    /// Source addresses of messages whose senders support compression.
    readers: Mutex<Readers>,
}

impl Peers {
    /// Creates the state and starts the task that fetches knowledge from other instances.
    pub(crate) fn new(
        socket: UdpSocket,
        shared: Shared,
        settings: watch::Receiver<Settings>,
        port: u16,
        checks: Gate,
    ) -> Self {
        let (pulls, wanted) = mpsc::channel(PULLS);
        tokio::spawn(pull::ask(wanted, pulls.clone(), shared.clone()));
        Self {
            socket: Arc::new(socket),
            shared,
            settings,
            port,
            pulls,
            checks,
            readers: Mutex::default(),
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; MAX_LEN];
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut next_seed = self.shared.now();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((len, from)) => self.receive(&buffer[..len], from),
                    Err(error) => log::debug!("peers: receive failed: {error}"),
                },
                _ = tick.tick() => {
                    self.tick();
                    self.report_silence();
                    self.report_failures();
                    self.ask();
                    self.tell_standings();
                    keeping::update(&self.shared);
                    let now = self.shared.now();
                    if now >= next_seed && self.is_alone() {
                        next_seed = now + SEED_PAUSE;
                        self.ask_seeds();
                    }
                }
                () = self.shared.grown() => self.tell(),
                Some(handed) = self.checks.handed.recv() => self.send(handed.to, Body::Check(handed.question)),
            }
        }
    }

    fn is_alone(&self) -> bool {
        self.shared.members().members().nth(1).is_none()
    }

    fn ask_seeds(&self) {
        let frame = Frame::News(self.shared.members().introduction());
        let own = self.shared.members().me().address;
        let seeds = self.settings.borrow().seeds.clone();
        for ip in seeds {
            let seed = SocketAddr::new(ip, self.port);
            if seed == own {
                continue;
            }
            self.send(seed, Body::Member(Box::new(frame.clone())));
        }
    }

    fn tick(&self) {
        let mut out = Vec::new();
        let now = self.shared.now();
        if self.shared.is_stopping() {
            // Announced before the process ends, so that other instances take over watching the store.
            self.shared.members().leave(now, &mut out);
        }
        self.shared.members().tick(now, &mut out);
        self.carry_out(out);
    }

    /// Whether an instance is in another zone.
    fn is_far(&self, name: &InstanceName) -> bool {
        let members = self.shared.members();
        let zone = members.member(name).map(|member| &member.zone);
        zone.is_some_and(|zone| *zone != members.me().zone)
    }

    /// Announces that this instance's knowledge has changed.
    fn tell(&self) {
        let mut out = Vec::new();
        let (level, parts) = pull::level(&self.shared);
        let now = self.shared.now();
        self.shared.members().set_document(level, parts, now, &mut out);
        self.carry_out(out);
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let Some(message) = datagram::read(bytes) else {
            metric::frames_unread().increment(1);
            log::debug!("peers: malformed message from={from}");
            return;
        };
        if message.reads_compressed {
            self.readers().insert(from);
        }
        let sender = Sender {
            name: message.from,
            source: from,
        };
        match message.body {
            Body::Member(mut frame) => {
                if !message.tells_epochs {
                    self.read_without_epochs(&mut frame);
                }
                self.handle(&sender.name, message.incarnation, &frame);
            }
            Body::Reports(reports) => self.hear_reports(&sender, &reports),
            Body::Failures(reports) => failures::hear(&self.shared, &reports),
            Body::Questions(upstreams) => self.answer(&sender, &upstreams),
            Body::Views(views) => self.hear_views(&sender, &views),
            Body::Standings(standings) => self.hear_standings(&sender, &standings),
            Body::Check(question) => {
                // A full queue holds equivalent checks.
                let _full = self.checks.asked.try_send(question);
            }
        }
    }

    /// Makes the positions announced by an instance of an earlier release comparable with those here.
    fn read_without_epochs(&self, frame: &mut Frame) {
        let (Frame::Probe(_, gossip) | Frame::ProbeAck(_, gossip) | Frame::News(gossip)) = frame else {
            return;
        };
        gossip.document = gossip
            .document
            .map(|held| pull::level_without_epochs(&self.shared, held));
    }

    /// Processes a frame of the membership protocol.
    fn handle(&self, from: &InstanceName, incarnation: Incarnation, frame: &Frame) {
        let mut out = Vec::new();
        {
            let mut members = self.shared.members();
            members.handle(self.shared.now(), from, incarnation, frame, &mut out);
            if members.is_replaced() {
                raise_incarnation(&mut members, &self.shared);
            }
        }
        self.carry_out(out);
    }

    fn carry_out(&self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { address, frame, .. } => self.send(address, Body::Member(Box::new(frame))),
                Output::DocumentSeen {
                    from,
                    address,
                    revision,
                    digest,
                    ..
                } => {
                    // A full queue holds other instances with newer knowledge; one that is dropped here will announce
                    // itself again.
                    let _full = self.pulls.try_send(Newer {
                        address,
                        level: revision,
                        parts: digest,
                        is_far: self.is_far(&from),
                        is_overdue: false,
                    });
                }
                Output::Up(member) => log::info!(
                    "peers: up instance={} incarnation={} zone={}",
                    member.name,
                    member.incarnation,
                    member.zone
                ),
                Output::Leaving(member) => log::info!("peers: leaving instance={}", member.name),
                Output::Down(member) => log::info!("peers: down instance={}", member.name),
                Output::Succeeded(_) | Output::UpstreamLeaving(_) => {}
            }
        }
    }

    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, to: SocketAddr, body: Body) {
        let message = {
            let members = self.shared.members();
            let me = members.me();
            Message {
                from: me.name.clone(),
                incarnation: me.incarnation,
                body,
                tells_epochs: true,
                reads_compressed: true,
            }
        };
        let bytes = datagram::write(&message, self.readers().contains(&to));
        metric::frames_sent().increment(1);
        metric::frame_bytes_sent().increment(bytes.len() as u64);
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!("peers: cannot send to {to}: {error}");
        }
    }
}

/// Restarts the membership with a later incarnation of the same name. Only the membership depends on the incarnation
/// here, since flows have no owner.
fn raise_incarnation(members: &mut Membership, shared: &Shared) {
    let me = members.me();
    let me = Member {
        incarnation: Incarnation(me.incarnation.0 + INCARNATION_STEP),
        refutation: 0,
        ..me.clone()
    };
    log::warn!(
        "peers: a later incarnation is known, restarting instance={} incarnation={}",
        me.name,
        me.incarnation
    );
    *members = Membership::new(me, timing(), rand::random(), shared.now());
}
