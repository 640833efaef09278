//! What instances tell one another of upstreams: flows that wait in vain, tries that end badly, and what came of that.

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

/// How many instances of the own zone, and of other zones, get a standing from whoever decided it.
const NEAR_LISTENERS: usize = 8;
const FAR_LISTENERS: usize = 4;
/// How many others hear of a standing from each that has heard of it first. With six all but one in four hundred hear of it, and
/// the next word comes within seconds.
const PASSED_ON: usize = 6;

impl Peers {
    /// Takes in another instance's reports, and tells it what is known better here.
    pub(super) fn hear_reports(&self, from: &Sender, reports: &[Report]) {
        let now = self.shared.now();
        let answers = self.shared.core().receive_reports(reporter(&from.name), reports, now);
        self.tell_better(from, answers);
        self.ask();
        self.carry_on();
    }

    /// Tells another instance what was seen here of the upstreams that it asks about.
    pub(super) fn answer(&self, from: &Sender, upstreams: &[UpstreamId]) {
        let views = self.shared.core().reports_on(upstreams, self.shared.now());
        self.reply(from, Body::Views(views));
    }

    /// Takes in what another instance has seen of upstreams that it was asked about.
    pub(super) fn hear_views(&self, from: &Sender, views: &[Report]) {
        let now = self.shared.now();
        self.shared
            .core()
            .receive_inquiry_replies(reporter(&from.name), views, now);
        self.carry_on();
    }

    /// Follows what another instance has decided, and tells it what is known better here.
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

    /// Has what another instance told take effect at once: for flows seen here, and at others.
    fn carry_on(&self) {
        self.shared.note_decisions();
        self.tell_standings();
    }

    /// Answers an instance. Where its datagram came from may be a port mapping or a proxy, which takes nothing back.
    fn reply(&self, to: &Sender, body: Body) {
        let advertised = self.shared.members().member(&to.name).map(|member| member.address);
        self.send(advertised.unwrap_or(to.source), body);
    }

    /// Tells whoever sums up which upstreams flows wait for in vain.
    pub(super) fn report_silence(&self) {
        for (address, reports) in silence::due(&self.shared) {
            self.send(address, Body::Reports(reports));
        }
    }

    /// Asks what others have seen of upstreams that enough flows wait for.
    pub(super) fn ask(&self) {
        for (address, upstreams) in silence::questions(&self.shared) {
            self.send(address, Body::Questions(upstreams));
        }
    }

    /// Tells whoever sums up of tries that have ended badly.
    pub(super) fn report_failures(&self) {
        for (address, reports) in failures::due(&self.shared) {
            self.send(address, Body::Failures(reports));
        }
    }

    /// Tells others of what was decided here, and passes on what was heard first.
    pub(super) fn tell_standings(&self) {
        let (decided, heard) = {
            let mut core = self.shared.core();
            (
                core.take_status_updates(),
                core.take_received_updates(self.shared.now()),
            )
        };
        self.send_standings(&decided, NEAR_LISTENERS, FAR_LISTENERS);
        // Where the first ones who hear are all there are, nothing is to be passed on.
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

    /// Who gets a standing, drawn anew each time.
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

/// The name of an instance that reports.
fn reporter(name: &InstanceName) -> ReporterId {
    let hash = blake3::hash(name.as_str().as_bytes());
    let id = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    ReporterId(u64::from_be_bytes(id))
}
