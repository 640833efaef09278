//! A deployment: availability zones, instances, services and the traffic they get.

use std::time::Duration;

use config::Affinity;
use config::Service;
use config::Sharing;
use config::Upstream;
use config::UpstreamState;
use serde::Deserialize;
use units::Slots;
use units::Weight;
use units::ZoneName;

use crate::Error;
use crate::Scenario;

/// A deployment as it is written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: String,
    zones: Vec<ZoneName>,
    instances: usize,
    caller_hop_us: u64,
    zone_hop_us: u64,
    local_hop_us: u64,
    reports: RawReports,
    flows: Flows,
    services: Vec<RawService>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawReports {
    every_ms: u64,
    lag_ms: u64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: String,
    upstreams: usize,
    slots: Slots,
    prefer_local_zone: bool,
    queue_limit: u32,
    retry_budget_percent: u32,
    slow_start_ms: u64,
    kinds: Vec<RawKind>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKind {
    name: units::KindName,
    share: f64,
    weight: Weight,
    mean_ms: f64,
    sigma: f64,
    timeout_ms: u64,
    idempotent: bool,
}

/// The flows that are open at a time.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Flows {
    /// How many there are.
    pub(crate) count: usize,
    /// How many requests a flow makes on average.
    pub(crate) life: f64,
    /// How uneven their rates are: the standard deviation of the rate's logarithm.
    pub(crate) rate_sigma: f64,
}

/// A checked deployment.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    pub(crate) name: String,
    pub(crate) zones: Vec<ZoneName>,
    pub(crate) instances: usize,
    /// One way between a caller and an instance.
    pub(crate) caller_hop: Duration,
    /// One way between two availability zones.
    pub(crate) zone_hop: Duration,
    /// One way within an availability zone.
    pub(crate) local_hop: Duration,
    /// How often upstreams are asked for a report.
    pub(crate) report_every: Duration,
    /// How old a report is when it comes.
    pub(crate) report_lag: Duration,
    pub(crate) flows: Flows,
    pub(crate) workloads: Vec<Workload>,
}

/// A service and the requests it gets.
#[derive(Debug, Clone)]
pub(crate) struct Workload {
    pub(crate) service: Service,
    pub(crate) kinds: Vec<Kind>,
    /// How many times the scenario's load is offered.
    pub(crate) scale: f64,
}

/// A kind of request.
#[derive(Debug, Clone)]
pub(crate) struct Kind {
    /// The share of all requests.
    pub(crate) share: f64,
    pub(crate) weight: Weight,
    /// The mean service time in seconds.
    pub(crate) mean: f64,
    /// The standard deviation of the service time's logarithm.
    pub(crate) sigma: f64,
    pub(crate) timeout: Duration,
    pub(crate) idempotent: bool,
}

impl Workload {
    /// The same service with another load before and after what the scenario does, which it does in proportion.
    pub(crate) fn at_load(&self, load: f64, scenario: Scenario) -> Self {
        Self {
            scale: load / scenario.load(0.0),
            ..self.clone()
        }
    }

    /// The mean service time over all kinds, in seconds.
    pub(crate) fn mean_service(&self) -> f64 {
        self.kinds.iter().map(|kind| kind.share * kind.mean).sum()
    }

    /// How many requests all upstreams serve at a time.
    pub(crate) fn slots(&self) -> f64 {
        let slots = |upstream: &Upstream| f64::from(upstream.slots.0);
        self.service.upstreams.iter().map(slots).sum()
    }
}

impl Deployment {
    /// Reads a deployment.
    pub(crate) fn parse(yaml: &str) -> Result<Self, Error> {
        let raw: Raw = serde_saphyr::from_str(yaml).map_err(|error| Error::Yaml(error.to_string()))?;
        Self::try_from(raw)
    }

    /// One way between two availability zones, given by number.
    pub(crate) fn hop(&self, from: usize, to: usize) -> Duration {
        if from == to { self.local_hop } else { self.zone_hop }
    }
}

impl TryFrom<Raw> for Deployment {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Self, Error> {
        if raw.zones.is_empty() {
            return Err(Error::Missing("availability zones"));
        }
        if raw.instances == 0 {
            return Err(Error::Missing("instances"));
        }
        if raw.flows.count == 0 {
            return Err(Error::Missing("flows"));
        }
        let workloads: Result<Vec<Workload>, Error> = raw
            .services
            .iter()
            .map(|service| workload(service, &raw.zones))
            .collect();
        Ok(Self {
            name: raw.name,
            instances: raw.instances,
            caller_hop: Duration::from_micros(raw.caller_hop_us),
            zone_hop: Duration::from_micros(raw.zone_hop_us),
            local_hop: Duration::from_micros(raw.local_hop_us),
            report_every: Duration::from_millis(raw.reports.every_ms),
            report_lag: Duration::from_millis(raw.reports.lag_ms),
            flows: raw.flows,
            workloads: workloads?,
            zones: raw.zones,
        })
    }
}

fn workload(raw: &RawService, zones: &[ZoneName]) -> Result<Workload, Error> {
    if raw.kinds.is_empty() {
        return Err(Error::Missing("kinds of request"));
    }
    if raw.upstreams == 0 {
        return Err(Error::Missing("upstreams"));
    }
    let mut upstreams = Vec::new();
    for number in 0..raw.upstreams {
        upstreams.push(Upstream {
            name: format!("{}-{number:03}", raw.name).as_str().try_into()?,
            zone: zones[number % zones.len()].clone(),
            address: ([127, 0, 0, 1], 1).into(),
            slots: raw.slots,
            state: UpstreamState::Active,
        });
    }
    let kind = |raw: &RawKind| config::Kind {
        name: raw.name.clone(),
        weight: raw.weight,
        idempotent: raw.idempotent,
    };
    let service = Service {
        name: raw.name.as_str().try_into()?,
        addresses: Vec::new(),
        sharing: Sharing {
            affinity: Affinity::Request,
            prefer_local_zone: raw.prefer_local_zone,
            queue_limit: raw.queue_limit,
            retry_budget_percent: raw.retry_budget_percent,
            slow_start: Duration::from_millis(raw.slow_start_ms),
        },
        kinds: raw.kinds.iter().map(kind).collect(),
        upstreams,
    };
    let kinds = raw.kinds.iter().map(Kind::from).collect();
    let scale = 1.0;
    Ok(Workload { service, kinds, scale })
}

impl From<&RawKind> for Kind {
    fn from(raw: &RawKind) -> Self {
        Self {
            share: raw.share,
            weight: raw.weight,
            mean: raw.mean_ms / 1_000.0,
            sigma: raw.sigma,
            timeout: Duration::from_millis(raw.timeout_ms),
            idempotent: raw.idempotent,
        }
    }
}
