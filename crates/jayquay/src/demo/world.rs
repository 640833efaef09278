//! Everything that stands around the callers: stand-ins and instances.

use std::fmt::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use config::Advertise;
use config::Limits;
use config::Listen;
use config::Secrets;
use config::Settings;
use jayquayd::ExitReason;
use node::Stage;
use standin::fabric;
use standin::platform;
use standin::upstream;
use standin::upstream::Behaviour;
use standin::upstream::ServiceTime;
use token::Secret;
use tokio::time::Instant;
use units::Bytes;
use units::InstanceName;
use units::Millis;
use units::ServiceName;
use units::Slots;
use units::ZoneName;
use wire::MemberState;

use crate::demo::error::Error;

/// How long the instances may take to be ready.
const READY_WITHIN: Duration = Duration::from_secs(8);
/// How often the instances are asked.
const ASK_EVERY: Duration = Duration::from_millis(20);
/// How long a planned stop may take.
const STOP_WITHIN: Duration = Duration::from_secs(5);
/// The availability zones, in which instances and upstreams stand in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The secret of this fleet of one process.
const SECRET: &str = "a demo on loopback needs no secret worth keeping";

/// A service of the demo.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// Its kinds of request, as the document lists them.
    pub kinds: &'static str,
    /// How long a request takes on average.
    pub mean: Millis,
    /// How long an answer is.
    pub answer_len: Bytes,
}

/// The services: one with short answers, and holds that must not run twice; one with long answers.
pub const SERVICES: [Service; 2] = [
    Service {
        name: "availability",
        kinds: "[{name: read, weight: 1, idempotent: true}, {name: hold, weight: 5, idempotent: false}]",
        mean: Millis(8),
        answer_len: Bytes(300),
    },
    Service {
        name: "photos",
        kinds: "[{name: sheet, weight: 2, idempotent: true}]",
        mean: Millis(15),
        answer_len: Bytes(40_000),
    },
];

/// How many upstreams each service has.
const UPSTREAMS: usize = 2;

/// An upstream of the demo.
#[derive(Debug)]
pub struct Upstream {
    /// The service whose requests it runs.
    pub service: ServiceName,
    /// Its name.
    pub name: String,
    /// The stand-in.
    pub handle: upstream::Handle,
    /// How many requests it had run when the drain began, while all upstreams were equal.
    pub runs_before_drain: u64,
}

/// An instance of the demo.
#[derive(Debug)]
struct Instance {
    name: InstanceName,
    handle: jayquayd::Handle,
}

/// Everything that stands around the callers.
#[derive(Debug)]
pub struct World {
    platform: platform::Handle,
    fabric: fabric::Handle,
    /// The upstreams of all services.
    pub upstreams: Vec<Upstream>,
    instances: Vec<Instance>,
    started: usize,
    /// How the replaced instance ended.
    pub replaced: Option<ExitReason>,
    /// The upstream that drains.
    pub draining: Option<usize>,
}

impl World {
    /// Starts everything and waits until the instances serve.
    pub async fn start(instances: usize, seed: u64) -> Result<Self, Error> {
        let platform = platform::start(platform::Options::default()).await?;
        let mut options = fabric::Options::new(SERVICES.len());
        options.seed = seed;
        let fabric = fabric::start(options).await?;
        let mut world = Self {
            platform,
            fabric,
            upstreams: Vec::new(),
            instances: Vec::new(),
            started: 0,
            replaced: None,
            draining: None,
        };
        world.start_upstreams(seed).await?;
        let text = world.document();
        config::parse(&text).expect("the demo's document passes the checks");
        world.platform.put_document(text);
        for _ in 0..instances {
            world.start_instance().await?;
        }
        world.wait_until_ready().await?;
        world.spray();
        Ok(world)
    }

    async fn start_upstreams(&mut self, seed: u64) -> Result<(), Error> {
        for service in SERVICES {
            for number in 1..=UPSTREAMS {
                let name = format!("{}-{number}", service.name);
                let mut options = upstream::Options::new(valid(&name), valid(service.name));
                options.service_time = ServiceTime::Lognormal {
                    mean: service.mean,
                    sigma: 0.5,
                };
                options.answer_len = service.answer_len;
                options.seed = seed.wrapping_add(number as u64);
                options.platform = vec![self.platform.address()];
                self.upstreams.push(Upstream {
                    service: valid(service.name),
                    name,
                    handle: upstream::start(options).await?,
                    runs_before_drain: 0,
                });
            }
        }
        Ok(())
    }

    /// The configuration document of what runs here.
    fn document(&self) -> String {
        let mut text = String::new();
        add(&mut text, "revision: 1");
        add(
            &mut text,
            "change: {author: ann, approver: bob, reason: \"Show the system at work\"}",
        );
        add(&mut text, "zones:");
        for zone in ZONES {
            add(&mut text, &format!("  - {{name: {zone}, region: demo}}"));
        }
        add(&mut text, "services:");
        for (service, address) in SERVICES.iter().zip(self.fabric.services()) {
            add(&mut text, &format!("  - name: {}", service.name));
            add(&mut text, &format!("    addresses: [\"{address}\"]"));
            add(&mut text, "    sharing: {affinity: request, queue-limit: 50}");
            add(&mut text, &format!("    kinds: {}", service.kinds));
            add(&mut text, "    upstreams:");
            let own = self
                .upstreams
                .iter()
                .filter(|upstream| upstream.service.as_str() == service.name);
            for (upstream, zone) in own.zip(ZONES) {
                let name = &upstream.name;
                let address = upstream.handle.address();
                let slots = Slots(2);
                add(
                    &mut text,
                    &format!("      - {{name: {name}, zone: {zone}, address: \"{address}\", slots: {slots}}}"),
                );
            }
        }
        text
    }

    async fn start_instance(&mut self) -> Result<(), Error> {
        let zone = ZONES[self.started % ZONES.len()];
        self.started += 1;
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let name: InstanceName = valid(&format!("entry-{}", self.started));
        let zone: ZoneName = valid(zone);
        let current: Secret = SECRET.parse().expect("the secret is long enough");
        let settings = Settings {
            name: name.clone(),
            zone,
            listen: Listen {
                callers: any,
                instances: any,
                admin: any,
            },
            advertise: Advertise::default(),
            platform: vec![self.platform.address()],
            peers: Vec::new(),
            secrets: Secrets {
                current,
                previous: Vec::new(),
            },
            limits: Limits::default(),
            stop_within: STOP_WITHIN,
            token_lifetime: Duration::from_hours(1),
        };
        let handle = jayquayd::start(&settings, None).await?;
        self.instances.push(Instance { name, handle });
        Ok(())
    }

    /// Waits until every instance serves and knows all others.
    async fn wait_until_ready(&self) -> Result<(), Error> {
        let deadline = Instant::now() + READY_WITHIN;
        for instance in &self.instances {
            while !self.is_ready(instance).await {
                if Instant::now() > deadline {
                    return Err(Error::NotReady);
                }
                tokio::time::sleep(ASK_EVERY).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, instance: &Instance) -> bool {
        let Some(status) = instance.handle.status().await else {
            return false;
        };
        let alive = status
            .members
            .iter()
            .filter(|member| member.state == MemberState::Alive);
        status.stage == Stage::Serving && status.revision.is_some() && alive.count() >= self.instances.len()
    }

    /// Lets the fabric spray over the present instances.
    fn spray(&self) {
        let addresses = self.instances.iter().map(|one| one.handle.addresses().callers);
        self.fabric.set_instances(addresses.collect());
    }

    /// Where callers send packets of a service, which is the address that they dial too.
    pub fn address(&self, service: usize) -> SocketAddr {
        self.fabric.services()[service]
    }

    /// Replaces the instance that owns the flows of the first service: a new one joins, then the old one stops
    /// gracefully. The fabric learns of the stop only once it is over, as it does in the field.
    pub async fn replace_instance(&mut self) -> Result<(), Error> {
        let home = self.home().await?;
        self.start_instance().await?;
        self.wait_until_ready().await?;
        self.spray();
        let index = self.instances.iter().position(|instance| instance.name == home);
        let mut old = self.instances.remove(index.ok_or(Error::NotReady)?);
        old.handle.stop().await;
        self.replaced = Some(old.handle.ended().await);
        self.spray();
        Ok(())
    }

    /// The home of the first service.
    async fn home(&self) -> Result<InstanceName, Error> {
        let status = self.instances[0].handle.status().await.ok_or(Error::NotReady)?;
        let mut homes = status.homes.into_iter();
        let home = homes.find(|home| home.service.as_str() == SERVICES[0].name);
        home.and_then(|home| home.home).ok_or(Error::NotReady)
    }

    /// Lets the first upstream take no more new work.
    pub async fn drain_upstream(&mut self) {
        for upstream in &mut self.upstreams {
            upstream.runs_before_drain = upstream.handle.counts().runs;
        }
        let draining = Behaviour {
            draining: true,
            ..Behaviour::default()
        };
        self.upstreams[0].handle.behave(draining).await;
        self.draining = Some(0);
    }
}

fn add(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("a string takes every write");
}

/// A name that stands in this file and is known to be valid.
fn valid<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the name is valid")
}
