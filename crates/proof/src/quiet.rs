//! What must hold after a quiet time: everybody is served, nothing is left over, and all views are equal.

use std::collections::BTreeMap;
use std::time::Duration;

use node::Stage;
use node::Status;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::UpstreamName;
use wire::MemberState;

use crate::job::JobId;
use crate::violation::Promise;
use crate::violation::Violation;
use crate::world::World;

/// How long the quiet time is before everybody is asked.
const QUIET: Duration = Duration::from_secs(15);
/// How long the callers' last requests may take, and what they leave behind may stay.
const LAST: Duration = Duration::from_secs(6);
/// How long callers wait for the answer to their last request.
const TIMEOUT: Duration = Duration::from_secs(4);

/// What all instances must agree on.
#[derive(Debug, PartialEq, Eq)]
struct View {
    revision: Option<Revision>,
    digest: Option<String>,
    alive: Vec<(InstanceName, Incarnation)>,
    homes: Vec<(String, Option<InstanceName>)>,
}

impl From<&Status> for View {
    fn from(status: &Status) -> Self {
        let alive = status
            .members
            .iter()
            .filter(|member| member.state == MemberState::Alive);
        let homes = status
            .homes
            .iter()
            .map(|home| (home.service.to_string(), home.home.clone()));
        Self {
            revision: status.revision,
            digest: status.digest.clone(),
            alive: alive.map(|member| (member.name.clone(), member.incarnation)).collect(),
            homes: homes.collect(),
        }
    }
}

impl World {
    /// Lets a quiet time pass and checks that all is well.
    pub fn quiet(&mut self) -> Result<(), Violation> {
        self.run_for(QUIET)?;
        // A caller whose owner has gone is told so once, and gets a new token with that.
        self.ask_all()?;
        for (job, told) in self.ask_all()? {
            if told != "answered" {
                let text = format!("after a quiet time, operation {job} ends: {told}");
                return Err(self.violation(Promise::Convergence, Some(job), text));
            }
        }
        self.check_views()?;
        self.check_leftovers()
    }

    /// Lets every caller ask for something, and tells how it ended.
    fn ask_all(&mut self) -> Result<Vec<(JobId, String)>, Violation> {
        let mut jobs = Vec::new();
        for caller in 1..=self.callers() {
            jobs.push(self.ask(caller, "read", 60, TIMEOUT)?);
        }
        self.run_for(LAST)?;
        Ok(jobs.into_iter().map(|job| (job, self.told(job))).collect())
    }

    fn statuses(&self) -> BTreeMap<InstanceName, Status> {
        let mut found = BTreeMap::new();
        for (name, instance) in &self.instances {
            if let Some(life) = &instance.life {
                found.insert(name.clone(), life.node.status(self.now + life.skew));
            }
        }
        found
    }

    fn check_views(&self) -> Result<(), Violation> {
        let mut running: Vec<(InstanceName, Incarnation)> = Vec::new();
        for instance in self.instances.values() {
            running.extend(instance.peer().map(|peer| (peer.name, peer.incarnation)));
        }
        let statuses = self.statuses();
        let Some(first) = statuses.values().next().map(View::from) else {
            return Ok(());
        };
        for (name, status) in &statuses {
            let view = View::from(status);
            if status.stage != Stage::Serving {
                return Err(self.unsettled(format!("{name} is {:?}", status.stage)));
            }
            if view.alive != running {
                let text = format!("{name} sees {:?}, but {running:?} are running", view.alive);
                return Err(self.unsettled(text));
            }
            if view != first {
                return Err(self.unsettled(format!("{name} sees {view:?}, another {first:?}")));
            }
            if status.revision != self.platform.revision() {
                let text = format!(
                    "{name} has {:?} in force, not {:?}",
                    status.revision,
                    self.platform.revision()
                );
                return Err(self.unsettled(text));
            }
        }
        Ok(())
    }

    fn check_leftovers(&self) -> Result<(), Violation> {
        for (name, status) in &self.statuses() {
            if status.requests > 0 {
                return Err(self.unsettled(format!("{name} has {} requests in progress", status.requests)));
            }
            for line in &status.upstreams {
                if line.busy > 0 {
                    let text = format!(
                        "{name} believes that {} slots of {} are in use",
                        line.busy, line.upstream
                    );
                    return Err(self.unsettled(text));
                }
            }
        }
        let busy: Vec<&UpstreamName> = self
            .upstreams
            .values()
            .filter(|upstream| upstream.busy > 0)
            .map(|upstream| &upstream.spec.name)
            .collect();
        if !busy.is_empty() {
            return Err(self.unsettled(format!("{busy:?} still run requests")));
        }
        Ok(())
    }

    fn unsettled(&self, text: String) -> Violation {
        self.violation(Promise::Convergence, None, text)
    }
}
