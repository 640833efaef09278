//! A planned stop: not ready at once, forwarding until the routers have left, then the end.

use std::time::Duration;

use super::shared::Shared;

/// How long no packet must have come before the routers count as gone. They are told by two missed answers, half a
/// second apart, and clients repeat what is lost after 200 milliseconds.
const SILENCE: Duration = Duration::from_millis(1_500);
/// How long before its time is up the process ends, so that it is never killed.
const MARGIN: Duration = Duration::from_millis(700);
/// How often the silence is looked at.
const PAUSE: Duration = Duration::from_millis(100);

/// Waits until this instance is no longer used, or its time is nearly up.
pub(crate) async fn wait(shared: &Shared, grace: Duration) {
    let begin = shared.now();
    let longest = grace.saturating_sub(MARGIN);
    loop {
        let now = shared.now();
        let last = shared.last_packet().max(begin);
        if now.since(last) >= SILENCE || now.since(begin) >= longest {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
