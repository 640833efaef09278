//! Messages between instances about upstreams: flows that wait without an answer, failed tries, and the resulting
//! decisions.

use std::net::SocketAddr;

use flow::Report;
use flow::StatusUpdate;
use flow::UpstreamId;
use rand::seq::IteratorRandom;
use wire::Member;

use super::Body;
use super::Peers;
use super::Sender;
use crate::forward::failures;
use crate::forward::loads::reporter_id;
use crate::forward::silence;

/// Numbers of instances of the local zone, and of other zones, that receive a decision directly from the instance that
/// made it.
const LOCAL_RECIPIENTS: usize = 8;
const REMOTE_RECIPIENTS: usize = 4;
/// Number of instances to which a receiver forwards a decision that it receives for the first time. With six, all but
/// one in 400 receive it, and the next message follows within seconds.
const FORWARD_COUNT: usize = 6;

impl Peers {
    /// Processes another instance's reports, and replies with any better information.
    pub(super) fn handle_reports(&self, from: &Sender, reports: &[Report]) {
        let now = self.shared.now();
        let answers = self
            .shared
            .core()
            .receive_reports(reporter_id(&from.name), reports, now);
        self.reply_with_reports(from, answers);
        self.send_inquiries();
        self.propagate_decisions();
    }

    /// Replies with this instance's observations of the upstreams in question.
    pub(super) fn answer_inquiry(&self, from: &Sender, upstreams: &[UpstreamId]) {
        let replies = self.shared.core().reports_on(upstreams, self.shared.now());
        self.reply(from, Body::Views(replies));
    }

    /// Processes another instance's observations of upstreams that it was asked about.
    pub(super) fn handle_inquiry_replies(&self, from: &Sender, replies: &[Report]) {
        let now = self.shared.now();
        self.shared
            .core()
            .receive_inquiry_replies(reporter_id(&from.name), replies, now);
        self.propagate_decisions();
    }

    /// Applies decisions of another instance, and replies with any better information.
    pub(super) fn handle_status_updates(&self, from: &Sender, updates: &[StatusUpdate]) {
        let answers = self.shared.core().receive_status_updates(updates, self.shared.now());
        self.reply_with_reports(from, answers);
        self.propagate_decisions();
    }

    fn reply_with_reports(&self, to: &Sender, answers: Vec<Report>) {
        if !answers.is_empty() {
            self.reply(to, Body::Reports(answers));
        }
    }

    /// Makes received information take effect at once, for flows seen here and at other instances.
    fn propagate_decisions(&self) {
        self.shared.note_decisions();
        self.publish_status_updates();
    }

    /// Replies to an instance at its advertised address if known: the source address of its datagram may belong to a
    /// port mapping or a proxy, which accepts no replies.
    fn reply(&self, to: &Sender, body: Body) {
        let advertised = self.shared.members().member(&to.name).map(|member| member.address);
        self.send(advertised.unwrap_or(to.source), body);
    }

    /// Reports upstreams that flows wait for without an answer to their aggregators.
    pub(super) fn report_silence(&self) {
        for (address, reports) in silence::due(&self.shared) {
            self.send(address, Body::Reports(reports));
        }
    }

    /// Asks other instances for their observations of upstreams that enough flows wait for.
    pub(super) fn send_inquiries(&self) {
        for (address, upstreams) in silence::inquiries(&self.shared) {
            self.send(address, Body::Questions(upstreams));
        }
    }

    /// Reports failed tries to the aggregators.
    pub(super) fn report_failures(&self) {
        for (address, reports) in failures::due(&self.shared) {
            self.send(address, Body::Failures(reports));
        }
    }

    /// Sends the decisions made here, and forwards those received for the first time.
    pub(super) fn publish_status_updates(&self) {
        let (decided, received) = {
            let mut core = self.shared.core();
            (
                core.take_status_updates(),
                core.take_received_updates(self.shared.now()),
            )
        };
        self.send_status_updates(&decided, LOCAL_RECIPIENTS, REMOTE_RECIPIENTS);
        // Where the direct receivers are all instances there are, nothing needs forwarding.
        if self.shared.members().members().count() > LOCAL_RECIPIENTS + 1 {
            self.send_status_updates(&received, FORWARD_COUNT / 2, FORWARD_COUNT / 2);
        }
    }

    fn send_status_updates(&self, updates: &[StatusUpdate], local: usize, remote: usize) {
        if updates.is_empty() {
            return;
        }
        for address in self.random_recipients(local, remote) {
            self.send(address, Body::Standings(updates.to_vec()));
        }
    }

    /// Random receivers of a decision, selected anew each time.
    fn random_recipients(&self, local_count: usize, remote_count: usize) -> Vec<SocketAddr> {
        let members = self.shared.members();
        let me = members.me();
        let others = members.members().filter(|member| member.name != me.name);
        let (local, remote): (Vec<&Member>, Vec<&Member>) = others.partition(|member| member.zone == me.zone);
        let mut rng = rand::rng();
        let local = local.into_iter().sample(&mut rng, local_count);
        let remote = remote.into_iter().sample(&mut rng, remote_count);
        local.iter().chain(&remote).map(|member| member.address).collect()
    }
}
