//! Queries to other instances about upstreams with stalled flows, and the handling of the replies.

use units::Time;

use super::Core;
use crate::health::Health;
use crate::inquiry::Finding;
use crate::inquiry::Inquiry;
use crate::report::Report;
use crate::report::ReporterId;
use crate::status_update::Status;
use crate::upstream::UpstreamId;

impl Core {
    /// This instance's observations of an upstream.
    pub(super) fn own_report(&self, id: UpstreamId, now: Time) -> Report {
        let unused = Health::default();
        let health = self.health.get(&id).unwrap_or(&unused);
        let is_in_doubt = health.stalled() > 0 && self.doubts_own_link(*health.stalled_span().start());
        health.report(id, self.loss.sample(now), is_in_doubt, now)
    }

    /// This instance's observations of the upstreams that another instance asks about.
    pub fn reports_on(&self, ids: &[UpstreamId], now: Time) -> Vec<Report> {
        ids.iter().map(|id| self.own_report(*id, now)).collect()
    }

    /// Schedules a query to other instances about an upstream if enough flows are stalled on it.
    pub(super) fn schedule_inquiry(&mut self, id: UpstreamId, now: Time) {
        let needs_inquiry = self.health.get(&id).is_some_and(|health| health.needs_inquiry(now));
        if needs_inquiry && !self.inquiries.contains_key(&id) {
            self.due_inquiries.insert(id);
        }
    }

    /// Finishes the inquiries that are over, and takes the upstreams that the instance which aggregates their reports
    /// should query others about.
    pub fn take_due_inquiries(&mut self, now: Time) -> Vec<UpstreamId> {
        let over = self.inquiries.iter().filter(|(_, inquiry)| inquiry.is_over(now));
        let over: Vec<UpstreamId> = over.map(|(id, _)| *id).collect();
        for id in over {
            self.finish_inquiry(id, now);
        }
        std::mem::take(&mut self.due_inquiries).into_iter().collect()
    }

    /// Starts an inquiry about an upstream; `asked` is the number of instances that are queried.
    pub fn start_inquiry(&mut self, id: UpstreamId, asked: usize, now: Time) {
        self.inquiries.entry(id).or_insert_with(|| Inquiry::new(asked, now));
    }

    /// Handles another instance's replies to inquiries.
    pub fn receive_inquiry_replies(&mut self, from: ReporterId, replies: &[Report], now: Time) {
        for reply in replies {
            let Some(inquiry) = self.inquiries.get_mut(&reply.upstream) else {
                continue;
            };
            inquiry.add_reply(from, reply, now);
            if inquiry.is_over(now) {
                self.finish_inquiry(reply.upstream, now);
            }
        }
    }

    /// Ends an inquiry, and marks the upstream as dead if it was found silent.
    fn finish_inquiry(&mut self, id: UpstreamId, now: Time) {
        let Some(inquiry) = self.inquiries.remove(&id) else {
            return;
        };
        if !self.directory.contains(id) {
            return;
        }
        let finding = inquiry.finding(&self.own_report(id, now), now);
        let Finding::Silent(silence) = finding else {
            self.record_remote_answer(id, inquiry.answered_at(), now);
            return;
        };
        self.mark_silent(id, silence, now);
        let status = Status::Silent {
            silent_for: now.since(silence.since),
            signs: silence.signs,
            instances: silence.instances,
        };
        self.announce_silence(id, status);
    }
}
