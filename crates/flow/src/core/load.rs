//! Work in flight: counts this instance's own work at upstreams, and keeps the joint view of their load.

use std::collections::BTreeMap;
use std::time::Duration;

use units::Incarnation;
use units::Time;
use units::ZoneName;

use super::Core;
use crate::flows::Flow;
use crate::flows::FlowKey;
use crate::flows::WorkChange;
use crate::flows::is_complete;
use crate::load::DueDigest;
use crate::load::ListedSlots;
use crate::load::LoadDigest;
use crate::load::LoadGroup;
use crate::load::LoadReport;
use crate::load::Loads;
use crate::load::Member;
use crate::load::Pace;
use crate::load::Purpose;
use crate::load::UpstreamSum;
use crate::load::WorkCounts;
use crate::load::WorkDeadline;
use crate::load::WorkKind;
use crate::load::ZoneLoad;
use crate::load::ZoneLoads;
use crate::load::to_micros;
use crate::packet::Echo;
use crate::packet::Flags;
use crate::packet::Packet;
use crate::report::ReporterId;
use crate::upstream::UpstreamId;

/// Interval at which the groups of own work are compared with the directory.
const REGROUP_INTERVAL: Duration = Duration::from_secs(1);

/// Time until the first sample of a group, 0 to 1.05 seconds. It depends on the instance and the group, but not on when
/// work begins: samples taken at such times would be too high.
fn sample_phase(seed: u64, echo: Echo) -> Duration {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (seed ^ u64::from(echo.0)).wrapping_mul(MULTIPLIER);
    Duration::from_micros(mixed >> 44)
}

impl Core {
    /// Counts an open flow of the flow table.
    pub(super) fn count_flow(&mut self, id: UpstreamId, now: Time) {
        if self.loads.own.open(id) {
            return;
        }
        let Some((group, echo)) = self.directory.load_group(id) else {
            return;
        };
        let phase = sample_phase(self.options.seed, echo);
        self.loads.own.insert(id, echo, group, phase, now);
        self.loads.own.open(id);
    }

    /// Counts a flow that this instance has placed and inserted into the flow table, and its opening.
    pub(super) fn count_opening(&mut self, key: &FlowKey, id: UpstreamId, now: Time) {
        self.count_flow(id, now);
        self.begin_work(key, id, WorkKind::Opening, now);
    }

    /// Counts the end of a flow that was removed from the flow table.
    pub(super) fn uncount_flow(&mut self, flow: &Flow) {
        if flow.working_since.is_some() {
            self.end_work(flow.upstream);
        }
        if flow.is_counted {
            self.loads.own.close(flow.upstream);
        }
    }

    /// Counts the work that a packet of an established flow ends and begins.
    pub(super) fn count_work(&mut self, key: &FlowKey, id: UpstreamId, work: WorkChange, now: Time) {
        if work.has_completed {
            self.loads.own.complete(id);
        }
        if work.has_ended {
            self.end_work(id);
        }
        if work.has_begun {
            self.begin_work(key, id, WorkKind::Request, now);
        }
    }

    /// Counts the last request of a flow, whose answer is complete when the client closes the flow.
    pub(super) fn count_last_completion(&mut self, key: &FlowKey, packet: &Packet) {
        if !packet.flags.contains(Flags::FIN) {
            return;
        }
        let Some(flow) = self.flows.get_mut(key).filter(|flow| flow.is_incomplete) else {
            return;
        };
        let id = flow.upstream;
        let typical = self.typical_lengths.get(&key.route);
        if flow.answer_len().is_some_and(|bytes| is_complete(bytes, typical)) {
            self.loads.own.complete(id);
        }
    }

    /// Ends the work whose answer was not seen in time.
    pub(super) fn expire_work(&mut self, now: Time) {
        while let Some(work) = self.loads.own.pop_deadline(now) {
            // A handshake may end and a request begin at the time at which the flow was opened, as read here.
            let is_opening = work.kind == WorkKind::Opening;
            let flow = self.flows.get_mut(&work.key);
            let flow = flow.filter(|flow| flow.working_since == Some(work.since) && flow.is_opening() == is_opening);
            let Some(flow) = flow else {
                continue;
            };
            flow.working_since = None;
            let id = flow.upstream;
            self.end_work(id);
        }
        while let Some(opening) = self.loads.own.pop_handshake(now) {
            self.uncount_abandoned(&opening);
        }
    }

    /// Stops counting a flow as open if its client has given up on the handshake. Should the client go on all the same,
    /// the flow counts again from its first data.
    fn uncount_abandoned(&mut self, opening: &WorkDeadline) {
        let flow = self.flows.get_mut(&opening.key);
        let flow = flow.filter(|flow| flow.is_opening() && flow.first_seen == opening.since && flow.is_counted);
        if let Some(flow) = flow {
            flow.is_counted = false;
            self.loads.own.close(flow.upstream);
        }
    }

    fn begin_work(&mut self, key: &FlowKey, id: UpstreamId, kind: WorkKind, now: Time) {
        self.loads.own.begin(id, *key, kind, now);
        self.adjust_zone(id, 1);
    }

    fn end_work(&mut self, id: UpstreamId) {
        if self.loads.own.end(id) {
            self.adjust_zone(id, -1);
        }
    }

    fn adjust_zone(&mut self, id: UpstreamId, by: i32) {
        if self.loads.views.is_empty() {
            return;
        }
        if let Some(listed) = self.directory.get(id) {
            let upstream = listed.upstream();
            self.loads.views.adjust(&upstream.service, &upstream.zone, by);
        }
    }

    /// Takes the reports of this instance's own work that are due, for the collectors of each group: two instances of
    /// the group's availability zone. To be called every 100 milliseconds.
    pub fn take_load_reports(&mut self, now: Time) -> Vec<LoadReport> {
        self.expire_work(now);
        self.regroup(now);
        let Loads { own, views, .. } = &mut self.loads;
        // While all services are quiet, groups cost no look-up.
        let is_any_active = views.is_any_active(now);
        let pace = |service: &str| {
            if is_any_active {
                views.pace(service, now)
            } else {
                Pace::Quiet
            }
        };
        let has_connection_limit = |service: &str| self.routes.connection_limit(service).is_some();
        let mut reports = own.take_reports(&self.options.zone, pace, has_connection_limit, now);
        for report in &mut reports {
            let LoadGroup { service, zone, number } = &report.group;
            if *number == 0 && *zone == self.options.zone && self.routes.has_classes(service) {
                report.classes = self.admission.class_loads(service, now);
            }
        }
        reports
    }

    /// Brings the groups of own work in line with the directory.
    fn regroup(&mut self, now: Time) {
        if now.since(self.loads.regrouped_at) < REGROUP_INTERVAL {
            return;
        }
        self.loads.regrouped_at = now;
        let directory = &self.directory;
        let Loads {
            own, views, collector, ..
        } = &mut self.loads;
        let group_count = directory.load_group_count();
        own.budget.set_groups(group_count, Purpose::Reports);
        collector.budget.set_groups(group_count, Purpose::Digests);
        own.regroup(|id| Some(directory.load_group(id)?.0), now);
        let zone = &self.options.zone;
        let recent = own.recent_services(now);
        let busy = recent.filter(|service| views.is_busy(service, now));
        let groups: Vec<LoadGroup> = busy.flat_map(|service| directory.load_groups(service, zone)).collect();
        own.add_groups(groups.into_iter(), now);
    }

    /// Applies a report that was sent to this instance as a collector. Returns whether it was new. Late and duplicate
    /// reports are ignored.
    pub fn receive_load_report(
        &mut self,
        from: ReporterId,
        incarnation: Incarnation,
        report: &LoadReport,
        now: Time,
    ) -> bool {
        self.loads.collector.add_report((from, incarnation), report, now)
    }

    /// Takes the digests that are due, as a collector. To be called every 100 milliseconds.
    pub fn take_load_digests(&mut self, now: Time) -> Vec<DueDigest> {
        let directory = &self.directory;
        let listed = |group: &LoadGroup| {
            let ids = directory.group_ids(group).iter();
            let listed = ids.filter_map(|id| directory.reachable(*id));
            let slots = listed.map(|(_, listed)| ListedSlots {
                echo: listed.echo,
                slots: listed.upstream().slots.0.into(),
                is_open: listed.accepts_flows() && listed.gone_since.is_none(),
            });
            slots.collect()
        };
        let connection_limit = |service: &str| self.routes.connection_limit(service);
        self.loads.collector.take_digests(listed, connection_limit, now)
    }

    /// Takes the sums that are due for other collectors of the same services, as a collector. To be called before the
    /// digests are taken, which may use up the budget of messages.
    pub fn take_zone_loads(&mut self, now: Time) -> Vec<ZoneLoads> {
        let directory = &self.directory;
        let zones = |service: &str| directory.load_group_counts(service);
        self.loads.collector.take_zone_loads(zones, now)
    }

    /// Applies the sums of another collector. Returns whether they were new.
    pub fn receive_zone_loads(
        &mut self,
        from: ReporterId,
        incarnation: Incarnation,
        loads: &ZoneLoads,
        now: Time,
    ) -> bool {
        self.loads.collector.add_zone_loads((from, incarnation), loads, now)
    }

    /// Drops what an instance has reported, as it is down.
    pub fn remove_load_reporter(&mut self, from: ReporterId, now: Time) {
        self.loads.collector.remove_reporter(from, now);
    }

    /// Applies the digest of a collector, which is identified by its name and its incarnation. Returns whether it was
    /// new. Late and duplicate digests are ignored.
    pub fn receive_load_digest(
        &mut self,
        from: ReporterId,
        incarnation: Incarnation,
        digest: &LoadDigest,
        now: Time,
    ) -> bool {
        let ids = self.directory.group_ids(&digest.group).iter();
        let listed = ids.filter_map(|id| self.directory.reachable(*id));
        let members: Vec<Member> = listed.map(|(id, listed)| Member { id, echo: listed.echo }).collect();
        let loads = &mut self.loads;
        let is_new = loads
            .views
            .apply((from, incarnation), digest, &members, &loads.own, now);
        if is_new {
            self.admission
                .record_joint_classes(&digest.group.service, &digest.classes, now);
        }
        is_new
    }

    /// This instance's own work at an upstream.
    pub fn own_work(&self, id: UpstreamId) -> WorkCounts {
        self.loads.own.counts(id)
    }

    /// The joint load of an upstream, this instance's latest changes included, or `None` without a fresh view.
    pub fn joint_work(&self, id: UpstreamId, now: Time) -> Option<UpstreamSum> {
        let work = self.loads.work(id, now)?;
        Some(UpstreamSum {
            echo: id.echo(),
            in_flight: work.in_flight,
            open_flows: work.open_flows,
            service_us: to_micros(work.service_time),
        })
    }

    /// Work in flight at all upstreams: of this instance, and of all instances as far as there is a fresh view.
    pub fn work_in_flight(&self, now: Time) -> (u32, u32) {
        (self.loads.own.in_flight(), self.loads.views.in_flight(now))
    }

    /// The joint load of a service by availability zone, or `None` without a fresh view.
    pub fn zone_loads(&self, service: &str, now: Time) -> Option<&BTreeMap<ZoneName, ZoneLoad>> {
        self.loads.zones(service, now)
    }
}
