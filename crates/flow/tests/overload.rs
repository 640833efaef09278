//! Upstreams that refuse requests for lack of capacity are not taken for failing ones, and failing ones are found among
//! them.

#[expect(dead_code, reason = "each program uses a part of it")]
#[path = "../benches/support/mod.rs"]
mod support;

#[expect(dead_code, reason = "each program uses a part of it")]
mod fleet;

use std::time::Duration;

use crate::fleet::Capacity;
use crate::fleet::FleetConfig;
use crate::fleet::simulate;

#[test]
fn trial() {
    for (instances, duration) in [(9, 14), (60, 10)] {
        for seed in 1..=2 {
            for (demand, burst, fail, slow) in [
                (0.8, 0.8, false, false),
                (1.0, 1.0, false, false),
                (1.3, 1.3, false, false),
                (2.0, 2.0, false, false),
                (0.6, 0.6, true, false),
                (0.8, 0.8, true, false),
                (0.6, 1.3, true, false),
                (0.6, 1.0, true, false),
                (0.4, 0.4, false, true),
                (0.4, 1.0, false, true),
            ] {
                let base = FleetConfig::new(instances, seed);
                let mut capacity = Capacity::new(demand);
                capacity.burst_demand = burst;
                capacity.burst_duration = Duration::from_secs(10);
                if fail {
                    capacity.failing = (1..=base.upstreams).filter(|id| id % 7 == 0).collect();
                }
                if slow {
                    capacity.slow = (1..=base.upstreams).filter(|id| id % 5 < 2).collect();
                }
                let config = FleetConfig {
                    mean_response_secs: 0.055,
                    flows: base.upstreams * 60,
                    duration: Duration::from_secs(duration),
                    requests_per_flow: 8,
                    capacity: Some(capacity.clone()),
                    ..base
                };
                let outcome = simulate(&config);
                let c = &outcome.capacity;
                let mut hit: Vec<_> = c.ejections.iter().filter(|(id, _)| capacity.failing.contains(id)).collect();
                hit.sort_by_key(|(id, at)| (*id, *at));
                hit.dedup_by_key(|(id, _)| *id);
                let wrong: Vec<_> = c.ejections.iter().filter(|(id, _)| !capacity.failing.contains(id)).map(|(id,at)| (*id, at.as_millis())).collect();
                let offered = outcome.requests as f64 / (config.duration.as_secs_f64() * config.upstreams as f64 * 2.0 / 0.055);
                println!("{instances} seed {seed} {demand}->{burst} slow {slow}: offered {offered:.2} served {} refused {} failed {} resets {} silent {}; found {}/{} last {:?}; wrong {} {:?}",
                    c.served, c.refused, c.failed, outcome.false_resets, outcome.false_detections, hit.len(), capacity.failing.len(), hit.iter().map(|(_, at)| at.as_millis()).max(), wrong.len(), &wrong[..wrong.len().min(6)]);
            }
        }
    }
}
