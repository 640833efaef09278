//! Checks what the start of a whole fleet costs the instance that is contacted first, and how soon newcomers learn of
//! others.

use std::net::SocketAddr;

use membership::Membership;
use membership::Output;
use membership::Timing;
use units::Incarnation;
use units::Time;
use wire::Frame;
use wire::Member;
use wire::MemberState;

const NOW: Time = Time(1_000_000);

fn member(number: u16) -> Member {
    Member {
        name: format!("entry-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        zone: "zone-a".parse().unwrap(),
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        state: MemberState::Alive,
        refutation: 0,
    }
}

fn membership(number: u16) -> Membership {
    Membership::new(member(number), Timing::default(), u64::from(number), NOW)
}

/// The answer of the seed to a newcomer that introduces itself: the members in each frame.
fn answer(seed: &mut Membership, newcomer: u16) -> Vec<Vec<Member>> {
    let me = member(newcomer);
    let frame = Frame::News(membership(newcomer).introduction());
    let mut out = Vec::new();
    seed.handle(NOW, &me.name, me.incarnation, &frame, &mut out);
    let frames = out.into_iter().filter_map(|output| match output {
        Output::Send {
            to,
            frame: Frame::News(gossip),
            ..
        } if to == me.name => Some(gossip.members),
        _ => None,
    });
    frames.collect()
}

/// A newcomer learns the known members from the answer to its first frame.
#[test]
fn a_newcomer_learns_the_known_members_at_once() {
    let mut seed = membership(1);
    for newcomer in 2..60 {
        let listed = answer(&mut seed, newcomer).concat();
        for known in 1..newcomer {
            assert!(
                listed.contains(&member(known)),
                "newcomer {newcomer} did not learn of member {known}"
            );
        }
    }
}

/// In a fleet of thousands that starts at once, each newcomer costs the seed one frame of 64 members, about 4 kB.
/// Sending all members to each newcomer would take 350 MB for 2,400 members.
#[test]
fn a_newcomer_costs_one_frame_however_large_the_fleet_is() {
    let mut seed = membership(1);
    for newcomer in 2..1_000 {
        let listed = answer(&mut seed, newcomer);
        assert_eq!(listed.len(), 1, "newcomer {newcomer}");
        assert!(listed[0].len() <= 64);
        assert!(listed[0].contains(&member(1)));
    }
}

/// When many updates are queued, as when a fleet starts, more of them are piggybacked on each answer to a probe, but
/// never more than fit a packet.
#[test]
fn many_queued_updates_share_a_probe_answer_but_fit_a_packet() {
    let mut seed = membership(1);
    for newcomer in 2..100 {
        answer(&mut seed, newcomer);
    }
    let prober = member(2);
    let probe = Frame::Probe(1, membership(2).introduction());
    let mut out = Vec::new();
    seed.handle(NOW, &prober.name, prober.incarnation, &probe, &mut out);
    let listed = out.into_iter().find_map(|output| match output {
        Output::Send {
            frame: Frame::ProbeAck(_, gossip),
            ..
        } => Some(gossip.members.len()),
        _ => None,
    });
    assert!(listed.is_some_and(|listed| (15..=22).contains(&listed)), "{listed:?}");
}
