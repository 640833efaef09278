//! Simulates a fleet in virtual time. Its members exchange frames in memory, with message loss, partitions, crashes
//! and frozen processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use membership::Membership;
use membership::Output;
use membership::Timing;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::Time;
use units::ZoneName;
use wire::Digest;
use wire::Frame;
use wire::Member;
use wire::MemberState;

/// Time between two ticks of an instance.
const TICK: Duration = Duration::from_millis(50);
/// How long it takes to fetch a document from a member.
const FETCH: Duration = Duration::from_millis(3);
/// The virtual time at which a fleet starts, in microseconds.
const START: u64 = 1_000_000;

/// The condition of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    Running,
    Frozen,
    Crashed,
}

#[derive(Debug)]
pub struct Process {
    pub membership: Membership,
    pub condition: Condition,
    pub outputs: Vec<(Time, Output)>,
    pub sent_bytes: u64,
    pub sent_frames: u64,
    /// The part of `sent_bytes` that went to other availability zones.
    pub cross_zone_bytes: u64,
    inbox: Vec<Delivery>,
}

#[derive(Debug, Clone)]
enum Content {
    Frame(Incarnation, Box<Frame>),
    Lost,
    Fetched(Revision, Digest),
}

#[derive(Debug, Clone)]
struct Delivery {
    from: InstanceName,
    to: InstanceName,
    content: Content,
}

/// The simulated instances, and the frames in flight between them.
#[derive(Debug)]
pub struct Fleet {
    pub now: Time,
    pub processes: BTreeMap<InstanceName, Process>,
    pub zones: usize,
    pub loss: f64,
    pub timing: Timing,
    /// The number of times that a member was declared dead while it was running and reachable.
    pub false_deaths: usize,
    cut: BTreeSet<ZoneName>,
    isolated: BTreeSet<InstanceName>,
    in_flight: BTreeMap<(Time, u64), Delivery>,
    serial: u64,
    next_tick: Time,
    rng: StdRng,
}

pub fn name(index: usize) -> InstanceName {
    format!("i{index}").parse().expect("a valid name")
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000))
}

fn identity(member: &Member) -> (&InstanceName, Incarnation) {
    (&member.name, member.incarnation)
}

impl Fleet {
    pub fn new(zones: usize, seed: u64) -> Self {
        Self {
            now: Time(START),
            processes: BTreeMap::new(),
            zones,
            loss: 0.0,
            timing: Timing::default(),
            false_deaths: 0,
            cut: BTreeSet::new(),
            isolated: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            serial: 0,
            next_tick: Time(START),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub fn zone(&self, index: usize) -> ZoneName {
        format!("z{}", index % self.zones).parse().expect("a valid zone name")
    }

    /// Starts or restarts a process, with hints to these others.
    pub fn start(&mut self, index: usize, hints: &[usize]) {
        let me = Member {
            name: name(index),
            incarnation: Incarnation(self.now.0 + index as u64),
            zone: self.zone(index),
            address: address(index),
            state: MemberState::Alive,
            refutation: 0,
        };
        let seed = self.rng.random();
        let process = Process {
            membership: Membership::new(me, self.timing.clone(), seed, self.now),
            condition: Condition::Running,
            outputs: Vec::new(),
            sent_bytes: 0,
            sent_frames: 0,
            cross_zone_bytes: 0,
            inbox: Vec::new(),
        };
        self.processes.insert(name(index), process);
        for &hint in hints {
            let zone = self.zone(hint);
            self.act(index, |membership, _, out| {
                membership.add_seed(&name(hint), &zone, address(hint), out);
            });
        }
    }

    /// Sends an introduction from an instance to another one of which it knows only the address.
    pub fn introduce(&mut self, index: usize, to: usize) {
        let membership = self.membership(index);
        let frame = Frame::News(membership.introduction());
        let delivery = Delivery {
            from: name(index),
            to: name(to),
            content: Content::Frame(membership.me().incarnation, Box::new(frame)),
        };
        self.send(delivery);
    }

    pub fn start_all(&mut self, count: usize, hints: usize) {
        for index in 0..count {
            let hints: Vec<usize> = (0..hints.min(count)).collect();
            self.start(index, &hints);
        }
    }

    pub fn set(&mut self, index: usize, condition: Condition) {
        let process = self.processes.get_mut(&name(index)).expect("the process exists");
        process.condition = condition;
        if condition != Condition::Running {
            return;
        }
        for delivery in std::mem::take(&mut process.inbox) {
            self.deliver(delivery);
        }
    }

    /// Cuts each of these zones off from all other zones.
    pub fn cut(&mut self, zones: &[usize]) {
        self.cut = zones.iter().map(|zone| self.zone(*zone)).collect();
    }

    /// Cuts each of these instances off from all other instances.
    pub fn isolate(&mut self, indices: &[usize]) {
        self.isolated = indices.iter().map(|index| name(*index)).collect();
    }

    pub fn membership(&self, index: usize) -> &Membership {
        &self.processes[&name(index)].membership
    }

    pub fn incarnation(&self, index: usize) -> Incarnation {
        self.membership(index).me().incarnation
    }

    /// Applies an action to an instance, and carries out the resulting outputs.
    pub fn act(&mut self, index: usize, action: impl FnOnce(&mut Membership, Time, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let now = self.now;
        let process = self.processes.get_mut(&name(index)).expect("the process exists");
        action(&mut process.membership, now, &mut out);
        self.apply_outputs(&name(index), out);
    }

    /// Whether each running process sees exactly the running ones, in their current incarnations.
    pub fn is_converged(&self) -> bool {
        let running = || {
            self.processes
                .values()
                .filter(|process| process.condition == Condition::Running)
        };
        let present: BTreeSet<_> = running().map(|process| identity(process.membership.me())).collect();
        running().all(|process| process.membership.members().map(identity).collect::<BTreeSet<_>>() == present)
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let next_frame = self.in_flight.first_key_value().map(|(key, _)| key.0);
            let next = next_frame.unwrap_or(end).min(self.next_tick).min(end);
            self.now = self.now.max(next);
            if self.next_tick <= self.now {
                self.next_tick = self.now + TICK;
                self.tick_all();
                continue;
            }
            let due = self
                .in_flight
                .first_key_value()
                .is_some_and(|(key, _)| key.0 <= self.now);
            if let Some((_, delivery)) = due.then(|| self.in_flight.pop_first()).flatten() {
                self.deliver(delivery);
            }
        }
    }

    fn tick_all(&mut self) {
        let running = |(name, process): (&InstanceName, &Process)| {
            (process.condition == Condition::Running).then(|| name.clone())
        };
        let names: Vec<InstanceName> = self.processes.iter().filter_map(running).collect();
        for name in names {
            let mut out = Vec::new();
            let process = self.processes.get_mut(&name).expect("the process exists");
            process.membership.tick(self.now, &mut out);
            self.apply_outputs(&name, out);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&delivery.to) else {
            return self.reject(&delivery);
        };
        match process.condition {
            Condition::Crashed => return self.reject(&delivery),
            Condition::Frozen => return process.inbox.push(delivery),
            Condition::Running => {}
        }
        let mut out = Vec::new();
        let membership = &mut process.membership;
        match &delivery.content {
            Content::Frame(incarnation, frame) => {
                membership.handle(now, &delivery.from, *incarnation, frame, &mut out);
            }
            Content::Fetched(revision, digest) => membership.set_document(*revision, *digest, now, &mut out),
            Content::Lost => membership.session_lost(now, &delivery.from, &mut out),
        }
        self.apply_outputs(&delivery.to, out);
    }

    /// Handles a frame for a process that has ended: the sender's session is lost.
    fn reject(&mut self, delivery: &Delivery) {
        if !matches!(delivery.content, Content::Frame(..)) {
            return;
        }
        let answer = Delivery {
            from: delivery.to.clone(),
            to: delivery.from.clone(),
            content: Content::Lost,
        };
        self.send(answer);
    }

    fn apply_outputs(&mut self, from: &InstanceName, out: Vec<Output>) {
        for output in out {
            let Output::Send { to, frame, .. } = output else {
                self.record_output(from, output);
                continue;
            };
            let zone = |name| self.processes.get(name).map(|process| &process.membership.me().zone);
            let crosses_zone = zone(from) != zone(&to);
            let process = self.processes.get_mut(from).expect("the process exists");
            let bytes = wire::encode_frame(&frame).len() as u64;
            process.sent_bytes += bytes;
            process.cross_zone_bytes += if crosses_zone { bytes } else { 0 };
            process.sent_frames += 1;
            let incarnation = process.membership.me().incarnation;
            let delivery = Delivery {
                from: from.clone(),
                to,
                content: Content::Frame(incarnation, Box::new(frame)),
            };
            self.send(delivery);
        }
    }

    fn record_output(&mut self, at: &InstanceName, output: Output) {
        if let Output::Down(member) = &output {
            let is_running = self.processes.get(&member.name).is_some_and(|process| {
                process.condition == Condition::Running && process.membership.me().incarnation == member.incarnation
            });
            self.false_deaths += usize::from(is_running && self.is_reachable(at, &member.name));
        }
        if let Output::DocumentSeen { revision, digest, .. } = &output {
            self.serial += 1;
            let fetched = Delivery {
                from: at.clone(),
                to: at.clone(),
                content: Content::Fetched(*revision, *digest),
            };
            self.in_flight.insert((self.now + FETCH, self.serial), fetched);
        }
        let now = self.now;
        let process = self.processes.get_mut(at).expect("the process exists");
        process.outputs.push((now, output));
    }

    fn is_reachable(&self, a: &InstanceName, b: &InstanceName) -> bool {
        let zone = |name| {
            let process: Option<&Process> = self.processes.get(name);
            process.map(|process| process.membership.me().zone.clone())
        };
        if a != b && (self.isolated.contains(a) || self.isolated.contains(b)) {
            return false;
        }
        let (a, b) = (zone(a), zone(b));
        let cut = |zone: &Option<ZoneName>| zone.as_ref().is_some_and(|zone| self.cut.contains(zone));
        a == b || !(cut(&a) || cut(&b))
    }

    fn send(&mut self, delivery: Delivery) {
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        if lost || !self.is_reachable(&delivery.from, &delivery.to) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(300..1_500));
        self.serial += 1;
        self.in_flight.insert((self.now + delay, self.serial), delivery);
    }
}
