//! Checks the invariants that hold whatever frames other instances send, in any order and with any numbers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use membership::Membership;
use membership::Timing;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Incarnation;
use units::InstanceName;
use units::Time;
use wire::Frame;
use wire::Gossip;
use wire::LeavingUpstream;
use wire::Member;
use wire::MemberState;
use wire::Successor;

const NAMES: [&str; 5] = ["me", "a", "b", "c", "d"];
const NUMBERS: [u64; 4] = [0, 1, 2, u64::MAX];
const REFUTATIONS: [u32; 4] = [0, 1, 2, u32::MAX];
const STATES: [MemberState; 4] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Leaving,
    MemberState::Dead,
];

fn pick<T: Copy>(rng: &mut SmallRng, from: &[T]) -> T {
    from[rng.random_range(0..from.len())]
}

fn name(rng: &mut SmallRng) -> InstanceName {
    pick(rng, &NAMES).parse().expect("a valid name")
}

fn member(rng: &mut SmallRng) -> Member {
    Member {
        name: name(rng),
        incarnation: Incarnation(pick(rng, &NUMBERS)),
        zone: "z".parse().expect("a valid name"),
        address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        state: pick(rng, &STATES),
        refutation: pick(rng, &REFUTATIONS),
    }
}

fn gossip(rng: &mut SmallRng) -> Gossip {
    Gossip {
        view: pick(rng, &NUMBERS),
        members: (0..rng.random_range(0..4)).map(|_| member(rng)).collect(),
        successors: vec![Successor {
            from: name(rng),
            from_incarnation: Incarnation(pick(rng, &NUMBERS)),
            to: name(rng),
            to_incarnation: Incarnation(pick(rng, &NUMBERS)),
        }],
        leaving: vec![LeavingUpstream {
            name: "target".parse().expect("a valid name"),
            incarnation: Incarnation(rng.random_range(0..3)),
        }],
        document: None,
    }
}

fn frame(rng: &mut SmallRng) -> Frame {
    match rng.random_range(0..4) {
        0 => Frame::Probe(pick(rng, &NUMBERS), gossip(rng)),
        1 => Frame::ProbeAck(pick(rng, &NUMBERS), gossip(rng)),
        2 => Frame::ProbeFor(pick(rng, &NUMBERS), name(rng)),
        _ => Frame::News(gossip(rng)),
    }
}

fn check(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let me = Member {
        incarnation: Incarnation(1),
        refutation: 0,
        name: "me".parse().expect("a valid name"),
        ..member(&mut rng)
    };
    let mut now = Time(1_000_000);
    let mut membership = Membership::new(me, Timing::default(), seed, now);
    let mut refutation = 0;
    let mut marked = 0;
    for _ in 0..300 {
        now = now + Duration::from_millis(rng.random_range(0..400));
        let mut out = Vec::new();
        let (from, incarnation) = (name(&mut rng), Incarnation(pick(&mut rng, &NUMBERS)));
        membership.handle(now, &from, incarnation, &frame(&mut rng), &mut out);
        match rng.random_range(0..40) {
            0 => membership.leave(now, &mut out),
            1 => membership.session_lost(now, &name(&mut rng), &mut out),
            _ => membership.tick(now, &mut out),
        }
        assert_ne!(membership.me().state, MemberState::Dead, "seed {seed}");
        assert!(
            membership.me().refutation >= refutation,
            "seed {seed}: the refutation number decreased"
        );
        refutation = membership.me().refutation;
        let names: Vec<&InstanceName> = membership.members().map(|member| &member.name).collect();
        let distinct: BTreeSet<&InstanceName> = names.iter().copied().collect();
        assert_eq!(names.len(), distinct.len(), "seed {seed}: a name is listed twice");
        let target = "target".parse().expect("a valid name");
        let count = (0..3)
            .filter(|n| membership.is_leaving(&target, Incarnation(*n)))
            .count();
        assert!(count >= marked, "seed {seed}: a leaving mark was withdrawn");
        marked = count;
    }
    // By now the records form cycles and lead to unknown incarnations, and following each chain must still end.
    for name in NAMES {
        for number in NUMBERS {
            let name = name.parse().expect("a valid name");
            membership.standing(&name, Incarnation(number));
        }
    }
}

#[test]
fn invariants_hold_for_arbitrary_frames() {
    for seed in 0..400 {
        check(seed);
    }
}
