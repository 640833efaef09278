//! Callers and the fabric: what they ask, how it gets to instances, and how replies come back.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use caller::Action;
use caller::Event;
use node::Peer;
use rand::RngExt;
use units::KindName;
use units::ServiceName;
use units::Time;
use wire::Packet;

use crate::book::End;
use crate::driver::Driver;
use crate::driver::Load;
use crate::fabric::hit;
use crate::fabric::millis;
use crate::job::Job;
use crate::job::JobId;
use crate::violation::Violation;
use crate::world::Happening;
use crate::world::World;

/// Where a stranger's packets come from.
const STRANGER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(10, 66, 6, 6)), 666);
/// How long callers wait in randomised runs.
const TIMEOUT: Duration = Duration::from_secs(4);
/// The length of a short answer.
const SHORT: u32 = 60;

impl World {
    /// Adds a caller of a service and tells its number.
    pub fn add_caller(&mut self, service: &ServiceName) -> u32 {
        let id = self.drivers.len() as u32 + 1;
        let host = Ipv4Addr::new(10, 9, (id >> 8) as u8, id as u8);
        let address = SocketAddr::new(host.into(), 5_000);
        let nowhere = SocketAddr::new(Ipv4Addr::new(192, 0, 2, 254).into(), 1);
        let dialled = self.plan.service(service).map_or(nowhere, |service| service.address);
        let seed = self.rng.random();
        self.drivers
            .push(Driver::new(id, address, service.clone(), dialled, seed));
        id
    }

    /// Lets a caller ask by itself, from now on and for `span`.
    pub fn load(&mut self, caller: u32, every: Duration, span: Duration) {
        let until = self.now + span;
        let first = millis(&mut self.rng, 1, 500);
        let Some(driver) = self.driver(caller) else {
            return;
        };
        driver.load = Some(Load { every, until });
        self.queue.push(self.now + first, Happening::Ask(caller));
    }

    /// Lets a caller ask for one operation.
    pub fn ask(&mut self, caller: u32, kind: &str, answer_len: u32, timeout: Duration) -> Result<JobId, Violation> {
        let now = self.now;
        let kind: KindName = kind.parse().expect("scenarios and runs name kinds well");
        let idempotent = kind.as_str() != "hold";
        let driver = &mut self.drivers[caller as usize - 1];
        let established = driver.is_established();
        let job = driver.job(kind, answer_len);
        let actions = driver.ask(now, &job, timeout, idempotent);
        self.note(Some(job.id), format!("asked for: a {}", job.kind));
        self.book.ask(&job, idempotent, now + timeout, established);
        self.drive(caller, actions)?;
        Ok(job.id)
    }

    /// Lets the callers that ask by themselves do so this often.
    pub(crate) fn set_pace(&mut self, every: Duration) {
        for driver in &mut self.drivers {
            if let Some(load) = &mut driver.load {
                load.every = every;
            }
        }
    }

    fn driver(&mut self, caller: u32) -> Option<&mut Driver> {
        self.drivers.get_mut(caller as usize - 1)
    }

    pub(crate) fn ask_by_itself(&mut self, caller: u32) -> Result<(), Violation> {
        let now = self.now;
        let Some(load) = self.driver(caller).and_then(|driver| driver.load) else {
            return Ok(());
        };
        if load.until <= now {
            return Ok(());
        }
        let (kind, len) = match self.rng.random_range(0..10) {
            0..4 => ("hold", SHORT),
            4..8 => ("read", SHORT),
            _ => ("sheet", self.rng.random_range(2_000..20_000)),
        };
        self.ask(caller, kind, len, TIMEOUT)?;
        let mean = load.every.as_millis() as u64;
        let wait = millis(&mut self.rng, mean / 2, mean * 3 / 2);
        self.queue.push(now + wait, Happening::Ask(caller));
        Ok(())
    }

    /// A caller ends its flow. It may begin another one.
    pub fn close(&mut self, caller: u32) -> Result<(), Violation> {
        self.nudge(caller, Event::Close)
    }

    fn nudge(&mut self, caller: u32, event: Event) -> Result<(), Violation> {
        let now = self.now;
        let Some(driver) = self.driver(caller) else {
            return Ok(());
        };
        let actions = driver.handle(now, event);
        self.drive(caller, actions)
    }

    /// A datagram reaches a caller.
    pub(crate) fn reply(&mut self, caller: u32, bytes: Vec<u8>) -> Result<(), Violation> {
        self.nudge(caller, Event::Datagram(bytes))
    }

    /// A caller's flow is due.
    pub(crate) fn wake(&mut self, caller: u32) -> Result<(), Violation> {
        let now = self.now;
        let Some(driver) = self.driver(caller) else {
            return Ok(());
        };
        if driver.wake != Some(now) {
            // It was put off, or has been woken before.
            return Ok(());
        }
        driver.wake = None;
        self.nudge(caller, Event::Tick)
    }

    /// Carries out what a caller's flow wants.
    fn drive(&mut self, caller: u32, actions: Vec<Action>) -> Result<(), Violation> {
        let now = self.now;
        let address = self.drivers[caller as usize - 1].address;
        for action in actions {
            match action {
                Action::Send(bytes) => {
                    self.launch(address, &bytes);
                    self.rewrap(caller);
                }
                Action::Opened(_) | Action::OpenFailed(_) => {}
                Action::Ended(call, result) => {
                    let job = self.drivers[caller as usize - 1].job_id(call);
                    self.end(job, result)?;
                }
            }
        }
        let driver = &mut self.drivers[caller as usize - 1];
        let due: Option<Time> = driver.next_wake().map(|due| due.max(now));
        if driver.wake != due {
            driver.wake = due;
            if let Some(due) = due {
                self.queue.push(due, Happening::Wake(caller));
            }
        }
        Ok(())
    }

    fn end(&mut self, job: JobId, result: Result<Vec<u8>, caller::Failure>) -> Result<(), Violation> {
        match result {
            Ok(body) => {
                self.note(Some(job), "its caller has the answer".to_owned());
                self.book.answer(self.now, job, &body)
            }
            Err(failure) => {
                self.note(Some(job), format!("its caller gives up: {failure}"));
                self.book.fail(self.now, job, End::Failed(failure))
            }
        }
    }

    /// Puts a caller's datagram on its way.
    fn launch(&mut self, from: SocketAddr, bytes: &[u8]) {
        for delay in self.fabric.copies(&mut self.rng) {
            self.queue
                .push(self.now + delay, Happening::Packet(from, bytes.to_vec()));
        }
        if hit(&mut self.rng, self.fabric.tamper) {
            let altered = self.tamper(bytes);
            self.queue.push(
                self.now + Duration::from_millis(2),
                Happening::Packet(STRANGER, altered),
            );
        }
    }

    /// A caller breaks the protocol now and then.
    fn rewrap(&mut self, caller: u32) {
        if !hit(&mut self.rng, self.fabric.rewrap) {
            return;
        }
        let pick = self.rng.random_range(0..100);
        let driver = &self.drivers[caller as usize - 1];
        if let Some(bytes) = driver.rewrapped(pick) {
            let from = driver.address;
            self.queue.push(self.now, Happening::Packet(from, bytes));
        }
    }

    /// A stranger's version of a datagram. What it asks for was never asked for by a caller.
    fn tamper(&mut self, bytes: &[u8]) -> Vec<u8> {
        let decoded = wire::decode_packet(bytes);
        let Ok(Packet::Request(mut request)) = decoded else {
            return self.noise(bytes);
        };
        let job = Job {
            id: JobId {
                caller: 666,
                number: 666,
            },
            service: request.service.clone(),
            kind: request.kind.clone(),
            answer_len: SHORT,
        };
        request.body = job.body().into();
        match self.rng.random_range(0..3) {
            0 => {
                // A forged token: any bit may be wrong.
                let at = self.rng.random_range(0..request.token.0.len());
                request.token.0[at] ^= 1 << self.rng.random_range(0..8);
            }
            1 => {
                // A genuine token, used for another service.
                let other = self
                    .plan
                    .services
                    .iter()
                    .find(|service| service.name != request.service);
                let Some(other) = other else {
                    return self.noise(bytes);
                };
                request.service = other.name.clone();
            }
            _ => return self.noise(bytes),
        }
        wire::encode_packet(&Packet::Request(request))
    }

    fn noise(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut noise = bytes[..self.rng.random_range(0..bytes.len())].to_vec();
        for _ in 0..4 {
            if noise.is_empty() {
                break;
            }
            let at = self.rng.random_range(0..noise.len());
            noise[at] = self.rng.random();
        }
        noise
    }

    fn note_packet(&mut self, picked: Option<&Peer>, bytes: &[u8]) {
        let Ok(Packet::Request(request)) = wire::decode_packet(bytes) else {
            return;
        };
        let job = Job::parse(&request.body).ok().map(|job| job.id);
        let name = picked.map_or("nobody", |peer| peer.name.as_str());
        let text = format!("{name} gets {}", request.seq);
        self.note(job, text);
    }

    /// A datagram reaches whatever instance the fabric picks.
    pub(crate) fn spray(&mut self, from: SocketAddr, bytes: Vec<u8>) -> Result<(), Violation> {
        let now = self.now;
        let sprayed: Vec<Option<Peer>> = self
            .instances
            .values()
            .filter(|i| i.sprayed(now))
            .map(crate::instance::Instance::peer)
            .collect();
        if sprayed.is_empty() {
            return Ok(());
        }
        let picked = &sprayed[self.rng.random_range(0..sprayed.len())];
        self.note_packet(picked.as_ref(), &bytes);
        let Some(peer) = picked else {
            return Ok(());
        };
        let event = node::Event::Datagram(from, bytes);
        self.feed(peer, event)
    }
}
