//! Runs one soak from its seed to its verdict.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use adapter_standin::Client;
use adapter_standin::Fault as StoreFault;
use adapter_standin::Seen;
use adapter_standin::Store;
use tokio::task::JoinSet;

use crate::clients;
use crate::clients::Context;
use crate::clients::Router;
use crate::clients::Tally;
use crate::instance;
use crate::instance::Instance;
use crate::instance::Ports;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::plan::Refusal;
use crate::plan::Way;
use crate::proxy::Proxy;
use crate::upstreams::LEAVES_AFTER;
use crate::upstreams::Upstreams;
use crate::violation::Book;
use crate::violation::Violation;

/// The zones, each with instances and upstreams.
const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// The services, each with upstreams in each zone.
const SERVICES: [&str; 2] = ["search", "photos"];
/// How often processes are looked after, and faults begin and end.
const STEP: Duration = Duration::from_millis(50);
/// How often routers ask instances whether they are ready.
const PROBE: Duration = Duration::from_millis(500);
/// How long everything may take to come back after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long a start may take before traffic begins.
const START: Duration = Duration::from_secs(20);

/// How a soak is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Draws the faults and the clients' pauses.
    pub seed: u64,
    /// For how long faults begin.
    pub length: Duration,
    /// Instances in each of two zones.
    pub instances: usize,
    /// Clients of each of two services.
    pub clients: usize,
    /// The daemon's program.
    pub binary: PathBuf,
    /// Where settings and logs of the processes go.
    pub folder: PathBuf,
}

/// How a soak went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Broken promises, each with its time since the start.
    pub violations: Vec<(Duration, Violation)>,
    /// Faults that were brought about.
    pub faults: usize,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were not answered in time, during faults.
    pub unanswered: u64,
    /// Flows that ended because their upstream had died.
    pub lost: u64,
}

/// A fault that ends by itself later.
#[derive(Debug, Clone, Copy)]
enum End {
    Resume(usize),
    Open(usize),
    Serve,
}

struct World {
    store: Store,
    proxies: Vec<Proxy>,
    instances: Vec<Instance>,
    upstreams: Upstreams,
    router: Router,
    book: Book,
    ends: Vec<(Instant, End)>,
    version: u64,
    /// When the last disturbance of instances or of the store ended.
    calm_since: Instant,
    next_probe: Instant,
    misses: Vec<u32>,
}

/// The route of a service. A document has these, and one more that is its own.
fn route(service: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(198, 18, 0, 1),
        443 + u16::try_from(service).expect("two services"),
    )
}

/// The route that only this document has.
fn own_route(version: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), u16::try_from(version).unwrap_or(u16::MAX))
}

/// Runs one soak. Its processes are gone when it ends.
pub async fn run(options: &Options) -> io::Result<Outcome> {
    fs::create_dir_all(&options.folder)?;
    // Each process of the test machine may run one soak on each part of the loopback network.
    let net = 128 + u8::try_from(options.seed % 64).expect("below 64");
    let ip = |group: u8, number: usize| Ipv4Addr::new(127, net, group, u8::try_from(number).expect("few") + 1);
    let ports = Ports {
        packets: free_port(ip(1, 0))?,
        ready: free_port(ip(1, 0))?,
        peers: free_port(ip(1, 0))?,
    };
    let mut world = World::start(options, &ip, ports).await?;
    let tally = Arc::new(Tally::default());
    let mut tasks = JoinSet::new();
    for (index, service) in SERVICES.into_iter().enumerate() {
        for number in 0..options.clients {
            let number = index * options.clients + number;
            let own = SocketAddrV4::new(ip(2, number), 20_000);
            let client = Client::new(own, ports.packets).await?;
            let context = Context {
                router: world.router.clone(),
                living: world.upstreams.living.clone(),
                book: world.book.clone(),
                tally: Arc::clone(&tally),
                route: route(index),
                service,
            };
            tasks.spawn(clients::run(client, number, options.seed ^ number as u64, context));
        }
    }
    let mut prober = Client::new(SocketAddrV4::new(ip(4, 0), 20_000), ports.packets).await?;
    prober.set_tries(1);
    let plan = Plan::draw(
        options.seed,
        options.length,
        world.instances.len(),
        world.upstreams.count(),
    );
    world.play(&plan).await?;
    world.recover(&mut prober).await?;
    drop(tasks);
    Ok(Outcome {
        violations: world.book.take(),
        faults: plan.faults.len(),
        answered: tally.answered.load(Ordering::Relaxed),
        unanswered: tally.unanswered.load(Ordering::Relaxed),
        lost: tally.lost.load(Ordering::Relaxed),
    })
}

fn free_port(ip: Ipv4Addr) -> io::Result<u16> {
    Ok(UdpSocket::bind((ip, 0))?.local_addr()?.port())
}

impl World {
    async fn start(options: &Options, ip: &impl Fn(u8, usize) -> Ipv4Addr, ports: Ports) -> io::Result<Self> {
        let store = Store::start().await?;
        let mut upstreams = Upstreams::new(ip(3, 0), ports.packets);
        for service in SERVICES {
            for zone in ZONES {
                upstreams.add(&store, service, zone).await?;
                upstreams.add(&store, service, zone).await?;
            }
        }
        let mut proxies = Vec::new();
        let mut instances = Vec::new();
        for (number, zone) in ZONES
            .into_iter()
            .cycle()
            .take(ZONES.len() * options.instances)
            .enumerate()
        {
            let proxy = Proxy::start(store.address()).await?;
            let name = format!("entry-{number}");
            let place = (ip(1, number), ports);
            let outside = (proxy.address(), ip(1, 0));
            instances.push(Instance::start(
                &options.binary,
                &options.folder,
                (&name, zone),
                place,
                outside,
            )?);
            proxies.push(proxy);
        }
        let mut world = Self {
            misses: vec![0; instances.len()],
            store,
            proxies,
            instances,
            upstreams,
            router: Router::default(),
            book: Book::new(),
            ends: Vec::new(),
            version: 0,
            calm_since: Instant::now(),
            next_probe: Instant::now(),
        };
        world
            .router
            .set(world.instances.iter().map(Instance::packets).collect());
        world.write_document();
        world.until_all_ready(START).await?;
        Ok(world)
    }

    fn write_document(&mut self) {
        self.version += 1;
        let own = own_route(self.version);
        self.store.put_document(
            self.version,
            &[(route(0), SERVICES[0]), (route(1), SERVICES[1]), (own, SERVICES[0])],
        );
    }

    async fn until_all_ready(&mut self, within: Duration) -> io::Result<bool> {
        let begin = Instant::now();
        while begin.elapsed() < within {
            self.tend().await?;
            let mut ready = 0;
            for instance in &self.instances {
                ready += usize::from(instance::is_ready(instance.ready()).await);
            }
            if ready == self.instances.len() {
                return Ok(true);
            }
            tokio::time::sleep(STEP).await;
        }
        Ok(false)
    }

    /// Brings about the plan's faults, and lets the last of them end.
    async fn play(&mut self, plan: &Plan) -> io::Result<()> {
        let begin = Instant::now();
        for (at, fault) in &plan.faults {
            while begin.elapsed() < *at {
                self.tend().await?;
                tokio::time::sleep(STEP).await;
            }
            log::info!("soak: {:.1} s: {fault:?}", at.as_secs_f64());
            self.bring_about(*fault).await?;
        }
        while !self.ends.is_empty() {
            self.tend().await?;
            tokio::time::sleep(STEP).await;
        }
        Ok(())
    }

    async fn bring_about(&mut self, fault: Fault) -> io::Result<()> {
        let now = Instant::now();
        match fault {
            Fault::Kill(index) => self.instances[index].kill().await,
            Fault::Terminate(index) => self.instances[index].terminate().await,
            Fault::Reload(index) => self.instances[index].signal("HUP").await,
            Fault::Pause(index, span) => {
                self.instances[index].signal("STOP").await;
                self.ends.push((now + span, End::Resume(index)));
            }
            Fault::KillAll => {
                for instance in &mut self.instances {
                    instance.kill().await;
                }
            }
            Fault::Way(index, way, span) => {
                self.proxies[index].set(way);
                self.ends.push((now + span, End::Open(index)));
            }
            Fault::Store(refusal, span) => {
                self.store.set_fault(match refusal {
                    Refusal::Busy => StoreFault::Busy,
                    Refusal::Many => StoreFault::Many,
                    Refusal::Silent => StoreFault::Silent,
                });
                self.ends.push((now + span, End::Serve));
            }
            Fault::Compact => self.store.compact(),
            Fault::Crash(index) => self.upstreams.crash(index, &self.store).await?,
            Fault::Leave(index) => self.upstreams.leave(index, &self.store).await?,
            Fault::Document => self.write_document(),
        }
        self.calm_since = Instant::now();
        Ok(())
    }

    /// Ends faults whose time is up, starts processes that have ended, and keeps the routers' rotation.
    async fn tend(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let over: Vec<_> = self.ends.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, end) in over {
            self.calm_since = now;
            match end {
                End::Resume(index) => self.instances[index].signal("CONT").await,
                End::Open(index) => self.proxies[index].set(Way::Open),
                End::Serve => self.store.set_fault(StoreFault::None),
            }
        }
        for instance in &mut self.instances {
            let starts = instance.starts;
            instance.tend(&self.book)?;
            if instance.starts > starts {
                self.calm_since = now;
            }
        }
        if !self.ends.is_empty() {
            self.calm_since = now;
        }
        self.upstreams.tend(&self.store, self.calm_since, &self.book);
        if now >= self.next_probe {
            self.next_probe = now + PROBE;
            self.probe().await;
        }
        Ok(())
    }

    /// Takes instances out of rotation after two misses. With none left, all are used.
    async fn probe(&mut self) {
        let mut probes = JoinSet::new();
        for (index, instance) in self.instances.iter().enumerate() {
            let address = instance.ready();
            probes.spawn(async move { (index, instance::is_ready(address).await) });
        }
        while let Some(Ok((index, is_ready))) = probes.join_next().await {
            self.misses[index] = if is_ready { 0 } else { self.misses[index] + 1 };
        }
        let all: Vec<_> = self.instances.iter().map(Instance::packets).collect();
        let used = all.iter().zip(&self.misses).filter(|(_, misses)| **misses < 2);
        let used: Vec<_> = used.map(|(address, _)| *address).collect();
        self.router.set(if used.is_empty() { all } else { used });
    }

    /// After the last fault every instance holds the newest document, serves, and drains as promised.
    async fn recover(&mut self, prober: &mut Client) -> io::Result<()> {
        if !self.until_all_ready(RECOVERY).await? {
            self.book
                .add(Violation::Unserved("an instance is not ready".to_owned()));
        }
        self.write_document();
        self.upstreams.leave(0, &self.store).await?;
        let calm = Instant::now();
        while calm.elapsed() < LEAVES_AFTER {
            self.tend().await?;
            tokio::time::sleep(STEP).await;
        }
        for index in 0..self.instances.len() {
            let through = self.instances[index].packets();
            let name = self.instances[index].name().to_owned();
            let new = self.see(prober, self.version, through).await?;
            let old = self.see(prober, self.version - 1, through).await?;
            if new != Seen::Opened || old != Seen::Reset {
                let text = format!("{name} holds an old one: newest {new:?}, the one before {old:?}");
                self.book.add(Violation::Document(text));
            }
        }
        Ok(())
    }

    /// What a flow to a document's own route meets. Lost datagrams are sent again.
    async fn see(&mut self, prober: &mut Client, version: u64, through: std::net::SocketAddr) -> io::Result<Seen> {
        for _ in 0..10 {
            let seen = prober.open(own_route(version), through).await?;
            if seen != Seen::Nothing {
                return Ok(seen);
            }
            self.tend().await?;
        }
        Ok(Seen::Nothing)
    }
}
