//! An upstream's own entry on the platform's list.

use std::future::pending;
use std::time::Duration;

use ::platform::Client;
use ::platform::Lease;
use ::platform::Listed;
use ::platform::Options;
use units::Incarnation;

use crate::upstream::Shared;

/// How many times an entry is renewed while it lives.
const RENEWALS_PER_TTL: u32 = 3;

/// Keeps the entry for as long as the upstream is up, and marks it as leaving while it drains.
pub(crate) async fn keep(shared: Shared) {
    if shared.options.platform.is_empty() {
        return pending().await;
    }
    let client = Client::new(Options::new(shared.options.platform.clone()));
    let mut behaviour = shared.behaviour.subscribe();
    let mut lease = None;
    loop {
        let now = behaviour.borrow_and_update().clone();
        if !now.down {
            let wanted = entry(&shared, now.draining);
            let current = lease.take().filter(|lease: &Lease| lease.entry() == &wanted);
            let mut renewed = current.unwrap_or_else(|| Lease::new(wanted, shared.options.ttl));
            if let Err(error) = client.renew(&mut renewed).await {
                log::warn!("stand-in: {} is not on the list: {error}", shared.options.name);
            }
            lease = Some(renewed);
        }
        let pause: Duration = shared.options.ttl.duration() / RENEWALS_PER_TTL;
        tokio::select! {
            _changed = behaviour.changed() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

fn entry(shared: &Shared, leaving: bool) -> Listed {
    let incarnation: Incarnation = shared.work.life().0;
    Listed::Upstream {
        name: shared.options.name.clone(),
        incarnation,
        leaving,
    }
}
