//! Benchmarks of packet processing in the flow core.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use divan::Bencher;
use divan::black_box;
use flow::Contender;
use flow::Core;
use flow::Flags;
use flow::Packet;
use flow::Spillover;
use flow::UpstreamId;
use flow::Verdict;
use flow::View;
use flow::Warmth;
use flow::ZoneLoad;
use flow::choose;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Time;
use units::ZoneName;

use crate::support::START;
use crate::support::core;
use crate::support::opening_packet;

fn main() {
    divan::main();
}

/// Opens a flow and returns its next packet.
fn open(core: &mut Core, client: u32) -> Packet {
    let opening = opening_packet(client);
    let Verdict::Forward { echo, .. } = core.handle_packet(&opening, START) else {
        panic!("the opening packet was not forwarded");
    };
    core.take_decisions();
    Packet {
        flags: Flags::ACK,
        echo,
        seq: 2,
        ack: 1,
        ..opening
    }
}

/// Forwards a packet of one of 28,000 open flows.
#[divan::bench(args = [14, 150, 1_300])]
fn forward(bencher: Bencher, upstreams: u64) {
    let mut core = core(upstreams);
    let mut flows: Vec<Packet> = (0..28_000).map(|client| open(&mut core, client)).collect();
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 7_919) % flows.len();
        let flow = &mut flows[next];
        flow.ack += 1;
        black_box(core.handle_packet(flow, START))
    });
}

/// Places a new flow. A tenth of the service's upstreams are in the instance's own zone.
#[divan::bench(args = [14, 150, 300, 1_300, 13_000])]
fn place(bencher: Bencher, upstreams: u64) {
    let mut core = core(upstreams);
    let mut client = 0;
    bencher.bench_local(|| {
        client += 1;
        let verdict = core.handle_packet(&opening_packet(client), START);
        core.take_decisions();
        black_box(verdict)
    });
}

/// Chooses among 8 upstreams of the local zone and 2 of another one, while the local zone is overloaded.
#[divan::bench(args = [3, 10])]
fn choose_by_load(bencher: Bencher, zone_count: usize) {
    let names: Vec<ZoneName> = (0..zone_count)
        .map(|zone| format!("z{zone}").parse().unwrap())
        .collect();
    let load = |zone| ZoneLoad {
        slots: 80,
        in_flight: if zone == 0 { 240 } else { 40 },
        service_time: Some(Duration::from_millis(72)),
    };
    let zones: BTreeMap<_, _> = names.iter().cloned().zip((0..).map(load)).collect();
    let contender = |index: u32| Contender {
        id: UpstreamId(index.into()),
        zone: &names[usize::from(index >= 8)],
        slots: 2,
        in_flight: (index < 8).then_some(index),
        service_time: None,
        warmth: Warmth::Warm,
    };
    let near: Vec<Contender<'_>> = (0..8).map(contender).collect();
    let far: Vec<Contender<'_>> = (8..10).map(contender).collect();
    let view = View {
        local: &names[0],
        zones: &zones,
    };
    let (mut spillover, mut rng) = (Spillover::default(), SmallRng::seed_from_u64(1));
    let mut now = START;
    bencher.bench_local(|| {
        now = Time(now.0 + 1_000);
        black_box(choose(&near, |_, _| far.clone(), view, &mut spillover, now, &mut rng))
    });
}
