//! Limits on datagrams, each tested by exceeding it.

use std::net::SocketAddr;
use std::time::Duration;

use jayquayd::bucket::Rate;
use jayquayd::bucket::SourceBuckets;
use jayquayd::callers;
use jayquayd::callers::Limits;
use jayquayd::clock::Clock;
use jayquayd::input::InputSender;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::net::UdpSocket;
use units::Time;

/// A rate without refill, so that no test depends on how fast it runs.
fn without_refill(burst: u32) -> Rate {
    Rate { per_second: 0, burst }
}

/// Sends `count` datagrams of `len` bytes from each of the sources, and expects `passed` of them to reach the engine.
async fn check(limits: Limits, sources: usize, count: usize, len: usize, passed: usize) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let metrics = recorder.handle();
    let _recording = metrics::set_default_local_recorder(&recorder);
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let (input_sender, mut queues) = InputSender::new();
    let (receiver, _replier) = callers::split(socket, Clock::start(), limits);
    let receiver = tokio::spawn(receiver.run(input_sender));
    for sent in 1..=sources {
        let source = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        for _ in 0..count {
            source.send_to(&vec![0; len], address).await.unwrap();
        }
        // The next source starts once all datagrams of this one were received, so that the socket's buffer is never
        // full.
        let expected = format!("jayquay_datagrams_received_total {}", sent * count);
        while !metrics.render().contains(&expected) {
            tokio::task::yield_now().await;
        }
    }
    receiver.abort();
    let mut seen = 0;
    while queues.datagrams.recv().await.is_some() {
        seen += 1;
    }
    assert_eq!(seen, passed);
    let dropped = sources * count - passed;
    let counted = metrics.render();
    let counts = counted
        .lines()
        .filter(|line| line.starts_with("jayquay_datagrams_dropped_total{"));
    let counted: usize = counts
        .map(|line| line.rsplit(' ').next().unwrap().parse::<usize>().unwrap())
        .sum();
    assert_eq!(counted, dropped);
}

#[tokio::test]
async fn datagrams_over_a_limit_are_dropped_and_counted() {
    let limits = Limits {
        per_source: without_refill(10),
        total: without_refill(35),
        max_sources: 100,
    };
    check(limits, 1, 10, 1_200, 10).await;
    check(limits, 1, 30, 100, 10).await;
    check(limits, 3, 30, 100, 30).await;
    check(limits, 5, 30, 100, 35).await;
    check(limits, 1, 10, 1_201, 0).await;
    check(limits, 3, 1, 60_000, 0).await;
}

#[tokio::test]
async fn a_full_queue_drops_datagrams() {
    let limits = Limits {
        per_source: without_refill(10_000),
        total: without_refill(10_000),
        max_sources: 100,
    };
    check(limits, 20, 100, 10, 1_024).await;
}

#[test]
fn tokens_are_refilled_and_old_sources_are_evicted() {
    let rate = Rate {
        per_second: 2,
        burst: 3,
    };
    let mut buckets = SourceBuckets::new(rate, 10);
    let source = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let start = Time(1_000_000);
    let taken = (0..5).filter(|_| buckets.try_take(source(1), start)).count();
    assert_eq!(taken, 3);
    let later = start + Duration::from_secs(1);
    let taken = (0..5).filter(|_| buckets.try_take(source(1), later)).count();
    assert_eq!(taken, 2);
    for port in 2..1_000 {
        assert!(buckets.try_take(source(port), later));
        assert!(buckets.len() <= 10);
    }
    let taken = (0..5).filter(|_| buckets.try_take(source(1), later)).count();
    assert_eq!(taken, 3);
}
