//! The owner's side of the slot protocol: requests a slot from the home, uses it and releases it.

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
use crate::node::Context;
use crate::ticket::Phase;

impl Node {
    /// Requests a slot from the current home of a request's service.
    pub(crate) fn request_slot(&mut self, cx: &mut Context<'_>, id: TicketId) {
        let Some(service) = self.tickets.get(&id).map(|ticket| ticket.claims.service.clone()) else {
            return;
        };
        let Some((home, address)) = self.find_home(&service) else {
            return self.refuse_request(cx, id, Reason::NoUpstream, RETRY_SOON);
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
        if home == self.local {
            let local = self.local.clone();
            return self.handle_acquire(cx, &local, acquire);
        }
        cx.push(Action::Send {
            to: home.name,
            address,
            frame: Frame::Acquire(acquire),
        });
    }

    /// Withdraws a slot request.
    pub(crate) fn withdraw_slot_request(&mut self, cx: &mut Context<'_>, id: TicketId) {
        let Some(ticket) = self.tickets.get(&id) else {
            return;
        };
        let home = ticket.home.clone();
        if home == self.local {
            let local = self.local.clone();
            return self.handle_withdraw(cx, &local, id);
        }
        self.send(cx, &home, Frame::Withdraw(id));
    }

    /// Releases a slot and reports the outcome of its use.
    pub(crate) fn release_slot(&mut self, cx: &mut Context<'_>, id: TicketId, outcome: Outcome, took: Duration) {
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
        if home == self.local {
            let local = self.local.clone();
            return self.handle_settle(cx, &local, &settle);
        }
        self.send(cx, &home, Frame::Settle(settle));
    }

    /// Reports a slot that is already in use to the current home.
    pub(crate) fn report_held_slot(&mut self, cx: &mut Context<'_>, id: TicketId) {
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
        if home == self.local {
            let local = self.local.clone();
            return self.handle_hold(cx, &local, hold);
        }
        self.send(cx, &home, Frame::Hold(hold));
    }

    pub(crate) fn handle_grant(&mut self, cx: &mut Context<'_>, peer: &Peer, grant: &Grant) {
        let wanted = self
            .tickets
            .get(&grant.ticket)
            .is_some_and(|ticket| &ticket.home == peer && ticket.is_waiting());
        if wanted {
            return self.call_upstream(cx, grant.ticket, &grant.upstream);
        }
        let in_use = self
            .tickets
            .get(&grant.ticket)
            .is_some_and(|ticket| &ticket.home == peer);
        if in_use {
            return;
        }
        // The request has ended, or has moved to another home.
        let frame = Frame::Withdraw(grant.ticket);
        if peer == &self.local {
            return self.handle_withdraw(cx, peer, grant.ticket);
        }
        self.send(cx, peer, frame);
    }

    pub(crate) fn handle_deny(&mut self, cx: &mut Context<'_>, peer: &Peer, deny: &Deny) {
        let wanted = self
            .tickets
            .get(&deny.ticket)
            .is_some_and(|ticket| &ticket.home == peer && ticket.is_waiting());
        if wanted {
            self.refuse_request(cx, deny.ticket, deny.reason, deny.retry_after);
        }
    }
}
