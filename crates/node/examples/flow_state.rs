//! Measures how many bytes of memory a flow takes at its owner:
//! `cargo run --release -p node --example flow_state`.
//!
//! Compares the allocated bytes before and after many flows have each run one request.

#![expect(unsafe_code, reason = "a global allocator can't be implemented in safe code")]

mod counting_allocator;

use std::time::Duration;

use node::FlowKey;
use node::Ledgers;
use node::RequestState;
use units::FlowId;
use units::Incarnation;
use units::RequestSeq;
use units::Time;
use wire::TicketId;

fn main() {
    println!("flows  bytes per flow after the entries of its requests were evicted");
    for flows in [10_000, 28_000, 100_000, 300_000] {
        let before = counting_allocator::allocated_bytes();
        let ledgers = fill(flows);
        let held = counting_allocator::allocated_bytes() - before;
        println!("{flows:>6}  {:>5}", held / flows as usize);
        drop(ledgers);
    }
    println!("an open flow without requests has no ledger: 0 bytes");
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
        ledgers.end(key, RequestSeq(1), RequestState::AnswerDiscarded, start);
    }
    ledgers.expire(start + Duration::from_mins(1), u64::MAX);
    ledgers
}
