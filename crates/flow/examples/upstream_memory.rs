//! Measures the memory of an instance per upstream with a counting allocator, and the wall-clock cost of changes, lists
//! and new flows.

#[path = "../benches/support/mod.rs"]
mod support;

use std::hint::black_box;
use std::time::Instant;

use flow::Knowledge;
use flow::Positions;
use flow::UpstreamId;
use peak_alloc::PeakAlloc;
use units::Revision;

use crate::support::START;
use crate::support::core;
use crate::support::opening_packet;
use crate::support::upstream;

#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

const FLOWS: u32 = 2_000;
const CHANGES: u64 = 200;

/// Mean time in microseconds of `count` operations since `start`.
fn micros_per_item(start: Instant, count: u64) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn main() {
    println!("upstreams  bytes each  peak each  us a change  us for 100  us a list  us a flow");
    for upstreams in [300_u64, 1_300, 10_000, 13_000, 26_000] {
        let before = ALLOCATED.current_usage();
        ALLOCATED.reset_peak_usage();
        let mut core = core(upstreams);
        let current_bytes = ALLOCATED.current_usage() - before;
        let peak_bytes = ALLOCATED.peak_usage() - before;
        let mut at = core.knowledge().upstreams_at().revision.0;
        let mut set_leaving = |ids: std::ops::Range<u64>, leaving| {
            at += 1;
            let changes = ids.map(|id| {
                let mut upstream = upstream(id, 10);
                upstream.leaving = leaving;
                (UpstreamId(id), Revision(at), upstream)
            });
            let changes: Vec<_> = changes.collect();
            core.learn(START, |knowledge: &mut Knowledge| {
                knowledge.apply_watched(Revision(at), changes, START)
            });
        };
        let start = Instant::now();
        for id in 1..=CHANGES {
            set_leaving(id..id + 1, id % 2 == 0);
        }
        let change = micros_per_item(start, CHANGES);
        let start = Instant::now();
        for round in 0..CHANGES {
            set_leaving(1..101, round % 2 == 0);
        }
        let change_of_hundred = micros_per_item(start, CHANGES);
        let start = Instant::now();
        black_box(core.knowledge().since(&Positions::default()));
        let list = micros_per_item(start, 1);
        let start = Instant::now();
        for client in 0..FLOWS {
            black_box(core.handle_packet(&opening_packet(client), START));
            core.take_decisions();
        }
        let flow = micros_per_item(start, u64::from(FLOWS));
        println!(
            "{upstreams:9}  {:10}  {:9}  {change:11.1}  {change_of_hundred:10.1}  {list:9.0}  {flow:9.1}",
            current_bytes as u64 / upstreams,
            peak_bytes as u64 / upstreams,
        );
    }
}
