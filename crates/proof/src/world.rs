//! The seeded world around pure nodes: virtual time, a queue of what will happen, and fakes at every interface.
//!
//! It knows no sockets, threads or clocks. A run is a function of its seed and of what is done to it. What must
//! always hold is checked at each step.

use std::collections::BTreeMap;
use std::time::Duration;

use node::CallId;
use node::Event;
use node::Peer;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use token::Keyring;
use token::Secret;
use units::Incarnation;
use units::InstanceName;
use units::Time;
use units::UpstreamName;

use crate::book::Book;
use crate::book::Summary;
use crate::driver::Driver;
use crate::fabric::Fabric;
use crate::fabric::millis;
use crate::fault::Cuts;
use crate::flight::Flight;
use crate::instance::Instance;
use crate::instance::InstanceSpec;
use crate::instance::Life;
use crate::job::JobId;
use crate::plan::Plan;
use crate::platform::Platform;
use crate::session::Link;
use crate::session::Sessions;
use crate::trace::Trace;
use crate::upstream::Upstream;
use crate::upstream::UpstreamSpec;
use crate::violation::Promise;
use crate::violation::Violation;

/// When a run begins. It is late enough for every span that a node subtracts.
const START: Time = Time(1_000_000_000);
/// How far the clocks of instances are apart at most, in milliseconds.
const MAX_SKEW_MS: u64 = 2_000;
/// How many low bits of an incarnation are random.
const RANDOM_BITS: u32 = 20;
/// How long tokens live.
const TOKEN_LIFETIME: Duration = Duration::from_hours(1);
/// How long a planned stop may take.
pub(crate) const STOP_WITHIN: Duration = Duration::from_secs(10);
/// How often the standing checks are made.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// Names a call everywhere.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallRef {
    pub(crate) by: InstanceName,
    pub(crate) incarnation: Incarnation,
    pub(crate) id: CallId,
}

/// What will happen.
#[derive(Debug)]
pub(crate) enum Happening {
    /// An instance's clock ticks.
    Tick(Peer),
    /// Something reaches an instance.
    Event(Peer, Box<Event>),
    /// A datagram reaches whatever instance the fabric picks.
    Packet(std::net::SocketAddr, Vec<u8>),
    /// A datagram reaches a caller.
    Reply(u32, Vec<u8>),
    /// A frame may have arrived.
    Frame(Link),
    /// The two ends of a session notice that it is broken.
    Break(Peer, Peer),
    /// The two ends of a session that is still cut off notice it.
    Unjoined(Peer, Peer),
    /// A call reaches an upstream.
    Arrive(CallRef),
    /// A connection could not be made.
    Unreached(CallRef),
    /// An upstream has done its work.
    Finish(CallRef),
    /// A call's deadline passes at the caller's end.
    Expire(CallRef),
    /// An upstream is asked for its report.
    Poll(Peer, UpstreamName, std::net::SocketAddr),
    /// An instance turns to the platform.
    Platform(Peer),
    /// A caller's flow wants a tick.
    Wake(u32),
    /// A caller wants something.
    Ask(u32),
    /// The platform keeps its list, and the standing checks are made.
    Check,
}

/// The world.
#[derive(Debug)]
pub struct World {
    pub(crate) seed: u64,
    pub(crate) now: Time,
    pub(crate) rng: StdRng,
    pub(crate) queue: crate::queue::Queue<Happening>,
    pub(crate) plan: Plan,
    pub(crate) cuts: Cuts,
    pub(crate) fabric: Fabric,
    pub(crate) sessions: Sessions,
    pub(crate) platform: Platform,
    pub(crate) instances: BTreeMap<InstanceName, Instance>,
    pub(crate) upstreams: BTreeMap<UpstreamName, Upstream>,
    pub(crate) drivers: Vec<Driver>,
    pub(crate) flights: BTreeMap<CallRef, Flight>,
    pub(crate) signs: BTreeMap<(UpstreamName, Incarnation), Time>,
    pub(crate) document_signs: BTreeMap<UpstreamName, Time>,
    pub(crate) cut_since: Time,
    pub(crate) secrets: (u8, u8),
    pub(crate) token_lifetime: Duration,
    pub(crate) book: Book,
    pub(crate) trace: Trace,
}

impl World {
    /// An empty world.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            seed,
            now: START,
            rng: StdRng::seed_from_u64(seed),
            queue: crate::queue::Queue::default(),
            plan: Plan::default(),
            cuts: Cuts::default(),
            fabric: Fabric::default(),
            sessions: Sessions::default(),
            platform: Platform::default(),
            instances: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            drivers: Vec::new(),
            flights: BTreeMap::new(),
            signs: BTreeMap::new(),
            document_signs: BTreeMap::new(),
            cut_since: START,
            secrets: (1, 2),
            token_lifetime: TOKEN_LIFETIME,
            book: Book::default(),
            trace: Trace::default(),
        };
        world.book.planned_only = true;
        world.queue.push(START, Happening::Check);
        world
    }

    /// How long the run has lasted.
    pub fn elapsed(&self) -> Duration {
        self.now.since(START)
    }

    /// How the operations so far ended.
    pub fn summary(&self) -> Summary {
        self.book.summary()
    }

    /// How one operation ended.
    pub fn told(&self, job: JobId) -> String {
        self.book.told(job)
    }

    /// A report on a violation: the seed, what broke, and the last things that happened to that operation.
    pub fn report(&self, violation: &Violation) -> String {
        let trace = self.trace.about(violation.job);
        format!("seed {}, at {}: {violation}\n{trace}", self.seed, violation.at)
    }

    /// Sets how long tokens live that later lives of instances issue.
    pub fn set_token_lifetime(&mut self, lifetime: Duration) {
        self.token_lifetime = lifetime;
    }

    /// Adds an instance, which does not run yet.
    pub fn add_instance(&mut self, spec: InstanceSpec) {
        let instance = Instance {
            spec,
            life: None,
            lives: 0,
            lease: None,
            ended: START,
        };
        self.instances.insert(instance.spec.name.clone(), instance);
    }

    /// Adds an upstream, which runs already. The document does not name it yet.
    pub fn add_upstream(&mut self, spec: UpstreamSpec) {
        self.upstreams.insert(spec.name.clone(), Upstream::new(spec));
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Duration) -> Result<(), Violation> {
        let end = self.now + span;
        while self.queue.next_at().is_some_and(|at| at <= end) {
            let Some((at, happening)) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.happen(happening)?;
        }
        self.now = end;
        Ok(())
    }

    fn happen(&mut self, happening: Happening) -> Result<(), Violation> {
        match happening {
            Happening::Tick(peer) => self.tick(&peer),
            Happening::Event(peer, event) => self.feed(&peer, *event),
            Happening::Packet(from, bytes) => self.spray(from, bytes),
            Happening::Reply(caller, bytes) => self.reply(caller, bytes),
            Happening::Frame(link) => self.receive_frame(&link),
            Happening::Break(a, b) => self.break_session(&a, &b),
            Happening::Unjoined(a, b) => self.unjoined(&a, &b),
            Happening::Arrive(call) => self.arrive(call),
            Happening::Unreached(call) => self.unreached(&call),
            Happening::Finish(call) => self.finish(&call),
            Happening::Expire(call) => self.expire(&call),
            Happening::Poll(peer, name, address) => self.poll(&peer, name, address),
            Happening::Platform(peer) => self.turn_to_platform(peer),
            Happening::Wake(caller) => self.wake(caller),
            Happening::Ask(caller) => self.ask_by_itself(caller),
            Happening::Check => self.check(),
        }
    }

    pub(crate) fn note(&mut self, job: Option<JobId>, text: String) {
        self.trace.add(self.now, job, text);
    }

    pub(crate) fn violation(&self, promise: Promise, job: Option<JobId>, text: String) -> Violation {
        Violation {
            promise,
            at: self.now,
            job,
            text,
        }
    }

    /// Begins a new life of an instance.
    pub(crate) fn start(&mut self, name: &InstanceName) {
        let keyring = self.keyring();
        let skew = millis(&mut self.rng, 0, MAX_SKEW_MS);
        let seed = self.rng.random();
        let now = self.now;
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        if instance.life.is_some() {
            return;
        }
        instance.lives += 1;
        // A life's number is the time of its start and random bits, as the daemon makes it.
        let random: u64 = self.rng.random_range(0..1 << RANDOM_BITS);
        let incarnation = Incarnation((now.0 / 1_000) << RANDOM_BITS | random);
        let setup = node::NodeConfig {
            name: name.clone(),
            incarnation,
            zone: instance.spec.zone.clone(),
            address: instance.spec.address,
            keyring,
            limits: node::Limits::default(),
            stop_within: STOP_WITHIN,
            seed,
        };
        let life = Life {
            node: node::Node::new(setup, now + skew),
            incarnation,
            skew,
            frozen: false,
            backlog: std::collections::VecDeque::new(),
            watching: false,
            platform: None,
            listed: None,
            in_force: None,
            stopping: None,
            calm_since: now,
            awake_since: now,
        };
        instance.life = Some(life);
        instance.lease = Some((incarnation, None));
        let peer = Peer {
            name: name.clone(),
            incarnation,
        };
        for link in self.sessions.of(name) {
            self.close_session(&link);
        }
        self.queue.push(now, Happening::Tick(peer.clone()));
        self.introduce(&peer);
    }

    fn keyring(&self) -> Keyring {
        let secret = |number: u8| -> Secret {
            let text = format!("a secret of the proofs, number {number:03}");
            text.parse().expect("it is long enough")
        };
        Keyring::new(&secret(self.secrets.0), &[secret(self.secrets.1)], self.token_lifetime)
    }

    fn tick(&mut self, peer: &Peer) -> Result<(), Violation> {
        let alive = self
            .instances
            .get_mut(&peer.name)
            .is_some_and(|i| i.life_of(peer.incarnation).is_some());
        if !alive {
            return Ok(());
        }
        self.queue
            .push(self.now + node::MAX_TICK_INTERVAL, Happening::Tick(peer.clone()));
        self.feed(peer, Event::Tick)
    }

    /// Gives an event to a life, if it has not ended, and carries out what its node wants.
    pub(crate) fn feed(&mut self, peer: &Peer, event: Event) -> Result<(), Violation> {
        self.note_signs(peer, &event);
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&peer.name) else {
            return Ok(());
        };
        let Some(life) = instance.life_of(peer.incarnation) else {
            return Ok(());
        };
        let actions = life.feed(now, event);
        for action in actions {
            self.act(peer, action)?;
        }
        Ok(())
    }

    /// The standing checks, and the platform's list as it is now.
    fn check(&mut self) -> Result<(), Violation> {
        self.queue.push(self.now + CHECK_EVERY, Happening::Check);
        let list = self.listed();
        self.platform.keep(self.now, list);
        self.check_in_force()?;
        self.check_stops()?;
        self.book.check_ends(self.now, CHECK_EVERY)
    }
}
