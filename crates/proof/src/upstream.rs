//! A fake upstream: slots, service time, shedding, draining, and the ways to mislead.

use std::net::SocketAddr;
use std::time::Duration;

use node::PollError;
use node::UpstreamReport;
use rand::RngExt;
use rand::rngs::StdRng;
use units::Incarnation;
use units::ServiceName;
use units::Slots;
use units::Time;
use units::UpstreamName;
use units::ZoneName;

use crate::fabric::millis;
use crate::fault::Behaviour;

/// How much longer a call takes at a cold upstream.
const COLD_FACTOR: u32 = 4;
/// How long an upstream is cold.
const COLD: Duration = Duration::from_secs(3);

/// What scenarios say of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// Its name.
    pub name: UpstreamName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it serves.
    pub address: SocketAddr,
    /// How many requests it serves at a time.
    pub slots: Slots,
}

/// What an upstream does with a call that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reception {
    /// It runs it.
    Run,
    /// It refuses it: all slots are taken.
    Shed,
    /// It refuses it: it takes no more work.
    Draining,
    /// Nobody listens.
    Closed,
}

/// A fake upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) spec: UpstreamSpec,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Time,
    pub(crate) up: bool,
    pub(crate) draining: bool,
    pub(crate) listed_leaving: bool,
    pub(crate) behaviour: Behaviour,
    pub(crate) busy: u16,
    pub(crate) runs: u64,
}

impl Upstream {
    /// An upstream that started long ago.
    pub(crate) fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            incarnation: Incarnation(1),
            started: Time(0),
            up: true,
            draining: false,
            listed_leaving: false,
            behaviour: Behaviour::Honest,
            busy: 0,
            runs: 0,
        }
    }

    /// Begins a new life.
    pub(crate) fn restart(&mut self, now: Time) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.started = now;
        self.up = true;
        self.draining = false;
        self.listed_leaving = false;
        self.busy = 0;
        self.runs = 0;
    }

    /// Ends this life.
    pub(crate) fn kill(&mut self) {
        self.up = false;
        self.busy = 0;
    }

    /// Takes or refuses a call.
    pub(crate) fn receive(&mut self) -> Reception {
        if !self.up {
            return Reception::Closed;
        }
        if self.draining {
            return Reception::Draining;
        }
        if self.behaviour == Behaviour::Shedding || self.busy >= self.spec.slots.0 {
            return Reception::Shed;
        }
        self.busy += 1;
        self.runs += 1;
        Reception::Run
    }

    /// How long a call takes that has just begun.
    pub(crate) fn service_time(&self, now: Time, rng: &mut StdRng) -> Duration {
        let time = millis(rng, 10, 60);
        match self.behaviour {
            Behaviour::Slow => time * 20,
            Behaviour::Late => time * 100,
            _ if now.since(self.started) < COLD => time * COLD_FACTOR,
            _ => time,
        }
    }

    /// What it says of itself.
    pub(crate) fn report(&self, now: Time, rng: &mut StdRng) -> Result<UpstreamReport, PollError> {
        if !self.up {
            return Err(PollError);
        }
        let lying_load = self.behaviour == Behaviour::LyingLoad;
        let busy = if lying_load { rng.random_range(0..20) } else { self.busy };
        Ok(UpstreamReport {
            incarnation: self.incarnation,
            healthy: self.behaviour != Behaviour::LyingUnhealthy,
            draining: self.draining,
            busy: Slots(busy),
            age: now.since(self.started),
        })
    }
}
