//! Upstreams that flows wait for in vain: who is told, and who is asked.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flow::Report;
use flow::UpstreamId;

use super::shared::Shared;
use super::summing;

/// The reports that are due, by the instances that sum up for their upstreams. This instance needs none from itself.
pub(crate) fn due(shared: &Shared) -> BTreeMap<SocketAddr, Vec<Report>> {
    let mut out: BTreeMap<SocketAddr, Vec<Report>> = BTreeMap::new();
    let mut core = shared.core();
    let reports = core.take_reports(shared.now());
    let members = shared.members();
    let own = &members.me().name;
    for report in reports {
        for member in summing::aggregators(&members, report.upstream, core.zone_of(report.upstream)) {
            if member.name != *own {
                out.entry(member.address).or_default().push(report);
            }
        }
    }
    out
}

/// What other instances are to be asked about, by instance: upstreams that this one sums up for and that enough flows wait for.
pub(crate) fn questions(shared: &Shared) -> BTreeMap<SocketAddr, Vec<UpstreamId>> {
    let mut out: BTreeMap<SocketAddr, Vec<UpstreamId>> = BTreeMap::new();
    let now = shared.now();
    let mut core = shared.core();
    let members = shared.members();
    for id in core.take_due_inquiries(now) {
        let zone = core.zone_of(id).cloned();
        if !summing::is_aggregator(&members, id, zone.as_ref()) {
            continue;
        }
        let witnesses = summing::witnesses(&members, id, zone.as_ref());
        core.start_inquiry(id, witnesses.len(), now);
        for member in witnesses {
            out.entry(member.address).or_default().push(id);
        }
    }
    out
}
