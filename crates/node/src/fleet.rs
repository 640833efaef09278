//! The other instances: which live, which is whose home, and what follows when that changes.

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
use crate::State;
use crate::node::Cx;
use crate::ticket::Phase;

/// How long a node that has met others takes to learn the fleet.
const SETTLE: Duration = Duration::from_millis(500);
/// How long a node waits for others before it serves alone.
const SETTLE_ALONE: Duration = Duration::from_secs(2);

/// Where the owner of a flow is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Place {
    /// This node owns the flow.
    Here,
    /// This instance owns it.
    There(Peer, SocketAddr),
    /// Nothing is known of the owner.
    Unknown,
    /// The owner is gone, and nobody has its ledgers.
    Gone,
}

impl Node {
    /// Whether this node owns the flows of this life of an instance: it is its own, or it has taken over its ledgers.
    pub(crate) fn owns(&self, name: &InstanceName, incarnation: Incarnation) -> bool {
        if incarnation == self.me.incarnation && *name == self.me.name {
            return true;
        }
        // Most nodes have inherited nothing, and the name is copied for each packet otherwise.
        if self.inherited.is_empty() {
            return false;
        }
        let name = name.clone();
        self.inherited.contains_key(&InstanceIncarnation { name, incarnation })
    }

    /// Finds the owner of a flow.
    pub(crate) fn locate(&self, claims: &Claims) -> Place {
        if self.owns(&claims.owner, claims.incarnation) {
            return match self.stop.successor() {
                Some(successor) => self.locate_successor(successor),
                // The ledgers end with this process, which may take a moment.
                None if self.stop.has_ended() => Place::Gone,
                None => Place::Here,
            };
        }
        self.place(&claims.owner, claims.incarnation)
    }

    /// Finds whoever holds the ledgers that went to this successor.
    pub(crate) fn locate_successor(&self, successor: &Peer) -> Place {
        match self.place(&successor.name, successor.incarnation) {
            Place::Unknown => Place::Gone,
            place => place,
        }
    }

    /// Where another incarnation, or who has its ledgers now, is in the present view.
    fn place(&self, name: &InstanceName, incarnation: Incarnation) -> Place {
        match self.membership.standing(name, incarnation) {
            Standing::Alive(member)
            | Standing::Suspect(member)
            | Standing::Leaving(member)
            | Standing::Succeeded(member) => {
                let peer = Peer {
                    name: member.name.clone(),
                    incarnation: member.incarnation,
                };
                Place::There(peer, member.address)
            }
            // A record that names this node counts only once the ledgers are here.
            Standing::Me | Standing::SucceededByMe | Standing::Unknown => Place::Unknown,
            Standing::Gone => Place::Gone,
        }
    }

    /// The home of a service in the present view.
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

    /// Whether this node has had time to hear of the others.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        let age = now.since(self.started);
        let alone = self.membership.members().count() == 1;
        age >= SETTLE_ALONE || (age >= SETTLE && !alone)
    }

    /// Any living instance, to ask what is not known here.
    pub(crate) fn pick_peer(&mut self) -> Option<(InstanceName, SocketAddr)> {
        let me = &self.me.name;
        let others: Vec<_> = self.membership.members().filter(|member| &member.name != me).collect();
        if others.is_empty() {
            return None;
        }
        let member = others[self.rng.random_range(0..others.len())];
        Some((member.name.clone(), member.address))
    }

    /// Sends a frame to an instance, if it is known.
    pub(crate) fn send(&self, cx: &mut Cx<'_>, peer: &Peer, frame: Frame) {
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

    pub(crate) fn take_gossip(&mut self, cx: &mut Cx<'_>, peer: &Peer, frame: &Frame) {
        let mut outputs = Vec::new();
        self.membership
            .handle(cx.now, &peer.name, peer.incarnation, frame, &mut outputs);
        self.take_outputs(cx, outputs);
    }

    pub(crate) fn lose_session(&mut self, cx: &mut Cx<'_>, name: &InstanceName) {
        let mut outputs = Vec::new();
        self.membership.session_lost(cx.now, name, &mut outputs);
        self.take_outputs(cx, outputs);
        self.repeat_handover(cx, name);
    }

    pub(crate) fn take_list(&mut self, cx: &mut Cx<'_>, list: Vec<Listed>) {
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
                } => self.mark_leaving(cx, name, incarnation),
                // Absence and a plain entry say nothing, since the list lags.
                Listed::Upstream { leaving: false, .. } => {}
            }
        }
        self.take_outputs(cx, outputs);
    }

    pub(crate) fn tick_fleet(&mut self, cx: &mut Cx<'_>) {
        let mut outputs = Vec::new();
        self.membership.tick(cx.now, &mut outputs);
        self.take_outputs(cx, outputs);
        if !self.view_changed {
            return;
        }
        let watch = self.membership.is_watcher() && !self.stop.has_begun();
        if watch != self.watching {
            self.watching = watch;
            cx.push(Action::Watch(watch));
        }
    }

    /// Carries out what membership wants and has learned.
    pub(crate) fn take_outputs(&mut self, cx: &mut Cx<'_>, outputs: Vec<Output>) {
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
                Output::UpstreamLeaving(mark) => self.upstream_leaves(cx, &mark),
                Output::DocumentSeen {
                    from,
                    address,
                    revision,
                    ..
                } => {
                    self.see_document(cx, from, address, revision);
                }
            }
        }
        if moved {
            self.rehome(cx);
        }
    }

    fn peer_down(&mut self, cx: &mut Cx<'_>, peer: Peer) {
        let now = cx.now;
        for home in self.homes.values_mut() {
            let mut decisions = Vec::new();
            home.pool.retain(|key| key.peer != peer, now, &mut decisions);
            self.decisions.extend(decisions);
        }
        for (key, seq) in self.ledgers.elsewhere(peer.incarnation) {
            self.doubt(cx, key, seq);
        }
        self.incoming.remove(&peer.incarnation);
        cx.record(Record::Down(peer.name, peer.incarnation));
    }

    /// A request was in progress at an instance that is gone.
    fn doubt(&mut self, cx: &mut Cx<'_>, key: FlowKey, seq: units::RequestSeq) {
        let verdict = wire::Verdict::MayHaveRun;
        self.ledgers
            .end(key, seq, State::Refused(verdict, Reason::OwnerGone), cx.now);
        cx.record(Record::Refused(key.flow, seq, verdict, Reason::OwnerGone));
    }

    /// Works homes out anew and moves requests to them.
    pub(crate) fn rehome(&mut self, cx: &mut Cx<'_>) {
        self.home_cache.clear();
        self.view_changed = true;
        let ids: Vec<TicketId> = self.tickets.keys().copied().collect();
        for id in ids {
            self.rehome_ticket(cx, id);
        }
    }

    fn rehome_ticket(&mut self, cx: &mut Cx<'_>, id: TicketId) {
        let Some(service) = self.tickets.get(&id).map(|ticket| ticket.claims.service.clone()) else {
            return;
        };
        let Some((home, _)) = self.find_home(&service) else {
            return;
        };
        if self.tickets.get(&id).is_some_and(|ticket| ticket.home == home) {
            return;
        }
        self.withdraw(cx, id);
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        ticket.home = home;
        match ticket.phase {
            Phase::Waiting(_) => self.ask(cx, id),
            Phase::Calling { .. } => self.tell_hold(cx, id),
        }
    }
}
