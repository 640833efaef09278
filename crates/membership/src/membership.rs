//! One instance's part in the fleet: what it is told, and the passing of time.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::Time;
use units::UpstreamName;
use wire::Digest;
use wire::Frame;
use wire::Gossip;
use wire::LeavingUpstream;
use wire::Member;
use wire::MemberState;
use wire::Successor;

use crate::broadcast::BroadcastQueue;
use crate::broadcast::Topic;
use crate::grow_only::InstanceId;
use crate::grow_only::LeavingUpstreams;
use crate::grow_only::Successors;
use crate::output::Output;
use crate::probe::Probes;
use crate::rendezvous::member_key;
use crate::seed::Seeds;
use crate::table::Table;
use crate::timing::Timing;

/// How long a member in doubt has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Deadline {
    pub(crate) at: Time,
    /// Whether it has been told directly, so that it counts as dead when this is over.
    pub(crate) notified: bool,
}

/// One instance's part in the fleet.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(crate) me: Member,
    pub(crate) my_key: u64,
    pub(crate) timing: Timing,
    pub(crate) rng: SmallRng,
    pub(crate) now: Time,
    pub(crate) table: Table,
    /// When a member that is suspected, or leaving and silent, counts as dead.
    pub(crate) deadlines: BTreeMap<InstanceName, Deadline>,
    pub(crate) successors: Successors,
    pub(crate) leaving_upstreams: LeavingUpstreams,
    pub(crate) broadcasts: BroadcastQueue,
    pub(crate) probes: Probes,
    pub(crate) seeds: Seeds,
    pub(crate) document: Option<(Revision, Digest)>,
    pub(crate) next_sync: Time,
    pub(crate) replaced: bool,
}

impl Membership {
    /// The part of the instance `me`, which knows no other yet.
    ///
    /// The record's state is taken as `Alive`.
    pub fn new(me: Member, timing: Timing, seed: u64, now: Time) -> Self {
        let me = Member {
            state: MemberState::Alive,
            ..me
        };
        let mut broadcasts = BroadcastQueue::default();
        broadcasts.push(Topic::Member(me.name.clone()));
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            my_key: member_key(&me.name),
            probes: Probes::new(&timing, now, &mut rng),
            seeds: Seeds::new(&timing, now),
            me,
            timing,
            rng,
            now,
            table: Table::default(),
            deadlines: BTreeMap::new(),
            successors: Successors::default(),
            leaving_upstreams: LeavingUpstreams::default(),
            broadcasts,
            document: None,
            next_sync: now,
            replaced: false,
        }
    }

    /// Takes in a frame from another instance, as its authenticated session names it.
    ///
    /// Frames that are not about membership are ignored.
    pub fn handle(
        &mut self,
        now: Time,
        from: &InstanceName,
        from_incarnation: Incarnation,
        frame: &Frame,
        out: &mut Vec<Output>,
    ) {
        self.advance(now);
        let from = InstanceId {
            name: from.clone(),
            incarnation: from_incarnation,
        };
        if from.name == self.me.name {
            self.replaced |= from.incarnation > self.me.incarnation;
            return;
        }
        match frame {
            Frame::Probe(seq, gossip) => self.answer_probe(&from, *seq, gossip, out),
            Frame::ProbeAck(seq, gossip) => {
                self.merge_gossip(&from, gossip, out);
                self.handle_ack(&from, *seq, out);
            }
            Frame::ProbeFor(seq, target) => self.relay_probe(&from, *seq, target, out),
            Frame::News(gossip) => {
                self.merge_gossip(&from, gossip, out);
                self.correct_document(&from, gossip, out);
            }
            _ => {}
        }
    }

    /// Lets time pass. This starts probes, and ends those that were not answered.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.advance(now);
        self.probe_next(out);
        self.expire_probes(out);
        self.expire_suspects(out);
        self.contact_absent(out);
    }

    /// Announces this instance's own planned stop.
    ///
    /// Up to [`Timing::stop_fanout`] members are told at once, the others by gossip.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.advance(now);
        if self.me.state == MemberState::Leaving {
            return;
        }
        self.me.state = MemberState::Leaving;
        self.me.refutation = self.me.refutation.saturating_add(1);
        self.broadcasts.push(Topic::Member(self.me.name.clone()));
        let gossip = Gossip {
            members: vec![self.me.clone()],
            ..Gossip::default()
        };
        self.send_to_random(self.timing.stop_fanout, &gossip, out);
    }

    /// Adds a hand-over, one's own or an inherited one, and spreads it.
    pub fn add_successor(&mut self, record: Successor, now: Time, out: &mut Vec<Output>) {
        self.advance(now);
        if !self.successors.add(&record) {
            return;
        }
        self.broadcasts.push(Topic::Successor(InstanceId {
            name: record.from.clone(),
            incarnation: record.from_incarnation,
        }));
        let gossip = Gossip {
            successors: vec![record],
            ..Gossip::default()
        };
        self.send_to_random(self.timing.stop_fanout, &gossip, out);
    }

    /// Marks an incarnation of an upstream, and all before it, as leaving, and spreads this. It is never taken back.
    pub fn add_leaving_upstream(&mut self, mark: LeavingUpstream, now: Time, out: &mut Vec<Output>) {
        self.advance(now);
        if !self.leaving_upstreams.add(&mark) {
            return;
        }
        self.broadcasts.push(Topic::LeavingUpstream(mark.name.clone()));
        let gossip = Gossip {
            leaving: vec![mark],
            ..Gossip::default()
        };
        self.send_to_random(self.timing.fanout, &gossip, out);
    }

    /// Sets the configuration document that this instance holds, and tells a few others at once if it is newer, or another one of
    /// the same revision.
    ///
    /// Each of them fetches it and tells a few others in turn, so it is everywhere within a few round trips.
    pub fn set_document(&mut self, revision: Revision, digest: Digest, now: Time, out: &mut Vec<Output>) {
        self.advance(now);
        let is_known = |(held, held_digest)| held > revision || (held, held_digest) == (revision, digest);
        if self.document.is_some_and(is_known) {
            return;
        }
        self.document = Some((revision, digest));
        let gossip = Gossip {
            document: self.document,
            ..Gossip::default()
        };
        if self.timing.near_first {
            return self.send_zone_first(&gossip, out);
        }
        self.send_to_random(self.timing.fanout, &gossip, out);
    }

    /// The configuration document that this instance holds.
    pub fn document(&self) -> Option<(Revision, Digest)> {
        self.document
    }

    /// Whether an incarnation of an upstream gets no new work any more.
    pub fn is_leaving(&self, name: &UpstreamName, incarnation: Incarnation) -> bool {
        self.leaving_upstreams.is_leaving(name, incarnation)
    }

    /// Moves to a new time.
    ///
    /// After a pause of this process itself, every wait starts over by as much: silence during the pause says
    /// nothing about the others.
    pub(crate) fn advance(&mut self, now: Time) {
        let pause = now.since(self.now);
        if pause > self.timing.probe_timeout {
            self.probes.postpone(pause);
            for deadline in self.deadlines.values_mut() {
                deadline.at = deadline.at + pause;
            }
        }
        self.now = self.now.max(now);
    }
}
