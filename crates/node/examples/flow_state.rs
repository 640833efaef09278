//! How many bytes a flow costs its owner: `cargo run --release -p node --example flow_state`.
//!
//! Counts what the allocator hands out, before and after many flows have each run one request.

#![expect(unsafe_code, reason = "an allocator can't be written without")]

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use node::FlowKey;
use node::Ledgers;
use node::State;
use units::FlowId;
use units::Incarnation;
use units::RequestSeq;
use units::Time;
use wire::TicketId;

struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);

// SAFETY: Every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller's promise is passed on.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller's promise is passed on.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn main() {
    println!("flows  bytes per flow after its requests have sunk below the floor");
    for flows in [10_000, 28_000, 100_000, 300_000] {
        let before = HELD.load(Ordering::Relaxed);
        let ledgers = fill(flows);
        let held = HELD.load(Ordering::Relaxed) - before;
        println!("{flows:>6}  {:>5}", held / flows as usize);
        drop(ledgers);
    }
    println!("a flow that is open and has made no request has no ledger: 0 bytes");
}

fn fill(flows: u64) -> Ledgers {
    let mut ledgers = Ledgers::new(Duration::from_hours(1), Duration::from_secs(30));
    let start = Time(1_000_000_000);
    for flow in 0..flows {
        let key = FlowKey {
            owner: Incarnation(1),
            flow: FlowId(flow),
        };
        ledgers.look_up(key, RequestSeq(0), RequestSeq(1), RequestSeq(1), start);
        ledgers.begin(key, RequestSeq(1), TicketId(flow));
        ledgers.end(key, RequestSeq(1), State::Forgotten, start);
    }
    ledgers.expire(start + Duration::from_mins(1), u64::MAX);
    ledgers
}
