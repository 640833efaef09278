//! Membership and the exchange between instances over UDP, with one message per datagram. The membership protocol
//! handles lost messages.

mod compression_support;
mod datagram;
mod loads;
mod upstreams;

use std::net::SocketAddr;
use std::ops::Not;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use flow::FailureReport;
use flow::LoadDigest;
use flow::LoadReport;
use flow::Report;
use flow::StatusUpdate;
use flow::UpstreamId;
use flow::ZoneLoads;
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
use wire::MemberState;

use super::check::CheckRequest;
use super::check::PeerChannels;
use super::cold_assignment;
use super::failures;
use super::loads::Collectors;
use super::loads::reporter_id;
use super::pull;
use super::pull::Announcement;
use super::settings::Settings;
use super::shared::Shared;
use crate::metric;
use compression_support::CompressionSupport;

/// Interval of the membership protocol's timer.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which the seeds are contacted while no other instance is known.
const SEED_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of queued instances that hold newer knowledge.
const PULL_QUEUE_CAPACITY: usize = 64;
/// Increment of the incarnation when other instances know a later one, as after the wall clock was set back.
const INCARNATION_STEP: u64 = 10_000 << 10;
/// Maximum length of a received datagram.
const MAX_DATAGRAM_LEN: usize = 65_536;

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
    #[serde(default, skip_serializing_if = "Not::not")]
    tells_epochs: bool,
    /// Whether the sender supports compressed messages. Instances of an earlier release don't.
    #[serde(default, skip_serializing_if = "Not::not")]
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
    Check(CheckRequest),
    /// The sender's work at upstreams, sent to the collectors.
    LoadReport(LoadReport),
    /// The joint load of upstreams, the reply to `LoadReport`.
    LoadDigest(Box<LoadDigest>),
    /// Sums of load, sent between collectors of one service.
    ZoneLoads(ZoneLoads),
}

impl Body {
    /// Whether it concerns the load of upstreams.
    fn is_load(&self) -> bool {
        matches!(self, Self::LoadReport(_) | Self::LoadDigest(_) | Self::ZoneLoads(_))
    }
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
    pulls: mpsc::Sender<Announcement>,
    /// Checks of the store that instances forward to one another.
    checks: PeerChannels,
    /// Source addresses of messages whose senders support compression.
    compression_support: Mutex<CompressionSupport>,
    /// The instances that load messages are exchanged with.
    collectors: Mutex<Collectors>,
}

impl Peers {
    /// Creates the state and starts the task that fetches knowledge from other instances.
    pub(crate) fn new(
        socket: UdpSocket,
        shared: Shared,
        settings: watch::Receiver<Settings>,
        port: u16,
        checks: PeerChannels,
    ) -> Self {
        let (pulls, announcements) = mpsc::channel(PULL_QUEUE_CAPACITY);
        tokio::spawn(pull::run(announcements, pulls.clone(), shared.clone()));
        Self {
            socket: Arc::new(socket),
            shared,
            settings,
            port,
            pulls,
            checks,
            compression_support: Mutex::default(),
            collectors: Mutex::default(),
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_LEN];
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut next_seed_contact = self.shared.now();
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
                    self.send_inquiries();
                    self.publish_status_updates();
                    self.exchange_loads();
                    cold_assignment::update(&self.shared);
                    self.count_zone_instances();
                    let now = self.shared.now();
                    if now >= next_seed_contact && self.is_alone() {
                        next_seed_contact = now + SEED_INTERVAL;
                        self.contact_seeds();
                    }
                }
                () = self.shared.knowledge_changed() => self.announce(),
                Some(check) = self.checks.forwards.recv() => self.send(check.to, Body::Check(check.request)),
            }
        }
    }

    fn is_alone(&self) -> bool {
        self.shared.members().members().nth(1).is_none()
    }

    fn contact_seeds(&self) {
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
        self.process_outputs(out);
    }

    /// Tells the flow core how many instances share the flows of its zone.
    fn count_zone_instances(&self) {
        let instances = {
            let members = self.shared.members();
            let zone = &members.me().zone;
            let in_zone = members.members().filter(|member| member.zone == *zone);
            in_zone.filter(|member| member.state == MemberState::Alive).count()
        };
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        self.shared.core().set_zone_instances(instances);
    }

    /// Whether an instance is in another zone.
    fn is_in_other_zone(&self, name: &InstanceName) -> bool {
        let members = self.shared.members();
        let zone = members.member(name).map(|member| &member.zone);
        zone.is_some_and(|zone| *zone != members.me().zone)
    }

    /// Announces that this instance's knowledge has changed.
    fn announce(&self) {
        let mut out = Vec::new();
        let (level, parts) = pull::level(&self.shared);
        let now = self.shared.now();
        self.shared.members().set_document(level, parts, now, &mut out);
        self.process_outputs(out);
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let Some(message) = datagram::decode(bytes) else {
            metric::frames_unread().increment(1);
            log::debug!("peers: malformed message from={from}");
            return;
        };
        if message.reads_compressed {
            self.compression_support().insert(from);
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
                self.handle_frame(&sender.name, message.incarnation, &frame);
            }
            Body::Reports(reports) => self.handle_reports(&sender, &reports),
            Body::Failures(reports) => failures::receive(&self.shared, &reports),
            Body::Questions(upstreams) => self.answer_inquiry(&sender, &upstreams),
            Body::Views(replies) => self.handle_inquiry_replies(&sender, &replies),
            Body::Standings(updates) => self.handle_status_updates(&sender, &updates),
            Body::Check(request) => {
                // A full queue holds equivalent checks.
                let _full = self.checks.requests.try_send(request);
            }
            body @ (Body::LoadReport(_) | Body::LoadDigest(_) | Body::ZoneLoads(_)) => {
                self.receive_load_message((reporter_id(&sender.name), message.incarnation), &body);
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
    fn handle_frame(&self, from: &InstanceName, incarnation: Incarnation, frame: &Frame) {
        let mut out = Vec::new();
        {
            let mut members = self.shared.members();
            members.handle(self.shared.now(), from, incarnation, frame, &mut out);
            if members.is_replaced() {
                raise_incarnation(&mut members, &self.shared);
            }
        }
        self.process_outputs(out);
    }

    fn process_outputs(&self, out: Vec<Output>) {
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
                    let _full = self.pulls.try_send(Announcement {
                        address,
                        level: revision,
                        parts: digest,
                        is_from_other_zone: self.is_in_other_zone(&from),
                        has_waited: false,
                    });
                }
                Output::Up(member) => log::info!(
                    "peers: up instance={} incarnation={} zone={}",
                    member.name,
                    member.incarnation,
                    member.zone
                ),
                Output::Leaving(member) => log::info!("peers: leaving instance={}", member.name),
                Output::Down(member) => {
                    log::info!("peers: down instance={}", member.name);
                    let now = self.shared.now();
                    self.shared.core().remove_load_reporter(reporter_id(&member.name), now);
                }
                Output::Succeeded(_) | Output::UpstreamLeaving(_) => {}
            }
        }
    }

    fn compression_support(&self) -> MutexGuard<'_, CompressionSupport> {
        self.compression_support.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn collectors(&self) -> MutexGuard<'_, Collectors> {
        self.collectors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, to: SocketAddr, body: Body) {
        // Load messages are frequent and short, and hardly shrink when compressed.
        let is_load = body.is_load();
        let message = {
            let members = self.shared.members();
            let me = members.me();
            Message {
                from: me.name.clone(),
                incarnation: me.incarnation,
                body,
                tells_epochs: !is_load,
                reads_compressed: !is_load,
            }
        };
        let may_compress = !is_load && self.compression_support().contains(&to);
        let bytes = datagram::encode(&message, may_compress);
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
