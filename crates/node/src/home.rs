//! The home of a service: its central queue, from which slots are granted to the owners of requests.
//!
//! A home holds soft state only. Owners repeat their requests and report the slots that they hold to a new home, so
//! nothing here needs to survive the instance. An inconsistent view costs efficiency but never safety, since an
//! upstream sheds excess load.

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
use crate::node::Context;

/// How often a home polls its upstreams for health and load.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum time between polls over all upstreams, which bounds the cost of control traffic.
const MIN_POLL_SPACING: Duration = Duration::from_millis(250);

/// Identifies a slot request at a home.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SlotKey {
    /// The owner of the request.
    pub peer: Peer,
    /// The owner's ticket for the request.
    pub ticket: TicketId,
}

/// A service for which this instance grants slots.
#[derive(Debug, Clone)]
pub(crate) struct Home {
    /// The service's central queue and its upstreams.
    pub pool: Pool<SlotKey>,
    /// When its upstreams are next polled.
    next_poll: Time,
}

impl Node {
    /// The state of a service's home, created if there is none yet. Returns `None` if the service is unknown.
    fn home_or_create(&mut self, service: &ServiceName, now: Time) -> Option<&mut Home> {
        if !self.homes.contains_key(service) {
            let home = self.create_home(service, now)?;
            self.homes.insert(service.clone(), home);
        }
        self.homes.get_mut(service)
    }

    fn create_home(&mut self, name: &ServiceName, now: Time) -> Option<Home> {
        let seed = self.rng.random();
        let service = self.documents.service(name)?;
        let mut pool = Pool::new(service, seed, now);
        for upstream in leaving_upstreams(service, &self.upstreams, &self.membership) {
            pool.announce_drain(&upstream);
        }
        Some(Home { pool, next_poll: now })
    }

    /// Runs `change` on a service's pool and queues the pool's decisions. Returns whether the service is known.
    pub(crate) fn with_pool(
        &mut self,
        service: &ServiceName,
        now: Time,
        change: impl FnOnce(&mut Pool<SlotKey>, &mut Vec<Decision<SlotKey>>),
    ) -> bool {
        let mut decisions = Vec::new();
        let Some(home) = self.home_or_create(service, now) else {
            return false;
        };
        change(&mut home.pool, &mut decisions);
        self.pending_decisions.extend(decisions);
        true
    }

    pub(crate) fn handle_acquire(&mut self, cx: &mut Context<'_>, peer: &Peer, acquire: Acquire) {
        let key = SlotKey {
            peer: peer.clone(),
            ticket: acquire.ticket,
        };
        let weight = self.weight_of(&acquire);
        let request = SlotRequest {
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
                // The owner repeats its request because the grant was lost.
                Some(upstream) => out.push(Decision::Grant {
                    key: key.clone(),
                    upstream,
                }),
                None => pool.acquire(request, now, out),
            }
        });
        if !asked {
            let reason = Reason::NoUpstream;
            self.pending_decisions.push_back(Decision::Deny {
                key,
                reason,
                retry_after: RETRY_SOON,
            });
        }
    }

    fn weight_of(&self, acquire: &Acquire) -> Weight {
        let service = self.documents.service(&acquire.service);
        service
            .and_then(|service| service.kind(&acquire.kind))
            .map_or(Weight(1), |kind| kind.weight)
    }

    pub(crate) fn handle_withdraw(&mut self, cx: &mut Context<'_>, peer: &Peer, ticket: TicketId) {
        let key = SlotKey {
            peer: peer.clone(),
            ticket,
        };
        for home in self.homes.values_mut() {
            let mut decisions = Vec::new();
            home.pool.withdraw(&key, cx.now, &mut decisions);
            self.pending_decisions.extend(decisions);
        }
    }

    pub(crate) fn handle_settle(&mut self, cx: &mut Context<'_>, peer: &Peer, settle: &Settle) {
        let key = SlotKey {
            peer: peer.clone(),
            ticket: settle.ticket,
        };
        let now = cx.now;
        self.with_pool(&settle.service, now, |pool, out| {
            pool.settle(&key, settle.outcome, settle.took, now, out);
        });
    }

    pub(crate) fn handle_hold(&mut self, cx: &mut Context<'_>, peer: &Peer, hold: Hold) {
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

    /// Applies the queued decisions of the pools, including those that result from applying them.
    pub(crate) fn apply_decisions(&mut self, cx: &mut Context<'_>) {
        while let Some(decision) = self.pending_decisions.pop_front() {
            match decision {
                Decision::Grant { key, upstream } => self.grant_slot(cx, &key, upstream),
                Decision::Deny {
                    key,
                    reason,
                    retry_after,
                } => self.deny_slot(cx, &key, reason, retry_after),
            }
        }
    }

    fn grant_slot(&mut self, cx: &mut Context<'_>, key: &SlotKey, upstream: UpstreamName) {
        let grant = Grant {
            ticket: key.ticket,
            upstream,
        };
        if key.peer == self.local {
            return self.handle_grant(cx, &key.peer, &grant);
        }
        self.send(cx, &key.peer, Frame::Grant(grant));
    }

    fn deny_slot(&mut self, cx: &mut Context<'_>, key: &SlotKey, reason: Reason, retry_after: Millis) {
        let deny = Deny {
            ticket: key.ticket,
            reason,
            retry_after,
        };
        if key.peer == self.local {
            return self.handle_deny(cx, &key.peer, &deny);
        }
        self.send(cx, &key.peer, Frame::Deny(deny));
    }

    /// Advances the pools, polls upstreams that are due, and drops idle pools whose home is elsewhere.
    pub(crate) fn tick_homes(&mut self, cx: &mut Context<'_>) {
        if std::mem::take(&mut self.view_changed) {
            self.create_local_homes(cx.now);
        }
        let poll_interval = self.poll_interval();
        let mut idle = Vec::new();
        let mut due = Vec::new();
        for (service, home) in &mut self.homes {
            let mut decisions = Vec::new();
            home.pool.tick(cx.now, &mut decisions);
            self.pending_decisions.extend(decisions);
            let here = matches!(self.home_cache.get(service), Some(Some((peer, _))) if peer == &self.local);
            if !here && home.pool.is_idle() {
                idle.push(service.clone());
            }
            if here && home.next_poll <= cx.now {
                home.next_poll = cx.now + poll_interval;
                due.push(service.clone());
            }
        }
        for service in idle {
            self.homes.remove(&service);
        }
        for service in due {
            self.poll_upstreams(cx, &service);
        }
    }

    /// Creates the pools of services whose home is here, so that their upstreams are known before the first request.
    fn create_local_homes(&mut self, now: Time) {
        let names: Vec<ServiceName> = self.documents.missing_from(&self.home_cache);
        for name in names {
            let home = self.find_home(&name);
            if home.is_some_and(|(peer, _)| peer == self.local) {
                self.home_or_create(&name, now);
            }
        }
    }

    /// How often each upstream is polled. The outcome of calls takes effect at once and does not wait for a poll.
    fn poll_interval(&self) -> Duration {
        let upstreams = self.homes.values().map(|home| home.pool.upstreams());
        let upstreams = u32::try_from(upstreams.sum::<usize>()).unwrap_or(u32::MAX);
        POLL_INTERVAL.max(MIN_POLL_SPACING.saturating_mul(upstreams))
    }

    fn poll_upstreams(&self, cx: &mut Context<'_>, service: &ServiceName) {
        let Some(service) = self.documents.service(service) else {
            return;
        };
        for upstream in &service.upstreams {
            cx.push(Action::Poll(upstream.name.clone(), upstream.address));
        }
    }
}

/// The upstreams of a service that are leaving and get no new work.
pub(crate) fn leaving_upstreams(
    service: &Service,
    known: &BTreeMap<UpstreamName, Incarnation>,
    membership: &Membership,
) -> Vec<UpstreamName> {
    let mut leaving = Vec::new();
    for upstream in &service.upstreams {
        // The incarnation may not be known here yet. The first poll readmits an upstream that has restarted.
        let incarnation = known.get(&upstream.name).copied().unwrap_or_default();
        if membership.is_leaving(&upstream.name, incarnation) {
            leaving.push(upstream.name.clone());
        }
    }
    leaving
}
