//! Upstreams that fall silent are found by all instances together, as soon in a large fleet as in a small one, and living ones
//! are left alone whatever is lost on the way.

#[expect(dead_code, reason = "each program uses a part of it")]
#[path = "../benches/support/mod.rs"]
mod support;

mod fleet;

use std::time::Duration;

use flow::Report;
use flow::ReporterId;
use flow::Sample;
use flow::Status;
use flow::StatusUpdate;
use flow::UpstreamId;

use crate::fleet::Outcome;
use crate::fleet::Plan;
use crate::fleet::play;
use crate::support::START;
use crate::support::core_in;

/// Every how many-th upstream falls silent.
const DARK_EACH: u64 = 7;

fn darkened(instances: u64) -> Plan {
    let plan = Plan::new(instances, 1);
    let dark = (1..=plan.upstreams).filter(|upstream| upstream.is_multiple_of(DARK_EACH));
    Plan {
        dark: dark.collect(),
        ..plan
    }
}

fn median(times: &[Duration]) -> Duration {
    let mut times = times.to_vec();
    times.sort_unstable();
    times[times.len() / 2]
}

/// All dark upstreams are found, half of them within a second, and all of their flows are reset at once.
fn assert_found_soon(instances: u64) {
    let plan = darkened(instances);
    let Outcome {
        found,
        last_reset,
        false_resets,
        false_words,
        ..
    } = play(&plan);
    assert_eq!((false_resets, false_words), (0, 0));
    assert_eq!(found.len(), plan.dark.len(), "{found:?}");
    let times: Vec<Duration> = found.values().copied().collect();
    assert!(median(&times) < Duration::from_secs(1), "{times:?}");
    for (upstream, found) in found {
        let reset = last_reset.get(&upstream).copied().unwrap_or_default();
        assert!(
            reset <= found + Duration::from_millis(300),
            "{upstream}: {found:?}, {reset:?}"
        );
    }
}

#[test]
fn nine_instances_find_silent_upstreams_within_a_second() {
    assert_found_soon(9);
}

#[test]
fn sixty_seven_instances_find_silent_upstreams_within_a_second() {
    assert_found_soon(67);
}

#[test]
fn two_hundred_instances_find_silent_upstreams_within_a_second() {
    assert_found_soon(195);
}

#[test]
fn three_hundred_instances_find_silent_upstreams_within_a_second() {
    assert_found_soon(300);
}

fn assert_nothing_false(plan: &Plan) {
    let outcome = play(plan);
    assert!(outcome.requests > 1_000);
    assert_eq!((outcome.false_words, outcome.false_resets), (0, 0), "{plan:?}");
}

#[test]
fn loss_alone_is_no_silence() {
    for (seed, loss) in [(2, 0.003), (3, 0.03), (4, 0.1), (5, 0.3)] {
        for lossy_each in [1, 10] {
            assert_nothing_false(&Plan {
                loss,
                lossy_each,
                ..Plan::new(67, seed)
            });
        }
    }
}

/// Each of many instances sees little of an upstream, so that a flow whose packets were lost three times in a row looks there as
/// if its upstream were silent.
#[test]
fn a_flow_of_a_large_fleet_that_loses_packets_is_left_alone() {
    assert_nothing_false(&Plan {
        loss: 0.03,
        span: Duration::from_secs(20),
        ..Plan::new(300, 1)
    });
}

#[test]
fn slow_upstreams_are_not_silent() {
    assert_nothing_false(&Plan {
        response: 0.15,
        ..Plan::new(67, 6)
    });
}

#[test]
fn instances_whose_packets_are_lost_convince_nobody() {
    assert_nothing_false(&Plan {
        deaf: (0..67).filter(|index| index % 5 == 0).collect(),
        ..Plan::new(67, 7)
    });
}

/// Documents of thousands of routes, handed from one instance to the next, fill small links for a second or two, and what an
/// instance forwards meanwhile arrives after its client has sent it again.
#[test]
fn instances_whose_own_links_are_full_believe_no_upstream_silent() {
    for (instances, seed) in [(9, 11), (9, 12), (67, 13)] {
        for delay_ms in [250, 900] {
            let plan = Plan::new(instances, seed);
            assert_nothing_false(&Plan {
                flows: plan.flows * 3,
                full: (0..instances).filter(|index| index % 3 == 1).collect(),
                delay: Duration::from_millis(delay_ms),
                full_for: Duration::from_secs(6),
                last: 2,
                span: Duration::from_secs(12),
                ..plan
            });
        }
    }
}

#[test]
fn instances_that_wake_convince_nobody() {
    assert_nothing_false(&Plan {
        frozen: (0..67).filter(|index| index % 7 == 0).collect(),
        ..Plan::new(67, 8)
    });
}

#[test]
fn upstreams_that_return_get_flows_again() {
    let plan = Plan {
        dark_for: Duration::from_secs(3),
        span: Duration::from_secs(16),
        ..darkened(67)
    };
    let outcome = play(&plan);
    assert_eq!((outcome.false_words, outcome.false_resets), (0, 0));
}

/// What another instance says may be any number.
#[test]
fn any_number_from_other_instances_harms_nothing() {
    let mut core = core_in(0, 3, 1, 1);
    let id = UpstreamId(1);
    let report = Report {
        upstream: id,
        stalled: u32::MAX,
        signs: u32::MAX,
        waiting_for: Duration::ZERO,
        silent_for: Duration::MAX,
        loss: Sample {
            attempts: u16::MAX,
            tenths_lost: u16::MAX,
        },
        is_in_doubt: false,
    };
    let later = START + Duration::from_secs(1);
    for from in 0..3 {
        core.receive_reports(ReporterId(from), &[report], later);
    }
    assert_eq!(core.take_due_inquiries(later), [id]);
    core.start_inquiry(id, 2, later);
    for from in 0..2 {
        core.receive_inquiry_replies(ReporterId(from), &[report], later);
    }
    let silent = Status::Silent {
        silent_for: Duration::MAX,
        signs: u32::MAX,
        instances: u32::MAX,
    };
    let alive = Status::Alive {
        answered_ago: Duration::MAX,
    };
    for (round, status) in [(u32::MAX - 1, silent), (u32::MAX, alive)] {
        core.receive_status_updates(
            &[StatusUpdate {
                upstream: id,
                round,
                status,
            }],
            later,
        );
    }
    let heard = core.take_received_updates(later + Duration::from_secs(1));
    assert_eq!(heard.len(), 2);
}
