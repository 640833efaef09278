//! A whole system as separate processes on ports that the operating system gives. Each process is ended by its id.

#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod process;

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

pub use process::Process;
pub use process::jayquay;

/// How long a condition is awaited.
const PATIENCE: Duration = Duration::from_secs(30);
/// How often a condition is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// The secret of this fleet.
const SECRET: &str = "a test on loopback needs no secret worth keeping";
/// The availability zones.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// An entry instance and its name.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its process.
    pub process: Process,
}

/// Fleets run one after the other, so that they do not slow one another down.
static TURN: Mutex<()> = Mutex::new(());

/// A whole system.
pub struct Fleet {
    _turn: MutexGuard<'static, ()>,
    folder: PathBuf,
    platform: Process,
    fabric: Process,
    /// The upstreams of both services.
    pub upstreams: Vec<Process>,
    /// The instances that run.
    pub instances: Vec<Instance>,
    started: usize,
}

impl Fleet {
    /// Starts everything, brings a document into force as an operator would, and waits until the instances serve.
    pub fn start(test: &str) -> Self {
        // A test that failed leaves nothing behind that the next one would meet.
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&folder).expect("the folder for tests can be written");
        let platform = Process::stand_in(&["platform"]);
        let address = platform.text("/address");
        let services = ["availability", "availability", "photos"];
        let upstreams = services.iter().enumerate().map(|(number, service)| {
            let name = format!("{service}-{number}");
            Process::stand_in(&[
                "upstream",
                "--name",
                &name,
                "--service",
                service,
                "--platform",
                &address,
            ])
        });
        let any = "127.0.0.1:0";
        let mut fleet = Self {
            _turn: turn,
            upstreams: upstreams.collect(),
            fabric: Process::stand_in(&["fabric", "--listen", any, "--listen", any]),
            platform,
            folder,
            instances: Vec::new(),
            started: 0,
        };
        fleet.apply_document();
        for _ in ZONES {
            fleet.start_instance();
        }
        fleet.wait_until_ready();
        fleet.spray();
        fleet
    }

    fn apply_document(&self) {
        let path = self.folder.join("document.yaml");
        fs::write(&path, self.document()).expect("the folder for tests can be written");
        let path = path.to_str().expect("the path is text");
        let platform = self.platform.text("/address");
        let output = jayquay(&["config", "apply", "--from", "0", "--platform", &platform, path]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "the document was refused: {stderr}");
    }

    fn document(&self) -> String {
        let mut text = String::from("revision: 1\nchange: {author: ann, approver: bob, reason: \"a test\"}\nzones:\n");
        for zone in ZONES {
            writeln!(text, "  - {{name: {zone}, region: test}}").expect("a string takes every write");
        }
        text.push_str("services:\n");
        let kinds = "[{name: read, weight: 1, idempotent: true}, {name: hold, weight: 5, idempotent: false}]";
        for (number, service) in ["availability", "photos"].iter().enumerate() {
            let address = self.address(number);
            writeln!(
                text,
                "  - name: {service}\n    addresses: [\"{address}\"]\n    sharing: {{}}\n    kinds: {kinds}"
            )
            .expect("a string takes every write");
            text.push_str("    upstreams:\n");
            let own = self
                .upstreams
                .iter()
                .filter(|upstream| upstream.text("/name").starts_with(service));
            for upstream in own {
                let name = upstream.text("/name");
                let address = upstream.text("/address");
                writeln!(
                    text,
                    "      - {{name: {name}, zone: zone-a, address: \"{address}\", slots: 2}}"
                )
                .expect("a string takes every write");
            }
        }
        text
    }

    fn start_instance(&mut self) {
        let zone = ZONES[self.started % ZONES.len()];
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let platform = self.platform.text("/address");
        let settings = format!(
            "name: {name}\nzone: {zone}\nlisten: {{callers: \"127.0.0.1:0\", instances: \"127.0.0.1:0\", \
             admin: \"127.0.0.1:0\"}}\nplatform: [\"{platform}\"]\nsecrets: {{current: \"{SECRET}\"}}\n\
             stop-within-ms: 10000\n"
        );
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("the folder for tests can be written");
        let process = Process::instance(&path);
        self.instances.push(Instance { name, process });
    }

    /// Waits until every instance serves and knows all others.
    fn wait_until_ready(&self) {
        let known = format!("{:?}", "Alive");
        for instance in &self.instances {
            wait_for("every instance serves", || {
                let ready = instance.process.get("/admin", "/ready").is_some();
                let status = instance.process.get("/admin", "/status").unwrap_or_default();
                ready && status.to_string().matches(&known).count() >= self.instances.len()
            });
        }
    }

    /// Where the platform is.
    pub fn platform_address(&self) -> String {
        self.platform.text("/address")
    }

    /// Lets the fabric spray over the present instances.
    pub fn spray(&self) {
        let callers = self.instances.iter().map(|instance| instance.process.text("/callers"));
        self.fabric.put("/control", "/instances", &callers.collect::<Vec<_>>());
    }

    /// Lets the fabric lose, double, delay and reorder packets from now on.
    pub fn disturb(&self, behaviour: &Value) {
        self.fabric.put("/control", "/behaviour", behaviour);
    }

    /// How many packets the fabric disturbed so far.
    pub fn disturbed(&self) -> u64 {
        let counts = self.fabric.get("/control", "/counts").expect("the fabric serves");
        let count = |name: &str| counts[name].as_u64().expect("the fabric counts this");
        count("lost") + count("doubled") + count("delayed") + count("reordered")
    }

    /// Whether every instance that is left holds this one for dead.
    pub fn is_held_for_dead(&self, name: &str) -> bool {
        self.instances.iter().all(|instance| {
            let status = instance.process.get("/admin", "/status").unwrap_or_default();
            let members = status["node"]["members"].as_array().cloned().unwrap_or_default();
            let member = members.iter().find(|member| member["name"] == name);
            member.is_none_or(|member| member["state"] == "Dead")
        })
    }

    /// Where packets of the first or the second service are sent.
    pub fn address(&self, service: usize) -> SocketAddr {
        let text = self.fabric.text(&format!("/services/{service}"));
        text.parse().expect("the fabric prints addresses")
    }

    /// Takes the instance out of the fleet that owns the flows of a service.
    pub fn take_home(&mut self, service: &str) -> Instance {
        let status = self.instances[0]
            .process
            .get("/admin", "/status")
            .expect("the instance serves");
        let homes = status["node"]["homes"].as_array().expect("the status tells the homes");
        let home = homes
            .iter()
            .find(|home| home["service"] == service)
            .expect("the service has a home");
        let index = self
            .instances
            .iter()
            .position(|instance| home["home"] == instance.name.as_str());
        self.instances.remove(index.expect("the home is an instance"))
    }

    /// Lets a new instance join and the oldest one stop. The fabric learns of the stop once it is over.
    pub fn replace_oldest(&mut self) {
        self.start_instance();
        self.wait_until_ready();
        self.spray();
        let mut old = self.instances.remove(0);
        old.process.signal("-TERM");
        let status = old.process.wait();
        assert_eq!(
            status.code(),
            Some(0),
            "the planned stop of {} left something in doubt",
            old.name
        );
        self.spray();
    }

    /// How many requests the upstreams answered so far.
    pub fn answered(&self) -> u64 {
        let counts = self
            .upstreams
            .iter()
            .map(|upstream| upstream.get("/control", "/counts"));
        counts.flatten().filter_map(|counts| counts["answered"].as_u64()).sum()
    }

    /// How often each request ran at the upstreams, with the digest of its body.
    pub fn runs(&self) -> Vec<(String, u64)> {
        let runs = self
            .upstreams
            .iter()
            .filter_map(|upstream| upstream.get("/control", "/runs"));
        let runs = runs.flat_map(|runs| runs.as_array().cloned().unwrap_or_default());
        runs.map(|run| (string(&run["body"]), run["runs"].as_u64().unwrap_or(0)))
            .collect()
    }

    /// How many requests of another service reached an upstream.
    pub fn violations(&self) -> u64 {
        let counts = self
            .upstreams
            .iter()
            .map(|upstream| upstream.get("/control", "/counts"));
        let counts = counts.map(|counts| counts.expect("the upstream serves")["violations"].as_u64());
        counts.map(|count| count.expect("violations are counted")).sum()
    }
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        std::thread::sleep(LOOK_EVERY);
    }
}

fn string(value: &Value) -> String {
    value.as_str().expect("this is text").to_owned()
}
