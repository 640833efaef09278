//! Cost of a pool decision.

use std::time::Duration;

use balance::Decision;
use balance::Pool;
use balance::SlotRequest;
use config::Affinity;
use config::Service;
use config::Sharing;
use config::Upstream;
use config::UpstreamState;
use divan::Bencher;
use units::Slots;
use units::Time;
use units::Weight;
use wire::Outcome;

fn main() {
    divan::main();
}

fn service(upstreams: usize) -> Service {
    let upstream = |number: usize| Upstream {
        name: format!("u{number:03}").parse().unwrap(),
        zone: format!("z{}", number % 3).parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: Slots(2),
        state: UpstreamState::Active,
    };
    Service {
        name: "quotes".parse().unwrap(),
        addresses: Vec::new(),
        sharing: Sharing {
            affinity: Affinity::Request,
            prefer_local_zone: true,
            queue_limit: 10_000,
            retry_budget_percent: 10,
            slow_start: Duration::from_secs(10),
        },
        kinds: Vec::new(),
        upstreams: (0..upstreams).map(upstream).collect(),
    }
}

fn request(key: u64, now: Time) -> SlotRequest<u64> {
    SlotRequest {
        key,
        weight: Weight(1),
        zone: "z1".parse().unwrap(),
        deadline: now + Duration::from_hours(1),
        pinned: None,
        avoid: Vec::new(),
    }
}

/// Settles the oldest request and makes a new one, for several numbers of upstreams and queued requests. All slots but one
/// are in use.
#[divan::bench(args = [(14, 0), (14, 300), (200, 0), (200, 300), (200, 3_000)])]
fn settle_and_acquire(bencher: Bencher<'_, '_>, (upstreams, waiting): (usize, u64)) {
    let mut now = Time(1_000_000);
    let mut pool = Pool::new(&service(upstreams), 1, now);
    let mut out = Vec::new();
    let mut running = std::collections::VecDeque::new();
    let mut key = 0;
    for _ in 0..upstreams as u64 * 2 - 1 + waiting {
        key += 1;
        pool.acquire(request(key, now), now, &mut out);
    }
    bencher.bench_local(|| {
        for decision in out.drain(..) {
            if let Decision::Grant { key, .. } = decision {
                running.push_back(key);
            }
        }
        now = now + Duration::from_micros(100);
        let oldest = running.pop_front().unwrap();
        pool.settle(&oldest, Outcome::Completed, Duration::from_millis(5), now, &mut out);
        key += 1;
        pool.acquire(request(key, now), now, &mut out);
    });
}
