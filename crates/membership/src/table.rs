//! What is known of the other instances, one record a name, and which report of two wins.

use std::collections::BTreeMap;

use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::Time;
use wire::Digest;
use wire::Member;
use wire::MemberState;

use crate::rendezvous::hash;
use crate::rendezvous::member_key;

/// How many dead members are remembered at least. Of a larger fleet, as many as have been there at a time: all of them may die at once,
/// and who is dead counts where a part of a zone looks whether it is the larger one.
const MIN_DEAD_RETAINED: usize = 256;

/// What is known of another instance.
#[derive(Debug, Clone)]
pub(crate) struct MemberEntry {
    pub(crate) member: Member,
    /// The member's hash for rendezvous.
    pub(crate) key: u64,
    /// What of this instance's own record the member has surely seen.
    pub(crate) acked_status: Option<(u32, MemberState)>,
    /// Since when it is dead.
    pub(crate) dead_since: Option<Time>,
    /// It announced a planned stop, so it won't come back.
    pub(crate) announced_stop: bool,
    /// The platform's list says that it is leaving.
    pub(crate) listed_leaving: bool,
    /// The configuration document that it told of last.
    pub(crate) document: Option<(Revision, Digest)>,
}

impl MemberEntry {
    pub(crate) fn new(member: Member, now: Time) -> Self {
        let dead = member.state == MemberState::Dead;
        Self {
            key: member_key(&member.name),
            acked_status: None,
            dead_since: dead.then_some(now),
            announced_stop: member.state == MemberState::Leaving,
            listed_leaving: false,
            document: None,
            member,
        }
    }

    /// Whether it is to be probed in turn.
    pub(crate) fn is_present(&self) -> bool {
        self.member.state != MemberState::Dead
    }
}

/// Whether a member in this state can be home of a service.
pub(crate) fn is_eligible_home(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

/// What a report about a member changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing: it is old, or known already.
    None,
    /// The member is new, or a new incarnation of its name.
    New,
    /// The report replaces what is known.
    Update,
    /// The member is taken for dead elsewhere, but not here: it is to refute soon.
    ReportedDead,
}

/// Weighs a report against what is known of the same name.
///
/// A higher refutation beats every report with a lower one, `Dead` included: a process that was frozen past every
/// timeout, or cut off, may come back in the same incarnation. Nothing unsafe follows, since who may run a request is
/// decided by tokens and ledgers and never by views.
///
/// A report of `Dead` makes a member that is not dead here a suspect with little time, and no more. So no instance
/// loses a member by hearsay alone, and when a partition heals, the views of the other side don't take down this one.
pub(crate) fn compare_report(entry: Option<&MemberEntry>, report: &Member) -> Change {
    let Some(entry) = entry else {
        return Change::New;
    };
    let old = &entry.member;
    if report.incarnation != old.incarnation {
        return if report.incarnation > old.incarnation {
            Change::New
        } else {
            Change::None
        };
    }
    if entry.announced_stop && report.state < MemberState::Leaving {
        return Change::None;
    }
    let newer = report.refutation > old.refutation;
    let worse = report.refutation == old.refutation && report.state > old.state;
    if !newer && !worse {
        return Change::None;
    }
    if report.state == MemberState::Dead && is_eligible_home(old.state) {
        return Change::ReportedDead;
    }
    Change::Update
}

/// The other instances by name.
#[derive(Debug, Default, Clone)]
pub(crate) struct Table {
    entries: BTreeMap<InstanceName, MemberEntry>,
    present: usize,
    /// The most that were present at a time.
    most_present: usize,
    dead: usize,
    /// A hash over those that are not dead.
    pub(crate) view: u64,
}

impl Table {
    pub(crate) fn get(&self, name: &InstanceName) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// The member with this name, if it is known in just this incarnation.
    pub(crate) fn get_incarnation(&self, name: &InstanceName, incarnation: Incarnation) -> Option<&MemberEntry> {
        self.get(name).filter(|entry| entry.member.incarnation == incarnation)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// The members that are not dead.
    pub(crate) fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.iter().filter(|entry| entry.is_present())
    }

    /// How many members are not dead.
    pub(crate) fn present_count(&self) -> usize {
        self.present
    }

    /// Replaces what is known of a name, and tells what was known before.
    pub(crate) fn put(&mut self, entry: MemberEntry) -> Option<MemberEntry> {
        self.count(&entry, true);
        let old = self.entries.insert(entry.member.name.clone(), entry);
        if let Some(old) = &old {
            self.count(old, false);
        }
        self.most_present = self.most_present.max(self.present);
        if self.dead > MIN_DEAD_RETAINED.max(self.most_present) {
            self.forget_oldest();
        }
        old
    }

    /// Notes what a member has surely seen of this instance's own record.
    pub(crate) fn set_acked_status(&mut self, name: &InstanceName, acked_status: (u32, MemberState)) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.acked_status = Some(acked_status);
        }
    }

    /// Notes the configuration document that an incarnation tells of.
    pub(crate) fn set_document(&mut self, name: &InstanceName, incarnation: Incarnation, held: (Revision, Digest)) {
        let entry = self.entries.get_mut(name);
        if let Some(entry) = entry.filter(|entry| entry.member.incarnation == incarnation) {
            entry.document = Some(held);
        }
    }

    /// Notes that the platform's list says that an incarnation is leaving.
    pub(crate) fn set_listed_leaving(&mut self, name: &InstanceName, incarnation: Incarnation) {
        let entry = self.entries.get_mut(name);
        if let Some(entry) = entry.filter(|entry| entry.member.incarnation == incarnation) {
            entry.listed_leaving = true;
        }
    }

    /// Forgets members that died before this time.
    pub(crate) fn forget_dead_before(&mut self, time: Time) {
        if self.dead == 0 {
            return;
        }
        self.entries
            .retain(|_, entry| entry.dead_since.is_none_or(|since| since > time));
        self.dead = self.iter().filter(|entry| !entry.is_present()).count();
    }

    /// Forgets the dead member that was born first. Every instance sees births alike, but not the times of deaths.
    fn forget_oldest(&mut self) {
        let dead = self.iter().filter(|entry| !entry.is_present());
        let oldest = dead.min_by_key(|entry| (entry.member.incarnation, entry.member.name.clone()));
        if let Some(name) = oldest.map(|entry| entry.member.name.clone()) {
            self.entries.remove(&name);
            self.dead -= 1;
        }
    }

    fn count(&mut self, entry: &MemberEntry, add: bool) {
        let (counter, view) = if entry.is_present() {
            (&mut self.present, member_hash(&entry.member))
        } else {
            (&mut self.dead, 0)
        };
        *counter = if add { *counter + 1 } else { *counter - 1 };
        self.view ^= view;
    }
}

/// What two instances must agree on about a member: its incarnation, and whether it is leaving.
pub(crate) fn member_hash(member: &Member) -> u64 {
    let leaving = member.state == MemberState::Leaving;
    hash(format!("member {} {} {leaving}", member.name, member.incarnation).as_bytes())
}
