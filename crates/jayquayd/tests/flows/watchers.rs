//! Selection of the instances that watch the store.

use crate::cluster::Cluster;
use crate::cluster::Instance;
use crate::cluster::PAUSE;
use crate::cluster::ROUTE;
use crate::cluster::TRIES;
use crate::cluster::wait_until;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Waits until the given number of instances in each zone watch the store.
/// Zone `zone` has the instances with the numbers `3 * n + zone + 1`.
async fn wait_until_watched(cluster: &Cluster, living: &[u8], expected: &[usize]) {
    let mut seen = Vec::new();
    for _ in 0..TRIES {
        seen = vec![0; expected.len()];
        for number in living {
            let metrics = cluster.metrics(*number).await;
            let watches = metrics.lines().any(|line| line == "jayquay_flow_watches 1");
            seen[usize::from((number - 1) % 3)] += usize::from(watches);
        }
        if seen == expected {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never {expected:?} but {seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_instance_per_zone_watches_if_there_are_enough_zones_and_two_otherwise() {
    let cluster = Cluster::new().await;
    cluster.store.put_document(1, &[(ROUTE, "search")]);
    let start = |number: u8| cluster.start_in(ZONES[usize::from((number - 1) % 3)], number);
    let mut instances: Vec<Instance> = (1..=9).map(start).collect();
    for instance in &instances {
        wait_until("all are ready", || instance.is_ready()).await;
    }
    wait_until_watched(&cluster, &[1, 2, 3, 4, 5, 6, 7, 8, 9], &[1, 1, 1]).await;
    // The second and third zones disappear, so no other zone could provide what the first zone's watcher misses.
    let mut number = 0;
    instances.retain(|_| {
        number += 1;
        number % 3 == 1
    });
    wait_until_watched(&cluster, &[1, 4, 7], &[2, 0, 0]).await;
}
