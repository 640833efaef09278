//! Reports of failed tries, which go to the aggregators of an upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flow::FailureReport;
use wire::Member;

use super::aggregators::AGGREGATOR_COUNT;
use super::aggregators::members_in_zone;
use super::shared::Shared;

fn count(members: &[&Member]) -> u32 {
    u32::try_from(members.len()).unwrap_or(u32::MAX)
}

/// The reports that are due, by destination. Those for this instance itself are applied directly.
pub(crate) fn due(shared: &Shared) -> BTreeMap<SocketAddr, Vec<FailureReport>> {
    let now = shared.now();
    let mut core = shared.core();
    let reports = core.take_failures(now);
    let mut out: BTreeMap<SocketAddr, Vec<FailureReport>> = BTreeMap::new();
    if reports.is_empty() {
        return out;
    }
    let members = shared.members();
    let own = &members.me().name;
    for report in reports {
        let ranked = members.ranked_members(report.upstream.0);
        let zone = members_in_zone(&ranked, core.zone_of(report.upstream));
        for member in zone.iter().take(AGGREGATOR_COUNT) {
            if member.name == *own {
                core.receive_failure_report(&report, count(&zone), now);
            } else {
                out.entry(member.address).or_default().push(report);
            }
        }
    }
    out
}

/// Applies reports of another instance.
pub(crate) fn receive(shared: &Shared, reports: &[FailureReport]) {
    let now = shared.now();
    let mut core = shared.core();
    let members = shared.members();
    let known: Vec<&Member> = members.members().collect();
    for report in reports {
        let zone = members_in_zone(&known, core.zone_of(report.upstream));
        core.receive_failure_report(report, count(&zone), now);
    }
}
