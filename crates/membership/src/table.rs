//! The member table: one entry per instance name, and the rules for which of two reports takes precedence.

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

/// The minimum number of dead members that the table can retain. A larger fleet retains as many as were ever present
/// at once: all of them may die together, and the dead members are needed to decide whether one part of a split zone
/// is the majority.
const MIN_DEAD_RETAINED: usize = 256;

/// What this instance knows about another one.
#[derive(Debug, Clone)]
pub(crate) struct MemberEntry {
    pub(crate) member: Member,
    /// The member's hash for rendezvous hashing.
    pub(crate) key: u64,
    /// The refutation and state of this instance that the member has acknowledged.
    pub(crate) acked_status: Option<(u32, MemberState)>,
    /// When the member was declared dead.
    pub(crate) dead_since: Option<Time>,
    /// Whether it announced a planned stop, after which this incarnation does not return.
    pub(crate) announced_stop: bool,
    /// Whether the platform's list reports it as leaving.
    pub(crate) listed_leaving: bool,
    /// The configuration document that it last reported.
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

    /// Whether the member is not dead, and so takes part in the probe rounds.
    pub(crate) fn is_present(&self) -> bool {
        self.member.state != MemberState::Dead
    }
}

/// Whether a member in this state can be the home of a service.
pub(crate) fn is_eligible_home(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

/// The effect of a report about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// No change: the report is outdated or already known.
    None,
    /// The member is new, or this is a new incarnation of its name.
    New,
    /// The report replaces the existing entry.
    Update,
    /// The member is reported dead but is alive or suspected in this view: it becomes a suspect with a short
    /// deadline.
    ReportedDead,
}

/// Compares a report with the existing entry of the same name.
///
/// A report with a higher refutation number takes precedence over every one with a lower number, including `Dead`: a
/// process that was frozen for longer than every timeout, or was partitioned, may return in the same incarnation.
/// This is safe because tokens and ledgers, not views, decide who may run a request.
///
/// A report of `Dead` only makes a member that is alive or suspected here a suspect with a short deadline; it is
/// accepted as it is for a leaving member. So an instance never removes a member that has not announced its stop on
/// another's report alone, and when a partition heals, the views of the other side do not remove the members of this
/// one.
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
    /// The highest number of members that were present at once.
    most_present: usize,
    dead: usize,
    /// A hash over the members that are not dead.
    pub(crate) view_hash: u64,
}

impl Table {
    pub(crate) fn get(&self, name: &InstanceName) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// The entry of this name, if it has exactly this incarnation.
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

    /// Inserts or replaces the entry of a name and returns the previous one.
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

    /// Records which refutation and state of this instance a member has acknowledged.
    pub(crate) fn set_acked_status(&mut self, name: &InstanceName, acked_status: (u32, MemberState)) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.acked_status = Some(acked_status);
        }
    }

    /// Records the configuration document that an incarnation reports.
    pub(crate) fn set_document(&mut self, name: &InstanceName, incarnation: Incarnation, held: (Revision, Digest)) {
        let entry = self.entries.get_mut(name);
        if let Some(entry) = entry.filter(|entry| entry.member.incarnation == incarnation) {
            entry.document = Some(held);
        }
    }

    /// Records that the platform's list reports an incarnation as leaving.
    pub(crate) fn set_listed_leaving(&mut self, name: &InstanceName, incarnation: Incarnation) {
        let entry = self.entries.get_mut(name);
        if let Some(entry) = entry.filter(|entry| entry.member.incarnation == incarnation) {
            entry.listed_leaving = true;
        }
    }

    /// Removes members that were declared dead at or before this time.
    pub(crate) fn forget_dead_before(&mut self, time: Time) {
        if self.dead == 0 {
            return;
        }
        self.entries
            .retain(|_, entry| entry.dead_since.is_none_or(|since| since > time));
        self.dead = self.iter().filter(|entry| !entry.is_present()).count();
    }

    /// Removes the dead member with the lowest incarnation. All instances agree on incarnations, but not on when a
    /// member was declared dead.
    fn forget_oldest(&mut self) {
        let dead = self.iter().filter(|entry| !entry.is_present());
        let oldest = dead.min_by_key(|entry| (entry.member.incarnation, entry.member.name.clone()));
        if let Some(name) = oldest.map(|entry| entry.member.name.clone()) {
            self.entries.remove(&name);
            self.dead -= 1;
        }
    }

    fn count(&mut self, entry: &MemberEntry, add: bool) {
        let (counter, hash_change) = if entry.is_present() {
            (&mut self.present, member_hash(&entry.member))
        } else {
            (&mut self.dead, 0)
        };
        *counter = if add { *counter + 1 } else { *counter - 1 };
        self.view_hash ^= hash_change;
    }
}

/// A hash of what two instances must agree on about a member: its incarnation, and whether it is leaving.
pub(crate) fn member_hash(member: &Member) -> u64 {
    let leaving = member.state == MemberState::Leaving;
    hash(format!("member {} {} {leaving}", member.name, member.incarnation).as_bytes())
}
