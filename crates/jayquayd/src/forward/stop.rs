//! Graceful shutdown: reports not ready at once, forwards until the routers have switched away, then ends the process.

use std::time::Duration;

use super::shared::Shared;

/// Time without packets after which the routers count as switched away. They notice by two failed readiness checks,
/// half a second apart, and clients retransmit lost packets after 200 ms.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);
/// Time reserved before the end of the grace period, so that the process is never killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
/// Interval at which the time since the last packet is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the routers send no more packets, or the grace period is nearly over.
pub(crate) async fn wait(shared: &Shared, grace: Duration) {
    let begin = shared.now();
    let max_duration = grace.saturating_sub(SHUTDOWN_MARGIN);
    loop {
        let now = shared.now();
        let last = shared.last_packet().max(begin);
        if now.since(last) >= QUIET_PERIOD || now.since(begin) >= max_duration {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
