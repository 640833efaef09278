//! Requests as they arrive. The same seed gives the same requests to each policy.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Time;

use crate::deployment::Deployment;
use crate::deployment::Workload;
use crate::scenario::Scenario;

/// A request as it arrives at an instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) flow: u64,
    pub(crate) kind: usize,
    /// The instance that the packet reaches.
    pub(crate) instance: usize,
    /// How long a warm upstream takes.
    pub(crate) service: Duration,
    /// The last request of its flow.
    pub(crate) last: bool,
}

#[derive(Debug, Clone, Copy)]
struct Flow {
    id: u64,
    rate: f64,
}

/// Draws arrivals.
#[derive(Debug)]
pub(crate) struct Traffic {
    rng: SmallRng,
    flows: Vec<Flow>,
    /// Running sums of the flows' rates, rebuilt when flows have changed.
    sums: Vec<f64>,
    next_id: u64,
    seconds: f64,
}

impl Traffic {
    pub(crate) fn new(deployment: &Deployment, seed: u64) -> Self {
        let mut traffic = Self {
            rng: SmallRng::seed_from_u64(seed),
            flows: Vec::new(),
            sums: Vec::new(),
            next_id: 0,
            seconds: 0.0,
        };
        for _ in 0..deployment.flows.count {
            let flow = traffic.open(deployment);
            traffic.flows.push(flow);
        }
        traffic.sum();
        traffic
    }

    /// The next request. Arrivals are Poisson with the scenario's load.
    pub(crate) fn next(&mut self, deployment: &Deployment, workload: &Workload, scenario: Scenario) -> Arrival {
        let peak_rate = workload.scale * scenario.peak() * workload.slots() / workload.mean_service();
        loop {
            self.seconds += exponential(&mut self.rng) / peak_rate;
            let accepted = self.rng.random::<f64>() * scenario.peak() < scenario.load(self.seconds);
            if accepted {
                break;
            }
        }
        let place = self.pick();
        let flow = self.flows[place].id;
        let last = self.rng.random::<f64>() * deployment.flows.life < 1.0;
        if last {
            self.flows[place] = self.open(deployment);
            self.sum();
        }
        let kind = self.kind(workload);
        let service = lognormal(&mut self.rng, workload.kinds[kind].mean, workload.kinds[kind].sigma);
        Arrival {
            at: Time((self.seconds * 1e6) as u64),
            flow,
            kind,
            instance: self.rng.random_range(0..deployment.instances),
            service: Duration::from_secs_f64(service),
            last,
        }
    }

    fn open(&mut self, deployment: &Deployment) -> Flow {
        self.next_id += 1;
        Flow {
            id: self.next_id,
            rate: lognormal(&mut self.rng, 1.0, deployment.flows.rate_sigma),
        }
    }

    fn sum(&mut self) {
        let mut sum = 0.0;
        self.sums.clear();
        for flow in &self.flows {
            sum += flow.rate;
            self.sums.push(sum);
        }
    }

    /// Picks a flow in proportion to its rate.
    fn pick(&mut self) -> usize {
        let total = self.sums.last().copied().unwrap_or(0.0);
        let point = self.rng.random::<f64>() * total;
        let place = self.sums.partition_point(|sum| *sum < point);
        place.min(self.flows.len() - 1)
    }

    fn kind(&mut self, workload: &Workload) -> usize {
        let mut point = self.rng.random::<f64>();
        for (index, kind) in workload.kinds.iter().enumerate() {
            if point < kind.share {
                return index;
            }
            point -= kind.share;
        }
        workload.kinds.len() - 1
    }
}

/// A draw with mean 1.
fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// A draw with this mean whose logarithm has this standard deviation.
pub(crate) fn lognormal(rng: &mut SmallRng, mean: f64, sigma: f64) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    let normal = radius * angle.cos();
    mean * (sigma * normal - sigma * sigma / 2.0).exp()
}
