//! One service in virtual time: upstreams with slots and a queue, and callers whose flows are placed by views that are
//! refreshed at intervals. All instances hold the same view and none adds its own latest flows, which is the worst case
//! for herd behaviour.

use std::collections::BTreeMap;
use std::time::Duration;

use flow::Contender;
use flow::Spillover;
use flow::UpstreamId;
use flow::View;
use flow::Warmth;
use flow::ZoneLoad;
use flow::choose;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

const STEP: Duration = Duration::from_millis(1);
/// Age at which a view is replaced: of a zone's own upstreams, and of the sums of other zones.
const VIEW_MS: u64 = 100;
const SUMS_MS: u64 = 200;
/// Requests that an upstream holds before it refuses more, per slot.
const PLACES_PER_SLOT: u32 = 5;

pub struct Server {
    pub zone: ZoneName,
    pub slots: u32,
    pub service_time: Duration,
    pub in_flight: u32,
    pub placed: u32,
    pub refused: u32,
    viewed: u32,
}

impl Server {
    /// This upstream as a contender for a flow from its own zone or another one, which has no view of its load.
    fn contender(&self, id: u64, is_local: bool) -> Contender<'_> {
        Contender {
            id: UpstreamId(id),
            zone: &self.zone,
            slots: self.slots,
            in_flight: is_local.then_some(self.viewed),
            service_time: is_local.then_some(self.service_time),
            warmth: Warmth::Warm,
        }
    }
}

pub struct Service {
    pub servers: Vec<Server>,
    /// Requests per second by zone of their callers.
    pub demand: BTreeMap<ZoneName, f64>,
    /// Flows by the zones of caller and upstream, since the last reset.
    pub flows: BTreeMap<(ZoneName, ZoneName), u32>,
    /// A zone whose sums are not received.
    pub cut_off: Option<ZoneName>,
    spillovers: BTreeMap<ZoneName, Spillover>,
    sums: BTreeMap<ZoneName, ZoneLoad>,
    now: Time,
    rng: SmallRng,
}

pub fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

impl Service {
    pub fn new(seed: u64) -> Self {
        Self {
            servers: Vec::new(),
            demand: BTreeMap::new(),
            flows: BTreeMap::new(),
            cut_off: None,
            spillovers: BTreeMap::new(),
            sums: BTreeMap::new(),
            now: Time(1_000_000_000),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Three zones of 40 upstreams with 2 slots each.
    pub fn tills(seed: u64, service_time: Duration) -> Self {
        let mut service = Self::new(seed);
        for name in ["a", "b", "c"] {
            service.add(name, 40, 2, service_time);
        }
        service
    }

    pub fn add(&mut self, name: &str, count: usize, slots: u32, service_time: Duration) {
        let server = || Server {
            zone: zone(name),
            slots,
            service_time,
            in_flight: 0,
            placed: 0,
            refused: 0,
            viewed: 0,
        };
        self.servers.extend((0..count).map(|_| server()));
    }

    /// Requests per second that a zone's upstreams can serve.
    pub fn capacity(&self, name: &str) -> f64 {
        let of_zone = self.servers.iter().filter(|server| server.zone == zone(name));
        of_zone
            .map(|server| f64::from(server.slots) / server.service_time.as_secs_f64())
            .sum()
    }

    /// Sets the demand of a zone's callers, in multiples of the capacity of its upstreams.
    pub fn set_demand(&mut self, name: &str, share: f64) {
        let demand = self.capacity(name) * share;
        self.demand.insert(zone(name), demand);
    }

    /// Changes the speed of a zone's upstreams.
    pub fn set_service_time(&mut self, name: &str, service_time: Duration) {
        let of_zone = self.servers.iter_mut().filter(|server| server.zone == zone(name));
        of_zone.for_each(|server| server.service_time = service_time);
    }

    /// Forgets the counts so far.
    pub fn reset_counts(&mut self) {
        self.flows.clear();
        for server in &mut self.servers {
            (server.placed, server.refused) = (0, 0);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        for _ in 0..duration.as_millis() {
            self.now = self.now + STEP;
            self.refresh_views();
            self.serve();
            for (zone, demand) in self.demand.clone() {
                let mean = demand * STEP.as_secs_f64();
                let count = mean as u32 + u32::from(self.rng.random::<f64>() < mean.fract());
                for _ in 0..count {
                    self.place(&zone);
                }
            }
        }
    }

    pub fn refresh_views(&mut self) {
        let millis = self.now.0 / 1_000;
        if millis.is_multiple_of(VIEW_MS) {
            for server in &mut self.servers {
                server.viewed = server.in_flight;
            }
        }
        if self.sums.is_empty() || millis.is_multiple_of(SUMS_MS) {
            self.sums = self.current_sums();
        }
    }

    fn current_sums(&self) -> BTreeMap<ZoneName, ZoneLoad> {
        let mut sums: BTreeMap<ZoneName, ZoneLoad> = BTreeMap::new();
        let mut rates: BTreeMap<&ZoneName, f64> = BTreeMap::new();
        for server in &self.servers {
            let load = sums.entry(server.zone.clone()).or_default();
            load.slots += server.slots;
            load.in_flight += server.in_flight;
            let rate = f64::from(server.slots) / server.service_time.as_secs_f64();
            *rates.entry(&server.zone).or_default() += rate;
        }
        for (zone, rate) in rates {
            let load = sums.get_mut(zone).unwrap();
            load.service_time = Some(Duration::from_secs_f64(f64::from(load.slots) / rate));
        }
        sums.retain(|zone, _| Some(zone) != self.cut_off.as_ref());
        sums
    }

    /// Finishes requests: a busy slot finishes one after an exponentially distributed time.
    fn serve(&mut self) {
        for server in &mut self.servers {
            let chance = STEP.as_secs_f64() / server.service_time.as_secs_f64();
            for _ in 0..server.in_flight.min(server.slots) {
                server.in_flight -= u32::from(self.rng.random::<f64>() < chance);
            }
        }
    }

    /// Places a flow of a caller, and returns the number of its upstream.
    pub fn place(&mut self, from: &ZoneName) -> usize {
        let servers = &self.servers;
        let contenders = |zone: &ZoneName| {
            let of_zone = (0..).zip(servers).filter(|(_, server)| server.zone == *zone);
            let contenders = of_zone.map(|(id, server)| server.contender(id, zone == from));
            contenders.collect::<Vec<_>>()
        };
        let mut sums = self.sums.clone();
        let local = self.servers.iter().filter(|server| server.zone == *from);
        if let Some(load) = sums.get_mut(from) {
            load.in_flight = local.map(|server| server.viewed).sum();
        }
        let view = View {
            local: from,
            zones: &sums,
        };
        let spillover = self.spillovers.entry(from.clone()).or_default();
        let far = |zone: &ZoneName, _: &mut SmallRng| contenders(zone);
        let choice = choose(&contenders(from), far, view, spillover, self.now, &mut self.rng).unwrap();
        let index = choice.id.0 as usize;
        self.record(from, index);
        index
    }

    fn record(&mut self, from: &ZoneName, index: usize) {
        let server = &mut self.servers[index];
        *self.flows.entry((from.clone(), server.zone.clone())).or_default() += 1;
        server.placed += 1;
        if server.in_flight >= server.slots * PLACES_PER_SLOT {
            server.refused += 1;
            return;
        }
        server.in_flight += 1;
    }

    /// Share of the flows of a zone's callers that went to a zone's upstreams.
    pub fn share(&self, from: &str, to: &str) -> f64 {
        let total: u32 = self
            .flows
            .iter()
            .filter(|((caller, _), _)| *caller == zone(from))
            .map(|(_, count)| count)
            .sum();
        let count = self.flows.get(&(zone(from), zone(to))).copied().unwrap_or_default();
        f64::from(count) / f64::from(total.max(1))
    }

    pub fn refused(&self) -> u32 {
        self.servers.iter().map(|server| server.refused).sum()
    }
}
