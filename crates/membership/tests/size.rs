//! What a member remembers follows the fleet, and what strangers make up does not.

use std::net::SocketAddr;

use membership::Membership;
use membership::Timing;
use units::Incarnation;
use units::InstanceName;
use units::Time;
use wire::Frame;
use wire::Gossip;
use wire::Member;
use wire::MemberState;

const NOW: Time = Time(1_000_000);

fn name(index: usize) -> InstanceName {
    format!("i{index}").parse().unwrap()
}

fn member(index: usize, state: MemberState) -> Member {
    Member {
        name: name(index),
        incarnation: Incarnation(index as u64 + 1),
        zone: format!("z{}", index % 5).parse().unwrap(),
        address: SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000)),
        state,
        refutation: u32::from(state != MemberState::Alive),
    }
}

/// Tells a member of others in this state.
fn tell(to: &mut Membership, indices: impl Iterator<Item = usize>, state: MemberState) {
    let gossip = Gossip {
        members: indices.map(|index| member(index, state)).collect(),
        ..Gossip::default()
    };
    let teller = member(1, MemberState::Alive);
    to.handle(
        NOW,
        &teller.name,
        teller.incarnation,
        &Frame::News(gossip),
        &mut Vec::new(),
    );
}

fn member_of(count: usize) -> Membership {
    let mut membership = Membership::new(member(0, MemberState::Alive), Timing::default(), 1, NOW);
    tell(&mut membership, 1..count, MemberState::Alive);
    membership
}

/// More than half of a fleet goes at once: all who went are remembered.
#[test]
fn all_who_died_at_once_are_remembered_in_a_large_fleet() {
    for count in [985, 2_400] {
        let mut membership = member_of(count);
        let dead = || (2..count).filter(|index| index % 20 < 11);
        tell(&mut membership, dead(), MemberState::Leaving);
        tell(&mut membership, dead(), MemberState::Dead);
        assert_eq!(membership.dead().count(), dead().count(), "of {count}");
    }
}

#[test]
fn dead_members_that_nobody_ever_saw_alive_are_forgotten() {
    let mut membership = member_of(9);
    tell(&mut membership, 100..3_000, MemberState::Dead);
    assert!(membership.dead().count() <= 256);
}
