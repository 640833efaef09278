//! Destinations of the reports and inquiries about upstreams that flows wait for without an answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flow::Report;
use flow::UpstreamId;

use super::aggregators;
use super::shared::Shared;

/// The reports that are due, by the address of their aggregators. This instance needs none from itself.
pub(crate) fn due(shared: &Shared) -> BTreeMap<SocketAddr, Vec<Report>> {
    let mut out: BTreeMap<SocketAddr, Vec<Report>> = BTreeMap::new();
    let mut core = shared.core();
    let reports = core.take_reports(shared.now());
    let members = shared.members();
    let own = &members.me().name;
    for report in reports {
        for member in aggregators::aggregators(&members, report.upstream, core.zone_of(report.upstream)) {
            if member.name != *own {
                out.entry(member.address).or_default().push(report);
            }
        }
    }
    out
}

/// The inquiries that are due, by instance: about upstreams of which this instance is an aggregator and that enough
/// flows wait for.
pub(crate) fn inquiries(shared: &Shared) -> BTreeMap<SocketAddr, Vec<UpstreamId>> {
    let mut out: BTreeMap<SocketAddr, Vec<UpstreamId>> = BTreeMap::new();
    let now = shared.now();
    let mut core = shared.core();
    let members = shared.members();
    for id in core.take_due_inquiries(now) {
        let zone = core.zone_of(id).cloned();
        if !aggregators::is_aggregator(&members, id, zone.as_ref()) {
            continue;
        }
        let observers = aggregators::observers(&members, id, zone.as_ref());
        core.start_inquiry(id, observers.len(), now);
        for member in observers {
            out.entry(member.address).or_default().push(id);
        }
    }
    out
}
