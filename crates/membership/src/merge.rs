//! Merges reports from other instances into the view, and expires suspicions.

use units::InstanceName;
use wire::Gossip;
use wire::Member;
use wire::MemberState;

use crate::broadcast::Topic;
use crate::grow_only::InstanceId;
use crate::membership::Deadline;
use crate::membership::Membership;
use crate::output::Output;
use crate::table::Change;
use crate::table::MemberEntry;
use crate::table::compare_report;

impl Membership {
    /// Merges the gossip of a frame. The frame itself also proves that its sender is alive.
    pub(crate) fn merge_gossip(&mut self, from: &InstanceId, gossip: &Gossip, out: &mut Vec<Output>) {
        let was_absent = !self.is_present(from);
        for report in &gossip.members {
            self.merge_report(from, report, out);
        }
        for record in &gossip.successors {
            if !self.successors.add(record) {
                continue;
            }
            self.broadcasts.push(Topic::Successor(InstanceId {
                name: record.from.clone(),
                incarnation: record.from_incarnation,
            }));
            out.push(Output::Succeeded(record.clone()));
        }
        for mark in &gossip.leaving {
            if !self.leaving_upstreams.add(mark) {
                continue;
            }
            self.broadcasts.push(Topic::LeavingUpstream(mark.name.clone()));
            out.push(Output::UpstreamLeaving(mark.clone()));
        }
        self.record_liveness(from);
        if let Some(document) = gossip.document {
            self.table.set_document(&from.name, from.incarnation, document);
        }
        self.compare_documents(from, gossip, out);
        self.compare_views(from, was_absent, gossip, out);
    }

    /// Whether an incarnation is in the view and not dead.
    fn is_present(&self, id: &InstanceId) -> bool {
        let entry = self.table.get_incarnation(&id.name, id.incarnation);
        entry.is_some_and(MemberEntry::is_present)
    }

    /// Merges a report about a member.
    fn merge_report(&mut self, from: &InstanceId, report: &Member, out: &mut Vec<Output>) {
        if report.name == self.me.name {
            self.merge_own_report(from, report, out);
            return;
        }
        match compare_report(self.table.get(&report.name), report) {
            Change::None => {}
            Change::New => self.insert_member(report.clone(), out),
            Change::Update => self.update_member(report.clone(), out),
            Change::ReportedDead => self.suspect_reported_dead(report, out),
        }
    }

    /// Makes a member that was reported dead a suspect with a short deadline, and notifies it so that it can refute.
    fn suspect_reported_dead(&mut self, report: &Member, out: &mut Vec<Output>) {
        let deadline = Deadline {
            at: self.now + self.timing.refutation_window(),
            notified: true,
        };
        if self
            .deadlines
            .get(&report.name)
            .is_some_and(|held| held.at <= deadline.at)
        {
            return;
        }
        let member = Member {
            state: MemberState::Suspect,
            ..report.clone()
        };
        self.update_member(member, out);
        self.deadlines.insert(report.name.clone(), deadline);
        self.notify_suspicion(&report.name, out);
    }

    /// Refutes a report that this instance is suspected or dead.
    fn merge_own_report(&mut self, from: &InstanceId, report: &Member, out: &mut Vec<Output>) {
        if report.incarnation != self.me.incarnation {
            self.replaced |= report.incarnation > self.me.incarnation;
            return;
        }
        let disputed = matches!(report.state, MemberState::Suspect | MemberState::Dead);
        if disputed && report.refutation < self.me.refutation {
            // The report was refuted already, but its sender does not know that yet and may be about to declare this
            // instance dead.
            let gossip = Gossip {
                members: vec![self.me.clone()],
                ..Gossip::default()
            };
            return self.send_gossip(&from.name, gossip, out);
        }
        if !disputed && report.refutation <= self.me.refutation {
            return;
        }
        let before = self.me.refutation;
        self.me.refutation = report.refutation.saturating_add(1);
        assert!(self.me.refutation >= before, "a refutation number never decreases");
        assert!(
            self.me.state != MemberState::Dead,
            "an instance never declares itself dead"
        );
        self.broadcasts.push(Topic::Member(self.me.name.clone()));
        let gossip = Gossip {
            members: vec![self.me.clone()],
            ..Gossip::default()
        };
        self.send_to_random(self.timing.fanout, &gossip, out);
        self.send_gossip(&from.name, gossip, out);
    }

    /// Inserts a new member, or a new incarnation of a known name.
    fn insert_member(&mut self, member: Member, out: &mut Vec<Output>) {
        let entry = MemberEntry::new(member.clone(), self.now);
        let old = self.table.put(entry);
        self.deadlines.remove(&member.name);
        self.probes.cancel(&member.name);
        if let Some(old) = old.filter(MemberEntry::is_present) {
            let gone = Member {
                state: MemberState::Dead,
                ..old.member
            };
            out.push(Output::Down(gone));
        }
        self.broadcasts.push(Topic::Member(member.name.clone()));
        if member.state == MemberState::Suspect {
            self.set_suspicion_deadline(&member, 1);
        }
        match member.state {
            MemberState::Alive | MemberState::Suspect => out.push(Output::Up(member)),
            MemberState::Leaving => out.push(Output::Leaving(member)),
            MemberState::Dead => {}
        }
    }

    /// Updates the state of a member in its current incarnation.
    pub(crate) fn update_member(&mut self, member: Member, out: &mut Vec<Output>) {
        let Some(entry) = self.table.get(&member.name) else {
            return;
        };
        let old = entry.member.state;
        debug_assert!(
            member.refutation >= entry.member.refutation,
            "a refutation number never decreases"
        );
        let dead = member.state == MemberState::Dead;
        let entry = MemberEntry {
            dead_since: dead.then_some(self.now),
            announced_stop: entry.announced_stop || member.state == MemberState::Leaving,
            member: member.clone(),
            ..entry.clone()
        };
        self.table.put(entry);
        self.broadcasts.push(Topic::Member(member.name.clone()));
        self.deadlines.remove(&member.name);
        match member.state {
            MemberState::Alive if old == MemberState::Dead => out.push(Output::Up(member)),
            MemberState::Alive => {}
            MemberState::Suspect => {
                self.set_suspicion_deadline(&member, 1);
                if old == MemberState::Dead {
                    out.push(Output::Up(member));
                }
            }
            MemberState::Leaving if old == MemberState::Leaving => {}
            MemberState::Leaving => out.push(Output::Leaving(member)),
            MemberState::Dead => {
                self.probes.cancel(&member.name);
                out.push(Output::Down(member));
            }
        }
    }

    /// Sets the deadline by which a suspect must refute, unless it has an earlier one. `divisor` shortens the
    /// timeout.
    pub(crate) fn set_suspicion_deadline(&mut self, member: &Member, divisor: u32) {
        let suspicion_timeout = self.timing.suspicion_timeout(self.table.present_count() + 1) / divisor;
        let until_notice = suspicion_timeout.saturating_sub(self.timing.refutation_window());
        let at = self.now + until_notice;
        if self.deadlines.get(&member.name).is_some_and(|held| held.at <= at) {
            return;
        }
        let deadline = Deadline { at, notified: false };
        self.deadlines.insert(member.name.clone(), deadline);
    }

    /// Records that a frame came from this incarnation, so it is not dead.
    ///
    /// A suspect stays one until it refutes, but its suspicion timeout starts over.
    pub(crate) fn record_liveness(&mut self, from: &InstanceId) {
        let Some(entry) = self.table.get_incarnation(&from.name, from.incarnation) else {
            return;
        };
        let member = entry.member.clone();
        if self.deadlines.remove(&from.name).is_none() {
            return;
        }
        if member.state == MemberState::Suspect {
            self.set_suspicion_deadline(&member, 1);
        }
    }

    /// Declares suspects dead that did not refute in time.
    ///
    /// Most suspicions are reported by others, and the refutation may have been lost. So each suspect is probed
    /// directly before its timeout ends; a live member answers that at once.
    pub(crate) fn expire_suspects(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let due = |(name, deadline): (&InstanceName, &Deadline)| (deadline.at <= now).then(|| name.clone());
        let names: Vec<InstanceName> = self.deadlines.iter().filter_map(due).collect();
        for name in names {
            let Some(deadline) = self.deadlines.remove(&name) else {
                continue;
            };
            if !deadline.notified {
                let at = now + self.timing.refutation_window();
                self.deadlines.insert(name.clone(), Deadline { at, notified: true });
                self.probe_untracked(&name, out);
                continue;
            }
            self.declare_dead(&name, out);
        }
    }

    fn declare_dead(&mut self, name: &InstanceName, out: &mut Vec<Output>) {
        let Some(entry) = self.table.get(name) else {
            return;
        };
        let member = Member {
            state: MemberState::Dead,
            ..entry.member.clone()
        };
        self.update_member(member, out);
    }
}
