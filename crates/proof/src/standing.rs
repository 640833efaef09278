//! The standing checks: documents in force, leaving upstreams, planned stops, and that all is well after a quiet time.

use std::time::Duration;

use node::Call;
use node::CallId;
use node::CallResult;
use node::Event;
use node::Listed;
use node::Peer;
use units::Incarnation;
use units::Revision;
use units::UpstreamName;

use crate::violation::Promise;
use crate::violation::Violation;
use crate::world::CallRef;
use crate::world::STOP_WITHIN;
use crate::world::World;

/// How soon an accepted document is in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
/// How soon a leaving upstream gets no new work.
const LEAVING_WITHIN: Duration = Duration::from_secs(3);
/// How much later than its bound a planned stop may end: a tick of the node, and one of this check.
const STOP_MARGIN: Duration = Duration::from_millis(150);

impl World {
    /// Notes that an instance gets to know that an upstream leaves.
    pub(crate) fn note_signs(&mut self, peer: &Peer, event: &Event) {
        let life = self.instances.get(&peer.name).and_then(|i| i.life.as_ref());
        if life.is_none_or(|life| life.frozen || life.incarnation != peer.incarnation) {
            return;
        }
        match event {
            Event::CallEnded(id, CallResult::Draining) => self.note_call_sign(peer, *id),
            Event::PollEnded(name, Ok(report)) if report.draining => {
                self.note_sign(peer, name.clone(), report.incarnation);
            }
            Event::InstanceList(list) => self.note_list_signs(peer, list),
            _ => {}
        }
    }

    fn note_call_sign(&mut self, peer: &Peer, id: CallId) {
        let call = CallRef {
            by: peer.name.clone(),
            incarnation: peer.incarnation,
            id,
        };
        let upstream = self.called(&call).and_then(|name| self.upstreams.get(&name));
        if let Some(upstream) = upstream {
            self.note_sign(peer, upstream.spec.name.clone(), upstream.incarnation);
        }
    }

    fn note_list_signs(&mut self, peer: &Peer, list: &[Listed]) {
        for listed in list {
            let Listed::Upstream {
                name,
                incarnation,
                leaving: true,
            } = listed
            else {
                continue;
            };
            self.note_sign(peer, name.clone(), *incarnation);
        }
    }

    /// Notes the upstreams that a document in force says are draining.
    pub(crate) fn note_document_signs(&mut self, peer: &Peer, revision: Revision) {
        if self.platform.revision() != Some(revision) {
            return;
        }
        let draining = self.plan.upstreams.iter().filter(|upstream| upstream.draining);
        let names: Vec<UpstreamName> = draining.map(|upstream| upstream.spec.name.clone()).collect();
        for name in names {
            if !self.sign_counts(peer, &name) {
                continue;
            }
            let now = self.now;
            self.document_signs.entry(name).or_insert(now);
        }
    }

    /// A later document may give an upstream work again.
    pub(crate) fn withdraw_document_signs(&mut self) {
        let draining = |name: &UpstreamName| self.plan.upstreams.iter().any(|u| u.draining && &u.spec.name == name);
        self.document_signs.retain(|name, _| draining(name));
    }

    fn note_sign(&mut self, peer: &Peer, name: UpstreamName, incarnation: Incarnation) {
        if !self.sign_counts(peer, &name) {
            return;
        }
        let now = self.now;
        self.signs.entry((name, incarnation)).or_insert(now);
    }

    /// A sign counts where it is seen in the upstream's own zone, or anywhere while no zone is cut off.
    fn sign_counts(&self, peer: &Peer, name: &UpstreamName) -> bool {
        let seen_in = self.instances.get(&peer.name).map(|instance| &instance.spec.zone);
        let zone = self.upstreams.get(name).map(|upstream| &upstream.spec.zone);
        !self.cuts.any() || seen_in == zone
    }

    /// No call goes to an upstream whose leaving has been known for long enough.
    pub(crate) fn check_leaving(&self, peer: &Peer, call: &Call) -> Result<(), Violation> {
        let target = self
            .upstream_at(call.address)
            .and_then(|name| self.upstreams.get(&name));
        let instance = self.instances.get(&peer.name);
        let Some((upstream, instance)) = target.zip(instance) else {
            return Ok(());
        };
        let name = (upstream.spec.name.clone(), upstream.incarnation);
        let signs = [self.signs.get(&name), self.document_signs.get(&name.0)];
        let Some(sign) = signs.into_iter().flatten().min() else {
            return Ok(());
        };
        if self.cuts.any() && instance.spec.zone != upstream.spec.zone {
            return Ok(());
        }
        let awake = instance.life.as_ref().map_or(*sign, |life| life.awake_since);
        let known = (*sign).max(awake).max(self.cut_since);
        if self.now.since(known) <= LEAVING_WITHIN {
            return Ok(());
        }
        let ago = self.now.since(*sign).as_millis();
        let text = format!(
            "{} calls {} {ago} ms after a sign that it leaves",
            peer.name, call.upstream
        );
        Err(self.violation(Promise::LeavingUpstream, None, text))
    }

    /// Every instance that reaches the platform has the accepted document in force.
    pub(crate) fn check_in_force(&self) -> Result<(), Violation> {
        let Some(accepted) = self.platform.accepted.last() else {
            return Ok(());
        };
        for (name, instance) in &self.instances {
            let Some(life) = &instance.life else {
                continue;
            };
            if life.frozen || life.stopping.is_some() || !self.platform_reached(name) {
                continue;
            }
            let since = accepted.at.max(life.calm_since);
            if self.now.since(since) < IN_FORCE_WITHIN || life.in_force >= Some(accepted.revision) {
                continue;
            }
            let text = format!("{name} has {:?} in force, not {}", life.in_force, accepted.revision);
            return Err(self.violation(Promise::InForce, None, text));
        }
        Ok(())
    }

    /// A planned stop leaves nothing in progress, unless it has taken all its time.
    pub(crate) fn check_nothing_cut(&self, peer: &Peer, left: usize) -> Result<(), Violation> {
        let life = self
            .instances
            .get(&peer.name)
            .and_then(|instance| instance.life.as_ref());
        let stopping = life.and_then(|life| life.stopping);
        let early = stopping.is_some_and(|at| self.now.since(at) < STOP_WITHIN);
        if left == 0 || !early {
            return Ok(());
        }
        let text = format!("{} ends early with {left} requests in progress", peer.name);
        Err(self.violation(Promise::GracefulStop, None, text))
    }

    /// Every planned stop ends in time.
    pub(crate) fn check_stops(&self) -> Result<(), Violation> {
        for (name, instance) in &self.instances {
            let Some(life) = &instance.life else {
                continue;
            };
            let Some(stopping) = life.stopping else {
                continue;
            };
            let since = stopping.max(life.awake_since);
            if life.frozen || self.now.since(since) <= STOP_WITHIN + STOP_MARGIN {
                continue;
            }
            let text = format!("{name} has not ended its planned stop");
            return Err(self.violation(Promise::GracefulStop, None, text));
        }
        Ok(())
    }
}
