//! Merging what others say into the view.

use units::InstanceName;
use wire::Gossip;
use wire::Member;
use wire::MemberState;

use crate::lasting::Life;
use crate::membership::Deadline;
use crate::membership::Membership;
use crate::news::Topic;
use crate::output::Output;
use crate::table::Change;
use crate::table::Known;
use crate::table::weigh;

impl Membership {
    /// Takes in a frame's gossip, and the proof of life that the frame itself is.
    pub(crate) fn hear(&mut self, from: &Life, gossip: &Gossip, out: &mut Vec<Output>) {
        let stranger = !self.is_present(from);
        for report in &gossip.members {
            self.learn(from, report, out);
        }
        for record in &gossip.successors {
            if !self.successors.add(record) {
                continue;
            }
            self.news.push(Topic::Successor(Life {
                name: record.from.clone(),
                incarnation: record.from_incarnation,
            }));
            out.push(Output::Succeeded(record.clone()));
        }
        for mark in &gossip.leaving {
            if !self.marks.add(mark) {
                continue;
            }
            self.news.push(Topic::Mark(mark.name.clone()));
            out.push(Output::UpstreamLeaving(mark.clone()));
        }
        self.note_life(from);
        if let Some(document) = gossip.document {
            self.table.set_document(&from.name, from.incarnation, document);
        }
        self.compare_documents(from, gossip, out);
        self.compare_views(from, stranger, gossip, out);
    }

    /// Whether an incarnation is in the view and not dead.
    fn is_present(&self, life: &Life) -> bool {
        let known = self.table.life(&life.name, life.incarnation);
        known.is_some_and(Known::is_present)
    }

    /// Takes in a report about a member.
    fn learn(&mut self, from: &Life, report: &Member, out: &mut Vec<Output>) {
        if report.name == self.me.name {
            self.learn_of_me(from, report, out);
            return;
        }
        match weigh(self.table.get(&report.name), report) {
            Change::None => {}
            Change::New => self.meet(report.clone(), out),
            Change::State => self.change(report.clone(), out),
            Change::Doubt => self.doubt(report, out),
        }
    }

    /// Makes a member that others take for dead a suspect with little time, and tells it so that it can refute.
    fn doubt(&mut self, report: &Member, out: &mut Vec<Output>) {
        let deadline = Deadline {
            at: self.now + self.timing.last_chance(),
            told: true,
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
        self.change(member, out);
        self.deadlines.insert(report.name.clone(), deadline);
        self.tell(&report.name, out);
    }

    /// Refutes a report that this instance is in doubt or dead.
    fn learn_of_me(&mut self, from: &Life, report: &Member, out: &mut Vec<Output>) {
        if report.incarnation != self.me.incarnation {
            self.replaced |= report.incarnation > self.me.incarnation;
            return;
        }
        let doubted = matches!(report.state, MemberState::Suspect | MemberState::Dead);
        if doubted && report.refutation < self.me.refutation {
            // It was refuted already, but the teller has not heard of that and may be about to take it for true.
            let gossip = Gossip {
                members: vec![self.me.clone()],
                ..Gossip::default()
            };
            return self.send_news(&from.name, gossip, out);
        }
        if !doubted && report.refutation <= self.me.refutation {
            return;
        }
        let before = self.me.refutation;
        self.me.refutation = report.refutation.saturating_add(1);
        assert!(self.me.refutation >= before, "a refutation never decreases");
        assert!(
            self.me.state != MemberState::Dead,
            "an instance never takes itself for dead"
        );
        self.news.push(Topic::Member(self.me.name.clone()));
        let gossip = Gossip {
            members: vec![self.me.clone()],
            ..Gossip::default()
        };
        self.push_news(self.timing.fanout, &gossip, out);
        self.send_news(&from.name, gossip, out);
    }

    /// Takes in a member that is new, or a new incarnation of its name.
    fn meet(&mut self, member: Member, out: &mut Vec<Output>) {
        let known = Known::new(member.clone(), self.now);
        let old = self.table.put(known);
        self.deadlines.remove(&member.name);
        self.probes.cancel(&member.name);
        if let Some(old) = old.filter(Known::is_present) {
            let gone = Member {
                state: MemberState::Dead,
                ..old.member
            };
            out.push(Output::Down(gone));
        }
        self.news.push(Topic::Member(member.name.clone()));
        if member.state == MemberState::Suspect {
            self.give_time(&member, 1);
        }
        match member.state {
            MemberState::Alive | MemberState::Suspect => out.push(Output::Up(member)),
            MemberState::Leaving => out.push(Output::Leaving(member)),
            MemberState::Dead => {}
        }
    }

    /// Changes the state of a member in its present incarnation.
    pub(crate) fn change(&mut self, member: Member, out: &mut Vec<Output>) {
        let Some(known) = self.table.get(&member.name) else {
            return;
        };
        let old = known.member.state;
        debug_assert!(
            member.refutation >= known.member.refutation,
            "a refutation never decreases"
        );
        let dead = member.state == MemberState::Dead;
        let known = Known {
            dead_since: dead.then_some(self.now),
            left: known.left || member.state == MemberState::Leaving,
            member: member.clone(),
            ..known.clone()
        };
        self.table.put(known);
        self.news.push(Topic::Member(member.name.clone()));
        self.deadlines.remove(&member.name);
        match member.state {
            MemberState::Alive if old == MemberState::Dead => out.push(Output::Up(member)),
            MemberState::Alive => {}
            MemberState::Suspect => {
                self.give_time(&member, 1);
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

    /// Gives a member in doubt time to refute, or a part of it.
    pub(crate) fn give_time(&mut self, member: &Member, divisor: u32) {
        let patience = self.timing.patience(self.table.present_len() + 1) / divisor;
        let until_told = patience.saturating_sub(self.timing.last_chance());
        let at = self.now + until_told;
        if self.deadlines.get(&member.name).is_some_and(|held| held.at <= at) {
            return;
        }
        let deadline = Deadline { at, told: false };
        self.deadlines.insert(member.name.clone(), deadline);
    }

    /// Notes that a frame came from this incarnation itself, so it is not dead.
    ///
    /// A suspect stays one for the others until it refutes, but has all its time again.
    pub(crate) fn note_life(&mut self, from: &Life) {
        let Some(known) = self.table.life(&from.name, from.incarnation) else {
            return;
        };
        let member = known.member.clone();
        if self.deadlines.remove(&from.name).is_none() {
            return;
        }
        if member.state == MemberState::Suspect {
            self.give_time(&member, 1);
        }
    }

    /// Takes those for dead that did not refute in time.
    ///
    /// Most suspicions are hearsay, and the refutation may not have come through. So before its time is up, a member
    /// is probed directly, and whoever lives answers that at once.
    pub(crate) fn expire_suspects(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let due = |(name, deadline): (&InstanceName, &Deadline)| (deadline.at <= now).then(|| name.clone());
        let names: Vec<InstanceName> = self.deadlines.iter().filter_map(due).collect();
        for name in names {
            let Some(deadline) = self.deadlines.remove(&name) else {
                continue;
            };
            if !deadline.told {
                let at = now + self.timing.last_chance();
                self.deadlines.insert(name.clone(), Deadline { at, told: true });
                self.probe_once(&name, out);
                continue;
            }
            self.bury(&name, out);
        }
    }

    fn bury(&mut self, name: &InstanceName, out: &mut Vec<Output>) {
        let Some(known) = self.table.get(name) else {
            return;
        };
        let member = Member {
            state: MemberState::Dead,
            ..known.member.clone()
        };
        self.change(member, out);
    }
}
