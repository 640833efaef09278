//! Measures the memory of an instance per flow, from the resident set size before and after opening many flows.

#[path = "../benches/support/mod.rs"]
mod support;

use std::fs;

use crate::support::START;
use crate::support::core;
use crate::support::opening_packet;

/// The resident set size of this process in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes * 1_024
}

fn main() {
    for flows in [28_000_u32, 100_000, 300_000] {
        let mut core = core(1);
        let before = resident_bytes();
        for client in 0..flows {
            core.handle_packet(&opening_packet(client), START);
            core.take_decisions();
        }
        let bytes = resident_bytes() - before;
        println!("{flows} flows: {} bytes each", bytes / u64::from(flows));
    }
}
