//! Tests that checks reach an instance with access to the store in time, and that their number stays bounded.
//!
//! Simulates rounds of checks in virtual time, with checks forwarded as the instances do it. The instances without
//! access to the store are chosen adversarially: those that were asked last, again and again.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use jayquayd::forward::check::ANSWER_TIMEOUT;
use jayquayd::forward::check::Action;
use jayquayd::forward::check::CheckRequest;
use jayquayd::forward::check::CheckState;
use jayquayd::forward::check::MAX_INSTANCES;
use jayquayd::forward::check::ROUND_DURATION;
use membership::Membership;
use membership::Timing;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use units::Incarnation;
use units::Time;
use wire::Frame;
use wire::Gossip;
use wire::Member;
use wire::MemberState;

/// Start of the first round.
const START: Time = Time(1_000_000_000_000);

fn member(number: usize) -> Member {
    Member {
        name: format!("entry-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        zone: format!("zone-{}", number % 3).parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: MemberState::Alive,
        refutation: 0,
    }
}

/// State of a simulated fleet.
struct Fleet {
    members: Membership,
    states: Vec<CheckState>,
}

/// Result of a round.
#[derive(Debug, Default)]
struct Outcome {
    /// Time from the start of the round until an instance with access to the store called it.
    answered_after: Option<Duration>,
    /// The instances that called the store, in order.
    callers: Vec<usize>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let mut members = Membership::new(member(0), Timing::default(), 1, START);
        let gossip = Gossip {
            members: (1..size).map(member).collect(),
            ..Gossip::default()
        };
        let sender = member(1);
        let mut out = Vec::new();
        members.handle(START, &sender.name, sender.incarnation, &Frame::News(gossip), &mut out);
        assert_eq!(members.members().count(), size);
        let states = (0..size).map(|_| CheckState::default()).collect();
        Self { members, states }
    }

    /// The instances, ordered by their rank in a round.
    fn ranked(&self, round: u64) -> Vec<usize> {
        let number = |member: &Member| member.name.as_str().trim_start_matches("entry-").parse().unwrap();
        self.members.ranked_members(round).into_iter().map(number).collect()
    }

    /// Simulates a round in which some instances are cut off from the store.
    fn run_round(&mut self, round: u64, is_cut_off: impl Fn(usize) -> bool) -> Outcome {
        let ranked = self.ranked(round);
        let mut outcome = Outcome::default();
        let mut requests = VecDeque::from([(Duration::ZERO, CheckRequest::first(round))]);
        while let Some((after, request)) = requests.pop_front() {
            let Some(&asked) = ranked.get(request.rank) else {
                continue;
            };
            let now = Time(round * 1_000_000) + after;
            let mut forwarded_after = None;
            match self.states[asked].decide(request, now) {
                Action::Ignore => {}
                Action::Forward => forwarded_after = Some(after),
                Action::Call => {
                    outcome.callers.push(asked);
                    if is_cut_off(asked) {
                        self.states[asked].note_unreachable(now + ANSWER_TIMEOUT);
                        forwarded_after = Some(after + ANSWER_TIMEOUT);
                    } else {
                        let answered_after = outcome.answered_after.unwrap_or(after);
                        outcome.answered_after = Some(answered_after.min(after));
                    }
                }
            }
            if let Some(after) = forwarded_after {
                requests.extend(
                    request
                        .forwarded_ranks()
                        .map(|rank| (after, CheckRequest { rank, ..request })),
                );
            }
        }
        outcome
    }
}

fn first_round() -> u64 {
    START.0 / u64::try_from(ROUND_DURATION.as_micros()).unwrap()
}

/// In a fleet that one round covers completely, a single instance with access to the store is enough, whichever it is:
/// a change is found within the round and two forwarding delays.
#[test]
fn one_remaining_instance_finds_a_change_in_time() {
    for size in 2..=MAX_INSTANCES {
        for left in 0..size {
            let mut fleet = Fleet::new(size);
            for round in first_round()..first_round() + 20 {
                let outcome = fleet.run_round(round, |instance| instance != left);
                let answered_after = outcome.answered_after;
                assert!(
                    answered_after.is_some_and(|after| ROUND_DURATION + after <= Duration::from_millis(1_800)),
                    "{left} of {size} in round {round}: {outcome:?}"
                );
            }
        }
    }
}

/// A store that answers nobody is called by at most as many instances per round as a round reaches, whatever the size
/// of the fleet, and by each instance at most every other second, except for the one selected first.
#[test]
fn a_store_that_serves_nobody_is_asked_by_few() {
    for size in [1, 8, 65, 300, 2_400] {
        let mut fleet = Fleet::new(size);
        let mut calls = 0;
        let rounds = 60;
        for round in first_round()..first_round() + rounds {
            let outcome = fleet.run_round(round, |_| true);
            assert!(outcome.callers.len() <= MAX_INSTANCES, "{size}: {outcome:?}");
            calls += outcome.callers.len();
        }
        let most = 60 * MAX_INSTANCES.min(size / 2 + 1);
        assert!(calls <= most, "{size}: {calls} calls");
    }
}

#[test]
fn a_store_that_serves_all_is_asked_once_a_round() {
    for size in [1, 8, 300] {
        let mut fleet = Fleet::new(size);
        for round in first_round()..first_round() + 20 {
            assert_eq!(fleet.run_round(round, |_| false).callers.len(), 1);
        }
    }
}

/// The rank comes from the network and may be any number.
#[test]
fn a_request_of_any_rank_is_forwarded_to_few() {
    for rank in [0, 1, 5, MAX_INSTANCES, usize::MAX / 4, usize::MAX] {
        let next = CheckRequest { round: u64::MAX, rank }.forwarded_ranks();
        assert!(next.len() <= 4 && next.end <= MAX_INSTANCES, "{rank}: {next:?}");
    }
}

/// Selection is spread evenly over the instances.
#[test]
fn each_instance_is_selected_about_as_often() {
    let fleet = Fleet::new(8);
    let mut times = [0; 8];
    for round in 0..800 {
        times[fleet.ranked(round)[0]] += 1;
    }
    assert!(times.iter().all(|times| (70..=130).contains(times)), "{times:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// In each round, the instances that called the store last are cut off, up to a share of the fleet, and the
    /// earliest ones regain access.
    #[test]
    fn instances_cut_off_one_after_another_leave_others_that_find_changes(size in 4_usize..300, share in 0.1_f64..0.75) {
        let mut fleet = Fleet::new(size);
        let most = ((size as f64 * share) as usize).min(size - 1);
        let mut recent_callers: VecDeque<usize> = VecDeque::new();
        let mut unanswered_rounds = 0;
        for round in first_round()..first_round() + 40 {
            let cut_off: BTreeSet<usize> = recent_callers.iter().copied().collect();
            let outcome = fleet.run_round(round, |instance| cut_off.contains(&instance));
            unanswered_rounds = if outcome.answered_after.is_some() { 0 } else { unanswered_rounds + 1 };
            assert!(unanswered_rounds < 2, "{size}, {most} cut, round {round}: {outcome:?}");
            for caller in outcome.callers {
                recent_callers.retain(|held| *held != caller);
                recent_callers.push_back(caller);
            }
            while recent_callers.len() > most {
                recent_callers.pop_front();
            }
        }
    }
}
