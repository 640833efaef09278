//! Outgoing gossip: updates piggybacked on probes, urgent updates sent directly, and full synchronisation.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use units::InstanceName;
use wire::Frame;
use wire::Gossip;
use wire::Member;
use wire::MemberState;

use crate::broadcast::Topic;
use crate::grow_only::InstanceId;
use crate::membership::Membership;
use crate::output::Output;
use crate::table::MemberEntry;
use crate::table::member_hash;

/// How many updates are piggybacked on one probe, and the limit while many are queued, such as when a whole fleet
/// starts. A member record takes about 60 bytes, so that a datagram usually fits a packet of 1,500 bytes. With the
/// smaller number alone, most of 65 instances that started at once knew few others for five seconds, and an instance
/// that knows few members takes on every role itself.
const UPDATES_PER_PROBE: usize = 6;
const MAX_UPDATES_PER_PROBE: usize = 20;
/// With more queued updates than this, full synchronisation is used instead.
const FULL_SYNC_BACKLOG: usize = 24;
/// The minimum number of members of other zones that are notified directly, besides those of the own zone.
const CROSS_ZONE_FANOUT: usize = 1;
/// The maximum number of entries in one frame of a full synchronisation.
const ENTRIES_PER_FRAME: usize = 64;

impl Membership {
    /// Answers a probe.
    pub(crate) fn answer_probe(&mut self, from: &InstanceId, seq: u64, gossip: &Gossip, out: &mut Vec<Output>) {
        self.merge_gossip(from, gossip, out);
        let Some(entry) = self.table.get(&from.name) else {
            return;
        };
        let member = entry.member.clone();
        let mut reply = self.gossip_for(&member);
        if member.incarnation > from.incarnation && !reply.members.contains(&member) {
            reply.members.push(member.clone());
        }
        if reply.document == gossip.document {
            reply.document = None;
        }
        out.push(send(&member, Frame::ProbeAck(seq, reply)));
    }

    /// Builds the gossip for a probe to a member, or for the answer to its probe.
    ///
    /// It contains this instance's own record until the member has acknowledged it, and the member's record if the
    /// member is suspected or dead, so that it can refute.
    pub(crate) fn gossip_for(&mut self, to: &Member) -> Gossip {
        let acked_status = self.table.get(&to.name).and_then(|entry| entry.acked_status);
        let mut gossip = self.introduction();
        if acked_status == Some(self.own_status()) {
            gossip.members.clear();
        }
        if matches!(to.state, MemberState::Suspect | MemberState::Dead) {
            gossip.members.push(to.clone());
        }
        let times = 3 * (self.table.present_count() + 2).ilog2().max(1);
        let count = (self.broadcasts.len() / 2).clamp(UPDATES_PER_PROBE, MAX_UPDATES_PER_PROBE);
        for topic in self.broadcasts.take(count, times) {
            self.add_topic(&topic, &mut gossip);
        }
        gossip
    }

    /// Gossip that holds only this instance's own record. A receiver that does not know this instance replies with
    /// the members that it knows.
    pub fn introduction(&self) -> Gossip {
        Gossip {
            view: self.view_hash(),
            members: vec![self.me.clone()],
            document: self.document,
            ..Gossip::default()
        }
    }

    /// The refutation and state of this instance that others should know.
    pub(crate) fn own_status(&self) -> (u32, MemberState) {
        (self.me.refutation, self.me.state)
    }

    fn add_topic(&self, topic: &Topic, gossip: &mut Gossip) {
        match topic {
            Topic::Member(name) if *name == self.me.name => add_member(&self.me, gossip),
            Topic::Member(name) => {
                if let Some(entry) = self.table.get(name) {
                    add_member(&entry.member, gossip);
                }
            }
            Topic::Successor(id) => gossip.successors.extend(self.successors.get(id)),
            Topic::LeavingUpstream(name) => gossip.leaving.extend(self.leaving_upstreams.get(name)),
        }
    }

    /// Sends gossip directly to up to `count` members, chosen at random.
    pub(crate) fn send_to_random(&mut self, count: usize, gossip: &Gossip, out: &mut Vec<Output>) {
        let present = self.table.present().map(|entry| &entry.member);
        let chosen: Vec<&Member> = present.sample(&mut self.rng, count);
        for member in chosen {
            out.push(send(member, Frame::News(gossip.clone())));
        }
    }

    /// Sends gossip directly to some members, preferring those of the own availability zone, and to at least one
    /// member of another zone if there is one.
    pub(crate) fn send_zone_first(&mut self, gossip: &Gossip, out: &mut Vec<Output>) {
        let present = self.table.present().map(|entry| &entry.member);
        let (near, far): (Vec<&Member>, Vec<&Member>) = present.partition(|member| member.zone == self.me.zone);
        let near = near.into_iter().sample(&mut self.rng, self.timing.fanout);
        let missing = self.timing.fanout.saturating_sub(near.len());
        let far = far.into_iter().sample(&mut self.rng, missing.max(CROSS_ZONE_FANOUT));
        for member in near.into_iter().chain(far) {
            out.push(send(member, Frame::News(gossip.clone())));
        }
    }

    /// Sends gossip to one member, if it is known.
    pub(crate) fn send_gossip(&self, to: &InstanceName, gossip: Gossip, out: &mut Vec<Output>) {
        if let Some(entry) = self.table.get(to) {
            out.push(send(&entry.member, Frame::News(gossip)));
        }
    }

    /// Notifies a member of its recorded state, so that it can refute a suspicion at once.
    pub(crate) fn notify_suspicion(&self, name: &InstanceName, out: &mut Vec<Output>) {
        let Some(entry) = self.table.get(name) else {
            return;
        };
        let gossip = Gossip {
            members: vec![entry.member.clone()],
            ..Gossip::default()
        };
        out.push(send(&entry.member, Frame::News(gossip)));
    }

    /// Sends the newer configuration document's revision and digest to a member that reported an older one.
    pub(crate) fn correct_document(&self, from: &InstanceId, gossip: &Gossip, out: &mut Vec<Output>) {
        let Some((reported, _)) = gossip.document else {
            return;
        };
        if self.document.is_none_or(|(held, _)| held <= reported) {
            return;
        }
        let newer = Gossip {
            document: self.document,
            ..Gossip::default()
        };
        self.send_gossip(&from.name, newer, out);
    }

    /// Reports a configuration document of a member that is newer than the one held, or differs from it at the same
    /// revision.
    pub(crate) fn compare_documents(&self, from: &InstanceId, gossip: &Gossip, out: &mut Vec<Output>) {
        let Some((revision, digest)) = gossip.document else {
            return;
        };
        let is_news = self
            .document
            .is_none_or(|(held, held_digest)| revision > held || (revision == held && digest != held_digest));
        let Some(entry) = self.table.get(&from.name).filter(|_| is_news) else {
            return;
        };
        out.push(Output::DocumentSeen {
            from: from.name.clone(),
            address: entry.member.address,
            revision,
            digest,
        });
    }

    /// Synchronises with an instance whose view differs from this one's.
    ///
    /// An instance that was absent from the view gets a sample of the members at once. For others, a difference
    /// usually means that updates are still on their way. So they are sent the full state only when neither side has
    /// updates left to send, or when so many are queued that a full synchronisation is cheaper, as when many
    /// instances start together. The full state is also rate-limited by [`sync_interval`](crate::Timing::sync_interval).
    pub(crate) fn compare_views(
        &mut self,
        from: &InstanceId,
        was_absent: bool,
        gossip: &Gossip,
        out: &mut Vec<Output>,
    ) {
        if gossip.view == 0 || gossip.view == self.view_hash() {
            return;
        }
        let Some(entry) = self.table.get_incarnation(&from.name, from.incarnation) else {
            return;
        };
        let newcomer = was_absent && entry.is_present();
        let has_no_updates = gossip.members.is_empty() && gossip.successors.is_empty() && gossip.leaving.is_empty();
        let quiet = has_no_updates && self.broadcasts.is_empty();
        let backlogged = self.broadcasts.len() > FULL_SYNC_BACKLOG;
        let due = (was_absent || quiet || backlogged) && self.now >= self.next_sync_at;
        if !newcomer && !due {
            return;
        }
        let member = entry.member.clone();
        self.next_sync_at = self.now + self.timing.sync_interval;
        if newcomer {
            return self.send_member_sample(&member, out);
        }
        self.send_full_state(&member, out);
    }

    /// Sends a newcomer as many members as fit one frame. In a large fleet that starts at once, sending all members
    /// to each newcomer would saturate the links of the instances that are contacted first. The newcomer learns of
    /// the others through gossip. The frame also names the configuration document held here, so that the newcomer can
    /// request it at once.
    fn send_member_sample(&mut self, to: &Member, out: &mut Vec<Output>) {
        let entries = self.table.iter().map(|entry| entry.member.clone());
        let mut members = entries.sample(&mut self.rng, ENTRIES_PER_FRAME - 1);
        members.push(self.me.clone());
        let gossip = Gossip {
            members,
            document: self.document,
            ..Gossip::default()
        };
        out.push(send(to, Frame::News(gossip)));
        self.send_grow_only_sets(to, out);
    }

    fn send_full_state(&self, to: &Member, out: &mut Vec<Output>) {
        let entries = self.table.iter().map(|entry: &MemberEntry| &entry.member);
        let members: Vec<Member> = entries.chain([&self.me]).cloned().collect();
        send_members(to, &members, out);
        self.send_grow_only_sets(to, out);
    }

    /// Sends the known hand-overs and leaving upstreams.
    fn send_grow_only_sets(&self, to: &Member, out: &mut Vec<Output>) {
        let successors: Vec<wire::Successor> = self.successors.iter().collect();
        for part in successors.chunks(ENTRIES_PER_FRAME) {
            let gossip = Gossip {
                successors: part.to_vec(),
                ..Gossip::default()
            };
            out.push(send(to, Frame::News(gossip)));
        }
        let leaving_upstreams: Vec<wire::LeavingUpstream> = self.leaving_upstreams.iter().collect();
        for part in leaving_upstreams.chunks(ENTRIES_PER_FRAME) {
            let gossip = Gossip {
                leaving: part.to_vec(),
                ..Gossip::default()
            };
            out.push(send(to, Frame::News(gossip)));
        }
    }

    /// The hash over everything that instances should agree on. It is never zero.
    fn view_hash(&self) -> u64 {
        let members = self.table.view_hash ^ member_hash(&self.me);
        (members ^ self.successors.view_hash ^ self.leaving_upstreams.view_hash).max(1)
    }
}

fn send_members(to: &Member, members: &[Member], out: &mut Vec<Output>) {
    for part in members.chunks(ENTRIES_PER_FRAME) {
        let gossip = Gossip {
            members: part.to_vec(),
            ..Gossip::default()
        };
        out.push(send(to, Frame::News(gossip)));
    }
}

fn add_member(member: &Member, gossip: &mut Gossip) {
    if !gossip.members.contains(member) {
        gossip.members.push(member.clone());
    }
}

pub(crate) fn send(to: &Member, frame: Frame) -> Output {
    send_to(&to.name, to.address, frame)
}

pub(crate) fn send_to(to: &InstanceName, address: SocketAddr, frame: Frame) -> Output {
    Output::Send {
        to: to.clone(),
        address,
        frame,
    }
}
