//! Where packets come in: decode, authenticate, find the owner.
//!
//! This part never says `not run` of a request; only an owner may.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use token::Claims;
use units::FlowId;
use units::Millis;
use units::RequestSeq;
use units::ZoneName;
use wire::Forward;
use wire::Frame;
use wire::IssuedToken;
use wire::Open;
use wire::Opened;
use wire::Packet;
use wire::Reason;
use wire::RefusalSubject;
use wire::Refused;
use wire::Reply;
use wire::SealedToken;
use wire::Verdict;
use wire::decode_packet;

use crate::Action;
use crate::Node;
use crate::Record;
use crate::fleet::Place;
use crate::node::Cx;

/// How many instances may pass a packet on before it is dropped.
const MAX_HOPS: u8 = 4;
/// How long an instance named by a new token may still be unheard of elsewhere.
const SPREAD: Duration = Duration::from_secs(5);
/// When to come back after a refusal that time alone may mend.
pub(crate) const RETRY_SOON: Millis = Millis(200);
/// When to come back after a refusal that only a change of configuration mends.
const RETRY_LATE: Millis = Millis(5_000);

/// A caller's packet on its way through the instances.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    /// Where the reply goes.
    pub caller: SocketAddr,
    /// The availability zone in which it arrived.
    pub zone: ZoneName,
    /// The packet.
    pub packet: Packet,
    /// How many instances have passed it on.
    pub hops: u8,
}

impl From<Forward> for Arrival {
    fn from(forward: Forward) -> Self {
        Self {
            caller: forward.caller,
            zone: forward.zone,
            packet: forward.packet,
            hops: forward.hops,
        }
    }
}

impl From<Arrival> for Forward {
    fn from(arrival: Arrival) -> Self {
        let hops = arrival.hops.saturating_add(1);
        Self {
            caller: arrival.caller,
            zone: arrival.zone,
            packet: arrival.packet,
            hops,
        }
    }
}

impl Node {
    pub(crate) fn take_datagram(&mut self, cx: &mut Cx<'_>, caller: SocketAddr, bytes: &[u8]) {
        let Ok(packet) = decode_packet(bytes) else {
            self.counters.malformed += 1;
            return;
        };
        self.counters.packets += 1;
        let zone = self.zone.clone();
        self.route(
            cx,
            Arrival {
                caller,
                zone,
                packet,
                hops: 0,
            },
        );
    }

    /// Takes a packet to the part of the system that answers it.
    pub(crate) fn route(&mut self, cx: &mut Cx<'_>, arrival: Arrival) {
        let Some(sealed) = arrival.packet.token() else {
            if let Packet::Open(open) = &arrival.packet {
                self.open(cx, arrival.caller, open);
            }
            return;
        };
        let Ok(claims) = self.keyring.open(sealed, cx.now) else {
            return self.refuse_unread(cx, &arrival, Reason::Token);
        };
        if &claims.service != arrival.packet.service() {
            return self.refuse_unread(cx, &arrival, Reason::WrongService);
        }
        match self.locate(&claims) {
            Place::Here => self.own(cx, claims, &arrival),
            Place::There(peer, address) => self.forward(cx, peer.name, address, arrival),
            Place::Unknown => self.ask_around(cx, &claims, arrival),
            Place::Gone => self.refuse_orphan(cx, &claims, &arrival),
        }
    }

    fn forward(&mut self, cx: &mut Cx<'_>, to: units::InstanceName, address: SocketAddr, arrival: Arrival) {
        if arrival.hops >= MAX_HOPS {
            self.counters.hops_exceeded += 1;
            return;
        }
        self.counters.forwarded += 1;
        let frame = Frame::Forward(arrival.into());
        cx.push(Action::Send { to, address, frame });
    }

    /// A newcomer may not have heard of an owner that lives. Another instance may know better.
    fn ask_around(&mut self, cx: &mut Cx<'_>, claims: &Claims, arrival: Arrival) {
        if arrival.hops == 0
            && let Some((name, address)) = self.pick_peer()
        {
            return self.forward(cx, name, address, arrival);
        }
        let young = cx.now.since(claims.issued) < SPREAD;
        if young || !self.is_settled(cx.now) {
            // The caller sends its packet again, and by then more is known.
            return;
        }
        self.refuse_orphan(cx, claims, &arrival);
    }

    fn open(&mut self, cx: &mut Cx<'_>, caller: SocketAddr, open: &Open) {
        if self.documents.current().is_none() {
            return self.refuse_open(cx, caller, open, Reason::NoDocument, RETRY_SOON);
        }
        let Some(service) = self.documents.service_at(open.address) else {
            return self.refuse_open(cx, caller, open, Reason::Unknown, RETRY_LATE);
        };
        if service.name != open.service {
            return self.refuse_open(cx, caller, open, Reason::WrongService, RETRY_LATE);
        }
        let Some((home, _)) = self.find_home(&open.service) else {
            return self.refuse_open(cx, caller, open, Reason::NoUpstream, RETRY_SOON);
        };
        let flow = FlowId(self.rng.random());
        let claims = Claims {
            service: open.service.clone(),
            owner: home.name,
            incarnation: home.incarnation,
            flow,
            floor: RequestSeq(0),
            pinned: None,
            issued: cx.now,
        };
        let granted = IssuedToken {
            token: self.keyring.seal(&claims),
            floor: claims.floor,
        };
        self.counters.opened += 1;
        cx.push(Action::Reply(
            caller,
            Reply::Opened(Opened {
                nonce: open.nonce,
                flow,
                granted,
            }),
        ));
        cx.record(Record::Opened(claims.service, flow));
    }

    /// Refuses to open a flow. Nothing can have run, as there is no flow yet.
    fn refuse_open(&mut self, cx: &mut Cx<'_>, caller: SocketAddr, open: &Open, reason: Reason, retry_after: Millis) {
        let subject = RefusalSubject::Open(open.nonce);
        let verdict = Verdict::NotRun;
        self.counters.refuse(verdict, reason);
        let refused = Refused {
            subject,
            verdict,
            reason,
            retry_after,
            granted: None,
        };
        cx.push(Action::Reply(caller, Reply::Refused(refused)));
    }

    /// Refuses a packet whose token does not name a flow of its service.
    fn refuse_unread(&mut self, cx: &mut Cx<'_>, arrival: &Arrival, reason: Reason) {
        let verdict = Verdict::MayHaveRun;
        self.counters.refuse(verdict, reason);
        let Packet::Request(request) = &arrival.packet else {
            return;
        };
        let subject = RefusalSubject::Unread(request.seq);
        let refused = Refused {
            subject,
            verdict,
            reason,
            retry_after: RETRY_LATE,
            granted: None,
        };
        cx.push(Action::Reply(arrival.caller, Reply::Refused(refused)));
    }

    /// Refuses a packet whose owner is gone, and offers a token of a living one.
    fn refuse_orphan(&mut self, cx: &mut Cx<'_>, claims: &Claims, arrival: &Arrival) {
        let (subject, reason, granted) = match &arrival.packet {
            Packet::Request(request) => {
                let floor = request.sent.max(request.seq).max(claims.floor);
                let subject = RefusalSubject::Request(claims.flow, request.seq);
                (subject, Reason::OwnerGone, self.reissue(cx, claims, floor))
            }
            Packet::Pull(pull) => {
                let subject = RefusalSubject::Pull(claims.flow, pull.seq, pull.digest);
                (subject, Reason::AnswerGone, None)
            }
            Packet::Open(_) | Packet::Done(_) | Packet::Close(_) => return,
        };
        let verdict = Verdict::MayHaveRun;
        self.counters.refuse(verdict, reason);
        let refused = Refused {
            subject,
            verdict,
            reason,
            retry_after: Millis(0),
            granted,
        };
        cx.push(Action::Reply(arrival.caller, Reply::Refused(refused)));
    }

    fn reissue(&mut self, cx: &Cx<'_>, claims: &Claims, floor: RequestSeq) -> Option<IssuedToken> {
        let (home, _) = self.find_home(&claims.service)?;
        let claims = Claims {
            owner: home.name,
            incarnation: home.incarnation,
            floor,
            issued: cx.now,
            ..claims.clone()
        };
        Some(IssuedToken {
            token: self.keyring.seal(&claims),
            floor,
        })
    }

    /// A token that should replace `sealed`: its owner is not the home any more, its upstream has changed, or it
    /// ages.
    pub(crate) fn renew(
        &mut self,
        cx: &Cx<'_>,
        claims: &Claims,
        sealed: &SealedToken,
        sent: RequestSeq,
    ) -> Option<IssuedToken> {
        let (home, _) = self.find_home(&claims.service)?;
        let moved = home.name != claims.owner || home.incarnation != claims.incarnation;
        let aged = cx.now.since(claims.issued) > self.keyring.lifetime() / 2;
        let repinned = self
            .keyring
            .open(sealed, cx.now)
            .is_ok_and(|old| old.pinned != claims.pinned);
        if !moved && !aged && !repinned && self.keyring.is_current(sealed) {
            return None;
        }
        self.reissue(cx, claims, sent)
    }
}
