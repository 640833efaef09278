//! Proptest strategies for messages.

use std::net::IpAddr;
use std::net::SocketAddr;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_bytes::ByteBuf;
use units::FlowId;
use units::Incarnation;
use units::Millis;
use units::Nonce;
use units::RequestSeq;
use units::Revision;
use wire::Accepted;
use wire::Acquire;
use wire::Answer;
use wire::AnswerHeader;
use wire::Chunk;
use wire::Digest;
use wire::Document;
use wire::Forward;
use wire::Frame;
use wire::Gossip;
use wire::Handover;
use wire::HandoverFlow;
use wire::InstanceIncarnation;
use wire::IssuedToken;
use wire::LeavingUpstream;
use wire::Member;
use wire::MemberState;
use wire::Opened;
use wire::Packet;
use wire::Pull;
use wire::QueuedRequest;
use wire::Reason;
use wire::RefusalSubject;
use wire::Refused;
use wire::Reply;
use wire::Request;
use wire::RequestRecord;
use wire::SealedToken;
use wire::Successor;
use wire::TicketId;
use wire::Verdict;

/// Uses a fixed seed, so that failures are reproducible.
pub fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

fn name<T>() -> impl Strategy<Value = T>
where
    T: std::str::FromStr + std::fmt::Debug,
    T::Err: std::fmt::Debug,
{
    "[a-z][a-z0-9-]{0,62}".prop_map(|text| text.parse().expect("the pattern only matches valid names"))
}

fn address() -> impl Strategy<Value = SocketAddr> {
    any::<(IpAddr, u16)>().prop_map(SocketAddr::from)
}

fn bytes(max: usize) -> impl Strategy<Value = ByteBuf> {
    vec(any::<u8>(), 0..=max).prop_map(ByteBuf::from)
}

fn sealed() -> impl Strategy<Value = SealedToken> {
    bytes(300).prop_map(SealedToken)
}

fn digest() -> impl Strategy<Value = Digest> {
    any::<[u8; 16]>().prop_map(Digest)
}

fn seq() -> impl Strategy<Value = RequestSeq> {
    any::<u64>().prop_map(RequestSeq)
}

fn flow() -> impl Strategy<Value = FlowId> {
    any::<u64>().prop_map(FlowId)
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    any::<u64>().prop_map(Incarnation)
}

fn granted() -> impl Strategy<Value = IssuedToken> {
    (sealed(), seq()).prop_map(|(token, floor)| IssuedToken { token, floor })
}

fn request() -> impl Strategy<Value = Request> {
    let numbers = (seq(), seq(), any::<u32>());
    (sealed(), name(), numbers, name(), bytes(400)).prop_map(|(token, service, (seq, sent, millis), kind, body)| {
        Request {
            token,
            service,
            seq,
            sent,
            kind,
            timeout: Millis(millis),
            body,
        }
    })
}

/// Generates packets that fit into a datagram.
pub fn packet() -> impl Strategy<Value = Packet> {
    let open = (any::<u64>(), name(), address()).prop_map(|(nonce, service, address)| {
        Packet::Open(wire::Open {
            nonce: Nonce(nonce),
            service,
            address,
        })
    });
    let pull = (sealed(), name(), seq(), digest(), any::<(u32, u8)>()).prop_map(
        |(token, service, seq, digest, (first, count))| {
            Packet::Pull(Pull {
                token,
                service,
                seq,
                digest,
                first,
                count,
            })
        },
    );
    let done =
        (sealed(), name(), seq()).prop_map(|(token, service, seq)| Packet::Done(wire::Done { token, service, seq }));
    let close = (sealed(), name()).prop_map(|(token, service)| Packet::Close(wire::Close { token, service }));
    prop_oneof![open, request().prop_map(Packet::Request), pull, done, close]
}

fn verdict() -> impl Strategy<Value = Verdict> {
    prop_oneof![Just(Verdict::NotRun), Just(Verdict::MayHaveRun)]
}

fn reason() -> impl Strategy<Value = Reason> {
    prop_oneof![Just(Reason::Overload), Just(Reason::OwnerGone), Just(Reason::Token)]
}

fn subject() -> impl Strategy<Value = RefusalSubject> {
    prop_oneof![
        any::<u64>().prop_map(|nonce| RefusalSubject::Open(Nonce(nonce))),
        (flow(), seq()).prop_map(|(flow, seq)| RefusalSubject::Request(flow, seq)),
        (flow(), seq(), digest()).prop_map(|(flow, seq, digest)| RefusalSubject::Pull(flow, seq, digest)),
        seq().prop_map(RefusalSubject::Unread),
    ]
}

/// Generates replies that fit into a datagram.
pub fn reply() -> impl Strategy<Value = Reply> {
    let opened = (any::<u64>(), flow(), granted()).prop_map(|(nonce, flow, granted)| {
        Reply::Opened(Opened {
            nonce: Nonce(nonce),
            flow,
            granted,
        })
    });
    let accepted = (flow(), seq()).prop_map(|(flow, seq)| Reply::Accepted(Accepted { flow, seq }));
    let head = (any::<u32>(), digest()).prop_map(|(len, digest)| AnswerHeader { len, digest });
    let chunk = ((flow(), seq()), head, any::<u32>(), bytes(600), option::of(granted())).prop_map(
        |((flow, seq), head, index, data, granted)| {
            Reply::Chunk(Chunk {
                flow,
                seq,
                head,
                index,
                data,
                granted,
            })
        },
    );
    let refused = (subject(), verdict(), reason(), any::<u32>(), option::of(granted())).prop_map(
        |(subject, verdict, reason, millis, granted)| {
            Reply::Refused(Refused {
                subject,
                verdict,
                reason,
                retry_after: Millis(millis),
                granted,
            })
        },
    );
    prop_oneof![opened, accepted, chunk, refused]
}

fn entry() -> impl Strategy<Value = RequestRecord> {
    let place = (address(), name(), any::<(bool, u32)>());
    let queued =
        (place, vec(name(), 0..3), request()).prop_map(|((caller, zone, (in_doubt, millis)), avoid, request)| {
            RequestRecord::Queued(QueuedRequest {
                caller,
                zone,
                in_doubt,
                avoid,
                request,
                remaining: Millis(millis),
            })
        });
    let answered = vec(any::<u8>(), 0..500).prop_map(|body| RequestRecord::Answered(Answer::new(body)));
    let refused = (verdict(), reason()).prop_map(|(verdict, reason)| RequestRecord::Refused(verdict, reason));
    prop_oneof![
        queued,
        answered,
        refused,
        incarnation().prop_map(RequestRecord::Running),
        Just(RequestRecord::Forgotten)
    ]
}

fn successor() -> impl Strategy<Value = Successor> {
    (name(), incarnation(), name(), incarnation()).prop_map(|(from, from_incarnation, to, to_incarnation)| Successor {
        from,
        from_incarnation,
        to,
        to_incarnation,
    })
}

fn handover() -> impl Strategy<Value = Handover> {
    let flow = (incarnation(), flow(), seq(), seq(), vec((seq(), entry()), 0..4)).prop_map(
        |(owner, flow, floor, sent, entries)| HandoverFlow {
            owner,
            flow,
            floor,
            sent,
            entries,
        },
    );
    let predecessor = (name(), incarnation()).prop_map(|(name, incarnation)| InstanceIncarnation { name, incarnation });
    (
        successor(),
        vec(predecessor, 0..3),
        vec(flow, 0..4),
        any::<(u32, u32)>(),
    )
        .prop_map(|(successor, inherited, flows, (part, parts))| Handover {
            successor,
            inherited,
            flows,
            part,
            parts,
        })
}

fn gossip() -> impl Strategy<Value = Gossip> {
    let member = (name(), incarnation(), name(), address(), any::<u32>()).prop_map(
        |(name, incarnation, zone, address, refutation)| Member {
            name,
            incarnation,
            zone,
            address,
            state: MemberState::Suspect,
            refutation,
        },
    );
    let leaving = (name(), incarnation()).prop_map(|(name, incarnation)| LeavingUpstream { name, incarnation });
    let document = option::of((any::<u64>().prop_map(Revision), digest()));
    (
        any::<u64>(),
        vec(member, 0..5),
        vec(successor(), 0..3),
        vec(leaving, 0..3),
        document,
    )
        .prop_map(|(view, members, successors, leaving, document)| Gossip {
            view,
            members,
            successors,
            leaving,
            document,
        })
}

fn acquire() -> impl Strategy<Value = Acquire> {
    let names = (name(), name(), name());
    (any::<(u64, u32)>(), names, option::of(name()), vec(name(), 0..3)).prop_map(
        |((ticket, millis), (service, kind, zone), pinned, avoid)| Acquire {
            ticket: TicketId(ticket),
            service,
            kind,
            zone,
            remaining: Millis(millis),
            pinned,
            avoid,
        },
    )
}

/// Generates the kinds of frame that contain lists, byte strings or other messages.
pub fn frame() -> impl Strategy<Value = Frame> {
    let forward = (address(), name(), packet(), any::<u8>()).prop_map(|(caller, zone, packet, hops)| {
        Frame::Forward(Forward {
            caller,
            zone,
            packet,
            hops,
        })
    });
    let document = (any::<u64>(), bytes(5_000)).prop_map(|(revision, text)| {
        Frame::Document(Document {
            revision: Revision(revision),
            text,
        })
    });
    prop_oneof![
        forward,
        acquire().prop_map(Frame::Acquire),
        handover().prop_map(Frame::Handover),
        (any::<u64>(), gossip()).prop_map(|(nonce, gossip)| Frame::Probe(nonce, gossip)),
        gossip().prop_map(Frame::News),
        document,
    ]
}
