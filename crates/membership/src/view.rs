//! Queries on the view: members, homes, watchers, keepers, and the status of incarnations.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::iter;

use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::ServiceName;
use units::ZoneName;
use wire::Digest;
use wire::Member;
use wire::MemberState;

use crate::grow_only::HandoverEnd;
use crate::grow_only::InstanceId;
use crate::membership::Membership;
use crate::output::Standing;
use crate::rendezvous::hash;
use crate::rendezvous::score;
use crate::table::MemberEntry;
use crate::table::is_eligible_home;

/// How many instances of each availability zone watch the platform.
const WATCHERS_PER_ZONE: usize = 2;

impl Membership {
    /// This instance's own record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All members that are not dead, this instance first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        iter::once(&self.me).chain(self.table.present().map(|entry| &entry.member))
    }

    /// The member of this name, if it is not dead.
    pub fn member(&self, name: &InstanceName) -> Option<&Member> {
        if name == &self.me.name {
            return Some(&self.me);
        }
        let entry = self.table.get(name).filter(|entry| entry.is_present())?;
        Some(&entry.member)
    }

    /// The configuration document that a member last reported. The member may hold a newer one by now, but never an
    /// older one.
    pub fn document_of(&self, name: &InstanceName) -> Option<(Revision, Digest)> {
        if name == &self.me.name {
            return self.document;
        }
        self.table.get(name)?.document
    }

    /// The dead members that are still retained.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        let dead = self.table.iter().filter(|entry| !entry.is_present());
        dead.map(|entry| &entry.member)
    }

    /// Whether a later incarnation of this instance's own name was seen, so that the others no longer take this one
    /// into account.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// The home of a service among the members whose availability zone is in the region, or `None` if no member of
    /// the region can be a home.
    ///
    /// The home is chosen by rendezvous hashing of names, so every instance with the same view chooses the same one,
    /// and a member that joins or leaves moves only the services that it gains or loses. Suspects count as present,
    /// since most of them refute.
    pub fn home(&self, service: &ServiceName, in_region: impl Fn(&ZoneName) -> bool) -> Option<&Member> {
        let subject = hash(service.as_str().as_bytes());
        let candidates = self.candidates().filter(|(_, member)| in_region(&member.zone));
        let ranked = candidates.max_by_key(|(key, member)| (score(subject, *key), &member.name));
        ranked.map(|(_, member)| member)
    }

    /// The instances of this availability zone that watch the platform: two, or one if there are no more.
    ///
    /// An instance that is cut off from its zone counts itself, so the platform is watched however the views differ.
    pub fn watchers(&self) -> impl Iterator<Item = &Member> {
        let subject = hash(self.me.zone.as_str().as_bytes());
        let zone = self.candidates().filter(|(_, member)| member.zone == self.me.zone);
        ranked(subject, zone).into_iter().take(WATCHERS_PER_ZONE)
    }

    /// All eligible members, in a pseudo-random order that depends on `round`. Instances with the same view get the
    /// same order.
    pub fn ranked_members(&self, round: u64) -> Vec<&Member> {
        ranked(hash(&round.to_le_bytes()), self.candidates())
    }

    /// The member of an availability zone that is responsible for a subject, or `None` unless this instance sees the
    /// majority of the zone's members alive. Dead members count towards the total, except those that announced their
    /// stop.
    ///
    /// So the parts of a split zone never choose different keepers, but two keepers may exist briefly while members
    /// join and leave. An instance that knows no other member cannot tell, and returns `None`.
    pub fn keeper(&self, subject: u64, zone: &ZoneName) -> Option<&Member> {
        let has_met_others = self.table.present_count() > 0;
        let ranked = self.ranked_members(subject);
        let candidates: Vec<&Member> = ranked.into_iter().filter(|member| member.zone == *zone).collect();
        let lost = self
            .table
            .iter()
            .filter(|entry| !entry.is_present() && !entry.announced_stop);
        let lost = lost.filter(|entry| entry.member.zone == *zone).count();
        let sees_most = has_met_others && candidates.len() > lost;
        candidates.into_iter().next().filter(|_| sees_most)
    }

    /// The number of availability zones with members that are not dead.
    pub fn zone_count(&self) -> usize {
        let zones: BTreeSet<&ZoneName> = self.members().map(|member| &member.zone).collect();
        zones.len()
    }

    /// Whether this instance watches the platform.
    pub fn is_watcher(&self) -> bool {
        self.watchers().any(|member| member.name == self.me.name)
    }

    /// The member that takes over this instance's ledgers at a planned stop.
    ///
    /// It is alive, and in the same availability zone if that has a candidate. It is chosen among the half of the
    /// candidates that started last, because in a rolling replacement the older ones stop soon. The choice depends on
    /// the name of this instance, so that instances that stop together spread over the candidates.
    pub fn successor_candidate(&self) -> Option<&Member> {
        let mut candidates: Vec<&MemberEntry> = self.table.iter().filter(|entry| can_take_ledgers(entry)).collect();
        if candidates.iter().any(|entry| entry.member.zone == self.me.zone) {
            candidates.retain(|entry| entry.member.zone == self.me.zone);
        }
        candidates.sort_by_key(|entry| Reverse(entry.member.incarnation));
        candidates.truncate(candidates.len().div_ceil(2));
        let ranked = candidates.into_iter().max_by_key(|entry| score(self.my_key, entry.key));
        ranked.map(|entry| &entry.member)
    }

    /// The status of an incarnation, as the owner of flows.
    ///
    /// A hand-over takes effect as soon as it is known, even while the instance that handed over is still running.
    pub fn standing(&self, name: &InstanceName, incarnation: Incarnation) -> Standing<'_> {
        let id = InstanceId {
            name: name.clone(),
            incarnation,
        };
        match self.successors.resolve(&id) {
            HandoverEnd::NoHandover => self.direct_standing(&id),
            HandoverEnd::Cycle => Standing::Gone,
            HandoverEnd::At(last) => match self.direct_standing(last) {
                Standing::Me => Standing::SucceededByMe,
                Standing::Alive(member) | Standing::Suspect(member) | Standing::Leaving(member) => {
                    Standing::Succeeded(member)
                }
                other => other,
            },
        }
    }

    fn direct_standing(&self, id: &InstanceId) -> Standing<'_> {
        if id.name == self.me.name {
            return match id.incarnation.cmp(&self.me.incarnation) {
                Ordering::Less => Standing::Gone,
                Ordering::Equal => Standing::Me,
                Ordering::Greater => Standing::Unknown,
            };
        }
        let Some(entry) = self.table.get(&id.name) else {
            return Standing::Unknown;
        };
        let member = &entry.member;
        if id.incarnation > member.incarnation {
            return Standing::Unknown;
        }
        if id.incarnation < member.incarnation {
            return Standing::Gone;
        }
        match member.state {
            MemberState::Alive => Standing::Alive(member),
            MemberState::Suspect => Standing::Suspect(member),
            MemberState::Leaving => Standing::Leaving(member),
            MemberState::Dead => Standing::Gone,
        }
    }

    /// The members that can be the home of a service, each with its rendezvous key.
    fn candidates(&self) -> impl Iterator<Item = (u64, &Member)> {
        let me = iter::once((self.my_key, &self.me));
        let others = self.table.iter().map(|entry| (entry.key, &entry.member));
        me.chain(others).filter(|(_, member)| is_eligible_home(member.state))
    }
}

/// Sorts members by their rendezvous score for a subject, highest first.
fn ranked<'a>(subject: u64, members: impl Iterator<Item = (u64, &'a Member)>) -> Vec<&'a Member> {
    let mut ranked: Vec<(u64, &Member)> = members.map(|(key, member)| (score(subject, key), member)).collect();
    ranked.sort_by(|a, b| (b.0, &b.1.name).cmp(&(a.0, &a.1.name)));
    ranked.into_iter().map(|(_, member)| member).collect()
}

fn can_take_ledgers(entry: &MemberEntry) -> bool {
    entry.member.state == MemberState::Alive && !entry.listed_leaving
}
