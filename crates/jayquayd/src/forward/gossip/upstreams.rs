//! Messages between instances about upstreams: flows that wait without an answer, failed tries, and the resulting
//! decisions.

use std::net::SocketAddr;

use flow::Report;
use flow::ReporterId;
use flow::StatusUpdate;
use flow::UpstreamId;
use rand::seq::IteratorRandom;
use units::InstanceName;
use wire::Member;

use super::Body;
use super::Peers;
use super::Sender;
use crate::forward::failures;
use crate::forward::silence;

/// Numbers of instances of the local zone, and of other zones, that receive a decision directly from the instance that
/// made it.
const NEAR_LISTENERS: usize = 8;
const FAR_LISTENERS: usize = 4;
/// Number of instances to which a receiver forwards a decision that it hears for the first time. With six, all but one
/// in 400 receive it, and the next message follows within seconds.
const PASSED_ON: usize = 6;

impl Peers {
    /// Processes another instance's reports, and replies with any better information.
    pub(super) fn hear_reports(&self, from: &Sender, reports: &[Report]) {
        let now = self.shared.now();
        let answers = self.shared.core().receive_reports(reporter(&from.name), reports, now);
        self.tell_better(from, answers);
        self.ask();
        self.carry_on();
    }

    /// Replies with this instance's observations of the upstreams in question.
    pub(super) fn answer(&self, from: &Sender, upstreams: &[UpstreamId]) {
        let views = self.shared.core().reports_on(upstreams, self.shared.now());
        self.reply(from, Body::Views(views));
    }

    /// Processes another instance's observations of upstreams that it was asked about.
    pub(super) fn hear_views(&self, from: &Sender, views: &[Report]) {
        let now = self.shared.now();
        self.shared
            .core()
            .receive_inquiry_replies(reporter(&from.name), views, now);
        self.carry_on();
    }

    /// Applies decisions of another instance, and replies with any better information.
    pub(super) fn hear_standings(&self, from: &Sender, standings: &[StatusUpdate]) {
        let answers = self.shared.core().receive_status_updates(standings, self.shared.now());
        self.tell_better(from, answers);
        self.carry_on();
    }

    fn tell_better(&self, to: &Sender, answers: Vec<Report>) {
        if !answers.is_empty() {
            self.reply(to, Body::Reports(answers));
        }
    }

    /// Makes received information take effect at once, for flows seen here and at other instances.
    fn carry_on(&self) {
        self.shared.note_decisions();
        self.tell_standings();
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
    pub(super) fn ask(&self) {
        for (address, upstreams) in silence::questions(&self.shared) {
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
    pub(super) fn tell_standings(&self) {
        let (decided, heard) = {
            let mut core = self.shared.core();
            (
                core.take_status_updates(),
                core.take_received_updates(self.shared.now()),
            )
        };
        self.send_standings(&decided, NEAR_LISTENERS, FAR_LISTENERS);
        // Where the direct receivers are all instances there are, nothing needs forwarding.
        if self.shared.members().members().count() > NEAR_LISTENERS + 1 {
            self.send_standings(&heard, PASSED_ON / 2, PASSED_ON / 2);
        }
    }

    fn send_standings(&self, standings: &[StatusUpdate], near: usize, far: usize) {
        if standings.is_empty() {
            return;
        }
        for address in self.listeners(near, far) {
            self.send(address, Body::Standings(standings.to_vec()));
        }
    }

    /// Random receivers of a decision, selected anew each time.
    fn listeners(&self, near_count: usize, far_count: usize) -> Vec<SocketAddr> {
        let members = self.shared.members();
        let me = members.me();
        let others = members.members().filter(|member| member.name != me.name);
        let (near, far): (Vec<&Member>, Vec<&Member>) = others.partition(|member| member.zone == me.zone);
        let mut rng = rand::rng();
        let near = near.into_iter().sample(&mut rng, near_count);
        let far = far.into_iter().sample(&mut rng, far_count);
        near.iter().chain(&far).map(|member| member.address).collect()
    }
}

/// The identifier of a reporting instance.
fn reporter(name: &InstanceName) -> ReporterId {
    let hash = blake3::hash(name.as_str().as_bytes());
    let id = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    ReporterId(u64::from_be_bytes(id))
}
