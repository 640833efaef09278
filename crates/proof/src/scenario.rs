//! The scenario language: what an operator writes, and what a run answers.
//!
//! A scenario is a list of directives. `docs/PROOFS.md` describes them. Each gives a text that the scenario's file
//! holds as the expected one.

use std::fmt::Display;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use units::Revision;
use units::ServiceName;
use units::Slots;

use crate::directive::Directive;
use crate::directive::ScenarioError;
use crate::directive::misread;
use crate::directive::read;
use crate::directive::read_caller;
use crate::directive::read_span;
use crate::fault::Fault;
use crate::instance::InstanceSpec;
use crate::job::JobId;
use crate::plan::Plan;
use crate::plan::ServicePlan;
use crate::plan::UpstreamPlan;
use crate::random;
use crate::upstream::UpstreamSpec;
use crate::violation::Violation;
use crate::world::World;

/// The seed of scenarios that give none.
const SEED: u64 = 1;
/// How long callers wait in scenarios that do not say.
const TIMEOUT: Duration = Duration::from_secs(4);
/// The length of an answer in scenarios that do not say.
const ANSWER_LEN: u32 = 60;

/// A scenario that is being run.
#[derive(Debug)]
pub struct Scenario {
    world: World,
    plan: Plan,
    broken: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            world: World::new(SEED),
            plan: Plan::default(),
            broken: false,
        }
    }
}

impl Scenario {
    /// Carries out a directive and gives what it says.
    ///
    /// A broken promise is said at the directive in which it broke, and ends the scenario.
    pub fn take(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        if self.broken && !matches!(directive.name, "world" | "fleet") {
            return Ok("a promise was broken before\n".to_owned());
        }
        match directive.name {
            "world" => self.begin(directive),
            "fleet" => self.begin_fleet(directive),
            "services" => self.add_services(directive),
            "instances" => self.add_instances(directive),
            "upstreams" => self.add_upstreams(directive),
            "plan" => self.change_plan(directive),
            "approve" => Ok(self.approve()),
            "race" => Ok(self.race()),
            "callers" => self.add_callers(directive),
            "load" => self.load(directive),
            "ask" => self.ask(directive),
            "close" => self.close(directive),
            "fault" => self.upset(directive),
            "run" => self.run(directive),
            "told" => self.told(directive),
            "served" => self.served(directive),
            "ended" => Ok(self.ended()),
            "in-force" => Ok(self.in_force()),
            "quiet" => Ok(self.quiet()),
            other => Err(ScenarioError(format!("no such directive: {other}"))),
        }
    }

    fn begin(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        *self = Self {
            world: World::new(directive.value("seed", SEED)?),
            ..Self::default()
        };
        let lifetime = directive.span("token-lifetime", Duration::from_hours(1))?;
        self.world.set_token_lifetime(lifetime);
        Ok(String::new())
    }

    /// The fleet of the randomised runs.
    fn begin_fleet(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        self.begin(directive)?;
        self.plan = random::plan();
        let outcome = random::populate(&mut self.world).and_then(|()| self.world.run_for(random::SETTLE));
        Ok(self.say(outcome))
    }

    fn add_services(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        for line in directive.lines() {
            let (name, address, pinned) = match line.as_slice() {
                [name, address] => (name, address, false),
                [name, address, "pinned"] => (name, address, true),
                other => return Err(misread(other)),
            };
            self.plan.services.push(ServicePlan {
                name: read(name, "a service")?,
                address: read(address, "an address")?,
                pinned,
            });
        }
        Ok(String::new())
    }

    fn add_instances(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        for line in directive.lines() {
            let (name, zone, down) = match line.as_slice() {
                [name, zone] => (name, zone, false),
                [name, zone, "down"] => (name, zone, true),
                other => return Err(misread(other)),
            };
            let spec = InstanceSpec {
                name: read(name, "an instance")?,
                zone: read(zone, "a zone")?,
                address: self.address(0, 7_000),
            };
            if !self.plan.zones.contains(&spec.zone) {
                self.plan.zones.push(spec.zone.clone());
            }
            let name = spec.name.clone();
            self.world.add_instance(spec);
            if !down {
                self.world.start(&name);
            }
        }
        Ok(String::new())
    }

    fn add_upstreams(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        for line in directive.lines() {
            let [name, zone, service, slots] = line.as_slice() else {
                return Err(misread(&line));
            };
            let spec = UpstreamSpec {
                name: read(name, "an upstream")?,
                zone: read(zone, "a zone")?,
                service: read(service, "a service")?,
                address: self.address(1, 8_000),
                slots: Slots(read(slots, "slots")?),
            };
            if !self.plan.zones.contains(&spec.zone) {
                self.plan.zones.push(spec.zone.clone());
            }
            self.world.add_upstream(spec.clone());
            self.plan.upstreams.push(UpstreamPlan { spec, draining: false });
        }
        Ok(String::new())
    }

    fn address(&self, net: u8, port: u16) -> SocketAddr {
        let host = self.world.population() as u8 + 1;
        SocketAddr::new(Ipv4Addr::new(10, net, 0, host).into(), port)
    }

    fn change_plan(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        for line in directive.lines() {
            match line.as_slice() {
                ["drain", name] => self.set_draining(name, true)?,
                ["undrain", name] => self.set_draining(name, false)?,
                ["add", name] => self.add_again(name)?,
                ["remove", name] => self.plan.upstreams.retain(|u| u.spec.name.as_str() != *name),
                ["pin", name] => self.set_pinned(name, true),
                ["unpin", name] => self.set_pinned(name, false),
                ["swap", a, b] => self.swap(a, b)?,
                other => return Err(misread(other)),
            }
        }
        Ok(String::new())
    }

    /// Names an upstream again that was removed.
    fn add_again(&mut self, name: &str) -> Result<(), ScenarioError> {
        let spec = self.world.upstream(&read(name, "an upstream")?);
        let spec = spec.ok_or_else(|| misread(&[name]))?;
        self.plan.upstreams.push(UpstreamPlan { spec, draining: false });
        Ok(())
    }

    fn set_draining(&mut self, name: &str, draining: bool) -> Result<(), ScenarioError> {
        let upstream = self.plan.upstream_mut(&read(name, "an upstream")?);
        upstream.ok_or_else(|| misread(&[name]))?.draining = draining;
        Ok(())
    }

    fn set_pinned(&mut self, name: &str, pinned: bool) {
        for service in &mut self.plan.services {
            service.pinned = if service.name.as_str() == name {
                pinned
            } else {
                service.pinned
            };
        }
    }

    fn swap(&mut self, a: &str, b: &str) -> Result<(), ScenarioError> {
        let position = |name: &str| {
            self.plan
                .services
                .iter()
                .position(|service| service.name.as_str() == name)
        };
        let a = position(a).ok_or_else(|| misread(&[a]))?;
        let b = position(b).ok_or_else(|| misread(&[b]))?;
        let address = self.plan.services[a].address;
        self.plan.services[a].address = self.plan.services[b].address;
        self.plan.services[b].address = address;
        Ok(())
    }

    fn approve(&mut self) -> String {
        match self.world.approve(self.plan.clone()) {
            Ok(()) => format!("revision {}\n", self.world.revision().unwrap_or_default()),
            Err(violation) => self.say_broken(&violation),
        }
    }

    /// Two operators change the document from the same revision.
    fn race(&mut self) -> String {
        let base = self.world.revision();
        let mut text = String::new();
        for author in ["Ruth", "Wim"] {
            match self.world.approve_from(base, self.plan.clone(), author) {
                Ok(()) => add(&mut text, format_args!("{author} wins")),
                Err(conflict) => {
                    let winner = conflict
                        .text
                        .lines()
                        .find(|line| line.contains("author"))
                        .unwrap_or_default();
                    add(
                        &mut text,
                        format_args!("{author} loses to revision {}: {winner}", conflict.current),
                    );
                }
            }
        }
        text
    }

    fn add_callers(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        let service: ServiceName = directive.value("service", "availability".parse().expect("it is a name"))?;
        let count = directive.value("count", 1)?;
        let ids: Vec<String> = (0..count)
            .map(|_| format!("c{}", self.world.add_caller(&service)))
            .collect();
        Ok(format!("{}\n", ids.join(" ")))
    }

    fn load(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        let every = directive.span("every", Duration::from_millis(100))?;
        let span = directive.span("for", Duration::from_secs(10))?;
        for caller in 1..=self.world.callers() {
            self.world.load(caller, every, span);
        }
        Ok(String::new())
    }

    fn ask(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        let timeout = directive.span("timeout", TIMEOUT)?;
        let len = directive.value("len", ANSWER_LEN)?;
        let mut text = String::new();
        for line in directive.lines() {
            let [caller, kind] = line.as_slice() else {
                return Err(misread(&line));
            };
            match self.world.ask(read_caller(caller)?, kind, len, timeout) {
                Ok(job) => add(&mut text, job),
                Err(violation) => return Ok(self.say_broken(&violation)),
            }
        }
        Ok(text)
    }

    fn close(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        let outcome = self.world.close(read_caller(directive.word()?)?);
        Ok(self.say(outcome))
    }

    fn upset(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        for line in directive.input.lines() {
            let fault: Fault = read(line, "a fault")?;
            if let Err(violation) = self.world.upset(fault) {
                return Ok(self.say_broken(&violation));
            }
        }
        Ok(String::new())
    }

    fn run(&mut self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        let outcome = self.world.run_for(read_span(directive.word()?)?);
        Ok(self.say(outcome))
    }

    fn told(&self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        let mut text = String::new();
        for line in directive.lines() {
            for word in line {
                let job: JobId = word.parse().map_err(|_| misread(&[word]))?;
                add(&mut text, format_args!("{job} {}", self.world.told(job)));
            }
        }
        Ok(text)
    }

    /// Whether lives of upstreams have been given work.
    fn served(&self, directive: &Directive<'_>) -> Result<String, ScenarioError> {
        let mut text = String::new();
        for line in directive.lines() {
            let [name, life] = line.as_slice() else {
                return Err(misread(&line));
            };
            let served = self.world.served(&read(name, "an upstream")?, read(life, "a life")?);
            let word = if served { "has served" } else { "has not served" };
            add(&mut text, format_args!("life {life} of {name} {word}"));
        }
        Ok(text)
    }

    /// How everything that was asked for has ended, in words that do not depend on timing.
    fn ended(&self) -> String {
        let summary = self.world.summary();
        let some = |count| if count == 0 { "none" } else { "some" };
        let broken = if self.world.planned_only() {
            some(summary.may_have_run)
        } else {
            "not ruled out by these faults"
        };
        let mut text = String::new();
        add(&mut text, format_args!("answered: {}", some(summary.answered)));
        add(&mut text, format_args!("broken: {broken}"));
        add(&mut text, format_args!("without an end: {}", some(summary.open)));
        add(&mut text, format_args!("most runs of one hold: {}", summary.most_runs));
        text
    }

    fn in_force(&self) -> String {
        let mut text = String::new();
        for (name, revision) in self.world.in_force() {
            let revision = revision.map_or_else(|| "none".to_owned(), |revision: Revision| revision.to_string());
            add(&mut text, format_args!("{name} {revision}"));
        }
        text
    }

    fn quiet(&mut self) -> String {
        let outcome = self.world.quiet();
        self.say(outcome)
    }

    fn say(&mut self, outcome: Result<(), Violation>) -> String {
        match outcome {
            Ok(()) => String::new(),
            Err(violation) => self.say_broken(&violation),
        }
    }

    fn say_broken(&mut self, violation: &Violation) -> String {
        self.broken = true;
        format!("{}\n", self.world.report(violation))
    }
}

fn add(text: &mut String, line: impl Display) {
    text.push_str(&line.to_string());
    text.push('\n');
}
