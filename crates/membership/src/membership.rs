//! The membership state of one instance, and its entry points for frames, time and local events.

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

/// When the suspicion of a member expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Deadline {
    pub(crate) at: Time,
    /// Whether the member was notified directly. If so, it is declared dead at `at`; otherwise it is notified then.
    pub(crate) notified: bool,
}

/// The membership state machine of one instance.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(crate) me: Member,
    pub(crate) my_key: u64,
    pub(crate) timing: Timing,
    pub(crate) rng: SmallRng,
    pub(crate) now: Time,
    pub(crate) table: Table,
    /// Deadlines of members that are suspected, or that are leaving and do not answer.
    pub(crate) deadlines: BTreeMap<InstanceName, Deadline>,
    pub(crate) successors: Successors,
    pub(crate) leaving_upstreams: LeavingUpstreams,
    pub(crate) broadcasts: BroadcastQueue,
    pub(crate) probes: Probes,
    pub(crate) seeds: Seeds,
    pub(crate) document: Option<(Revision, Digest)>,
    pub(crate) next_sync_at: Time,
    pub(crate) replaced: bool,
}

impl Membership {
    /// Creates the state of the instance `me`, which knows no other instance yet.
    ///
    /// The state in `me` is ignored and set to `Alive`.
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
            next_sync_at: now,
            replaced: false,
        }
    }

    /// Handles a frame from another instance, identified by its authenticated session.
    ///
    /// Frames that do not concern membership are ignored.
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

    /// Advances the time: starts due probes, and expires unanswered probes and suspicions.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.advance(now);
        self.probe_next(out);
        self.expire_probes(out);
        self.expire_suspects(out);
        self.contact_absent(out);
    }

    /// Announces the planned stop of this instance.
    ///
    /// Up to [`Timing::stop_fanout`] members are notified directly, the others through gossip.
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

    /// Adds a ledger hand-over, made by this instance or taken over from another one, and disseminates it.
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

    /// Marks an incarnation of an upstream and all earlier ones as leaving, and disseminates this. A mark is never
    /// withdrawn.
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

    /// Sets the configuration document that this instance holds, unless the previous one is the same or has a later
    /// revision, and notifies a few members directly.
    ///
    /// Each of them fetches the document and notifies a few others, so it reaches the fleet within a few round trips.
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
        if self.timing.prefer_own_zone {
            return self.send_zone_first(&gossip, out);
        }
        self.send_to_random(self.timing.fanout, &gossip, out);
    }

    /// The configuration document that this instance holds.
    pub fn document(&self) -> Option<(Revision, Digest)> {
        self.document
    }

    /// Whether an incarnation of an upstream is leaving and must get no new work.
    pub fn is_leaving(&self, name: &UpstreamName, incarnation: Incarnation) -> bool {
        self.leaving_upstreams.is_leaving(name, incarnation)
    }

    /// Moves the clock forward.
    ///
    /// If this process itself was paused, all deadlines are postponed by the length of the pause, since missing
    /// answers during it say nothing about the other members.
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
