//! Failure detection: probes one member per period in shuffled rounds; if it does not answer, requests indirect
//! probes from other members, then suspects it.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use units::InstanceName;
use units::Time;
use wire::Frame;
use wire::Member;
use wire::MemberState;

use crate::dissemination::send;
use crate::grow_only::InstanceId;
use crate::membership::Membership;
use crate::output::Output;
use crate::timing::Timing;

/// The maximum number of probes in progress on behalf of other members.
const MAX_RELAYED_PROBES: usize = 64;
/// Divides the suspicion timeout of a member that refused the connection.
const REFUSED_DIVISOR: u32 = 2;

/// The stage of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Only the member itself was probed.
    Direct,
    /// Indirect probes were requested too.
    Indirect,
}

/// A probe of this instance that is not answered yet.
#[derive(Debug, Clone)]
struct Pending {
    target: InstanceId,
    /// The refutation and state of this instance that the probe carries.
    sent_status: (u32, MemberState),
    stage: Stage,
    deadline: Time,
    refused: bool,
}

/// A probe on behalf of another member.
#[derive(Debug, Clone)]
struct RelayedProbe {
    requester: InstanceName,
    seq: u64,
    deadline: Time,
}

/// The probes in progress, and the rest of the current round.
#[derive(Debug, Clone)]
pub(crate) struct Probes {
    seq: u64,
    next: Time,
    round: Vec<InstanceName>,
    pending: BTreeMap<u64, Pending>,
    relayed: BTreeMap<u64, RelayedProbe>,
}

impl Probes {
    /// Starts at a random point of the period, so that members that start together do not probe in lockstep.
    pub(crate) fn new(timing: &Timing, now: Time, rng: &mut SmallRng) -> Self {
        Self {
            seq: 0,
            next: now + timing.probe_interval.mul_f64(rng.random()),
            round: Vec::new(),
            pending: BTreeMap::new(),
            relayed: BTreeMap::new(),
        }
    }

    pub(crate) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Extends the deadlines of all probes of this instance.
    pub(crate) fn postpone(&mut self, span: Duration) {
        for pending in self.pending.values_mut() {
            pending.deadline = pending.deadline + span;
        }
    }

    /// Drops the probes of a member that is dead or replaced.
    pub(crate) fn cancel(&mut self, name: &InstanceName) {
        self.pending.retain(|_, pending| pending.target.name != *name);
    }

    fn is_pending(&self, name: &InstanceName) -> bool {
        self.pending.values().any(|pending| pending.target.name == *name)
    }
}

impl Membership {
    /// Handles a hint that a member may have failed: its session ended, or none could be established.
    ///
    /// The member is probed at once. If a probe is in progress already, its connection was refused: then indirect
    /// probes are requested without waiting, and the member gets less time to refute.
    pub fn session_lost(&mut self, now: Time, name: &InstanceName, out: &mut Vec<Output>) {
        self.advance(now);
        let Some(entry) = self.table.get(name).filter(|entry| entry.is_present()) else {
            return;
        };
        let member = entry.member.clone();
        if !self.probes.is_pending(name) {
            self.probe(&member, out);
            return;
        }
        for pending in self.probes.pending.values_mut() {
            if pending.target.name == *name && pending.stage == Stage::Direct {
                pending.refused = true;
                pending.deadline = self.now;
            }
        }
        self.expire_probes(out);
    }

    /// Probes the next member of the round if a probe is due.
    pub(crate) fn probe_next(&mut self, out: &mut Vec<Output>) {
        if self.now < self.probes.next {
            return;
        }
        // Probes missed during a pause are not made up for.
        let overdue = self.now.since(self.probes.next) >= self.timing.probe_interval;
        let base = if overdue { self.now } else { self.probes.next };
        self.probes.next = base + self.timing.probe_interval;
        if let Some(member) = self.next_target() {
            self.probe(&member, out);
        }
    }

    /// The next member of the round that is not dead and not being probed. Starts a new round when the current one is
    /// empty.
    fn next_target(&mut self) -> Option<Member> {
        if self.probes.round.is_empty() {
            let present = self.table.present().map(|entry| entry.member.name.clone());
            self.probes.round = present.collect();
            self.probes.round.shuffle(&mut self.rng);
        }
        while let Some(name) = self.probes.round.pop() {
            let entry = self.table.get(&name).filter(|entry| entry.is_present());
            if let Some(entry) = entry.filter(|_| !self.probes.is_pending(&name)) {
                return Some(entry.member.clone());
            }
        }
        None
    }

    fn probe(&mut self, member: &Member, out: &mut Vec<Output>) {
        let seq = self.probes.next_seq();
        let gossip = self.gossip_for(member);
        out.push(send(member, Frame::Probe(seq, gossip)));
        let pending = Pending {
            target: InstanceId {
                name: member.name.clone(),
                incarnation: member.incarnation,
            },
            sent_status: self.own_status(),
            stage: Stage::Direct,
            deadline: self.now + self.timing.probe_timeout,
            refused: false,
        };
        self.probes.pending.insert(seq, pending);
    }

    /// Probes a suspect, or a leaving member that does not answer, without tracking the probe: an answer lifts or
    /// restarts its deadline, and a missing answer has no further effect.
    pub(crate) fn probe_untracked(&mut self, name: &InstanceName, out: &mut Vec<Output>) {
        let Some(entry) = self.table.get(name) else {
            return;
        };
        let member = entry.member.clone();
        let seq = self.probes.next_seq();
        let gossip = self.gossip_for(&member);
        out.push(send(&member, Frame::Probe(seq, gossip)));
    }

    /// Handles the answer to a probe, from its target or from a member that probed it indirectly.
    pub(crate) fn handle_ack(&mut self, from: &InstanceId, seq: u64, out: &mut Vec<Output>) {
        if let Some(relayed) = self.probes.relayed.remove(&seq) {
            let Some(entry) = self.table.get(&relayed.requester) else {
                return;
            };
            let requester = entry.member.clone();
            let gossip = self.gossip_for(&requester);
            out.push(send(&requester, Frame::ProbeAck(relayed.seq, gossip)));
            return;
        }
        let Some(pending) = self.probes.pending.remove(&seq) else {
            return;
        };
        if pending.target == *from {
            self.table.set_acked_status(&from.name, pending.sent_status);
            return;
        }
        self.record_liveness(&pending.target);
    }

    /// Probes a member on behalf of another one that got no answer from it.
    pub(crate) fn relay_probe(&mut self, from: &InstanceId, seq: u64, target: &InstanceName, out: &mut Vec<Output>) {
        let Some(entry) = self.table.get(target).filter(|entry| entry.is_present()) else {
            return;
        };
        if self.probes.relayed.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let member = entry.member.clone();
        let own_seq = self.probes.next_seq();
        let relayed = RelayedProbe {
            requester: from.name.clone(),
            seq,
            deadline: self.now + self.timing.probe_timeout * 2,
        };
        self.probes.relayed.insert(own_seq, relayed);
        let gossip = self.gossip_for(&member);
        out.push(send(&member, Frame::Probe(own_seq, gossip)));
    }

    /// Moves probes whose deadline has passed to the next stage, or suspects their targets.
    pub(crate) fn expire_probes(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        self.probes.relayed.retain(|_, relayed| relayed.deadline > now);
        let due = |(seq, pending): (&u64, &Pending)| (pending.deadline <= now).then_some(*seq);
        let seqs: Vec<u64> = self.probes.pending.iter().filter_map(due).collect();
        for seq in seqs {
            let Some(mut pending) = self.probes.pending.remove(&seq) else {
                continue;
            };
            let is_requested =
                pending.stage == Stage::Direct && self.request_indirect_probes(seq, &pending.target, out);
            if !is_requested {
                self.suspect(&pending, out);
                continue;
            }
            pending.stage = Stage::Indirect;
            pending.deadline = now + self.timing.probe_timeout * 2;
            self.probes.pending.insert(seq, pending);
        }
    }

    /// Asks other members to probe one that did not answer, and returns whether there are any.
    fn request_indirect_probes(&mut self, seq: u64, target: &InstanceId, out: &mut Vec<Output>) -> bool {
        let present = self.table.present().map(|entry| &entry.member);
        let candidates = present.filter(|member| member.state == MemberState::Alive && member.name != target.name);
        let indirect_probers: Vec<&Member> = candidates.sample(&mut self.rng, self.timing.indirect_probers);
        for prober in &indirect_probers {
            out.push(send(prober, Frame::ProbeFor(seq, target.name.clone())));
        }
        !indirect_probers.is_empty()
    }

    /// Suspects a member that answered neither direct nor indirect probes.
    ///
    /// A member on a planned stop stays `Leaving` in the view, and is declared dead if it stays silent.
    fn suspect(&mut self, pending: &Pending, out: &mut Vec<Output>) {
        let target = &pending.target;
        let Some(entry) = self.table.get_incarnation(&target.name, target.incarnation) else {
            return;
        };
        let divisor = if pending.refused { REFUSED_DIVISOR } else { 1 };
        let mut member = entry.member.clone();
        match member.state {
            MemberState::Alive => {
                member.state = MemberState::Suspect;
                self.update_member(member.clone(), out);
                self.set_suspicion_deadline(&member, divisor);
                self.notify_suspicion(&member.name, out);
            }
            MemberState::Leaving => self.set_suspicion_deadline(&member, divisor),
            MemberState::Suspect | MemberState::Dead => {}
        }
    }
}
