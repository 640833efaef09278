//! Which cold upstreams this instance keeps, so that it alone sends them new flows.

use std::collections::BTreeSet;
use std::time::Duration;

use super::shared::Shared;

/// How long after its start an instance keeps none. Until it has met the fleet it takes itself and whoever started with it for all
/// there are, and of a fleet that starts at once each instance would. Members that lost sight of one another look for each other
/// every three seconds.
const SETTLED: Duration = Duration::from_secs(10);

/// Looks anew which ones they are.
pub(crate) fn update(shared: &Shared) {
    let now = shared.now();
    let mut core = shared.core();
    let rationed = core.rate_limited(now);
    if rationed.is_empty() || shared.clock.uptime() < SETTLED || shared.is_stopping() {
        return core.set_assigned_cold(BTreeSet::new());
    }
    let members = shared.members();
    let own = &members.me().name;
    let kept = rationed.into_iter().filter(|id| {
        let keeper = core.zone_of(*id).and_then(|zone| members.keeper(id.0, zone));
        keeper.is_some_and(|keeper| keeper.name == *own)
    });
    let kept = kept.collect();
    core.set_assigned_cold(kept);
}
