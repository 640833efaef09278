//! The home's part: the central queue of a service, and the owner's side of asking for its slots.
//!
//! What a home knows is soft. Owners ask again, and tell a new home what they hold, so nothing here needs to outlive
//! the instance. A wrong view costs efficiency and never safety, since an upstream sheds what is too much.

use std::collections::BTreeMap;
use std::time::Duration;

use balance::Decision;
use balance::Pool;
use balance::SlotRequest;
use config::Service;
use membership::Membership;
use rand::RngExt;
use units::Incarnation;
use units::Millis;
use units::ServiceName;
use units::Time;
use units::UpstreamName;
use units::Weight;
use wire::Acquire;
use wire::Deny;
use wire::Frame;
use wire::Grant;
use wire::Hold;
use wire::Reason;
use wire::Settle;
use wire::TicketId;

use crate::Action;
use crate::Node;
use crate::Peer;
use crate::ingress::RETRY_SOON;
use crate::node::Cx;

/// How often a home asks its upstreams for health and load.
const POLL_EVERY: Duration = Duration::from_secs(1);
/// How far polls are apart at least, over all upstreams, so that they stay within what control may cost.
const POLL_SPACING: Duration = Duration::from_millis(250);

/// Names a request for a slot at a home.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SlotKey {
    /// The owner of the request.
    pub peer: Peer,
    /// The owner's name for it.
    pub ticket: TicketId,
}

/// A service whose slots this instance lends.
#[derive(Debug, Clone)]
pub(crate) struct Home {
    /// The service's central queue.
    pub pool: Pool<SlotKey>,
    /// When its upstreams are asked next.
    next_poll: Time,
}

impl Node {
    /// The pool of a service, made if there is none yet.
    fn home(&mut self, service: &ServiceName, now: Time) -> Option<&mut Home> {
        if !self.homes.contains_key(service) {
            let home = self.make_home(service, now)?;
            self.homes.insert(service.clone(), home);
        }
        self.homes.get_mut(service)
    }

    fn make_home(&mut self, name: &ServiceName, now: Time) -> Option<Home> {
        let seed = self.rng.random();
        let service = self.documents.service(name)?;
        let mut pool = Pool::new(service, seed, now);
        for upstream in leaving_of(service, &self.upstreams, &self.membership) {
            pool.announce_drain(&upstream);
        }
        Some(Home { pool, next_poll: now })
    }

    /// Runs `change` on a service's pool and queues what the pool decides.
    pub(crate) fn with_pool(
        &mut self,
        service: &ServiceName,
        now: Time,
        change: impl FnOnce(&mut Pool<SlotKey>, &mut Vec<Decision<SlotKey>>),
    ) -> bool {
        let mut decisions = Vec::new();
        let Some(home) = self.home(service, now) else {
            return false;
        };
        change(&mut home.pool, &mut decisions);
        self.decisions.extend(decisions);
        true
    }

    pub(crate) fn take_acquire(&mut self, cx: &mut Cx<'_>, peer: &Peer, acquire: Acquire) {
        let key = SlotKey {
            peer: peer.clone(),
            ticket: acquire.ticket,
        };
        let weight = self.weight(&acquire);
        let ask = SlotRequest {
            key: key.clone(),
            weight,
            zone: acquire.zone,
            deadline: cx.now + acquire.remaining.duration(),
            pinned: acquire.pinned,
            avoid: acquire.avoid,
        };
        let now = cx.now;
        let asked = self.with_pool(&acquire.service, now, |pool, out| {
            match pool.leased_upstream(&key).cloned() {
                // The owner asks again because the grant was lost.
                Some(upstream) => out.push(Decision::Grant {
                    key: key.clone(),
                    upstream,
                }),
                None => pool.acquire(ask, now, out),
            }
        });
        if !asked {
            let reason = Reason::NoUpstream;
            self.decisions.push_back(Decision::Deny {
                key,
                reason,
                retry_after: RETRY_SOON,
            });
        }
    }

    fn weight(&self, acquire: &Acquire) -> Weight {
        let service = self.documents.service(&acquire.service);
        service
            .and_then(|service| service.kind(&acquire.kind))
            .map_or(Weight(1), |kind| kind.weight)
    }

    pub(crate) fn take_withdraw(&mut self, cx: &mut Cx<'_>, peer: &Peer, ticket: TicketId) {
        let key = SlotKey {
            peer: peer.clone(),
            ticket,
        };
        for home in self.homes.values_mut() {
            let mut decisions = Vec::new();
            home.pool.withdraw(&key, cx.now, &mut decisions);
            self.decisions.extend(decisions);
        }
    }

    pub(crate) fn take_settle(&mut self, cx: &mut Cx<'_>, peer: &Peer, settle: &Settle) {
        let key = SlotKey {
            peer: peer.clone(),
            ticket: settle.ticket,
        };
        let now = cx.now;
        self.with_pool(&settle.service, now, |pool, out| {
            pool.settle(&key, settle.outcome, settle.took, now, out);
        });
    }

    pub(crate) fn take_hold(&mut self, cx: &mut Cx<'_>, peer: &Peer, hold: Hold) {
        let key = SlotKey {
            peer: peer.clone(),
            ticket: hold.ticket,
        };
        let now = cx.now;
        let deadline = now + hold.remaining.duration();
        self.with_pool(&hold.service, now, |pool, _| {
            pool.hold(key, hold.upstream, deadline, now);
        });
    }

    /// Carries out what the pools have decided, and what follows from that.
    pub(crate) fn carry_out_decisions(&mut self, cx: &mut Cx<'_>) {
        while let Some(decision) = self.decisions.pop_front() {
            match decision {
                Decision::Grant { key, upstream } => self.lend(cx, &key, upstream),
                Decision::Deny {
                    key,
                    reason,
                    retry_after,
                } => self.deny(cx, &key, reason, retry_after),
            }
        }
    }

    fn lend(&mut self, cx: &mut Cx<'_>, key: &SlotKey, upstream: UpstreamName) {
        let grant = Grant {
            ticket: key.ticket,
            upstream,
        };
        if key.peer == self.me {
            return self.take_grant(cx, &key.peer, &grant);
        }
        self.send(cx, &key.peer, Frame::Grant(grant));
    }

    fn deny(&mut self, cx: &mut Cx<'_>, key: &SlotKey, reason: Reason, retry_after: Millis) {
        let deny = Deny {
            ticket: key.ticket,
            reason,
            retry_after,
        };
        if key.peer == self.me {
            return self.take_deny(cx, &key.peer, &deny);
        }
        self.send(cx, &key.peer, Frame::Deny(deny));
    }

    /// Lets pools expire, asks upstreams for health and load, and drops pools that have moved away.
    pub(crate) fn tick_homes(&mut self, cx: &mut Cx<'_>) {
        if std::mem::take(&mut self.view_changed) {
            self.adopt_homes(cx.now);
        }
        let poll_every = self.poll_every();
        let mut idle = Vec::new();
        let mut due = Vec::new();
        for (service, home) in &mut self.homes {
            let mut decisions = Vec::new();
            home.pool.tick(cx.now, &mut decisions);
            self.decisions.extend(decisions);
            let here = matches!(self.home_cache.get(service), Some(Some((peer, _))) if peer == &self.me);
            if !here && home.pool.is_idle() {
                idle.push(service.clone());
            }
            if here && home.next_poll <= cx.now {
                home.next_poll = cx.now + poll_every;
                due.push(service.clone());
            }
        }
        for service in idle {
            self.homes.remove(&service);
        }
        for service in due {
            self.poll(cx, &service);
        }
    }

    /// Makes the pools of services whose home is here, so that their upstreams are known before the first request.
    fn adopt_homes(&mut self, now: Time) {
        let names: Vec<ServiceName> = self.documents.missing_from(&self.home_cache);
        for name in names {
            let home = self.find_home(&name);
            if home.is_some_and(|(peer, _)| peer == self.me) {
                self.home(&name, now);
            }
        }
    }

    /// How often each upstream is asked. What it says of calls comes at once and does not wait for this.
    fn poll_every(&self) -> Duration {
        let upstreams = self.homes.values().map(|home| home.pool.upstreams());
        let upstreams = u32::try_from(upstreams.sum::<usize>()).unwrap_or(u32::MAX);
        POLL_EVERY.max(POLL_SPACING.saturating_mul(upstreams))
    }

    fn poll(&self, cx: &mut Cx<'_>, service: &ServiceName) {
        let Some(service) = self.documents.service(service) else {
            return;
        };
        for upstream in &service.upstreams {
            cx.push(Action::Poll(upstream.name.clone(), upstream.address));
        }
    }
}

/// The upstreams of a service that get no new work.
pub(crate) fn leaving_of(
    service: &Service,
    known: &BTreeMap<UpstreamName, Incarnation>,
    membership: &Membership,
) -> Vec<UpstreamName> {
    let mut leaving = Vec::new();
    for upstream in &service.upstreams {
        // The incarnation may not be known here yet. The first poll readmits an upstream that has begun anew.
        let incarnation = known.get(&upstream.name).copied().unwrap_or_default();
        if membership.is_leaving(&upstream.name, incarnation) {
            leaving.push(upstream.name.clone());
        }
    }
    leaving
}
