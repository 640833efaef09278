//! Upstreams of limited capacity: slots, a queue, refusals beyond it, and upstreams that fail some of their requests.

use std::collections::VecDeque;
use std::time::Duration;

use flow::Decision;
use flow::FailureReport;
use flow::Flags;
use flow::LoadDigest;
use flow::LoadGroup;
use flow::ReporterId;
use flow::ZoneLoad;
use rand::RngExt;
use units::Incarnation;
use units::ZoneName;

use super::Event;
use super::Fleet;
use super::LATENCY;
use super::MEAN_PAUSE_SECS;
use super::Message;
use super::START;
use super::WARMUP;

/// Length of a refusal or an error. Regular responses have 1,000 bytes.
const ERROR_LEN: u32 = 150;
/// How often a client repeats a refused request, each time on a new flow.
const MAX_RETRIES: u32 = 2;
/// Number of exponential phases of a service time (Erlang distribution), so that it varies by half.
const SERVICE_PHASES: u32 = 4;
/// Number of instances that evaluate the failure reports on an upstream.
const AGGREGATORS: usize = 2;

/// Capacity and demand of a fleet's upstreams.
#[derive(Debug, Clone)]
pub struct Capacity {
    /// Requests that an upstream serves at once, and that wait there at most.
    pub slots: usize,
    pub queue: usize,
    /// Demand relative to what all upstreams can serve, and during a burst from [`WARMUP`] on.
    pub demand: f64,
    pub burst_demand: f64,
    pub burst_duration: Duration,
    /// Upstreams that fail from some time after [`WARMUP`] on, and the share of their requests that they answer with an
    /// error.
    pub failing: Vec<u64>,
    pub failing_after: Duration,
    pub failing_share: f64,
    /// Upstreams that take several times as long from [`WARMUP`] on, and how many times.
    pub slow: Vec<u64>,
    pub slowdown: f64,
    /// Whether the instances get digests of the load, as those of a service that isn't busy: sums of the zones only.
    pub has_digests: bool,
}

impl Capacity {
    /// Upstreams with two slots and eight places in the queue, all of them healthy.
    pub fn new(demand: f64) -> Self {
        Self {
            slots: 2,
            queue: 8,
            demand,
            burst_demand: demand,
            burst_duration: Duration::ZERO,
            failing: Vec::new(),
            failing_after: Duration::ZERO,
            failing_share: 0.45,
            slow: Vec::new(),
            slowdown: 6.0,
            has_digests: false,
        }
    }
}

/// What happened at upstreams of limited capacity, and what the instances made of it.
#[derive(Debug, Default)]
pub struct CapacityOutcome {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Upstreams found failing, with the time since [`WARMUP`].
    pub ejections: Vec<(u64, Duration)>,
    /// Upstreams that get flows again.
    pub readmissions: u64,
}

/// A request, by flow, generation and number.
pub(super) type Job = (usize, u32, u32);

/// The requests at one upstream.
#[derive(Debug, Default, Clone)]
pub(super) struct Server {
    serving: usize,
    queue: VecDeque<Job>,
}

impl Fleet {
    /// Mean pause between the requests of a flow, in seconds, so that the demand is met.
    pub(super) fn mean_pause_secs(&self) -> f64 {
        let Some(capacity) = &self.config.capacity else {
            return MEAN_PAUSE_SECS;
        };
        let burst_begin = START + WARMUP;
        let is_burst = self.now >= burst_begin && self.now < burst_begin + capacity.burst_duration;
        let demand = if is_burst {
            capacity.burst_demand
        } else {
            capacity.demand
        };
        let slots = self.config.upstreams as f64 * capacity.slots as f64;
        let requests_per_second = demand * slots / self.config.mean_response_secs;
        self.config.flows as f64 / requests_per_second
    }

    /// Hands a request to its upstream, which serves, queues or refuses it.
    pub(super) fn arrive(&mut self, job: Job) {
        let upstream = self.flows[job.0].upstream;
        let Some(capacity) = self.config.capacity.clone() else {
            return;
        };
        let is_failing = self.now >= START + WARMUP + capacity.failing_after && capacity.failing.contains(&upstream);
        if is_failing && self.rng.random_bool(capacity.failing_share) {
            self.outcome.capacity.failed += 1;
            self.schedule(LATENCY * 2, Event::Error(job));
            return;
        }
        let server = &mut self.servers[upstream as usize - 1];
        if server.serving < capacity.slots {
            self.serve(upstream, job);
        } else if server.queue.len() < capacity.queue {
            server.queue.push_back(job);
        } else {
            self.outcome.capacity.refused += 1;
            self.schedule(LATENCY * 2, Event::Error(job));
        }
    }

    fn serve(&mut self, upstream: u64, job: Job) {
        self.servers[upstream as usize - 1].serving += 1;
        let mut mean = self.config.mean_response_secs;
        if self.has_fault_begun()
            && let Some(capacity) = &self.config.capacity
            && capacity.slow.contains(&upstream)
        {
            mean *= capacity.slowdown;
        }
        let phases = (0..SERVICE_PHASES).map(|_| self.exponential(mean / f64::from(SERVICE_PHASES)));
        let time = phases.collect::<Vec<_>>().into_iter().sum();
        self.schedule(time, Event::Served(upstream, job));
    }

    /// Completes a request at its upstream, which starts the next one.
    pub(super) fn finish(&mut self, upstream: u64, job: Job) {
        self.outcome.capacity.served += 1;
        let (index, generation, request) = job;
        self.schedule(LATENCY * 2, Event::Response(index, generation, request));
        let server = &mut self.servers[upstream as usize - 1];
        server.serving -= 1;
        if let Some(next) = server.queue.pop_front() {
            self.serve(upstream, next);
        }
    }

    /// Delivers a short answer. The client closes the flow and repeats the request on a new one.
    pub(super) fn receive_error(&mut self, (index, generation, request): Job) {
        let flow = &mut self.flows[index];
        if flow.generation != generation || flow.request != request || !flow.is_waiting {
            return;
        }
        flow.is_waiting = false;
        flow.ack += ERROR_LEN;
        flow.retries = if flow.retries < MAX_RETRIES {
            flow.retries + 1
        } else {
            0
        };
        for flags in [Flags::ACK, Flags::FIN | Flags::ACK] {
            let packet = self.flows[index].packet(flags, self.flows[index].seq, 0);
            self.forward(index, &packet);
        }
        let pause = if self.flows[index].retries > 0 {
            LATENCY
        } else {
            self.pause()
        };
        self.schedule(pause, Event::Open(index));
    }

    /// Gives an instance the sums of its own zone and of the others.
    pub(super) fn send_digest(&mut self, instance: u64) {
        if !self
            .config
            .capacity
            .as_ref()
            .is_some_and(|capacity| capacity.has_digests)
        {
            return;
        }
        let zones: Vec<(ZoneName, ZoneLoad)> = (0..self.config.zones).map(|zone| self.zone_load(zone)).collect();
        let digest = LoadDigest {
            group: LoadGroup {
                service: "quotes".into(),
                zone: zones[(instance % self.config.zones) as usize].0.clone(),
                number: 0,
            },
            seq: self.event_count,
            included: 0,
            is_busy: false,
            upstreams: None,
            zones,
            classes: Vec::new(),
        };
        self.cores[instance as usize].receive_load_digest(ReporterId(1), Incarnation(1), &digest, self.now);
    }

    fn zone_load(&self, zone: u64) -> (ZoneName, ZoneLoad) {
        let slots = self.config.capacity.as_ref().map_or(0, |capacity| capacity.slots);
        let mut load = ZoneLoad::default();
        for (id, server) in (1..).zip(&self.servers) {
            if id % self.config.zones == zone {
                load.slots += slots as u32;
                load.in_flight += (server.serving + server.queue.len()) as u32;
            }
        }
        (format!("z{zone}").parse().unwrap(), load)
    }

    /// Sends the failure reports that are due to the aggregators of their upstreams.
    pub(super) fn report_failures(&mut self, instance: u64) {
        if self.config.capacity.is_none() {
            return;
        }
        for report in self.cores[instance as usize].take_failures(self.now) {
            for to in self.aggregators(report.upstream.0) {
                if to == instance {
                    self.evaluate_failures(to, &report);
                } else {
                    self.send_message(instance, to, Message::Failures(vec![report]));
                }
            }
        }
    }

    fn aggregators(&self, upstream: u64) -> Vec<u64> {
        self.observers(upstream).into_iter().take(AGGREGATORS).collect()
    }

    pub(super) fn evaluate_failures(&mut self, instance: u64, report: &FailureReport) {
        let reporting = (self.config.instances / self.config.zones) as u32;
        self.cores[instance as usize].receive_failure_report(report, reporting, self.now);
    }

    pub(super) fn record_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Ejected { upstream, .. } => {
                    let after = self.now.since(START + WARMUP);
                    self.outcome.capacity.ejections.push((upstream.0, after));
                }
                Decision::Readmitted(_) => self.outcome.capacity.readmissions += 1,
                _ => {}
            }
        }
    }
}
