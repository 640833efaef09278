//! The owner's side of slots: it asks the home for one, uses it, and gives it back.

use std::time::Duration;

use units::Millis;
use wire::Acquire;
use wire::Deny;
use wire::Frame;
use wire::Grant;
use wire::Hold;
use wire::Outcome;
use wire::Reason;
use wire::Settle;
use wire::TicketId;

use crate::Action;
use crate::Node;
use crate::Peer;
use crate::ingress::RETRY_SOON;
use crate::node::Cx;
use crate::ticket::Phase;

impl Node {
    /// Asks the present home of a request's service for a slot.
    pub(crate) fn ask(&mut self, cx: &mut Cx<'_>, id: TicketId) {
        let Some(service) = self.tickets.get(&id).map(|ticket| ticket.claims.service.clone()) else {
            return;
        };
        let Some((home, address)) = self.find_home(&service) else {
            return self.refuse(cx, id, Reason::NoUpstream, RETRY_SOON);
        };
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        ticket.home = home.clone();
        ticket.phase = Phase::Waiting(cx.now);
        let acquire = Acquire {
            ticket: id,
            service,
            kind: ticket.request.kind.clone(),
            zone: ticket.zone.clone(),
            remaining: Millis::from(cx.now.until(ticket.deadline)),
            pinned: ticket.claims.pinned.clone(),
            avoid: ticket.avoid.clone(),
        };
        if home == self.me {
            let me = self.me.clone();
            return self.take_acquire(cx, &me, acquire);
        }
        cx.push(Action::Send {
            to: home.name,
            address,
            frame: Frame::Acquire(acquire),
        });
    }

    /// Takes back a request for a slot.
    pub(crate) fn withdraw(&mut self, cx: &mut Cx<'_>, id: TicketId) {
        let Some(ticket) = self.tickets.get(&id) else {
            return;
        };
        let home = ticket.home.clone();
        if home == self.me {
            let me = self.me.clone();
            return self.take_withdraw(cx, &me, id);
        }
        self.send(cx, &home, Frame::Withdraw(id));
    }

    /// Gives a slot back.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_>, id: TicketId, outcome: Outcome, took: Duration) {
        let Some(ticket) = self.tickets.get(&id) else {
            return;
        };
        let home = ticket.home.clone();
        let settle = Settle {
            ticket: id,
            service: ticket.claims.service.clone(),
            outcome,
            took,
        };
        if home == self.me {
            let me = self.me.clone();
            return self.take_settle(cx, &me, &settle);
        }
        self.send(cx, &home, Frame::Settle(settle));
    }

    /// Tells the present home of a slot that is in use already.
    pub(crate) fn tell_hold(&mut self, cx: &mut Cx<'_>, id: TicketId) {
        let Some(ticket) = self.tickets.get(&id) else {
            return;
        };
        let Phase::Calling { upstream, .. } = &ticket.phase else {
            return;
        };
        let home = ticket.home.clone();
        let hold = Hold {
            ticket: id,
            service: ticket.claims.service.clone(),
            upstream: upstream.clone(),
            remaining: Millis::from(cx.now.until(ticket.deadline)),
        };
        if home == self.me {
            let me = self.me.clone();
            return self.take_hold(cx, &me, hold);
        }
        self.send(cx, &home, Frame::Hold(hold));
    }

    pub(crate) fn take_grant(&mut self, cx: &mut Cx<'_>, peer: &Peer, grant: &Grant) {
        let wanted = self
            .tickets
            .get(&grant.ticket)
            .is_some_and(|ticket| &ticket.home == peer && ticket.is_waiting());
        if wanted {
            return self.use_slot(cx, grant.ticket, &grant.upstream);
        }
        let in_use = self
            .tickets
            .get(&grant.ticket)
            .is_some_and(|ticket| &ticket.home == peer);
        if in_use {
            return;
        }
        // The request has ended or asks another home by now.
        let frame = Frame::Withdraw(grant.ticket);
        if peer == &self.me {
            return self.take_withdraw(cx, peer, grant.ticket);
        }
        self.send(cx, peer, frame);
    }

    pub(crate) fn take_deny(&mut self, cx: &mut Cx<'_>, peer: &Peer, deny: &Deny) {
        let wanted = self
            .tickets
            .get(&deny.ticket)
            .is_some_and(|ticket| &ticket.home == peer && ticket.is_waiting());
        if wanted {
            self.refuse(cx, deny.ticket, deny.reason, deny.retry_after);
        }
    }
}
