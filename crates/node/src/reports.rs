//! Reports from upstreams, and the upstreams that are leaving.

use units::Incarnation;
use units::UpstreamName;
use wire::LeavingUpstream;

use crate::Node;
use crate::Record;
use crate::UpstreamReport;
use crate::node::Context;

impl Node {
    /// Handles the result of a poll. `report` is `None` if the poll failed.
    pub(crate) fn handle_poll_result(
        &mut self,
        cx: &mut Context<'_>,
        name: &UpstreamName,
        report: Option<UpstreamReport>,
    ) {
        let Some(service) = self.documents.service_of(name) else {
            return;
        };
        let now = cx.now;
        if let Some(report) = report {
            let known = self.upstreams.get(name).copied();
            if known.is_some_and(|known| known > report.incarnation) {
                // The report is outdated, or comes from another process.
                return;
            }
            self.upstreams.insert(name.clone(), report.incarnation);
            if report.draining {
                self.mark_upstream_leaving(cx, name.clone(), report.incarnation);
            }
            let is_new_incarnation = known != Some(report.incarnation);
            if is_new_incarnation && !self.membership.is_leaving(name, report.incarnation) {
                self.with_pool(&service, now, |pool, _| pool.reset_after_restart(name, now));
            }
        }
        let report = report.map(|report| balance::Report {
            healthy: report.healthy,
            draining: report.draining,
            busy: report.busy,
            age: report.age,
        });
        self.with_pool(&service, now, |pool, out| pool.report(name, report, now, out));
    }

    /// Marks an incarnation of an upstream as leaving, so that it gets no new work, and gossips the mark.
    pub(crate) fn mark_upstream_leaving(&mut self, cx: &mut Context<'_>, name: UpstreamName, incarnation: Incarnation) {
        if self.membership.is_leaving(&name, incarnation) {
            return;
        }
        let mark = LeavingUpstream { name, incarnation };
        let mut outputs = Vec::new();
        self.membership.add_leaving_upstream(mark.clone(), cx.now, &mut outputs);
        self.handle_upstream_leaving(cx, &mark);
        self.apply_membership_outputs(cx, outputs);
    }

    /// Stops sending new work to an upstream marked as leaving, unless a later incarnation is known.
    pub(crate) fn handle_upstream_leaving(&mut self, cx: &mut Context<'_>, mark: &LeavingUpstream) {
        let later = self
            .upstreams
            .get(&mark.name)
            .is_some_and(|known| *known > mark.incarnation);
        if later {
            return;
        }
        cx.record(Record::UpstreamLeaving(mark.name.clone(), mark.incarnation));
        let Some(service) = self.documents.service_of(&mark.name) else {
            return;
        };
        if let Some(home) = self.homes.get_mut(&service) {
            home.pool.announce_drain(&mark.name);
        }
    }
}
