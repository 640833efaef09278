//! Benchmarks of sharing the load of upstreams, in a fleet of 88 instances with 40 upstreams in a zone.

#[expect(dead_code, reason = "each program uses a part of it")]
mod support;

use std::time::Duration;

use divan::Bencher;
use divan::black_box;
use flow::Core;
use flow::Flags;
use flow::LoadGroup;
use flow::LoadReport;
use flow::Packet;
use flow::ReportedWork;
use flow::ReporterId;
use flow::UpstreamId;
use flow::Verdict;
use flow::WorkCounts;
use units::Incarnation;
use units::Time;

use crate::support::START;
use crate::support::core_with_zones;
use crate::support::opening_packet;

const UPSTREAMS: u64 = 40;
const INSTANCES: u64 = 88;
const STEP: Duration = Duration::from_millis(100);

fn main() {
    divan::main();
}

/// A report of changes at eight upstreams, or of all values.
fn report(from: u64, seq: u64, is_all: bool) -> LoadReport {
    let count = if is_all { UPSTREAMS } else { 8 };
    let values = (1..=count).map(|id| {
        let counts = WorkCounts {
            in_flight: (seq % 3) as u32,
            open_flows: 3,
            completed: seq as u32,
        };
        (UpstreamId((id * from) % UPSTREAMS + 1).echo(), counts)
    });
    let values = values.collect();
    LoadReport {
        group: LoadGroup {
            service: "quotes".into(),
            zone: "z0".parse().unwrap(),
            number: 0,
        },
        seq,
        is_from_other_zone: false,
        work: if is_all {
            ReportedWork::All(values)
        } else {
            ReportedWork::Changed(values)
        },
        classes: Vec::new(),
    }
}

/// A collector with the reports of all instances, that is about to send digests.
fn collector() -> (Core, Time) {
    let mut core = core_with_zones(UPSTREAMS, 1, 1);
    let mut now = START;
    for seq in 1..=20 {
        now = now + STEP;
        for from in 1..=INSTANCES {
            core.receive_load_report(ReporterId(from), Incarnation(1), &report(from, seq, seq % 10 == 1), now);
        }
        core.take_load_digests(now);
    }
    (core, now)
}

/// Applies one report of changes.
#[divan::bench]
fn receive_report(bencher: Bencher) {
    let (mut core, now) = collector();
    let mut seq = 100;
    bencher.bench_local(|| {
        seq += 1;
        let report = report(7, seq, false);
        black_box(core.receive_load_report(ReporterId(7), Incarnation(1), &report, now))
    });
}

/// Takes the digest for all instances.
#[divan::bench]
fn take_digest(bencher: Bencher) {
    let (mut core, mut now) = collector();
    bencher.bench_local(|| {
        now = now + Duration::from_millis(1);
        black_box(core.take_load_digests(now))
    });
}

/// Applies a digest of 40 upstreams.
#[divan::bench]
fn receive_digest(bencher: Bencher) {
    let (mut core, now) = collector();
    let mut digest = core.take_load_digests(now + STEP).remove(0).digest;
    bencher.bench_local(|| {
        digest.seq += 1;
        black_box(core.receive_load_digest(ReporterId(1), Incarnation(1), &digest, now))
    });
}

/// Takes the reports of an instance with flows at this many upstreams of one service, one call in ten of which samples.
#[divan::bench(args = [40, 13_000])]
fn take_reports(bencher: Bencher, upstreams: u64) {
    let mut core = core_with_zones(upstreams, 1, 1);
    for client in 0..4_000 {
        let opening = opening_packet(client);
        let Verdict::Forward { echo, .. } = core.handle_packet(&opening, START) else {
            panic!("the opening packet was not forwarded");
        };
        let packet = Packet {
            flags: Flags::ACK,
            echo,
            seq: 2,
            ack: 1,
            ..opening
        };
        core.handle_packet(&packet, START);
    }
    let mut now = START;
    bencher.bench_local(|| {
        now = now + STEP;
        black_box(core.take_load_reports(now))
    });
}
