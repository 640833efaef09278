//! Assignment of cold upstreams to this instance, which alone then sends them new flows.

use std::collections::BTreeSet;
use std::time::Duration;

use super::shared::Shared;

/// Time after startup during which an instance is assigned none. Until it has discovered the other instances, it
/// regards itself and those that started with it as the whole fleet, so in a fleet that starts simultaneously each
/// instance would be assigned the same upstreams. Members that lost contact look for one another every three seconds.
const STARTUP_DELAY: Duration = Duration::from_secs(10);

/// Recomputes the assignment.
pub(crate) fn update(shared: &Shared) {
    let now = shared.now();
    let mut core = shared.core();
    let rate_limited = core.rate_limited(now);
    if rate_limited.is_empty() || shared.clock.uptime() < STARTUP_DELAY || shared.is_stopping() {
        return core.set_assigned_cold(BTreeSet::new());
    }
    let members = shared.members();
    let own = &members.me().name;
    let assigned = rate_limited.into_iter().filter(|id| {
        let keeper = core.zone_of(*id).and_then(|zone| members.keeper(id.0, zone));
        keeper.is_some_and(|keeper| keeper.name == *own)
    });
    let assigned = assigned.collect();
    core.set_assigned_cold(assigned);
}
