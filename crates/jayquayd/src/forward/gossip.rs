//! Membership over UDP: one datagram, one frame. What is lost is sent again by the protocol above.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::de;
use flow::FailureReport;
use flow::Report;
use flow::ReporterId;
use flow::Standing;
use flow::UpstreamId;
use membership::Membership;
use membership::Output;
use membership::Timing;
use rand::seq::IteratorRandom;
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
use super::pull;
use super::pull::Newer;
use super::settings::Settings;
use super::shared::Shared;
use super::silence;
use crate::metric;

/// How often membership is given the time.
const TICK: Duration = Duration::from_millis(100);
/// How often seeds are asked while no other instance is known.
const SEED_PAUSE: Duration = Duration::from_millis(300);
/// How many instances that hold newer knowledge may wait to be asked.
const PULLS: usize = 64;
/// How many instances of the own zone, and of other zones, get a standing from whoever decided it.
const NEAR_LISTENERS: usize = 8;
const FAR_LISTENERS: usize = 4;
/// How many others hear of a standing from each that has heard of it first. With six all but one in four hundred hear of it, and
/// the next word comes within seconds.
const PASSED_ON: usize = 6;
/// How far the incarnation is raised when others know a later one, as after the wall clock was set back.
const INCARNATION_STEP: u64 = 10_000 << 10;
/// The longest datagram that is read.
const MAX_LEN: usize = 65_536;
/// How deeply a message may nest.
const MAX_DEPTH: usize = 16;

/// How often members look after one another. A probe a second from each of two zones finds a dead watcher within the
/// bound for a change to be in force, and costs each instance about two datagrams a second.
pub(crate) fn timing() -> Timing {
    Timing {
        probe_every: Duration::from_secs(1),
        probe_timeout: Duration::from_millis(300),
        suspect_for: Duration::from_secs(1),
        dead_probe_every: Duration::from_secs(3),
        ..Timing::default()
    }
}

/// What an instance tells another, and who it is.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    from: InstanceName,
    incarnation: Incarnation,
    body: Body,
}

/// What an instance tells another.
#[derive(Debug, Serialize, Deserialize)]
enum Body {
    /// A frame of the membership.
    Member(Box<Frame>),
    /// Upstreams that flows wait for in vain, for whoever sums up, or an answer to that.
    Reports(Vec<Report>),
    /// Tell what you have seen of these upstreams.
    Questions(Vec<UpstreamId>),
    /// The answer to that.
    Views(Vec<Report>),
    /// Tries that have ended badly, for whoever sums up.
    Failures(Vec<FailureReport>),
    /// Upstreams that get no new flows, or get them again.
    Standings(Vec<Standing>),
    /// Ask the store whether it knows more.
    Check(Question),
}

/// Membership over one socket.
pub(crate) struct Peers {
    socket: Arc<UdpSocket>,
    shared: Shared,
    settings: watch::Receiver<Settings>,
    /// The port at which every instance is reached by others.
    port: u16,
    pulls: mpsc::Sender<Newer>,
    /// Questions to the store that instances hand on to one another.
    checks: Gate,
}

impl Peers {
    /// Starts the task that asks others for their knowledge, and takes the seeds' addresses from their hosts.
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
                    Err(error) => log::debug!("peers: {error}"),
                },
                _ = tick.tick() => {
                    self.tick();
                    self.report_silence();
                    self.report_failures();
                    self.ask();
                    self.tell_standings();
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
            // Told once: others watch the store in its place before it is gone.
            self.shared.members().leave(now, &mut out);
        }
        self.shared.members().tick(now, &mut out);
        self.carry_out(out);
    }

    /// Whether an instance is in another zone. Until this instance can serve, none is too far.
    fn is_far(&self, name: &InstanceName) -> bool {
        let members = self.shared.members();
        let zone = members.member(name).map(|member| &member.zone);
        let is_elsewhere = zone.is_some_and(|zone| *zone != members.me().zone);
        is_elsewhere && self.shared.core().knowledge().is_ready()
    }

    /// Lets others know that this instance knows more.
    fn tell(&self) {
        let mut out = Vec::new();
        let (level, parts) = pull::level(&self.shared);
        let now = self.shared.now();
        self.shared.members().set_document(level, parts, now, &mut out);
        self.carry_out(out);
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let message: Result<Message, _> = de::from_reader_with_recursion_limit(bytes, MAX_DEPTH);
        let Ok(message) = message else {
            metric::frames_unread().increment(1);
            log::debug!("peers: a message from {from} can't be read");
            return;
        };
        let mut out = Vec::new();
        let now = self.shared.now();
        {
            let frame = match message.body {
                Body::Member(frame) => frame,
                Body::Reports(reports) => {
                    self.hear(&message.from, &reports, from);
                    return;
                }
                Body::Failures(reports) => {
                    failures::hear(&self.shared, &reports);
                    return;
                }
                Body::Questions(upstreams) => {
                    let views = self.shared.core().views(&upstreams, now);
                    self.reply(&message.from, from, Body::Views(views));
                    return;
                }
                Body::Views(views) => {
                    self.shared.core().hear_views(reporter(&message.from), &views, now);
                    self.carry_on();
                    return;
                }
                Body::Standings(standings) => {
                    let answers = self.shared.core().hear_standings(&standings, now);
                    self.carry_on();
                    if !answers.is_empty() {
                        self.reply(&message.from, from, Body::Reports(answers));
                    }
                    return;
                }
                Body::Check(question) => {
                    // A queue that is full holds questions of the same kind.
                    let _full = self.checks.asked.try_send(question);
                    return;
                }
            };
            let mut members = self.shared.members();
            members.handle(now, &message.from, message.incarnation, &frame, &mut out);
            if members.is_replaced() {
                raise_incarnation(&mut members, &self.shared);
            }
        }
        self.carry_out(out);
    }

    /// Takes in another instance's reports, and tells it what is known better here.
    fn hear(&self, from: &InstanceName, reports: &[Report], source: SocketAddr) {
        let now = self.shared.now();
        let answers = self.shared.core().hear(reporter(from), reports, now);
        if !answers.is_empty() {
            self.reply(from, source, Body::Reports(answers));
        }
        self.ask();
        self.carry_on();
    }

    /// Has what another instance told take effect at once: for flows seen here, and at others.
    fn carry_on(&self) {
        self.shared.note_decisions();
        self.tell_standings();
    }

    /// Answers an instance. Where its datagram came from may be a port mapping or a proxy, which takes nothing back.
    fn reply(&self, to: &InstanceName, source: SocketAddr, body: Body) {
        let advertised = self.shared.members().member(to).map(|member| member.address);
        self.send(advertised.unwrap_or(source), body);
    }

    /// Tells whoever sums up which upstreams flows wait for in vain.
    fn report_silence(&self) {
        for (address, reports) in silence::due(&self.shared) {
            self.send(address, Body::Reports(reports));
        }
    }

    /// Asks what others have seen of upstreams that enough flows wait for.
    fn ask(&self) {
        for (address, upstreams) in silence::questions(&self.shared) {
            self.send(address, Body::Questions(upstreams));
        }
    }

    /// Tells whoever sums up of tries that have ended badly.
    fn report_failures(&self) {
        for (address, reports) in failures::due(&self.shared) {
            self.send(address, Body::Failures(reports));
        }
    }

    /// Tells others of what was decided here, and passes on what was heard first.
    fn tell_standings(&self) {
        let (decided, heard) = {
            let mut core = self.shared.core();
            (core.take_standings(), core.take_heard(self.shared.now()))
        };
        self.send_standings(&decided, NEAR_LISTENERS, FAR_LISTENERS);
        // Where the first ones who hear are all there are, nothing is to be passed on.
        if self.shared.members().members().count() > NEAR_LISTENERS + 1 {
            self.send_standings(&heard, PASSED_ON / 2, PASSED_ON / 2);
        }
    }

    fn send_standings(&self, standings: &[Standing], near: usize, far: usize) {
        if standings.is_empty() {
            return;
        }
        for address in self.listeners(near, far) {
            self.send(address, Body::Standings(standings.to_vec()));
        }
    }

    /// Who gets a standing, drawn anew each time.
    fn listeners(&self, near_count: usize, far_count: usize) -> Vec<SocketAddr> {
        let members = self.shared.members();
        let me = members.me();
        let others = members.members().filter(|member| member.name != me.name);
        let (near, far): (Vec<&Member>, Vec<&Member>) = others.partition(|member| member.zone == me.zone);
        let mut rng = rand::rng();
        let near = near.into_iter().sample(&mut rng, near_count);
        let far = far.into_iter().sample(&mut rng, far_count);
        near.iter().chain(&far).map(|member| member.address).collect()
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
                    // A queue that is full holds others that know more; whoever is left out is seen again.
                    let _full = self.pulls.try_send(Newer {
                        address,
                        level: revision,
                        parts: digest,
                        is_far: self.is_far(&from),
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

    fn send(&self, to: SocketAddr, body: Body) {
        let message = {
            let members = self.shared.members();
            let me = members.me();
            Message {
                from: me.name.clone(),
                incarnation: me.incarnation,
                body,
            }
        };
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(&message, &mut bytes).expect("a vector takes every write, and a frame has a CBOR form");
        metric::frames_sent().increment(1);
        metric::frame_bytes_sent().increment(bytes.len() as u64);
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!("peers: not sent to {to}: {error}");
        }
    }
}

/// The name of an instance that reports.
fn reporter(name: &InstanceName) -> ReporterId {
    let hash = blake3::hash(name.as_str().as_bytes());
    let id = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    ReporterId(u64::from_be_bytes(id))
}

/// Begins a later life under the same name. Nothing but the membership hangs on it here, as no flow has an owner.
fn raise_incarnation(members: &mut Membership, shared: &Shared) {
    let me = members.me();
    let me = Member {
        incarnation: Incarnation(me.incarnation.0 + INCARNATION_STEP),
        refutation: 0,
        ..me.clone()
    };
    log::warn!(
        "peers: a later life of {} is known, going on as {}",
        me.name,
        me.incarnation
    );
    *members = Membership::new(me, timing(), rand::random(), shared.now());
}
