//! Instances that share the load of one service's upstreams, over a simulated network.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::time::Duration;

use flow::Core;
use flow::Document;
use flow::Flags;
use flow::LoadGroup;
use flow::Packet;
use flow::ReporterId;
use flow::UpstreamId;
use flow::Verdict;
use units::Incarnation;
use units::Revision;
use units::Time;

use crate::support;
use crate::support::START;

/// Interval at which an instance sends what is due.
const STEP: Duration = Duration::from_millis(100);

/// What the network does with messages.
#[derive(Debug, Default, Clone, Copy)]
pub struct Network {
    /// Loses one in this many messages.
    pub loses_one_in: Option<u32>,
    /// Delivers each message twice.
    pub doubles: bool,
    /// Loses all messages between zones.
    pub is_cut: bool,
}

/// A flow with a request in flight, of which one is answered in each step.
struct OpenFlow {
    instance: usize,
    upstream: UpstreamId,
    packet: Packet,
}

/// A number of instances. The first two of each zone collect the load of the zone's upstreams.
pub struct Fleet {
    pub cores: Vec<Core>,
    pub now: Time,
    /// Messages that were sent.
    pub messages: u32,
    pub is_frozen: Vec<bool>,
    /// Whether an instance knows nothing of these messages.
    pub is_earlier_release: Vec<bool>,
    zones: Vec<u64>,
    zone_count: u64,
    upstreams: u64,
    is_killed: Vec<bool>,
    incarnations: Vec<u64>,
    flows: Vec<OpenFlow>,
    clients: u32,
}

impl Fleet {
    /// Instances in these zones, and upstreams spread over as many zones as given.
    pub fn new(zones: &[u64], upstreams: u64, zone_count: u64) -> Self {
        let cores = (1..).zip(zones);
        let cores = cores.map(|(seed, zone)| support::core_in_zone(*zone, upstreams, zone_count, seed));
        Self {
            cores: cores.collect(),
            now: START,
            messages: 0,
            is_frozen: vec![false; zones.len()],
            is_earlier_release: vec![false; zones.len()],
            zones: zones.to_vec(),
            zone_count,
            upstreams,
            is_killed: vec![false; zones.len()],
            incarnations: vec![1; zones.len()],
            flows: Vec::new(),
            clients: 0,
        }
    }

    pub fn name(instance: usize) -> ReporterId {
        ReporterId(instance as u64)
    }

    /// Opens a flow with a request in flight.
    pub fn open(&mut self, instance: usize) {
        assert!(self.try_open(instance, support::route()), "the flow is placed");
    }

    /// Opens a flow with a request in flight on a route. Returns whether it is placed.
    pub fn try_open(&mut self, instance: usize, route: SocketAddrV4) -> bool {
        self.clients += 1;
        let syn = Packet {
            route,
            ..support::opening_packet(self.clients)
        };
        let Verdict::Forward { upstream, echo, .. } = self.cores[instance].handle_packet(&syn, self.now) else {
            return false;
        };
        let packet = Packet {
            flags: Flags::ACK,
            echo,
            seq: 2,
            ack: 1,
            len: 100,
            ..syn
        };
        self.cores[instance].handle_packet(&packet, self.now);
        self.flows.push(OpenFlow {
            instance,
            upstream,
            packet,
        });
        true
    }

    /// Sets the connection limit of the only service at all instances.
    pub fn limit_connections(&mut self, limit: NonZeroU32) {
        self.set_document(&Document {
            revision: Revision(2),
            connection_limits: BTreeMap::from([("quotes".to_owned(), limit)]),
            ..support::document()
        });
    }

    /// Sets the document at all instances.
    pub fn set_document(&mut self, document: &Document) {
        for core in &mut self.cores {
            core.learn(self.now, |knowledge| {
                knowledge.apply_document(Revision(3), document.clone())
            });
        }
    }

    /// Opens a flow that stays idle. Returns its upstream, or `None` if it is not placed.
    pub fn open_idle(&mut self, instance: usize) -> Option<UpstreamId> {
        self.clients += 1;
        let syn = support::opening_packet(self.clients);
        let Verdict::Forward { upstream, echo, .. } = self.cores[instance].handle_packet(&syn, self.now) else {
            return None;
        };
        let packet = Packet {
            flags: Flags::ACK,
            echo,
            seq: 2,
            ack: 1,
            ..syn
        };
        self.cores[instance].handle_packet(&packet, self.now);
        Some(upstream)
    }

    /// Sends an opening packet whose client never completes the handshake.
    pub fn abandon_opening(&mut self, instance: usize) {
        self.clients += 1;
        let syn = support::opening_packet(self.clients);
        self.cores[instance].handle_packet(&syn, self.now);
    }

    /// Closes all flows.
    pub fn close_all(&mut self) {
        for flow in self.flows.drain(..) {
            let fin = Packet {
                flags: Flags::FIN | Flags::ACK,
                len: 0,
                ..flow.packet
            };
            self.cores[flow.instance].handle_packet(&fin, self.now);
        }
    }

    /// Ends an instance and its flows.
    pub fn kill(&mut self, instance: usize) {
        self.is_killed[instance] = true;
        self.flows.retain(|flow| flow.instance != instance);
    }

    /// Replaces an instance by a new process of the same name.
    pub fn restart(&mut self, instance: usize) {
        self.flows.retain(|flow| flow.instance != instance);
        self.incarnations[instance] += 1;
        self.cores[instance] = support::core_in_zone(self.zones[instance], self.upstreams, self.zone_count, 77);
    }

    pub fn run(&mut self, ms: u64, network: &Network) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + STEP;
            self.serve();
            for instance in 0..self.cores.len() {
                if !self.is_killed[instance] && !self.is_frozen[instance] && !self.is_earlier_release[instance] {
                    self.send(instance, network);
                }
            }
        }
    }

    /// Answers a request of each flow, upon which its client sends the next one.
    fn serve(&mut self) {
        for flow in &mut self.flows {
            flow.packet.seq = flow.packet.seq.wrapping_add(100);
            flow.packet.ack = flow.packet.ack.wrapping_add(1_000);
            self.cores[flow.instance].handle_packet(&flow.packet, self.now);
        }
    }

    /// Sends what is due at an instance.
    fn send(&mut self, from: usize, network: &Network) {
        let (now, name, incarnation) = (self.now, Self::name(from), Incarnation(self.incarnations[from]));
        for report in self.cores[from].take_load_reports(now) {
            for to in self.collectors(&report.group) {
                self.deliver(from, to, network, |core| {
                    core.receive_load_report(name, incarnation, &report, now);
                });
            }
        }
        for due in self.cores[from].take_load_digests(now) {
            for recipient in due.recipients {
                let mut digest = due.digest.clone();
                digest.included = recipient.included;
                digest.upstreams = digest.upstreams.filter(|_| !recipient.is_in_other_zone);
                self.deliver(from, recipient.name.0 as usize, network, |core| {
                    core.receive_load_digest(name, incarnation, &digest, now);
                });
            }
        }
        for loads in self.cores[from].take_zone_loads(now) {
            for to in self.collectors(&loads.to) {
                self.deliver(from, to, network, |core| {
                    core.receive_zone_loads(name, incarnation, &loads, now);
                });
            }
        }
    }

    fn collectors(&self, group: &LoadGroup) -> Vec<usize> {
        let in_zone =
            (0..self.cores.len()).filter(|instance| format!("z{}", self.zones[*instance]) == group.zone.as_str());
        in_zone.take(2).collect()
    }

    fn deliver(&mut self, from: usize, to: usize, network: &Network, apply: impl Fn(&mut Core)) {
        self.messages += u32::from(from != to);
        let is_lost = network.loses_one_in.is_some_and(|n| self.messages.is_multiple_of(n));
        let is_cut = network.is_cut && self.zones[from] != self.zones[to];
        let is_read = !self.is_killed[to] && !self.is_frozen[to] && !self.is_earlier_release[to];
        if (from != to && is_lost) || is_cut || !is_read {
            return;
        }
        apply(&mut self.cores[to]);
        if network.doubles {
            apply(&mut self.cores[to]);
        }
    }

    /// Asserts that every instance knows exactly the work and the open flows of all.
    pub fn assert_views_are_exact(&self) {
        for (instance, core) in self.cores.iter().enumerate() {
            if self.is_killed[instance] {
                continue;
            }
            for id in (1..=self.upstreams).map(UpstreamId) {
                let expected = self.flows.iter().filter(|flow| flow.upstream == id).count() as u32;
                let sum = core.joint_work(id, self.now).expect("a fresh view");
                assert_eq!(
                    (sum.in_flight, sum.open_flows),
                    (expected, expected),
                    "{id} at {instance}"
                );
            }
        }
    }
}
