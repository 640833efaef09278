//! Benchmarks of packet processing in the flow core.

mod support;

use divan::Bencher;
use divan::black_box;
use flow::Core;
use flow::Flags;
use flow::Packet;
use flow::Verdict;

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
#[divan::bench(args = [14, 150, 1_300])]
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
