//! The instances together detect upstreams that stop responding, as fast in a large fleet as in a small one, and never
//! take a live upstream for silent, whatever packets are lost.

#[expect(dead_code, reason = "each program uses a part of it")]
#[path = "../benches/support/mod.rs"]
mod support;

#[expect(dead_code, reason = "each program uses a part of it")]
mod fleet;

use std::time::Duration;

use flow::Report;
use flow::ReporterId;
use flow::Sample;
use flow::Status;
use flow::StatusUpdate;
use flow::UpstreamId;

use crate::fleet::FleetConfig;
use crate::fleet::Outcome;
use crate::fleet::simulate;
use crate::support::START;
use crate::support::core_in_zone;

/// One in this many upstreams stops responding.
const SILENT_EVERY: u64 = 7;

fn with_silent_upstreams(instances: u64) -> FleetConfig {
    let config = FleetConfig::new(instances, 1);
    let silent = (1..=config.upstreams).filter(|upstream| upstream.is_multiple_of(SILENT_EVERY));
    FleetConfig {
        silent: silent.collect(),
        ..config
    }
}

fn median(times: &[Duration]) -> Duration {
    let mut times = times.to_vec();
    times.sort_unstable();
    times[times.len() / 2]
}

/// Checks that all silent upstreams are detected, half of them within a second, and that their flows are reset within
/// 300 ms of detection.
fn assert_detected_soon(instances: u64) {
    let config = with_silent_upstreams(instances);
    let Outcome {
        detected,
        last_reset,
        false_resets,
        false_detections,
        ..
    } = simulate(&config);
    assert_eq!((false_resets, false_detections), (0, 0));
    assert_eq!(detected.len(), config.silent.len(), "{detected:?}");
    let times: Vec<Duration> = detected.values().copied().collect();
    assert!(median(&times) < Duration::from_secs(1), "{times:?}");
    for (upstream, detected) in detected {
        let reset = last_reset.get(&upstream).copied().unwrap_or_default();
        assert!(
            reset <= detected + Duration::from_millis(300),
            "{upstream}: {detected:?}, {reset:?}"
        );
    }
}

#[test]
fn nine_instances_find_silent_upstreams_within_a_second() {
    assert_detected_soon(9);
}

#[test]
fn sixty_seven_instances_find_silent_upstreams_within_a_second() {
    assert_detected_soon(67);
}

#[test]
fn two_hundred_instances_find_silent_upstreams_within_a_second() {
    assert_detected_soon(195);
}

#[test]
fn three_hundred_instances_find_silent_upstreams_within_a_second() {
    assert_detected_soon(300);
}

fn assert_no_false_detections(config: &FleetConfig) {
    let outcome = simulate(config);
    assert!(outcome.requests > 1_000);
    assert_eq!((outcome.false_detections, outcome.false_resets), (0, 0), "{config:?}");
}

#[test]
fn packet_loss_alone_is_not_silence() {
    for (seed, loss) in [(2, 0.003), (3, 0.03), (4, 0.1), (5, 0.3)] {
        for lossy_every in [1, 10] {
            assert_no_false_detections(&FleetConfig {
                loss,
                lossy_every,
                ..FleetConfig::new(67, seed)
            });
        }
    }
}

/// In a large fleet each instance sees few flows of an upstream, so a flow whose packets were lost three times in a row
/// looks like one of a silent upstream.
#[test]
fn a_flow_of_a_large_fleet_that_loses_packets_is_not_reset() {
    assert_no_false_detections(&FleetConfig {
        loss: 0.03,
        duration: Duration::from_secs(20),
        ..FleetConfig::new(300, 1)
    });
}

#[test]
fn slow_upstreams_are_not_silent() {
    assert_no_false_detections(&FleetConfig {
        mean_response_secs: 0.15,
        ..FleetConfig::new(67, 6)
    });
}

#[test]
fn partitioned_instances_cause_no_false_detections() {
    assert_no_false_detections(&FleetConfig {
        partitioned: (0..67).filter(|index| index % 5 == 0).collect(),
        ..FleetConfig::new(67, 7)
    });
}

/// Documents of thousands of routes, passed between instances, congest small links for a second or two. What an
/// instance forwards meanwhile arrives after the client has retransmitted it.
#[test]
fn congested_instances_cause_no_false_detections() {
    for (instances, seed) in [(9, 11), (9, 12), (67, 13)] {
        for delay_ms in [250, 900] {
            let config = FleetConfig::new(instances, seed);
            assert_no_false_detections(&FleetConfig {
                flows: config.flows * 3,
                congested: (0..instances).filter(|index| index % 3 == 1).collect(),
                congestion_delay: Duration::from_millis(delay_ms),
                congestion_duration: Duration::from_secs(6),
                requests_per_flow: 2,
                duration: Duration::from_secs(12),
                ..config
            });
        }
    }
}

#[test]
fn resumed_instances_cause_no_false_detections() {
    assert_no_false_detections(&FleetConfig {
        suspended: (0..67).filter(|index| index % 7 == 0).collect(),
        ..FleetConfig::new(67, 8)
    });
}

#[test]
fn upstreams_that_respond_again_cause_no_false_detections() {
    let config = FleetConfig {
        silence_duration: Duration::from_secs(3),
        duration: Duration::from_secs(16),
        ..with_silent_upstreams(67)
    };
    let outcome = simulate(&config);
    assert_eq!((outcome.false_detections, outcome.false_resets), (0, 0));
}

/// Other instances may send arbitrary numbers; arithmetic on them must not overflow.
#[test]
fn extreme_values_from_other_instances_are_accepted() {
    let mut core = core_in_zone(0, 3, 1, 1);
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
    let received = core.take_received_updates(later + Duration::from_secs(1));
    assert_eq!(received.len(), 2);
}
