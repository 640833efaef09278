//! A fleet in virtual time: instances that share the flows of many upstreams and tell one another what they see, clients that
//! ask, send again and open new flows, and faults. The same seed gives the same run.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::Core;
use flow::Echo;
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

use crate::support::START;
use crate::support::core_in;
use crate::support::route;

/// How often instances look at what is due.
const TICK: Duration = Duration::from_millis(100);
/// How long a message to another instance, or a handshake, takes.
const HOP: Duration = Duration::from_millis(1);
/// The mean pause between a flow's requests, in seconds.
const PAUSE: f64 = 1.5;
/// When a client sends once more what was not answered, after the first time.
const COPIES: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];
/// When a client gives a flow up.
const GIVEN_UP: Duration = Duration::from_secs(2);
/// How many instances hear of a standing from whoever decides it, and from whoever hears it first, by zone: own, others.
const DECIDED: (usize, usize) = (8, 4);
const PASSED_ON: (usize, usize) = (3, 3);

/// How a fleet is, and what happens to it.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub instances: u64,
    pub zones: u64,
    pub upstreams: u64,
    pub flows: u64,
    /// How long it lasts. Faults begin after [`CALM`].
    pub span: Duration,
    /// The share of packets and messages that are lost, at every how many-th instance; 1 is all.
    pub loss: f64,
    pub lossy_each: u64,
    /// The mean time to an answer, in seconds.
    pub response: f64,
    /// Of how many answers one is its flow's last: then the client closes it and opens another. None is, if this is 0.
    pub last: u32,
    /// Upstreams that fall silent, and when they are back.
    pub dark: Vec<u64>,
    pub dark_for: Duration,
    /// Instances whose packets to upstreams are all lost: no message to them arrives either, but theirs do.
    pub deaf: Vec<u64>,
    /// Instances whose own link is full: what they send arrives so much later.
    pub full: Vec<u64>,
    pub full_for: Duration,
    pub delay: Duration,
    /// Instances that stand still.
    pub frozen: Vec<u64>,
    pub frozen_for: Duration,
}

/// How long all is well at first.
pub const CALM: Duration = Duration::from_secs(4);

impl Plan {
    /// A fleet of so many instances with half as many upstreams again, at the rates of a busy service: five requests a second
    /// at an upstream.
    pub fn new(instances: u64, seed: u64) -> Self {
        let upstreams = instances * 3 / 2;
        Self {
            seed,
            instances,
            zones: if instances < 100 { 3 } else { 5 },
            upstreams,
            flows: upstreams * 8,
            span: Duration::from_secs(8),
            loss: 0.0,
            lossy_each: 1,
            response: 0.03,
            last: 0,
            dark: Vec::new(),
            dark_for: Duration::from_mins(1),
            deaf: Vec::new(),
            full: Vec::new(),
            full_for: Duration::from_secs(2),
            delay: Duration::from_millis(450),
            frozen: Vec::new(),
            frozen_for: Duration::from_secs(3),
        }
    }
}

/// What became of it.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u64,
    /// Requests answered after the first copy or never.
    pub late: u64,
    /// Open flows reset whose upstream lived.
    pub false_resets: u64,
    /// Words that a living upstream is silent.
    pub false_words: u64,
    /// When the first word of each dark upstream came, and the last reset of a flow of its, after its end.
    pub found: BTreeMap<u64, Duration>,
    pub last_reset: BTreeMap<u64, Duration>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Open(usize),
    OpenCopy(usize, u32, usize),
    Handshake(usize, u32),
    Request(usize, u32),
    Copy(usize, u32, u32, usize),
    Answer(usize, u32, u32),
    Message(u64, u64, Box<Message>),
    Tick(u64),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Message {
    Reports(Vec<Report>),
    Questions(Vec<UpstreamId>),
    Views(Vec<Report>),
    Standings(Vec<StatusUpdate>),
}

// Events of one time are taken in the order in which they were added; their contents tell nothing.
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

/// A client's flow. Each time that it is opened anew it has another life.
struct Flow {
    instance: u64,
    life: u32,
    client: SocketAddrV4,
    echo: Echo,
    upstream: u64,
    is_open: bool,
    seq: u32,
    ack: u32,
    request: u32,
    asked_at: Time,
    is_waiting: bool,
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
    plan: Plan,
    rng: SmallRng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    added: u64,
    cores: Vec<Core>,
    flows: Vec<Flow>,
    by_client: BTreeMap<SocketAddrV4, usize>,
    next_client: u32,
    pub outcome: Outcome,
}

/// Plays a plan to its end.
pub fn play(plan: &Plan) -> Outcome {
    let mut fleet = Fleet::new(plan);
    fleet.run();
    fleet.outcome
}

impl Fleet {
    fn new(plan: &Plan) -> Self {
        let cores =
            (0..plan.instances).map(|index| core_in(index % plan.zones, plan.upstreams, plan.zones, plan.seed + index));
        let mut fleet = Self {
            plan: plan.clone(),
            rng: SmallRng::seed_from_u64(plan.seed),
            now: START,
            queue: BinaryHeap::new(),
            added: 0,
            cores: cores.collect(),
            flows: Vec::new(),
            by_client: BTreeMap::new(),
            next_client: 0,
            outcome: Outcome::default(),
        };
        for index in 0..plan.instances {
            let offset = Duration::from_micros(fleet.rng.random_range(0..100_000));
            fleet.add(offset, Event::Tick(index));
        }
        for index in 0..plan.flows {
            let instance = index % plan.instances;
            fleet.flows.push(Flow {
                instance,
                life: 0,
                client: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
                echo: Echo::NONE,
                upstream: 0,
                is_open: false,
                seq: 500,
                ack: 0,
                request: 0,
                asked_at: START,
                is_waiting: false,
            });
            let offset = Duration::from_micros(fleet.rng.random_range(0..1_000_000));
            fleet.add(offset, Event::Open(index as usize));
        }
        fleet
    }

    fn run(&mut self) {
        let end = START + self.plan.span;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.take(event);
        }
    }

    fn add(&mut self, after: Duration, event: Event) {
        self.added += 1;
        self.queue.push(Reverse((self.now + after, self.added, event)));
    }

    fn is_faulty(&self) -> bool {
        self.now >= START + CALM
    }

    fn is_dark(&self, upstream: u64) -> bool {
        let begin = START + CALM;
        self.now >= begin && self.now < begin + self.plan.dark_for && self.plan.dark.contains(&upstream)
    }

    fn is_frozen(&self, instance: u64) -> bool {
        let begin = START + CALM;
        self.now >= begin && self.now < begin + self.plan.frozen_for && self.plan.frozen.contains(&instance)
    }

    fn is_deaf(&self, instance: u64) -> bool {
        self.is_faulty() && self.plan.deaf.contains(&instance)
    }

    /// How long what an instance sends waits in its own link.
    fn queued(&self, instance: u64) -> Duration {
        let begin = START + CALM;
        let is_full = self.now >= begin && self.now < begin + self.plan.full_for && self.plan.full.contains(&instance);
        if is_full { self.plan.delay } else { Duration::ZERO }
    }

    /// Whether a packet or message at an instance is lost.
    fn is_lost(&mut self, instance: u64) -> bool {
        instance.is_multiple_of(self.plan.lossy_each) && self.rng.random_bool(self.plan.loss)
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-draw.ln() * mean)
    }

    /// An event at an instance that stands still waits for its end.
    fn held(&mut self, event: &Event) -> bool {
        let instance = match event {
            Event::Open(flow)
            | Event::OpenCopy(flow, ..)
            | Event::Handshake(flow, _)
            | Event::Request(flow, _)
            | Event::Copy(flow, ..)
            | Event::Answer(flow, ..) => self.flows[*flow].instance,
            Event::Message(_, to, _) => *to,
            Event::Tick(instance) => *instance,
        };
        if !self.is_frozen(instance) {
            return false;
        }
        let wake = START + CALM + self.plan.frozen_for;
        self.add(self.now.until(wake), event.clone());
        true
    }

    fn take(&mut self, event: Event) {
        if self.held(&event) {
            return;
        }
        match event {
            Event::Open(flow) => self.open(flow),
            Event::OpenCopy(flow, life, copy) => self.open_copy(flow, life, copy),
            Event::Handshake(flow, life) => self.handshake(flow, life),
            Event::Request(flow, life) => self.request(flow, life),
            Event::Copy(flow, life, request, copy) => self.copy(flow, life, request, copy),
            Event::Answer(flow, life, request) => self.answer(flow, life, request),
            Event::Message(from, to, message) => self.message(from, to, &message),
            Event::Tick(instance) => self.tick(instance),
        }
    }

    fn open(&mut self, index: usize) {
        self.next_client += 1;
        let client = crate::support::packet(self.next_client).client;
        let flow = &mut self.flows[index];
        self.by_client.remove(&flow.client);
        flow.life += 1;
        flow.client = client;
        flow.echo = Echo::NONE;
        flow.is_open = false;
        flow.is_waiting = false;
        flow.ack = 0;
        self.by_client.insert(client, index);
        self.open_copy(index, self.flows[index].life, 0);
    }

    fn open_copy(&mut self, index: usize, life: u32, copy: usize) {
        if self.flows[index].life != life || self.flows[index].is_open {
            return;
        }
        let packet = self.flows[index].packet(Flags::SYN, 500, 0);
        let Some(upstream) = self.send(index, &packet) else {
            self.add(COPIES[0], Event::Open(index));
            return;
        };
        self.flows[index].upstream = upstream;
        if self.arrives(index) {
            let queued = self.queued(self.flows[index].instance);
            self.add(queued + HOP, Event::Handshake(index, life));
        }
        if copy < 2 {
            self.add(COPIES[copy], Event::OpenCopy(index, life, copy + 1));
        } else {
            self.add(COPIES[1], Event::Open(index));
        }
    }

    fn handshake(&mut self, index: usize, life: u32) {
        let flow = &mut self.flows[index];
        if flow.life != life || flow.is_open {
            return;
        }
        flow.is_open = true;
        flow.ack = 9_000;
        let packet = flow.packet(Flags::ACK, flow.seq, 0);
        self.send(index, &packet);
        let pause = self.exponential(PAUSE);
        self.add(pause, Event::Request(index, life));
    }

    fn request(&mut self, index: usize, life: u32) {
        if self.flows[index].life != life {
            return;
        }
        self.outcome.requests += 1;
        let now = self.now;
        let flow = &mut self.flows[index];
        flow.request += 1;
        flow.asked_at = now;
        flow.is_waiting = true;
        let request = flow.request;
        let packet = flow.packet(Flags::ACK, flow.seq, 100);
        flow.seq += 100;
        self.ask(index, life, request, &packet);
        self.add(COPIES[0], Event::Copy(index, life, request, 0));
    }

    fn copy(&mut self, index: usize, life: u32, request: u32, copy: usize) {
        let flow = &self.flows[index];
        if flow.life != life || flow.request != request || !flow.is_waiting {
            return;
        }
        if copy == 0 {
            self.outcome.late += 1;
        }
        let packet = self.flows[index].packet(Flags::ACK, self.flows[index].seq - 100, 100);
        self.ask(index, life, request, &packet);
        let asked_at = self.flows[index].asked_at;
        match COPIES.get(copy + 1) {
            Some(next) => self.add(
                self.now.until(asked_at + *next),
                Event::Copy(index, life, request, copy + 1),
            ),
            None => self.add(self.now.until(asked_at + GIVEN_UP), Event::Open(index)),
        }
    }

    /// Sends a request's packet, and has the answer come if nothing is lost.
    fn ask(&mut self, index: usize, life: u32, request: u32, packet: &Packet) {
        if self.send(index, packet).is_none() || !self.arrives(index) {
            return;
        }
        let wait = self.exponential(self.plan.response) + HOP;
        let queued = self.queued(self.flows[index].instance);
        self.add(queued + wait, Event::Answer(index, life, request));
    }

    fn answer(&mut self, index: usize, life: u32, request: u32) {
        let flow = &mut self.flows[index];
        if flow.life != life || flow.request != request || !flow.is_waiting {
            return;
        }
        flow.is_waiting = false;
        flow.ack += 1_000;
        let is_last = self.plan.last > 0 && flow.request.is_multiple_of(self.plan.last);
        let flags = if is_last { Flags::FIN | Flags::ACK } else { Flags::ACK };
        let packet = flow.packet(flags, flow.seq, 0);
        self.send(index, &packet);
        let pause = self.exponential(PAUSE);
        let next = if is_last {
            Event::Open(index)
        } else {
            Event::Request(index, life)
        };
        self.add(pause, next);
    }

    /// Whether what was forwarded for a flow reaches its upstream, and what that sends reaches the client.
    fn arrives(&mut self, index: usize) -> bool {
        let Flow { instance, upstream, .. } = self.flows[index];
        !self.is_dark(upstream) && !self.is_deaf(instance) && !self.is_lost(instance) && !self.is_lost(instance)
    }

    /// Hands a packet to the flow's instance. Gives the upstream that it is forwarded to.
    fn send(&mut self, index: usize, packet: &Packet) -> Option<u64> {
        let instance = self.flows[index].instance;
        let verdict = self.cores[instance as usize].handle_packet(packet, self.now);
        let forwarded = match verdict {
            Verdict::Forward { upstream, echo, .. } => {
                self.flows[index].echo = echo;
                Some(upstream.0)
            }
            Verdict::Reset(_) => {
                self.end(index);
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
            self.end(*index);
        }
        self.cores[instance as usize].take_decisions();
        self.cores[instance as usize].take_waits();
    }

    /// A client's flow is reset, so it opens another.
    fn end(&mut self, index: usize) {
        let Flow {
            upstream,
            is_open,
            life,
            ..
        } = self.flows[index];
        if is_open && !self.is_dark(upstream) {
            self.outcome.false_resets += 1;
        }
        if is_open && self.is_dark(upstream) {
            let after = self.now.since(START + CALM);
            self.outcome.last_reset.insert(upstream, after);
        }
        // Whatever was on its way for this life comes to nothing.
        self.flows[index].life = life + 1;
        self.flows[index].is_open = false;
        self.add(HOP, Event::Open(index));
    }

    fn zone_of(&self, upstream: u64) -> u64 {
        upstream % self.plan.zones
    }

    /// The instances of a zone, in an order of the upstream's own. The first two sum up.
    fn witnesses(&self, upstream: u64) -> Vec<u64> {
        let zone = self.zone_of(upstream);
        let mut here: Vec<u64> = (0..self.plan.instances)
            .filter(|index| index % self.plan.zones == zone)
            .collect();
        let turn = upstream as usize % here.len();
        here.rotate_left(turn);
        let others = (0..self.plan.instances).filter(|index| index % self.plan.zones != zone);
        let missing = 13_usize.saturating_sub(here.len());
        here.extend(others.take(missing));
        here
    }

    fn tell(&mut self, from: u64, to: u64, message: Message) {
        if self.is_deaf(to) || self.is_lost(from) || self.is_lost(to) {
            return;
        }
        let queued = self.queued(from);
        self.add(queued + HOP, Event::Message(from, to, Box::new(message)));
    }

    fn tick(&mut self, instance: u64) {
        let reports = self.cores[instance as usize].take_reports(self.now);
        for report in reports {
            for to in self.witnesses(report.upstream.0).into_iter().take(2) {
                if to != instance {
                    self.tell(instance, to, Message::Reports(vec![report]));
                }
            }
        }
        self.inquire(instance);
        self.tell_standings(instance);
        self.carry_out_resets(instance);
        self.add(TICK, Event::Tick(instance));
    }

    fn inquire(&mut self, instance: u64) {
        for id in self.cores[instance as usize].take_due_inquiries(self.now) {
            let mut witnesses = self.witnesses(id.0);
            if !witnesses[..2].contains(&instance) {
                continue;
            }
            witnesses.retain(|witness| *witness != instance);
            self.cores[instance as usize].start_inquiry(id, witnesses.len(), self.now);
            for to in witnesses {
                self.tell(instance, to, Message::Questions(vec![id]));
            }
        }
    }

    fn message(&mut self, from: u64, to: u64, message: &Message) {
        let core = &mut self.cores[to as usize];
        match message {
            Message::Reports(reports) => {
                let answers = core.receive_reports(ReporterId(from), reports, self.now);
                if !answers.is_empty() {
                    self.tell(to, from, Message::Reports(answers));
                }
                self.inquire(to);
            }
            Message::Questions(ids) => {
                let views = core.reports_on(ids, self.now);
                self.tell(to, from, Message::Views(views));
            }
            Message::Views(views) => core.receive_inquiry_replies(ReporterId(from), views, self.now),
            Message::Standings(standings) => {
                let answers = core.receive_status_updates(standings, self.now);
                if !answers.is_empty() {
                    self.tell(to, from, Message::Reports(answers));
                }
            }
        }
        self.tell_standings(to);
        self.carry_out_resets(to);
    }

    fn tell_standings(&mut self, instance: u64) {
        let core = &mut self.cores[instance as usize];
        let (decided, heard) = (core.take_status_updates(), core.take_received_updates(self.now));
        for standing in &decided {
            self.note_word(standing);
        }
        self.spread(instance, &decided, DECIDED);
        self.spread(instance, &heard, PASSED_ON);
    }

    fn note_word(&mut self, standing: &StatusUpdate) {
        let Status::Silent { .. } = standing.status else {
            return;
        };
        let upstream = standing.upstream.0;
        if self.is_dark(upstream) {
            let after = self.now.since(START + CALM);
            self.outcome.found.entry(upstream).or_insert(after);
        } else {
            self.outcome.false_words += 1;
        }
    }

    fn spread(&mut self, instance: u64, standings: &[StatusUpdate], (near, far): (usize, usize)) {
        if standings.is_empty() {
            return;
        }
        for _ in 0..near {
            let to = instance % self.plan.zones
                + self.plan.zones * self.rng.random_range(0..self.plan.instances / self.plan.zones);
            self.tell(instance, to, Message::Standings(standings.to_vec()));
        }
        for _ in 0..far {
            let to = self.rng.random_range(0..self.plan.instances);
            self.tell(instance, to, Message::Standings(standings.to_vec()));
        }
    }
}
