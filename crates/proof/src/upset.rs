//! Bringing faults about.

use std::time::Duration;

use node::Event;
use node::Peer;
use rand::RngExt;
use units::InstanceName;
use units::Time;
use units::UpstreamName;
use units::ZoneName;

use crate::fabric::hit;
use crate::fabric::millis;
use crate::fault::Fault;
use crate::fault::PlatformState;
use crate::instance::Instance;
use crate::plan::Plan;
use crate::platform::Conflict;
use crate::violation::Promise;
use crate::violation::Violation;
use crate::world::CallRef;
use crate::world::Happening;
use crate::world::World;

impl World {
    /// Brings a fault about.
    pub fn upset(&mut self, fault: Fault) -> Result<(), Violation> {
        self.note(None, format!("fault: {fault:?}"));
        self.book.planned_only &= fault.is_planned();
        match fault {
            Fault::Kill(name) => self.kill(&name, Duration::from_millis(20)),
            Fault::Vanish(name) => self.kill(&name, Duration::from_secs(3)),
            Fault::Freeze(name) => self.freeze(&name),
            Fault::Resume(name) => return self.resume(&name),
            Fault::Stop(name) => return self.stop(&name),
            Fault::Start(name) => self.start(&name),
            Fault::Drain(name) => self.with_upstream(&name, |upstream| upstream.draining = true),
            Fault::ListLeaving(name) => self.with_upstream(&name, |upstream| upstream.listed_leaving = true),
            Fault::KillUpstream(name) => {
                self.with_upstream(&name, crate::upstream::Upstream::kill);
                return self.fail_runs(&name);
            }
            Fault::StartUpstream(name) => {
                let now = self.now;
                self.with_upstream(&name, |upstream| upstream.restart(now));
            }
            Fault::Behave(name, behaviour) => self.with_upstream(&name, |upstream| upstream.behaviour = behaviour),
            Fault::Fabric(mishap, percent) => self.fabric.set(mishap, percent),
            Fault::Cut(a, b) => self.cut(&a, &b),
            Fault::Join(a, b) => return self.join(&a, &b),
            Fault::CutPlatform(zone) => self.cuts.set_platform(&zone, true),
            Fault::JoinPlatform(zone) => {
                self.cuts.set_platform(&zone, false);
                self.calm(Self::platform_reached);
            }
            Fault::Platform(state) => self.set_platform(state),
            Fault::Load(millis) => self.set_pace(Duration::from_millis(millis)),
            Fault::Secrets(current, also) => self.secrets = (current, also),
        }
        Ok(())
    }

    fn set_platform(&mut self, state: PlatformState) {
        let before = std::mem::replace(&mut self.platform.state, state);
        let shows_all = |state| !matches!(state, PlatformState::Down | PlatformState::Stale);
        if !shows_all(state) || shows_all(before) {
            return;
        }
        self.calm(Self::platform_reached);
        self.tell_watchers();
    }

    /// Gives every watching instance the present document. Updates arrive unevenly.
    fn tell_watchers(&mut self) {
        let Some(accepted) = self.platform.accepted.last().cloned() else {
            return;
        };
        let has_watch = |instance: &&Instance| instance.life.as_ref().is_some_and(|life| life.watching);
        let watching = self.instances.values().filter(has_watch);
        let watchers: Vec<Peer> = watching.filter_map(Instance::peer).collect();
        for peer in watchers {
            if !self.platform_reached(&peer.name) {
                continue;
            }
            let delay = millis(&mut self.rng, 5, 800) + self.platform.delay();
            let event = Box::new(Event::DocumentLoaded(accepted.revision, accepted.text.clone()));
            self.queue.push(self.now + delay, Happening::Event(peer, event));
        }
    }

    fn with_upstream(&mut self, name: &UpstreamName, change: impl FnOnce(&mut crate::upstream::Upstream)) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            change(upstream);
        }
    }

    /// Lets the span for which instances have reached everything begin anew where `affected` says so.
    fn calm(&mut self, affected: impl Fn(&Self, &InstanceName) -> bool) {
        let names: Vec<InstanceName> = self.instances.keys().cloned().collect();
        for name in names {
            if !affected(self, &name) {
                continue;
            }
            let now = self.now;
            if let Some(life) = self.instances.get_mut(&name).and_then(|i| i.life.as_mut()) {
                life.calm_since = now;
            }
        }
    }

    fn kill(&mut self, name: &InstanceName, noticed_after: Duration) {
        self.end_life(name);
        for link in self.sessions.of(name) {
            let kept = self.rng.random_range(0..=self.sessions.waiting(&link));
            self.sessions.truncate(&link, kept);
            self.sessions.truncate(&link.back(), 0);
        }
        let at = self.now + noticed_after;
        self.break_sessions_at(name, at);
    }

    /// Ends a process. Its connections to upstreams close; what runs there goes on.
    pub(crate) fn end_life(&mut self, name: &InstanceName) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let Some(life) = instance.life.take() else {
            return;
        };
        instance.ended = life.stopping.unwrap_or(now);
        let planned = life.stopping.is_some();
        let mine = |call: &&CallRef| &call.by == name && call.incarnation == life.incarnation;
        let calls: Vec<CallRef> = self.flights.keys().filter(mine).cloned().collect();
        for call in calls {
            self.cancel(&call);
        }
        self.lapse_lease(name, planned);
    }

    /// Lets the peers of an ended process notice that at some time.
    pub(crate) fn break_sessions_at(&mut self, name: &InstanceName, at: Time) {
        for link in self.sessions.of(name) {
            if let Some((a, b)) = self.sessions.ends(&link) {
                self.queue.push(at, Happening::Break(a, b));
            }
        }
    }

    fn freeze(&mut self, name: &InstanceName) {
        if let Some(life) = self.instances.get_mut(name).and_then(|i| i.life.as_mut()) {
            life.frozen = true;
        }
    }

    /// A frozen process goes on: its clock jumps, and what the kernel kept comes all at once.
    fn resume(&mut self, name: &InstanceName) -> Result<(), Violation> {
        let tick_first = hit(&mut self.rng, 50);
        let now = self.now;
        let Some(instance) = self.instances.get_mut(name) else {
            return Ok(());
        };
        let Some(peer) = instance.peer() else {
            return Ok(());
        };
        let Some(life) = instance.life.as_mut().filter(|life| life.frozen) else {
            return Ok(());
        };
        life.frozen = false;
        life.calm_since = now;
        life.awake_since = now;
        let backlog = std::mem::take(&mut life.backlog);
        if tick_first {
            self.feed(&peer, Event::Tick)?;
        }
        for event in backlog {
            self.feed(&peer, event)?;
        }
        Ok(())
    }

    fn stop(&mut self, name: &InstanceName) -> Result<(), Violation> {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(name) else {
            return Ok(());
        };
        let Some(peer) = instance.peer() else {
            return Ok(());
        };
        let Some(life) = instance.life.as_mut().filter(|life| !life.frozen) else {
            return Ok(());
        };
        if life.stopping.replace(now).is_some() {
            return Ok(());
        }
        self.feed(&peer, Event::Stop)
    }

    fn cut(&mut self, a: &ZoneName, b: &ZoneName) {
        self.cuts.set(a, b, true);
        self.cut_since = self.now;
        for link in self.sessions.links() {
            let Some((one, other)) = self.sessions.ends(&link) else {
                continue;
            };
            if self.reaches(&link.from, &link.to) || link.from > link.to {
                continue;
            }
            // Each connection notices after a timeout of its own, unless it is joined again before.
            let wait = millis(&mut self.rng, 1_000, 4_000);
            self.queue.push(self.now + wait, Happening::Unjoined(one, other));
        }
    }

    /// The ends of a session that is cut off notice it.
    pub(crate) fn unjoined(&mut self, a: &Peer, b: &Peer) -> Result<(), Violation> {
        if self.reaches(&a.name, &b.name) {
            return Ok(());
        }
        self.break_session(a, b)
    }

    fn join(&mut self, a: &ZoneName, b: &ZoneName) -> Result<(), Violation> {
        self.cuts.set(a, b, false);
        self.cut_since = self.now;
        self.calm(|_, _| true);
        for link in self.sessions.links() {
            self.receive_frame(&link)?;
        }
        Ok(())
    }

    /// An operator changes the document: a conditional update from the revision that is there.
    pub fn approve(&mut self, plan: Plan) -> Result<(), Violation> {
        let base = self.platform.revision();
        let outcome = self.approve_from(base, plan, "Ruth");
        match outcome {
            Ok(()) => Ok(()),
            Err(conflict) => {
                let text = format!("an update from {base:?} loses to {}", conflict.current);
                Err(self.violation(Promise::InForce, None, text))
            }
        }
    }

    /// An operator's conditional update from the revision that was reviewed.
    pub fn approve_from(&mut self, base: Option<units::Revision>, plan: Plan, author: &str) -> Result<(), Conflict> {
        let next = base.map_or(units::Revision(1), units::Revision::next);
        let text = plan.text(next, author);
        let revision = self.platform.apply(self.now, base, text)?;
        self.note(None, format!("{author} approves revision {revision}"));
        self.plan = plan;
        self.withdraw_document_signs();
        self.tell_watchers();
        Ok(())
    }

    /// The plan in force, to be changed and approved.
    pub fn plan(&self) -> Plan {
        self.plan.clone()
    }
}
