//! Ingress of packets: decodes and authenticates them and routes them to the owner of their flow.
//!
//! This module never refuses a request with the verdict `not run`; only the owner may.

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
use crate::node::Context;
use crate::peers::OwnerLocation;

/// How often a packet may be forwarded between instances before it is dropped.
const MAX_HOPS: u8 = 4;
/// How long gossip may take to spread an instance that new tokens name as owner.
const GOSSIP_PROPAGATION: Duration = Duration::from_secs(5);
/// The retry delay for refusals whose cause may be transient.
pub(crate) const RETRY_SOON: Millis = Millis(200);
/// The retry delay for refusals that are unlikely to change without a new token or configuration.
const RETRY_LATE: Millis = Millis(5_000);

/// A caller's packet while it is routed between instances.
#[derive(Debug, Clone)]
pub(crate) struct RoutedPacket {
    /// The address to which the reply is sent.
    pub caller: SocketAddr,
    /// The availability zone in which it arrived.
    pub zone: ZoneName,
    /// The packet.
    pub packet: Packet,
    /// How often it has been forwarded.
    pub hops: u8,
}

impl From<Forward> for RoutedPacket {
    fn from(forward: Forward) -> Self {
        Self {
            caller: forward.caller,
            zone: forward.zone,
            packet: forward.packet,
            hops: forward.hops,
        }
    }
}

impl From<RoutedPacket> for Forward {
    fn from(routed: RoutedPacket) -> Self {
        let hops = routed.hops.saturating_add(1);
        Self {
            caller: routed.caller,
            zone: routed.zone,
            packet: routed.packet,
            hops,
        }
    }
}

impl Node {
    pub(crate) fn handle_datagram(&mut self, cx: &mut Context<'_>, caller: SocketAddr, bytes: &[u8]) {
        let Ok(packet) = decode_packet(bytes) else {
            self.counters.malformed += 1;
            return;
        };
        self.counters.packets += 1;
        let zone = self.zone.clone();
        self.route(
            cx,
            RoutedPacket {
                caller,
                zone,
                packet,
                hops: 0,
            },
        );
    }

    /// Routes a packet to the instance that answers it.
    pub(crate) fn route(&mut self, cx: &mut Context<'_>, routed: RoutedPacket) {
        let Some(sealed) = routed.packet.token() else {
            if let Packet::Open(open) = &routed.packet {
                self.open_flow(cx, routed.caller, open);
            }
            return;
        };
        let Ok(claims) = self.keyring.open(sealed, cx.now) else {
            return self.refuse_invalid_token(cx, &routed, Reason::Token);
        };
        if &claims.service != routed.packet.service() {
            return self.refuse_invalid_token(cx, &routed, Reason::WrongService);
        }
        match self.locate(&claims) {
            OwnerLocation::Local => self.handle_owned_packet(cx, claims, &routed),
            OwnerLocation::Remote(peer, address) => self.forward(cx, peer.name, address, routed),
            OwnerLocation::Unknown => self.route_to_unknown_owner(cx, &claims, routed),
            OwnerLocation::Gone => self.refuse_owner_gone(cx, &claims, &routed),
        }
    }

    fn forward(&mut self, cx: &mut Context<'_>, to: units::InstanceName, address: SocketAddr, routed: RoutedPacket) {
        if routed.hops >= MAX_HOPS {
            self.counters.hops_exceeded += 1;
            return;
        }
        self.counters.forwarded += 1;
        let frame = Frame::Forward(routed.into());
        cx.push(Action::Send { to, address, frame });
    }

    /// Handles a packet whose owner this node has not heard of. The owner may still be alive and known to others, so
    /// the packet is first forwarded to a random instance.
    fn route_to_unknown_owner(&mut self, cx: &mut Context<'_>, claims: &Claims, routed: RoutedPacket) {
        if routed.hops == 0
            && let Some((name, address)) = self.random_peer()
        {
            return self.forward(cx, name, address, routed);
        }
        let recently_issued = cx.now.since(claims.issued) < GOSSIP_PROPAGATION;
        if recently_issued || !self.is_discovery_complete(cx.now) {
            // The caller will resend the packet, and gossip may have reached this node by then.
            return;
        }
        self.refuse_owner_gone(cx, claims, &routed);
    }

    fn open_flow(&mut self, cx: &mut Context<'_>, caller: SocketAddr, open: &Open) {
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

    /// Refuses to open a flow. As there is no flow yet, nothing can have run.
    fn refuse_open(
        &mut self,
        cx: &mut Context<'_>,
        caller: SocketAddr,
        open: &Open,
        reason: Reason,
        retry_after: Millis,
    ) {
        let subject = RefusalSubject::Open(open.nonce);
        let verdict = Verdict::NotRun;
        self.counters.count_refusal(verdict, reason);
        let refused = Refused {
            subject,
            verdict,
            reason,
            retry_after,
            granted: None,
        };
        cx.push(Action::Reply(caller, Reply::Refused(refused)));
    }

    /// Refuses a packet whose token is invalid or belongs to another service.
    fn refuse_invalid_token(&mut self, cx: &mut Context<'_>, routed: &RoutedPacket, reason: Reason) {
        let verdict = Verdict::MayHaveRun;
        self.counters.count_refusal(verdict, reason);
        let Packet::Request(request) = &routed.packet else {
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
        cx.push(Action::Reply(routed.caller, Reply::Refused(refused)));
    }

    /// Refuses a packet whose owner is gone, and offers a token that names the current home as owner.
    fn refuse_owner_gone(&mut self, cx: &mut Context<'_>, claims: &Claims, routed: &RoutedPacket) {
        let (subject, reason, granted) = match &routed.packet {
            Packet::Request(request) => {
                let floor = request.sent.max(request.seq).max(claims.floor);
                let subject = RefusalSubject::Request(claims.flow, request.seq);
                (subject, Reason::OwnerGone, self.reissue_token(cx, claims, floor))
            }
            Packet::Pull(pull) => {
                let subject = RefusalSubject::Pull(claims.flow, pull.seq, pull.digest);
                (subject, Reason::AnswerGone, None)
            }
            Packet::Open(_) | Packet::Done(_) | Packet::Close(_) => return,
        };
        let verdict = Verdict::MayHaveRun;
        self.counters.count_refusal(verdict, reason);
        let refused = Refused {
            subject,
            verdict,
            reason,
            retry_after: Millis(0),
            granted,
        };
        cx.push(Action::Reply(routed.caller, Reply::Refused(refused)));
    }

    fn reissue_token(&mut self, cx: &Context<'_>, claims: &Claims, floor: RequestSeq) -> Option<IssuedToken> {
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

    /// Returns a replacement for the token `sealed` if its owner is no longer the home, its pinned upstream has
    /// changed, it is past half of its lifetime, or it was sealed with an old key.
    pub(crate) fn renew_token(
        &mut self,
        cx: &Context<'_>,
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
        self.reissue_token(cx, claims, sent)
    }
}
