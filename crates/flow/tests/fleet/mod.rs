//! A simulated fleet in virtual time: instances that forward the flows of many upstreams and exchange reports, clients
//! that send requests, retransmit and open new flows, and injected faults. Runs with the same seed are identical.

mod capacity;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::Core;
use flow::Echo;
use flow::FailureReport;
use flow::Flags;
use flow::Packet;
use flow::Report;
use flow::ReporterId;
use flow::Status;
use flow::StatusUpdate;
use flow::UpstreamId;
use flow::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Time;

pub use self::capacity::Capacity;
pub use self::capacity::CapacityOutcome;
use self::capacity::Job;
use self::capacity::Server;
use crate::support::START;
use crate::support::core_in_zone;
use crate::support::route;

/// Interval at which instances send reports, inquiries and status updates that are due.
const TICK: Duration = Duration::from_millis(100);
/// Latency of a message to another instance, and of a handshake.
const LATENCY: Duration = Duration::from_millis(1);
/// Mean pause between a flow's requests, in seconds.
const MEAN_PAUSE_SECS: f64 = 1.5;
/// Times after a request at which a client retransmits it. For opening packets, the intervals between transmissions.
const RETRANSMIT_AFTER: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];
/// Time after a request at which the client abandons the flow and opens another.
const GIVE_UP_AFTER: Duration = Duration::from_secs(2);
/// Number of instances that the issuer of a status update sends it to, and that each first-time receiver forwards it
/// to: in its own zone, and in the whole fleet.
const OWN_FANOUT: (usize, usize) = (8, 4);
const FORWARD_FANOUT: (usize, usize) = (3, 3);

/// Parameters of a fleet and of the faults injected into it.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    pub seed: u64,
    pub instances: u64,
    pub zones: u64,
    pub upstreams: u64,
    pub flows: u64,
    /// Duration of the run. Faults begin after [`WARMUP`].
    pub duration: Duration,
    /// Probability that a packet or message is lost, and the interval of the instances it applies to; 1 is every
    /// instance.
    pub loss: f64,
    pub lossy_every: u64,
    /// Mean response time in seconds.
    pub mean_response_secs: f64,
    /// Number of requests after which a client closes its flow and opens another. 0 means no limit.
    pub requests_per_flow: u32,
    /// Upstreams that stop responding, and for how long.
    pub silent: Vec<u64>,
    pub silence_duration: Duration,
    /// Instances whose packets to upstreams are all lost. Messages to them are lost too, but messages from them arrive.
    pub partitioned: Vec<u64>,
    /// Instances whose own link is congested, for how long, and the delay that this adds to whatever they send.
    pub congested: Vec<u64>,
    pub congestion_duration: Duration,
    pub congestion_delay: Duration,
    /// Instances that are suspended, and for how long.
    pub suspended: Vec<u64>,
    pub suspension_duration: Duration,
    /// Limits of the upstreams' capacity, if there are any. Only then do instances exchange failure reports.
    pub capacity: Option<Capacity>,
}

/// Time before the first fault.
pub const WARMUP: Duration = Duration::from_secs(4);

impl FleetConfig {
    /// A fleet of `instances` with one and a half times as many upstreams, at the rates of a busy service: five
    /// requests a second at each upstream.
    pub fn new(instances: u64, seed: u64) -> Self {
        let upstreams = instances * 3 / 2;
        Self {
            seed,
            instances,
            zones: if instances < 100 { 3 } else { 5 },
            upstreams,
            flows: upstreams * 8,
            duration: Duration::from_secs(8),
            loss: 0.0,
            lossy_every: 1,
            mean_response_secs: 0.03,
            requests_per_flow: 0,
            silent: Vec::new(),
            silence_duration: Duration::from_mins(1),
            partitioned: Vec::new(),
            congested: Vec::new(),
            congestion_duration: Duration::from_secs(2),
            congestion_delay: Duration::from_millis(450),
            suspended: Vec::new(),
            suspension_duration: Duration::from_secs(3),
            capacity: None,
        }
    }
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u64,
    /// Requests that were retransmitted: answered after the first retransmission or never.
    pub retransmitted: u64,
    /// Open flows that were reset although their upstream was alive.
    pub false_resets: u64,
    /// Status updates that declare a live upstream silent.
    pub false_detections: u64,
    /// For each silent upstream, the time from the fault to the first status update on it, and to the last reset of one
    /// of its flows.
    pub detected: BTreeMap<u64, Duration>,
    pub last_reset: BTreeMap<u64, Duration>,
    pub capacity: CapacityOutcome,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Open(usize),
    RetransmitSyn(usize, u32, usize),
    Handshake(usize, u32),
    Request(usize, u32),
    Retransmit(usize, u32, u32, usize),
    Response(usize, u32, u32),
    Error(Job),
    Served(u64, Job),
    Message(u64, u64, Box<Message>),
    Tick(u64),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Message {
    Reports(Vec<Report>),
    Failures(Vec<FailureReport>),
    Inquiries(Vec<UpstreamId>),
    InquiryReplies(Vec<Report>),
    StatusUpdates(Vec<StatusUpdate>),
}

// Events at the same time are processed in the order in which they were scheduled, regardless of their contents.
impl PartialOrd for Message {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Message {
    fn cmp(&self, _other: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

/// A client's flow. Each time it is opened again, its generation increases, so that events of earlier generations are
/// ignored.
struct Flow {
    instance: u64,
    generation: u32,
    client: SocketAddrV4,
    echo: Echo,
    upstream: u64,
    is_open: bool,
    seq: u32,
    ack: u32,
    request: u32,
    requested_at: Time,
    is_waiting: bool,
    /// How often the current request has been repeated.
    retries: u32,
}

impl Flow {
    fn packet(&self, flags: Flags, seq: u32, len: u16) -> Packet {
        Packet {
            client: self.client,
            route: route(),
            flags,
            echo: self.echo,
            seq,
            ack: self.ack,
            len,
        }
    }
}

pub struct Fleet {
    config: FleetConfig,
    rng: SmallRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_count: u64,
    cores: Vec<Core>,
    flows: Vec<Flow>,
    servers: Vec<Server>,
    by_client: BTreeMap<SocketAddrV4, usize>,
    next_client: u32,
    pub outcome: Outcome,
}

/// Runs the simulation to its end.
pub fn simulate(config: &FleetConfig) -> Outcome {
    let mut fleet = Fleet::new(config);
    fleet.run();
    fleet.outcome
}

impl Fleet {
    fn new(config: &FleetConfig) -> Self {
        let cores = (0..config.instances).map(|index| {
            core_in_zone(
                index % config.zones,
                config.upstreams,
                config.zones,
                config.seed + index,
            )
        });
        let mut fleet = Self {
            config: config.clone(),
            rng: SmallRng::seed_from_u64(config.seed),
            now: START,
            events: BinaryHeap::new(),
            event_count: 0,
            cores: cores.collect(),
            flows: Vec::new(),
            servers: vec![Server::default(); config.upstreams as usize],
            by_client: BTreeMap::new(),
            next_client: 0,
            outcome: Outcome::default(),
        };
        for index in 0..config.instances {
            let offset = Duration::from_micros(fleet.rng.random_range(0..100_000));
            fleet.schedule(offset, Event::Tick(index));
        }
        for index in 0..config.flows {
            let instance = index % config.instances;
            fleet.flows.push(Flow {
                instance,
                generation: 0,
                client: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
                echo: Echo::NONE,
                upstream: 0,
                is_open: false,
                seq: 500,
                ack: 0,
                request: 0,
                requested_at: START,
                is_waiting: false,
                retries: 0,
            });
            let offset = Duration::from_micros(fleet.rng.random_range(0..1_000_000));
            fleet.schedule(offset, Event::Open(index as usize));
        }
        fleet
    }

    fn run(&mut self) {
        let end = START + self.config.duration;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn has_fault_begun(&self) -> bool {
        self.now >= START + WARMUP
    }

    fn is_silent(&self, upstream: u64) -> bool {
        let begin = START + WARMUP;
        self.now >= begin && self.now < begin + self.config.silence_duration && self.config.silent.contains(&upstream)
    }

    fn is_suspended(&self, instance: u64) -> bool {
        let begin = START + WARMUP;
        self.now >= begin
            && self.now < begin + self.config.suspension_duration
            && self.config.suspended.contains(&instance)
    }

    fn is_partitioned(&self, instance: u64) -> bool {
        self.has_fault_begun() && self.config.partitioned.contains(&instance)
    }

    /// Queueing delay of whatever an instance sends on its own link.
    fn link_delay(&self, instance: u64) -> Duration {
        let begin = START + WARMUP;
        let is_congested = self.now >= begin
            && self.now < begin + self.config.congestion_duration
            && self.config.congested.contains(&instance);
        if is_congested {
            self.config.congestion_delay
        } else {
            Duration::ZERO
        }
    }

    /// Draws whether a packet or message at an instance is lost.
    fn is_lost(&mut self, instance: u64) -> bool {
        instance.is_multiple_of(self.config.lossy_every) && self.rng.random_bool(self.config.loss)
    }

    fn pause(&mut self) -> Duration {
        let mean = self.mean_pause_secs();
        self.exponential(mean)
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-draw.ln() * mean)
    }

    /// Postpones an event at a suspended instance until the suspension ends. Returns whether it did.
    fn postpone_if_suspended(&mut self, event: &Event) -> bool {
        let instance = match event {
            Event::Open(flow)
            | Event::RetransmitSyn(flow, ..)
            | Event::Handshake(flow, _)
            | Event::Request(flow, _)
            | Event::Retransmit(flow, ..)
            | Event::Response(flow, ..)
            | Event::Error((flow, ..)) => self.flows[*flow].instance,
            Event::Served(..) => return false,
            Event::Message(_, to, _) => *to,
            Event::Tick(instance) => *instance,
        };
        if !self.is_suspended(instance) {
            return false;
        }
        let wake = START + WARMUP + self.config.suspension_duration;
        self.schedule(self.now.until(wake), event.clone());
        true
    }

    fn handle(&mut self, event: Event) {
        if self.postpone_if_suspended(&event) {
            return;
        }
        match event {
            Event::Open(flow) => self.open(flow),
            Event::RetransmitSyn(flow, generation, attempt) => self.send_syn(flow, generation, attempt),
            Event::Handshake(flow, generation) => self.handshake(flow, generation),
            Event::Request(flow, generation) => self.request(flow, generation),
            Event::Retransmit(flow, generation, request, attempt) => {
                self.retransmit(flow, generation, request, attempt);
            }
            Event::Response(flow, generation, request) => self.receive_response(flow, generation, request),
            Event::Error(job) => self.receive_error(job),
            Event::Served(upstream, job) => self.finish(upstream, job),
            Event::Message(from, to, message) => self.receive_message(from, to, &message),
            Event::Tick(instance) => self.tick(instance),
        }
    }

    fn open(&mut self, index: usize) {
        self.next_client += 1;
        let client = crate::support::opening_packet(self.next_client).client;
        let flow = &mut self.flows[index];
        self.by_client.remove(&flow.client);
        flow.generation += 1;
        flow.client = client;
        flow.echo = Echo::NONE;
        flow.is_open = false;
        flow.is_waiting = false;
        flow.ack = 0;
        self.by_client.insert(client, index);
        self.send_syn(index, self.flows[index].generation, 0);
    }

    fn send_syn(&mut self, index: usize, generation: u32, attempt: usize) {
        if self.flows[index].generation != generation || self.flows[index].is_open {
            return;
        }
        let packet = self.flows[index].packet(Flags::SYN, 500, 0);
        let Some(upstream) = self.forward(index, &packet) else {
            self.schedule(RETRANSMIT_AFTER[0], Event::Open(index));
            return;
        };
        self.flows[index].upstream = upstream;
        if self.round_trip_succeeds(index) {
            let link_delay = self.link_delay(self.flows[index].instance);
            self.schedule(link_delay + LATENCY, Event::Handshake(index, generation));
        }
        if attempt < 2 {
            self.schedule(
                RETRANSMIT_AFTER[attempt],
                Event::RetransmitSyn(index, generation, attempt + 1),
            );
        } else {
            self.schedule(RETRANSMIT_AFTER[1], Event::Open(index));
        }
    }

    fn handshake(&mut self, index: usize, generation: u32) {
        let flow = &mut self.flows[index];
        if flow.generation != generation || flow.is_open {
            return;
        }
        flow.is_open = true;
        flow.ack = 9_000;
        let packet = flow.packet(Flags::ACK, flow.seq, 0);
        self.forward(index, &packet);
        let is_repeated = self.flows[index].retries > 0;
        let pause = if is_repeated { Duration::ZERO } else { self.pause() };
        self.schedule(pause, Event::Request(index, generation));
    }

    fn request(&mut self, index: usize, generation: u32) {
        if self.flows[index].generation != generation {
            return;
        }
        self.outcome.requests += 1;
        let now = self.now;
        let flow = &mut self.flows[index];
        flow.request += 1;
        flow.requested_at = now;
        flow.is_waiting = true;
        let request = flow.request;
        let packet = flow.packet(Flags::ACK, flow.seq, 100);
        flow.seq += 100;
        self.send_request(index, generation, request, &packet);
        // An upstream of limited capacity acknowledges a request before it serves it.
        if self.config.capacity.is_none() {
            self.schedule(RETRANSMIT_AFTER[0], Event::Retransmit(index, generation, request, 0));
        }
    }

    fn retransmit(&mut self, index: usize, generation: u32, request: u32, attempt: usize) {
        let flow = &self.flows[index];
        if flow.generation != generation || flow.request != request || !flow.is_waiting {
            return;
        }
        if attempt == 0 {
            self.outcome.retransmitted += 1;
        }
        let packet = self.flows[index].packet(Flags::ACK, self.flows[index].seq - 100, 100);
        self.send_request(index, generation, request, &packet);
        let requested_at = self.flows[index].requested_at;
        match RETRANSMIT_AFTER.get(attempt + 1) {
            Some(next) => self.schedule(
                self.now.until(requested_at + *next),
                Event::Retransmit(index, generation, request, attempt + 1),
            ),
            None => self.schedule(self.now.until(requested_at + GIVE_UP_AFTER), Event::Open(index)),
        }
    }

    /// Sends the packet of a request and schedules the response if nothing is lost.
    fn send_request(&mut self, index: usize, generation: u32, request: u32, packet: &Packet) {
        if self.forward(index, packet).is_none() || !self.round_trip_succeeds(index) {
            return;
        }
        if self.config.capacity.is_some() {
            return self.arrive((index, generation, request));
        }
        let wait = self.exponential(self.config.mean_response_secs) + LATENCY;
        let link_delay = self.link_delay(self.flows[index].instance);
        self.schedule(link_delay + wait, Event::Response(index, generation, request));
    }

    fn receive_response(&mut self, index: usize, generation: u32, request: u32) {
        let flow = &mut self.flows[index];
        if flow.generation != generation || flow.request != request || !flow.is_waiting {
            return;
        }
        flow.is_waiting = false;
        flow.retries = 0;
        flow.ack += 1_000;
        let is_last = self.config.requests_per_flow > 0 && flow.request.is_multiple_of(self.config.requests_per_flow);
        let flags = if is_last { Flags::FIN | Flags::ACK } else { Flags::ACK };
        let packet = flow.packet(flags, flow.seq, 0);
        self.forward(index, &packet);
        let pause = self.pause();
        let next = if is_last {
            Event::Open(index)
        } else {
            Event::Request(index, generation)
        };
        self.schedule(pause, next);
    }

    /// Draws whether a packet forwarded for a flow reaches its upstream and the response reaches the client.
    fn round_trip_succeeds(&mut self, index: usize) -> bool {
        let Flow { instance, upstream, .. } = self.flows[index];
        !self.is_silent(upstream)
            && !self.is_partitioned(instance)
            && !self.is_lost(instance)
            && !self.is_lost(instance)
    }

    /// Passes a packet to the flow's instance. Returns the upstream that it is forwarded to.
    fn forward(&mut self, index: usize, packet: &Packet) -> Option<u64> {
        let instance = self.flows[index].instance;
        let verdict = self.cores[instance as usize].handle_packet(packet, self.now);
        let forwarded = match verdict {
            Verdict::Forward { upstream, echo, .. } => {
                self.flows[index].echo = echo;
                Some(upstream.0)
            }
            Verdict::Reset(_) => {
                self.reset(index);
                None
            }
            Verdict::Drop(_) => None,
        };
        self.carry_out_resets(instance);
        forwarded
    }

    fn carry_out_resets(&mut self, instance: u64) {
        for reset in self.cores[instance as usize].take_resets() {
            let Some(index) = self.by_client.get(&reset.client) else {
                continue;
            };
            self.reset(*index);
        }
        let decisions = self.cores[instance as usize].take_decisions();
        self.record_decisions(decisions);
        self.cores[instance as usize].take_waits();
    }

    /// Resets a client's flow. The client opens another.
    fn reset(&mut self, index: usize) {
        let Flow {
            upstream,
            is_open,
            generation,
            ..
        } = self.flows[index];
        if is_open && !self.is_silent(upstream) {
            self.outcome.false_resets += 1;
        }
        if is_open && self.is_silent(upstream) {
            let after = self.now.since(START + WARMUP);
            self.outcome.last_reset.insert(upstream, after);
        }
        // Events that are still scheduled for this generation have no effect.
        self.flows[index].generation = generation + 1;
        self.flows[index].is_open = false;
        self.schedule(LATENCY, Event::Open(index));
    }

    fn zone_of(&self, upstream: u64) -> u64 {
        upstream % self.config.zones
    }

    /// The instances that take part in inquiries about an upstream: those of its zone, rotated by the upstream's id,
    /// and others if the zone has fewer than 13. The first two collect the reports.
    fn observers(&self, upstream: u64) -> Vec<u64> {
        let zone = self.zone_of(upstream);
        let mut observers: Vec<u64> = (0..self.config.instances)
            .filter(|index| index % self.config.zones == zone)
            .collect();
        let rotation = upstream as usize % observers.len();
        observers.rotate_left(rotation);
        let others = (0..self.config.instances).filter(|index| index % self.config.zones != zone);
        let missing = 13_usize.saturating_sub(observers.len());
        observers.extend(others.take(missing));
        observers
    }

    fn send_message(&mut self, from: u64, to: u64, message: Message) {
        if self.is_partitioned(to) || self.is_lost(from) || self.is_lost(to) {
            return;
        }
        let link_delay = self.link_delay(from);
        self.schedule(link_delay + LATENCY, Event::Message(from, to, Box::new(message)));
    }

    fn tick(&mut self, instance: u64) {
        let reports = self.cores[instance as usize].take_reports(self.now);
        for report in reports {
            for to in self.observers(report.upstream.0).into_iter().take(2) {
                if to != instance {
                    self.send_message(instance, to, Message::Reports(vec![report]));
                }
            }
        }
        self.send_digest(instance);
        self.report_failures(instance);
        self.inquire(instance);
        self.spread_status_updates(instance);
        self.carry_out_resets(instance);
        self.schedule(TICK, Event::Tick(instance));
    }

    fn inquire(&mut self, instance: u64) {
        for id in self.cores[instance as usize].take_due_inquiries(self.now) {
            let mut observers = self.observers(id.0);
            if !observers[..2].contains(&instance) {
                continue;
            }
            observers.retain(|observer| *observer != instance);
            self.cores[instance as usize].start_inquiry(id, observers.len(), self.now);
            for to in observers {
                self.send_message(instance, to, Message::Inquiries(vec![id]));
            }
        }
    }

    fn receive_message(&mut self, from: u64, to: u64, message: &Message) {
        let core = &mut self.cores[to as usize];
        match message {
            Message::Reports(reports) => {
                let answers = core.receive_reports(ReporterId(from), reports, self.now);
                if !answers.is_empty() {
                    self.send_message(to, from, Message::Reports(answers));
                }
                self.inquire(to);
            }
            Message::Failures(reports) => {
                for report in reports {
                    self.evaluate_failures(to, report);
                }
            }
            Message::Inquiries(ids) => {
                let replies = core.reports_on(ids, self.now);
                self.send_message(to, from, Message::InquiryReplies(replies));
            }
            Message::InquiryReplies(replies) => core.receive_inquiry_replies(ReporterId(from), replies, self.now),
            Message::StatusUpdates(updates) => {
                let answers = core.receive_status_updates(updates, self.now);
                if !answers.is_empty() {
                    self.send_message(to, from, Message::Reports(answers));
                }
            }
        }
        self.spread_status_updates(to);
        self.carry_out_resets(to);
    }

    fn spread_status_updates(&mut self, instance: u64) {
        let core = &mut self.cores[instance as usize];
        let (own, received) = (core.take_status_updates(), core.take_received_updates(self.now));
        for update in &own {
            self.record_status_update(update);
        }
        self.spread(instance, &own, OWN_FANOUT);
        self.spread(instance, &received, FORWARD_FANOUT);
    }

    fn record_status_update(&mut self, update: &StatusUpdate) {
        let Status::Silent { .. } = update.status else {
            return;
        };
        let upstream = update.upstream.0;
        if self.is_silent(upstream) {
            let after = self.now.since(START + WARMUP);
            self.outcome.detected.entry(upstream).or_insert(after);
        } else {
            self.outcome.false_detections += 1;
        }
    }

    fn spread(&mut self, instance: u64, updates: &[StatusUpdate], (same_zone, any_zone): (usize, usize)) {
        if updates.is_empty() {
            return;
        }
        for _ in 0..same_zone {
            let to = instance % self.config.zones
                + self.config.zones * self.rng.random_range(0..self.config.instances / self.config.zones);
            self.send_message(instance, to, Message::StatusUpdates(updates.to_vec()));
        }
        for _ in 0..any_zone {
            let to = self.rng.random_range(0..self.config.instances);
            self.send_message(instance, to, Message::StatusUpdates(updates.to_vec()));
        }
    }
}
