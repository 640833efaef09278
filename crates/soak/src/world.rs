//! What a soak runs: instances, upstreams, the store and the ways between them, and the faults that they meet.

use std::collections::VecDeque;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use adapter_standin::Fault as StoreFault;
use adapter_standin::Snapshot;
use adapter_standin::Store;
use tokio::task::JoinSet;

use crate::burst;
use crate::burst::Burst;
use crate::clients::Router;
use crate::instance;
use crate::instance::Instance;
use crate::instance::Place;
use crate::instance::Ports;
use crate::mesh::Mesh;
use crate::options::Options;
use crate::plan::Cut;
use crate::plan::Fault;
use crate::plan::OLDEST_COPY;
use crate::plan::Plan;
use crate::plan::Refusal;
use crate::plan::Way;
use crate::proxy::Proxy;
use crate::upstreams::Upstreams;
use crate::violation::Book;
use crate::violation::Violation;

/// The zones, each with instances and upstreams.
pub(crate) const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// The services, each with upstreams in each zone.
pub(crate) const SERVICES: [&str; 2] = ["search", "photos"];
/// How often processes are looked after, and faults begin and end.
pub(crate) const STEP: Duration = Duration::from_millis(50);
/// How often routers ask instances whether they are ready.
const PROBE: Duration = Duration::from_millis(500);
/// How long a start may take before traffic begins.
const START: Duration = Duration::from_secs(20);

/// How often the store is copied.
const COPY: Duration = Duration::from_millis(250);
/// How long it takes until what a store has lost is written again.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(1_200);

/// Time without faults before an opening from which on a refusal is a violation: the bound for a change of upstreams to
/// take effect.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Time with a free slot at an upstream before an opening from which on a refusal is a violation: instances use no view
/// of the load that is older.
const FREE_FOR: Duration = Duration::from_secs(1);

/// The part of the loopback network where instances' proxies are.
const PROXIES: u8 = 5;

/// A fault that ends by itself later.
#[derive(Debug, Clone, Copy)]
enum End {
    Resume(usize),
    Open(usize),
    Heal(Cut),
    /// An upstream's service time is set back.
    RestoreSpeed(usize),
    /// A burst ends.
    StopBurst,
    Serve,
    /// The store comes back from a copy of so long ago.
    Return(Duration),
    /// What was lost by that is written again.
    WriteAgain,
}

pub(crate) struct World {
    pub(crate) store: Store,
    proxies: Vec<Proxy>,
    mesh: Mesh,
    pub(crate) instances: Vec<Instance>,
    pub(crate) upstreams: Upstreams,
    pub(crate) router: Router,
    pub(crate) book: Book,
    /// The bursts, if there are any.
    pub(crate) burst: Option<Burst>,
    ends: Vec<(Instant, End)>,
    /// Copies of the store, the oldest first.
    copies: VecDeque<(Instant, Snapshot)>,
    pub(crate) version: u64,
    /// When the last disturbance of instances or of the store ended.
    calm_since: Instant,
    next_probe: Instant,
    misses: Vec<u32>,
}

/// The route of a service. A document has these, and one more that is its own.
pub(crate) fn route(service: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(198, 18, 0, 1),
        443 + u16::try_from(service).expect("two services"),
    )
}

/// The urgent route to the first service, in a soak with bursts.
pub(crate) fn urgent_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 440)
}

/// The route that only this document has.
pub(crate) fn own_route(version: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), u16::try_from(version).unwrap_or(u16::MAX))
}

impl World {
    pub(crate) async fn start(
        options: &Options,
        ip: &impl Fn(u8, usize) -> Ipv4Addr,
        ports: Ports,
    ) -> io::Result<Self> {
        let store = Store::start().await?;
        let mut upstreams = Upstreams::new(ip(3, 0), ports.packets, options.bursts.then_some(burst::LIMITS));
        for service in SERVICES {
            for zone in ZONES {
                upstreams.add(&store, service, zone).await?;
                upstreams.add(&store, service, zone).await?;
            }
        }
        let mut mesh = Mesh::default();
        let mut proxies = Vec::new();
        let mut instances = Vec::new();
        for (number, zone) in ZONES
            .into_iter()
            .cycle()
            .take(ZONES.len() * options.instances)
            .enumerate()
        {
            let proxy = Proxy::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), store.address()).await?;
            let name = format!("entry-{number}");
            let place = Place {
                ip: ip(1, number),
                advertised: ip(PROXIES, number),
            };
            let outside = (proxy.address(), ip(PROXIES, 0));
            let advertised = SocketAddr::from((place.advertised, ports.peers));
            mesh.add(zone, advertised, SocketAddr::from((place.ip, ports.peers)))
                .await?;
            instances.push(Instance::start(
                &options.binary,
                &options.folder,
                (&name, zone),
                (place, ports),
                outside,
            )?);
            proxies.push(proxy);
        }
        let mut world = Self {
            misses: vec![0; instances.len()],
            store,
            proxies,
            mesh,
            instances,
            upstreams,
            router: Router::default(),
            book: Book::new(),
            burst: options.bursts.then(Burst::default),
            ends: Vec::new(),
            copies: VecDeque::new(),
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

    pub(crate) fn write_document(&mut self) {
        self.version += 1;
        self.put_document();
    }

    fn put_document(&self) {
        let own = own_route(self.version);
        let mut routes = vec![
            (route(0), SERVICES[0], 2),
            (route(1), SERVICES[1], 2),
            (own, SERVICES[0], 2),
        ];
        let mut limits = Vec::new();
        if self.burst.is_some() {
            routes.push((urgent_route(), SERVICES[0], 0));
            limits.extend(SERVICES.map(|service| (service, burst::MAX_CONNS)));
        }
        self.store.put_limited_document(self.version, &routes, &limits);
    }

    pub(crate) async fn until_all_ready(&mut self, within: Duration) -> io::Result<bool> {
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
    pub(crate) async fn play(&mut self, plan: &Plan) -> io::Result<()> {
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
            Fault::Cut(cut, span) => {
                self.mesh.begin(cut);
                self.ends.push((now + span, End::Heal(cut)));
            }
            Fault::Store(refusal, span) => {
                self.store.set_fault(match refusal {
                    Refusal::Busy => StoreFault::Unavailable,
                    Refusal::Many => StoreFault::TooManyRequests,
                    Refusal::Silent => StoreFault::NoResponse,
                });
                self.ends.push((now + span, End::Serve));
            }
            Fault::Compact => self.store.compact(),
            Fault::Return(away, age) => {
                self.store.set_fault(StoreFault::Unavailable);
                self.ends.push((now + away, End::Return(age)));
            }
            Fault::Crash(index) => self.upstreams.crash(index, &self.store).await?,
            Fault::Leave(index) => self.upstreams.leave(index, &self.store).await?,
            Fault::Document => self.write_document(),
            Fault::Slow(index, span) => {
                self.upstreams.set_service_time(index, Some(burst::SLOW_SERVICE_TIME));
                self.ends.push((now + span, End::RestoreSpeed(index)));
            }
            Fault::Burst(span) => {
                self.burst.iter().for_each(|burst| burst.set(true));
                self.ends.push((now + span, End::StopBurst));
            }
        }
        self.calm_since = Instant::now();
        Ok(())
    }

    /// The store serves again, as it was some time ago.
    fn come_back(&self, now: Instant, age: Duration) {
        let is_old = |(at, _): &&(Instant, Snapshot)| now.duration_since(*at) >= age;
        let copy = self.copies.iter().rfind(is_old).or(self.copies.front());
        if let Some((_, copy)) = copy {
            self.store.restore_snapshot(copy);
        }
        self.store.set_fault(StoreFault::None);
    }

    /// Copies the store now and then.
    fn copy(&mut self, now: Instant) {
        if self.copies.back().is_some_and(|(at, _)| now.duration_since(*at) < COPY) {
            return;
        }
        self.copies.push_back((now, self.store.snapshot()));
        let is_old = |(at, _): &(Instant, Snapshot)| now.duration_since(*at) > OLDEST_COPY;
        if self.copies.front().is_some_and(is_old) {
            self.copies.pop_front();
        }
    }

    /// Ends faults whose time is up, starts processes that have ended, and keeps the routers' rotation.
    pub(crate) async fn tend(&mut self) -> io::Result<()> {
        let now = Instant::now();
        self.copy(now);
        let over: Vec<_> = self.ends.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, end) in over {
            self.calm_since = now;
            match end {
                End::Resume(index) => self.instances[index].signal("CONT").await,
                End::Open(index) => self.proxies[index].set(Way::Open),
                End::Heal(cut) => self.mesh.end(cut),
                End::RestoreSpeed(index) => self.upstreams.set_service_time(index, None),
                End::StopBurst => self.burst.iter().for_each(|burst| burst.set(false)),
                End::Serve => self.store.set_fault(StoreFault::None),
                End::Return(age) => {
                    self.come_back(now, age);
                    self.ends.push((now + WRITTEN_AGAIN_AFTER, End::WriteAgain));
                }
                End::WriteAgain => {
                    self.upstreams.write_again(&self.store);
                    self.put_document();
                }
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
        self.check_refusals();
        if now >= self.next_probe {
            self.next_probe = now + PROBE;
            self.probe().await;
        }
        Ok(())
    }

    /// Records as violations the refusals without a recent fault while an upstream had a free slot.
    fn check_refusals(&self) {
        let refusals = self.burst.as_ref().map(Burst::take_refusals).unwrap_or_default();
        for refusal in refusals {
            let free_since = refusal.began.checked_sub(FREE_FOR);
            let Some(free_since) = free_since.filter(|_| refusal.began > self.calm_since + SETTLED_AFTER) else {
                continue;
            };
            if let Some(id) = self.upstreams.free_since(refusal.service, free_since) {
                self.book
                    .add(Violation::Refused(format!("upstream {id} of {}", refusal.service)));
            }
        }
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
}
