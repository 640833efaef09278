//! Messages between instances about the load of upstreams.

use flow::LoadDigest;
use flow::LoadGroup;
use flow::LoadRecipient;
use flow::ReporterId;
use units::Incarnation;

use super::Body;
use super::Peers;
use crate::forward::loads::Recipient;
use crate::forward::loads::reporter_id;
use crate::forward::metric;

/// The sender of a load message: its name and its incarnation.
pub(super) type LoadSender = (ReporterId, Incarnation);

impl Peers {
    /// Sends the load messages that are due.
    pub(super) fn exchange_loads(&self) {
        self.collectors().refresh(&self.shared.members(), self.shared.now());
        self.report_loads();
        self.send_zone_loads();
        self.send_load_digests();
    }

    /// Reports this instance's own work to the collectors.
    fn report_loads(&self) {
        let now = self.shared.now();
        let reports = self.shared.core().take_load_reports(now);
        for report in reports {
            for to in self.collectors_of(&report.group) {
                self.deliver(to, Body::LoadReport(report.clone()));
            }
        }
    }

    /// Answers the reports to this instance as a collector.
    fn send_load_digests(&self) {
        let now = self.shared.now();
        let due = self.shared.core().take_load_digests(now);
        for due in due {
            let (remote, local): (Vec<_>, Vec<_>) = due.recipients.iter().partition(|to| to.is_in_other_zone);
            let mut digest = due.digest;
            for recipient in local {
                self.send_load_digest(&mut digest, recipient);
            }
            // Between zones, only sums are sent.
            digest.upstreams = None;
            for recipient in remote {
                self.send_load_digest(&mut digest, recipient);
            }
        }
    }

    fn send_load_digest(&self, digest: &mut LoadDigest, recipient: &LoadRecipient) {
        let Some(to) = self.collectors().reporter(recipient.name) else {
            return;
        };
        digest.included = recipient.included;
        self.deliver(to, Body::LoadDigest(Box::new(digest.clone())));
    }

    /// Sends the sums of zones to other collectors.
    fn send_zone_loads(&self) {
        let now = self.shared.now();
        let due = self.shared.core().take_zone_loads(now);
        for loads in due {
            for to in self.collectors_of(&loads.to) {
                self.deliver(to, Body::ZoneLoads(loads.clone()));
            }
        }
    }

    fn collectors_of(&self, group: &LoadGroup) -> Vec<Recipient> {
        self.collectors().of(group, &self.shared.members()).to_vec()
    }

    /// Sends a load message, or applies it if this instance is its recipient.
    fn deliver(&self, to: Recipient, body: Body) {
        match to {
            Recipient::Other(address) => self.send(address, body),
            Recipient::Own => {
                let own = self.own_load_sender();
                self.apply_load_message(own, &body);
            }
        }
    }

    fn own_load_sender(&self) -> LoadSender {
        let members = self.shared.members();
        let me = members.me();
        (reporter_id(&me.name), me.incarnation)
    }

    /// Applies a load message of another instance.
    pub(super) fn receive_load_message(&self, from: LoadSender, body: &Body) {
        let kind = match body {
            Body::LoadReport(_) => "report",
            Body::LoadDigest(_) => "digest",
            _ => "sums",
        };
        let is_new = self.apply_load_message(from, body);
        metric::load_messages(if is_new { kind } else { "late" }).increment(1);
    }

    /// Applies a load message. Returns whether it is the latest one of its sender.
    fn apply_load_message(&self, (from, incarnation): LoadSender, body: &Body) -> bool {
        let now = self.shared.now();
        let mut core = self.shared.core();
        match body {
            Body::LoadReport(report) => core.receive_load_report(from, incarnation, report, now),
            Body::LoadDigest(digest) => core.receive_load_digest(from, incarnation, digest, now),
            Body::ZoneLoads(loads) => core.receive_zone_loads(from, incarnation, loads, now),
            _ => false,
        }
    }
}
