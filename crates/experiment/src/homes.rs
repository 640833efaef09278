//! The pool of crate `balance`, at one home or at two.

use balance::Decision;
use balance::Pool;
use balance::Report;
use balance::SlotRequest;
use config::Affinity;
use config::Service;
use units::Time;
use units::UpstreamName;
use units::Weight;
use units::ZoneName;

use crate::deployment::Deployment;
use crate::deployment::Workload;
use crate::job::Job;
use crate::job::Ticket;
use crate::policy::Choice;
use crate::policy::End;
use crate::policy::Policy;
use crate::scenario::AFTER;
use crate::scenario::EVENT;
use crate::scenario::Scenario;

/// How long a home is frozen, in seconds.
const FREEZE: f64 = 3.0;
/// How long it takes until another home takes over, in seconds.
const DETECTION: f64 = 1.0;

/// Which home a request that arrives now is brought to.
pub(crate) fn home_of(scenario: Scenario, flow: u64, now: Time) -> usize {
    let seconds = now.0 as f64 / 1e6;
    let event = (EVENT..AFTER).contains(&seconds);
    match scenario {
        Scenario::TwoHomes if event => (flow % 2) as usize,
        Scenario::FrozenHome if seconds >= EVENT + DETECTION => 1,
        _ => 0,
    }
}

/// Until when a home does nothing, if it is frozen now.
pub(crate) fn frozen_until(scenario: Scenario, home: usize, now: Time) -> Option<Time> {
    let seconds = now.0 as f64 / 1e6;
    let frozen = scenario == Scenario::FrozenHome && home == 0 && (EVENT..EVENT + FREEZE).contains(&seconds);
    frozen.then_some(Time(((EVENT + FREEZE) * 1e6) as u64))
}

/// Two pools, of which usually only the first is asked.
#[derive(Debug)]
pub(crate) struct Homes {
    scenario: Scenario,
    pools: [Pool<Ticket>; 2],
    zones: Vec<ZoneName>,
    /// Sorted, as the model numbers them.
    names: Vec<UpstreamName>,
    weights: Vec<Weight>,
    decisions: Vec<Decision<Ticket>>,
}

impl Homes {
    pub(crate) fn new(deployment: &Deployment, workload: &Workload, scenario: Scenario, seed: u64) -> Self {
        let mut service: Service = workload.service.clone();
        if scenario == Scenario::Pinned {
            service.sharing.affinity = Affinity::Flow;
        }
        let service = &service;
        Self {
            scenario,
            pools: [Pool::new(service, seed, Time(0)), Pool::new(service, seed + 1, Time(0))],
            zones: deployment.zones.clone(),
            names: service.upstreams.iter().map(|upstream| upstream.name.clone()).collect(),
            weights: workload.kinds.iter().map(|kind| kind.weight).collect(),
            decisions: Vec::new(),
        }
    }

    fn index(&self, name: &UpstreamName) -> usize {
        self.names
            .binary_search(name)
            .expect("a pool only names upstreams that it was given")
    }

    fn pass_on(&mut self, out: &mut Vec<Choice>) {
        let mut decisions = std::mem::take(&mut self.decisions);
        for decision in decisions.drain(..) {
            let choice = match decision {
                Decision::Grant { key, upstream } => Choice::Grant(key, self.index(&upstream)),
                Decision::Deny {
                    key,
                    reason,
                    retry_after,
                } => Choice::Deny(key, reason, retry_after),
            };
            out.push(choice);
        }
        self.decisions = decisions;
    }

    fn awake(&self, home: usize, now: Time) -> bool {
        frozen_until(self.scenario, home, now).is_none()
    }
}

impl Policy for Homes {
    fn ask(&mut self, ticket: Ticket, job: &Job, now: Time, out: &mut Vec<Choice>) {
        let name = |index: &usize| self.names[*index].clone();
        let ask = SlotRequest {
            key: ticket,
            weight: self.weights[job.arrival.kind],
            zone: self.zones[job.zone].clone(),
            deadline: job.deadline,
            pinned: job.pinned.as_ref().map(name),
            avoid: job.avoid.iter().map(name).collect(),
        };
        self.pools[job.home].acquire(ask, now, &mut self.decisions);
        self.pass_on(out);
    }

    fn settle(&mut self, ticket: Ticket, _job: &Job, end: End, now: Time, out: &mut Vec<Choice>) {
        for home in 0..self.pools.len() {
            if self.awake(home, now) {
                self.pools[home].settle(&ticket, end.outcome, end.took, now, &mut self.decisions);
            }
        }
        self.pass_on(out);
    }

    fn report(&mut self, upstream: usize, report: Option<Report>, now: Time, out: &mut Vec<Choice>) {
        for home in 0..self.pools.len() {
            if self.awake(home, now) {
                self.pools[home].report(&self.names[upstream], report, now, &mut self.decisions);
            }
        }
        self.pass_on(out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Choice>) {
        for home in 0..self.pools.len() {
            if self.awake(home, now) {
                self.pools[home].tick(now, &mut self.decisions);
            }
        }
        self.pass_on(out);
    }

    fn hold(&mut self, ticket: Ticket, upstream: usize, deadline: Time, now: Time) {
        self.pools[0].hold(ticket, self.names[upstream].clone(), deadline, now);
    }
}
