//! The other instances: which are alive, which is the home of a service, and the reaction to changes of the view.

use std::net::SocketAddr;
use std::time::Duration;

use membership::Output;
use membership::Standing;
use rand::RngExt;
use token::Claims;
use units::Incarnation;
use units::InstanceName;
use units::ServiceName;
use units::Time;
use wire::Frame;
use wire::InstanceIncarnation;
use wire::Reason;
use wire::TicketId;

use crate::Action;
use crate::FlowKey;
use crate::Listed;
use crate::Node;
use crate::Peer;
use crate::Record;
use crate::RequestState;
use crate::node::Context;
use crate::ticket::Phase;

/// How long a node that has met another instance is given to learn of the rest.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(500);
/// How long a node that has met no other instance waits before it serves alone.
const DISCOVERY_PERIOD_ALONE: Duration = Duration::from_secs(2);

/// The location of the owner of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OwnerLocation {
    /// This node is the owner.
    Local,
    /// This instance is the owner.
    Remote(Peer, SocketAddr),
    /// The owner is not known to this node.
    Unknown,
    /// The owner is gone, and no instance holds its ledgers.
    Gone,
}

impl Node {
    /// Whether this node owns the flows of an incarnation: its own, or one whose ledgers it has taken over.
    pub(crate) fn owns(&self, name: &InstanceName, incarnation: Incarnation) -> bool {
        if incarnation == self.local.incarnation && *name == self.local.name {
            return true;
        }
        // Most nodes have inherited nothing. This avoids cloning the name for each packet.
        if self.inherited.is_empty() {
            return false;
        }
        let name = name.clone();
        self.inherited.contains_key(&InstanceIncarnation { name, incarnation })
    }

    /// Locates the owner of a flow.
    pub(crate) fn locate(&self, claims: &Claims) -> OwnerLocation {
        if self.owns(&claims.owner, claims.incarnation) {
            return match self.stop.successor() {
                Some(successor) => self.locate_successor(successor),
                // No successor holds the ledgers, and the process is about to exit.
                None if self.stop.has_ended() => OwnerLocation::Gone,
                None => OwnerLocation::Local,
            };
        }
        self.locate_incarnation(&claims.owner, claims.incarnation)
    }

    /// Locates the current holder of the ledgers that were handed over to this successor.
    pub(crate) fn locate_successor(&self, successor: &Peer) -> OwnerLocation {
        match self.locate_incarnation(&successor.name, successor.incarnation) {
            OwnerLocation::Unknown => OwnerLocation::Gone,
            place => place,
        }
    }

    /// Locates an incarnation, or the holder of its ledgers, in the current view.
    fn locate_incarnation(&self, name: &InstanceName, incarnation: Incarnation) -> OwnerLocation {
        match self.membership.standing(name, incarnation) {
            Standing::Alive(member)
            | Standing::Suspect(member)
            | Standing::Leaving(member)
            | Standing::Succeeded(member) => {
                let peer = Peer {
                    name: member.name.clone(),
                    incarnation: member.incarnation,
                };
                OwnerLocation::Remote(peer, member.address)
            }
            // A successor record that names this node counts only once the ledgers have arrived.
            Standing::Me | Standing::SucceededByMe | Standing::Unknown => OwnerLocation::Unknown,
            Standing::Gone => OwnerLocation::Gone,
        }
    }

    /// The home of a service in the current view.
    pub(crate) fn find_home(&mut self, service: &ServiceName) -> Option<(Peer, SocketAddr)> {
        if let Some(home) = self.home_cache.get(service) {
            return home.clone();
        }
        let document = self.documents.current();
        let region = document.and_then(|document| document.region(&self.zone));
        let in_region = |zone: &units::ZoneName| document.and_then(|document| document.region(zone)) == region;
        let member = self.membership.home(service, in_region);
        let home = member.map(|member| {
            let peer = Peer {
                name: member.name.clone(),
                incarnation: member.incarnation,
            };
            (peer, member.address)
        });
        self.home_cache.insert(service.clone(), home.clone());
        home
    }

    /// Whether this node has had enough time to discover the other instances.
    pub(crate) fn is_discovery_complete(&self, now: Time) -> bool {
        let age = now.since(self.started);
        let alone = self.membership.members().count() == 1;
        age >= DISCOVERY_PERIOD_ALONE || (age >= DISCOVERY_PERIOD && !alone)
    }

    /// A random other instance, which may know what this node does not.
    pub(crate) fn random_peer(&mut self) -> Option<(InstanceName, SocketAddr)> {
        let local = &self.local.name;
        let others: Vec<_> = self
            .membership
            .members()
            .filter(|member| &member.name != local)
            .collect();
        if others.is_empty() {
            return None;
        }
        let member = others[self.rng.random_range(0..others.len())];
        Some((member.name.clone(), member.address))
    }

    /// Sends a frame to an instance if this incarnation of it is known.
    pub(crate) fn send(&self, cx: &mut Context<'_>, peer: &Peer, frame: Frame) {
        let member = self.membership.member(&peer.name);
        let Some(member) = member.filter(|member| member.incarnation == peer.incarnation) else {
            return;
        };
        cx.push(Action::Send {
            to: member.name.clone(),
            address: member.address,
            frame,
        });
    }

    pub(crate) fn handle_gossip(&mut self, cx: &mut Context<'_>, peer: &Peer, frame: &Frame) {
        let mut outputs = Vec::new();
        self.membership
            .handle(cx.now, &peer.name, peer.incarnation, frame, &mut outputs);
        self.apply_membership_outputs(cx, outputs);
    }

    pub(crate) fn handle_session_lost(&mut self, cx: &mut Context<'_>, name: &InstanceName) {
        let mut outputs = Vec::new();
        self.membership.session_lost(cx.now, name, &mut outputs);
        self.apply_membership_outputs(cx, outputs);
        self.resend_handover(cx, name);
    }

    pub(crate) fn handle_list(&mut self, cx: &mut Context<'_>, list: Vec<Listed>) {
        let mut outputs = Vec::new();
        for listed in list {
            match listed {
                Listed::Entry {
                    name,
                    zone,
                    address,
                    leaving: false,
                    ..
                } => {
                    self.membership.add_seed(&name, &zone, address, &mut outputs);
                }
                Listed::Entry {
                    name,
                    incarnation,
                    leaving: true,
                    ..
                } => self.membership.set_listed_leaving(&name, incarnation),
                Listed::Upstream {
                    name,
                    incarnation,
                    leaving: true,
                } => self.mark_upstream_leaving(cx, name, incarnation),
                // The list lags, so neither the absence of an upstream nor an entry that is not leaving is evidence.
                Listed::Upstream { leaving: false, .. } => {}
            }
        }
        self.apply_membership_outputs(cx, outputs);
    }

    pub(crate) fn tick_membership(&mut self, cx: &mut Context<'_>) {
        let mut outputs = Vec::new();
        self.membership.tick(cx.now, &mut outputs);
        self.apply_membership_outputs(cx, outputs);
        if !self.view_changed {
            return;
        }
        let watch = self.membership.is_watcher() && !self.stop.has_begun();
        if watch != self.watching {
            self.watching = watch;
            cx.push(Action::Watch(watch));
        }
    }

    /// Carries out the requests of the membership protocol and reacts to the changes that it reports.
    pub(crate) fn apply_membership_outputs(&mut self, cx: &mut Context<'_>, outputs: Vec<Output>) {
        let mut moved = false;
        for output in outputs {
            match output {
                Output::Send { to, address, frame } => cx.push(Action::Send { to, address, frame }),
                Output::Up(member) => {
                    cx.record(Record::Up(member.name, member.incarnation));
                    moved = true;
                }
                Output::Leaving(member) => {
                    cx.record(Record::Leaving(member.name, member.incarnation));
                    moved = true;
                }
                Output::Down(member) => {
                    let peer = Peer {
                        name: member.name,
                        incarnation: member.incarnation,
                    };
                    self.peer_down(cx, peer);
                    moved = true;
                }
                Output::Succeeded(record) => cx.record(Record::HandedOver(record.from, record.to)),
                Output::UpstreamLeaving(mark) => self.handle_upstream_leaving(cx, &mark),
                Output::DocumentSeen {
                    from,
                    address,
                    revision,
                    ..
                } => {
                    self.request_newer_document(cx, from, address, revision);
                }
            }
        }
        if moved {
            self.recompute_homes(cx);
        }
    }

    fn peer_down(&mut self, cx: &mut Context<'_>, peer: Peer) {
        let now = cx.now;
        for home in self.homes.values_mut() {
            let mut decisions = Vec::new();
            home.pool.retain(|key| key.peer != peer, now, &mut decisions);
            self.pending_decisions.extend(decisions);
        }
        for (key, seq) in self.ledgers.requests_running_at(peer.incarnation) {
            self.refuse_interrupted(cx, key, seq);
        }
        self.partial_handovers.remove(&peer.incarnation);
        cx.record(Record::Down(peer.name, peer.incarnation));
    }

    /// Refuses a request that was in progress at an instance that is gone.
    fn refuse_interrupted(&mut self, cx: &mut Context<'_>, key: FlowKey, seq: units::RequestSeq) {
        let verdict = wire::Verdict::MayHaveRun;
        self.ledgers
            .end(key, seq, RequestState::Refused(verdict, Reason::OwnerGone), cx.now);
        cx.record(Record::Refused(key.flow, seq, verdict, Reason::OwnerGone));
    }

    /// Recomputes the homes of all services and moves requests to them.
    pub(crate) fn recompute_homes(&mut self, cx: &mut Context<'_>) {
        self.home_cache.clear();
        self.view_changed = true;
        let ids: Vec<TicketId> = self.tickets.keys().copied().collect();
        for id in ids {
            self.move_ticket_to_home(cx, id);
        }
    }

    fn move_ticket_to_home(&mut self, cx: &mut Context<'_>, id: TicketId) {
        let Some(service) = self.tickets.get(&id).map(|ticket| ticket.claims.service.clone()) else {
            return;
        };
        let Some((home, _)) = self.find_home(&service) else {
            return;
        };
        if self.tickets.get(&id).is_some_and(|ticket| ticket.home == home) {
            return;
        }
        self.withdraw_slot_request(cx, id);
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        ticket.home = home;
        match ticket.phase {
            Phase::Waiting(_) => self.request_slot(cx, id),
            Phase::Calling { .. } => self.report_held_slot(cx, id),
        }
    }
}
