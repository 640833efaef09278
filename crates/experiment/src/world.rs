//! The model: callers, instances as mere delays, and upstreams, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Millis;
use units::Time;
use wire::Outcome;
use wire::Reason;

use crate::agenda::Agenda;
use crate::agenda::Event;
use crate::deployment::Deployment;
use crate::deployment::Workload;
use crate::homes::frozen_until;
use crate::homes::home_of;
use crate::job::Job;
use crate::job::Progress;
use crate::job::Ticket;
use crate::measure::Measure;
use crate::policy::Choice;
use crate::policy::End;
use crate::policy::Place;
use crate::policy::Policy;
use crate::scenario::AFTER;
use crate::scenario::END;
use crate::scenario::EVENT;
use crate::scenario::Scenario;
use crate::scenario::WARM_UP;
use crate::server::Server;
use crate::traffic::Arrival;
use crate::traffic::Traffic;

/// How often the pool is told that time has passed.
const TICK: Duration = Duration::from_millis(10);
/// The width of a window in which load is compared.
const WINDOW: Duration = Duration::from_secs(1);
/// How long it takes to find that no connection can be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How often a refused caller comes back.
const MAX_RETURNS: u16 = 3;
/// A failing request takes this share of its service time.
const FAILS_AFTER: f64 = 0.1;

/// The model with one policy at work.
#[derive(Debug)]
pub(crate) struct World<'a, P> {
    deployment: &'a Deployment,
    workload: &'a Workload,
    scenario: Scenario,
    place: Place,
    policy: P,
    traffic: Traffic,
    rng: SmallRng,
    now: Time,
    agenda: Agenda,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    pins: BTreeMap<u64, usize>,
    choices: Vec<Choice>,
    measure: Measure,
}

impl<'a, P: Policy> World<'a, P> {
    pub(crate) fn new(
        deployment: &'a Deployment,
        workload: &'a Workload,
        scenario: Scenario,
        place: Place,
        policy: P,
        seed: u64,
    ) -> Self {
        let upstreams = workload.service.upstreams.iter().enumerate();
        let server = |(index, upstream): (usize, &config::Upstream)| {
            Server::new(index % deployment.zones.len(), u32::from(upstream.slots.0))
        };
        Self {
            deployment,
            workload,
            scenario,
            place,
            policy,
            traffic: Traffic::new(deployment, seed),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            now: Time(0),
            agenda: Agenda::default(),
            servers: upstreams.map(server).collect(),
            jobs: Vec::new(),
            pins: BTreeMap::new(),
            choices: Vec::new(),
            measure: Measure::new(scenario),
        }
    }

    /// Runs the scenario to its end.
    pub(crate) fn run(mut self) -> Measure {
        let first = self.traffic.next(self.deployment, self.workload, self.scenario);
        self.at(first.at, Event::Arrive(first));
        self.after(TICK, Event::Tick);
        self.after(WINDOW, Event::Window);
        self.after(self.deployment.report_every, Event::Poll);
        self.at(seconds(AFTER), Event::Merge);
        while let Some((at, event)) = self.agenda.pop() {
            if at > seconds(END) {
                break;
            }
            self.now = at;
            self.step(event);
            self.apply();
        }
        self.measure.finish(&self.jobs, &self.servers, self.workload);
        self.measure
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::Ask(ticket) => self.ask(ticket),
            Event::Reach(ticket, upstream) => self.reach(ticket, upstream),
            Event::Finish(ticket, upstream, outcome) => self.finish(ticket, upstream, outcome),
            Event::Settle(ticket, upstream, outcome) => self.settle(ticket, upstream, outcome),
            Event::Poll => self.poll(),
            Event::Report(upstream, report) => self.policy.report(upstream, report, self.now, &mut self.choices),
            Event::Tick => {
                self.policy.tick(self.now, &mut self.choices);
                self.after(TICK, Event::Tick);
            }
            Event::Window => {
                let now = self.now;
                let loads: Vec<f64> = self.servers.iter_mut().map(|server| server.take_area(now)).collect();
                self.measure.window(now, &loads);
                self.after(WINDOW, Event::Window);
            }
            Event::Merge => self.merge(),
            Event::Return(job) => self.come_back(job),
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.agenda.push(at, event);
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.at(self.now + span, event);
    }

    fn seconds(&self) -> f64 {
        self.now.0 as f64 / 1e6
    }

    fn hop(&self, from: usize, to: usize) -> Duration {
        match self.place {
            Place::Ideal => Duration::ZERO,
            Place::Home | Place::Ingress => self.deployment.hop(from, to),
        }
    }

    fn frozen(&self, home: usize) -> Option<Time> {
        match self.place {
            Place::Home => frozen_until(self.scenario, home, self.now),
            Place::Ingress | Place::Ideal => None,
        }
    }

    /// The availability zone of the instance that decides about a request.
    fn deciding_zone(&self, job: &Job) -> usize {
        match self.place {
            Place::Home => job.home % self.deployment.zones.len(),
            Place::Ingress | Place::Ideal => job.zone,
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let next = self.traffic.next(self.deployment, self.workload, self.scenario);
        self.at(next.at, Event::Arrive(next));
        let kind = &self.workload.kinds[arrival.kind];
        // The caller has waited for the packet to arrive, and waits for the answer to come back.
        let timeout = kind.timeout.saturating_sub(2 * self.deployment.caller_hop);
        let zone = arrival.instance % self.deployment.zones.len();
        let mut job = Job::new(arrival, timeout, zone);
        job.home = home_of(self.scenario, arrival.flow, self.now);
        job.pinned = self.pins.get(&arrival.flow).copied();
        if arrival.last {
            self.pins.remove(&arrival.flow);
        }
        let hop = self.hop(job.zone, self.deciding_zone(&job));
        let ticket = Ticket {
            job: self.jobs.len() as u32,
            attempt: 0,
        };
        self.jobs.push(job);
        self.after(hop, Event::Ask(ticket));
    }

    fn come_back(&mut self, index: u32) {
        let timeout = self.workload.kinds[self.jobs[index as usize].arrival.kind].timeout;
        let job = &mut self.jobs[index as usize];
        job.arrived = self.now;
        job.deadline = self.now + timeout;
        job.returns += 1;
        job.attempt += 1;
        job.avoid.clear();
        job.progress = Progress::Open;
        let ticket = Ticket {
            job: index,
            attempt: job.attempt,
        };
        self.ask(ticket);
    }

    fn ask(&mut self, ticket: Ticket) {
        let job = &self.jobs[ticket.job as usize];
        if let Some(until) = self.frozen(job.home) {
            self.at(until, Event::Ask(ticket));
            return;
        }
        self.policy.ask(ticket, job, self.now, &mut self.choices);
    }

    fn apply(&mut self) {
        let mut choices = std::mem::take(&mut self.choices);
        for choice in choices.drain(..) {
            match choice {
                Choice::Grant(ticket, upstream) => self.grant(ticket, upstream),
                Choice::Deny(ticket, reason, retry_after) => self.deny(ticket, reason, retry_after),
            }
        }
        self.choices = choices;
    }

    fn grant(&mut self, ticket: Ticket, upstream: usize) {
        let now = self.now;
        let job = &mut self.jobs[ticket.job as usize];
        job.granted = Some((upstream, now));
        let zone = self.deciding_zone(&self.jobs[ticket.job as usize]);
        let hop = self.hop(zone, self.servers[upstream].zone);
        self.after(hop, Event::Reach(ticket, upstream));
    }

    fn deny(&mut self, ticket: Ticket, reason: Reason, retry_after: Millis) {
        let job = &mut self.jobs[ticket.job as usize];
        let surely_not_run = job.runs == 0;
        job.progress = if surely_not_run {
            Progress::Refused(reason)
        } else {
            Progress::Failed
        };
        let returns = self.scenario.callers_return() && surely_not_run && job.returns < MAX_RETURNS;
        if returns {
            let span = retry_after.duration() + 2 * self.deployment.caller_hop;
            self.after(span, Event::Return(ticket.job));
        }
    }

    fn reach(&mut self, ticket: Ticket, upstream: usize) {
        let at = self.seconds();
        if !self.scenario.reaches(self.servers[upstream].zone, at) {
            self.after(CONNECT_TIMEOUT, Event::Settle(ticket, upstream, Outcome::Unreachable));
            return;
        }
        let now = self.now;
        let server = &mut self.servers[upstream];
        server.note(now);
        if (WARM_UP..EVENT).contains(&at) {
            server.calls[0] += 1;
        }
        if (EVENT..AFTER).contains(&at) {
            server.calls[1] += 1;
        }
        if server.running < server.slots {
            self.start(ticket, upstream);
            return;
        }
        if self.place == Place::Ingress {
            server.queue.push_back(ticket);
            return;
        }
        let hop = self.hop_back(ticket, upstream);
        self.after(hop, Event::Settle(ticket, upstream, Outcome::Shed));
    }

    fn hop_back(&self, ticket: Ticket, upstream: usize) -> Duration {
        let zone = self.deciding_zone(&self.jobs[ticket.job as usize]);
        self.hop(zone, self.servers[upstream].zone)
    }

    fn start(&mut self, ticket: Ticket, upstream: usize) {
        let at = self.seconds();
        let failing = self.scenario.failing(upstream, at);
        let fails = failing > 0.0 && self.rng.random::<f64>() < failing;
        let job = &mut self.jobs[ticket.job as usize];
        job.local = self.servers[upstream].zone == job.zone;
        if job.deadline > self.now {
            job.started.get_or_insert(self.now);
            job.runs += 1;
        }
        let slowness = self.scenario.slowness(upstream, at);
        let (factor, outcome) = if fails {
            (FAILS_AFTER, Outcome::Failed)
        } else {
            (slowness, Outcome::Completed)
        };
        let end = self.now + job.arrival.service.mul_f64(factor);
        let deadline = job.deadline.max(self.now);
        self.servers[upstream].running += 1;
        if end > deadline {
            self.at(deadline, Event::Finish(ticket, upstream, Outcome::TimedOut));
        } else {
            self.at(end, Event::Finish(ticket, upstream, outcome));
        }
    }

    fn finish(&mut self, ticket: Ticket, upstream: usize, outcome: Outcome) {
        let now = self.now;
        let server = &mut self.servers[upstream];
        server.note(now);
        server.running -= 1;
        let next = server.queue.pop_front();
        let reached = self.scenario.reaches(server.zone, self.seconds());
        let outcome = if reached { outcome } else { Outcome::Failed };
        let hop = self.hop_back(ticket, upstream);
        self.after(hop, Event::Settle(ticket, upstream, outcome));
        if let Some(next) = next {
            self.start(next, upstream);
        }
    }

    fn settle(&mut self, ticket: Ticket, upstream: usize, outcome: Outcome) {
        let job = &self.jobs[ticket.job as usize];
        if let Some(until) = self.frozen(job.home) {
            self.at(until, Event::Settle(ticket, upstream, outcome));
            return;
        }
        let granted = job.granted.map_or(self.now, |(_, at)| at);
        let end = End {
            upstream,
            outcome,
            took: self.now.since(granted),
        };
        self.policy.settle(ticket, job, end, self.now, &mut self.choices);
        let idempotent = self.workload.kinds[job.arrival.kind].idempotent;
        let job = &mut self.jobs[ticket.job as usize];
        let retry = job.end(upstream, outcome, idempotent, self.now);
        if job.avoid.len() == self.servers.len() {
            job.avoid.clear();
        }
        let keeps_upstream = self.scenario == Scenario::Pinned && !job.arrival.last;
        if job.progress == Progress::Completed && keeps_upstream {
            self.pins.insert(job.arrival.flow, upstream);
        }
        if retry {
            let attempt = job.attempt;
            self.ask(Ticket {
                job: ticket.job,
                attempt,
            });
        }
    }

    fn poll(&mut self) {
        self.after(self.deployment.report_every, Event::Poll);
        let at = self.seconds();
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let report = self.scenario.report(index, server.zone, server.present(), at);
            self.after(self.deployment.report_lag, Event::Report(index, report));
        }
    }

    /// The second home ends, and owners tell the first one of the slots in use.
    fn merge(&mut self) {
        if self.scenario != Scenario::TwoHomes {
            return;
        }
        for (index, job) in self.jobs.iter().enumerate() {
            let Some((upstream, _)) = job.granted else {
                continue;
            };
            let ticket = Ticket {
                job: index as u32,
                attempt: job.attempt,
            };
            if job.home == 1 {
                self.policy.hold(ticket, upstream, job.deadline, self.now);
            }
        }
    }
}

fn seconds(seconds: f64) -> Time {
    Time((seconds * 1e6) as u64)
}
