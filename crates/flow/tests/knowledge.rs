//! The knowledge of an instance never regresses, and all instances converge to the platform's state, whatever order
//! changes arrive in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::Document;
use flow::Evacuations;
use flow::Knowledge;
use flow::Priority;
use flow::Route;
use flow::StartTime;
use flow::Upstream;
use flow::UpstreamId;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use units::Epoch;
use units::Position;
use units::Revision;
use units::Slots;
use units::Time;
use units::ZoneName;

const INSTANCES: usize = 4;
const UPSTREAM_COUNT: u64 = 5;
const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// One event of a test run.
#[derive(Debug, Clone)]
enum Step {
    /// An upstream writes its entry.
    WriteEntry(u64, bool),
    /// An upstream restarts under its id and writes its entry.
    Restart(u64),
    /// An entry is removed.
    RemoveEntry(u64),
    /// Operators write the next document.
    WriteDocument,
    /// Operators request the evacuation of a zone, or end it.
    Evacuate(usize, bool),
    /// An instance reads the zones under evacuation.
    ReadEvacuations(usize),
    /// An instance reads the whole list.
    ReadList(usize),
    /// An instance's watch returns the changes since its previous response.
    Watch(usize),
    /// An instance reads the document.
    ReadDocument(usize),
    /// The first instance pulls changes from the second.
    Pull(usize, usize),
    /// The response to an earlier pull arrives again, late.
    RepeatPull(usize, usize),
    /// An instance reads, late, the platform's state of some changes ago.
    ReadStale(usize, usize),
    /// The platform is restored to its state of some changes ago.
    Restore(usize),
    /// The writers rewrite what the restore has lost.
    RewriteLost,
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        (0..UPSTREAM_COUNT, any::<bool>()).prop_map(|(id, leaving)| Step::WriteEntry(id, leaving)),
        (0..UPSTREAM_COUNT).prop_map(Step::Restart),
        (0..UPSTREAM_COUNT).prop_map(Step::RemoveEntry),
        any::<bool>().prop_map(|_| Step::WriteDocument),
        (0..ZONES.len(), any::<bool>()).prop_map(|(zone, asked)| Step::Evacuate(zone, asked)),
        instance.clone().prop_map(Step::ReadEvacuations),
        instance.clone().prop_map(Step::ReadList),
        instance.clone().prop_map(Step::Watch),
        instance.clone().prop_map(Step::ReadDocument),
        (instance.clone(), 0..INSTANCES).prop_map(|(to, from)| Step::Pull(to, from)),
        (instance.clone(), any::<usize>()).prop_map(|(to, index)| Step::RepeatPull(to, index)),
        (instance, 0..8_usize).prop_map(|(to, age)| Step::ReadStale(to, age)),
        (0..8_usize).prop_map(Step::Restore),
        any::<bool>().prop_map(|_| Step::RewriteLost),
    ]
}

fn upstream(leaving: bool, number: u16) -> Upstream {
    Upstream {
        service: "search".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, number),
        zone: "zone-a".parse().unwrap(),
        slots: Slots(2),
        leaving,
        cold_for: Duration::ZERO,
        started: None,
    }
}

/// The platform's state, with its change log.
#[derive(Debug, Default, Clone)]
struct State {
    epoch: u64,
    revision: u64,
    document: Option<(Revision, Document)>,
    evacuated: BTreeSet<ZoneName>,
    entries: BTreeMap<UpstreamId, (Revision, Upstream)>,
    changes: Vec<(Revision, UpstreamId, Option<Upstream>)>,
}

impl State {
    fn position(&self) -> Position {
        Position::new(Epoch(self.epoch), Revision(self.revision))
    }

    fn put(&mut self, id: UpstreamId, upstream: Upstream) {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.entries.insert(id, (revision, upstream.clone()));
        self.changes.push((revision, id, Some(upstream)));
    }

    fn remove(&mut self, id: UpstreamId) {
        if self.entries.remove(&id).is_none() {
            return;
        }
        self.revision += 1;
        self.changes.push((Revision(self.revision), id, None));
    }

    fn document(&self) -> Option<(Position, Document)> {
        let (revision, document) = self.document.clone()?;
        Some((Position::new(Epoch(self.epoch), revision), document))
    }

    fn evacuate(&mut self, zone: &ZoneName, is_requested: bool) {
        let has_changed = if is_requested {
            self.evacuated.insert(zone.clone())
        } else {
            self.evacuated.remove(zone)
        };
        self.revision += u64::from(has_changed);
    }

    fn evacuations(&self) -> Evacuations {
        Evacuations {
            at: self.position(),
            zones: self.evacuated.clone(),
        }
    }

    fn list(&self) -> Vec<(UpstreamId, Revision, Upstream)> {
        let entries = self.entries.iter();
        entries
            .map(|(id, (revision, upstream))| (*id, *revision, upstream.clone()))
            .collect()
    }

    /// The response of a watch. A removal is returned with the current revision, as its own revision is that of the
    /// entry's last write and has no meaning.
    fn since(&self, since: Revision) -> Vec<(UpstreamId, Revision, Option<Upstream>)> {
        let at = Revision(self.revision);
        let changes = self.changes.iter().filter(|(revision, _, _)| *revision > since);
        changes
            .map(|(revision, id, upstream)| (*id, if upstream.is_some() { *revision } else { at }, upstream.clone()))
            .collect()
    }
}

/// The platform: its state, a snapshot before each change, and what its writers have written.
#[derive(Default)]
struct Platform {
    state: State,
    snapshots: Vec<State>,
    /// The state as it would be without any restore.
    written: State,
    /// Number of restarts of each upstream.
    starts: BTreeMap<u64, u64>,
    /// Number of documents written by operators, and of entries written by upstreams.
    documents_written: u64,
    entries_written: u16,
}

impl Platform {
    /// Applies a change to the state and to what the writers have written.
    fn change(&mut self, change: impl Fn(&mut State)) {
        self.snapshots.push(self.state.clone());
        change(&mut self.state);
        change(&mut self.written);
    }

    fn write_entry(&mut self, id: u64, leaving: bool) {
        self.entries_written += 1;
        let upstream = Upstream {
            started: self.starts.get(&id).copied().map(StartTime),
            ..upstream(leaving, self.entries_written)
        };
        self.change(|state| state.put(UpstreamId(id), upstream.clone()));
    }

    fn write_document(&mut self) {
        self.documents_written += 1;
        let mut routes = self.written.document.take();
        let mut routes = routes.take().map(|(_, document)| document.routes).unwrap_or_default();
        let port = u16::try_from(self.documents_written).unwrap();
        routes.remove(&format!("r-{}", port % 3));
        let route = Route {
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            shares: Vec::new(),
            idempotent: true,
            aim: Duration::ZERO,
            priority: Priority::LEAST_URGENT,
            timeout: None,
        };
        routes.insert(format!("r-{}", port % 7), route);
        let document = Document {
            revision: Revision(self.documents_written * 10),
            routes,
            idle_timeout: Duration::from_secs(1),
            cold_starts: BTreeMap::new(),
            connection_limits: BTreeMap::new(),
            warnings: Vec::new(),
        };
        self.change(|state| {
            state.revision += 1;
            state.document = Some((Revision(state.revision), document.clone()));
        });
    }

    /// Restores the state of some changes ago, in a new epoch. Does nothing if there weren't that many changes.
    fn restore(&mut self, age: usize) {
        let Some(index) = self.snapshots.len().checked_sub(age + 1) else {
            return;
        };
        let epoch = self.state.epoch + 1;
        self.snapshots.push(self.state.clone());
        self.state = State {
            epoch,
            ..self.snapshots[index].clone()
        };
    }

    /// Rewrites what was lost: entries that are missing or older, removals, the document, and the evacuations.
    fn rewrite_lost(&mut self) {
        self.snapshots.push(self.state.clone());
        let Self { state, written, .. } = self;
        for (id, (_, upstream)) in &written.entries {
            if state.entries.get(id).map(|(_, held)| held) != Some(upstream) {
                state.put(*id, upstream.clone());
            }
        }
        for id in state.entries.keys().copied().collect::<Vec<_>>() {
            if !written.entries.contains_key(&id) {
                state.remove(id);
            }
        }
        for zone in ZONES {
            let zone: ZoneName = zone.parse().unwrap();
            state.evacuate(&zone, written.evacuated.contains(&zone));
        }
        let document = |state: &State| state.document.clone().map(|(_, document)| document);
        if document(state) != document(written) {
            state.revision += 1;
            state.document = document(written).map(|document| (Revision(state.revision), document));
        }
    }
}

fn run_steps(steps: Vec<Step>) {
    let mut platform = Platform::default();
    platform.change(|state| state.revision = 1);
    let mut instances = vec![Knowledge::default(); INSTANCES];
    let mut cursors: [Option<Position>; INSTANCES] = [None; INSTANCES];
    let mut pulled_changes = Vec::new();
    for (index, step) in steps.into_iter().enumerate() {
        let now = Time(index as u64);
        let before: Vec<_> = instances.iter().map(Knowledge::positions).collect();
        let state = &platform.state;
        match step {
            Step::WriteEntry(id, leaving) => platform.write_entry(id, leaving),
            Step::Restart(id) => {
                *platform.starts.entry(id).or_default() += 1;
                platform.write_entry(id, false);
            }
            Step::RemoveEntry(id) => platform.change(|state| state.remove(UpstreamId(id))),
            Step::WriteDocument => platform.write_document(),
            Step::Evacuate(zone, is_requested) => {
                let zone: ZoneName = ZONES[zone].parse().unwrap();
                platform.change(|state| state.evacuate(&zone, is_requested));
            }
            Step::ReadEvacuations(instance) => {
                instances[instance].apply_evacuations(state.evacuations(), &BTreeSet::new(), now);
            }
            Step::ReadList(instance) => {
                instances[instance].apply_list(state.position(), state.list(), now);
                cursors[instance] = Some(state.position());
            }
            Step::Watch(instance) => {
                // A position of an earlier epoch is invalid in this one, so the changes since then are unknown.
                let since = cursors[instance].filter(|since| since.epoch == state.position().epoch);
                cursors[instance] = since.and(Some(state.position()));
                if let Some(since) = since {
                    instances[instance].apply_watched(state.position(), state.since(since.revision), now);
                }
            }
            Step::ReadDocument(instance) => {
                if let Some((at, document)) = state.document() {
                    instances[instance].apply_document(at, document);
                }
            }
            Step::Pull(to, from) => {
                let held = instances[to].positions();
                let change = instances[from].since(&held);
                pulled_changes.push((held.upstreams_at, change.clone()));
                instances[to].apply(change, now);
            }
            Step::RepeatPull(to, index) => {
                let Some((since, change)) = pulled_changes.get(index % pulled_changes.len().max(1)).cloned() else {
                    continue;
                };
                // Only the instance that pulled gets the response, so it already holds everything before `since`.
                if since <= instances[to].upstreams_at() {
                    instances[to].apply(change, now);
                }
            }
            Step::ReadStale(instance, age) => {
                let Some(index) = platform.snapshots.len().checked_sub(age + 1) else {
                    continue;
                };
                let state = &platform.snapshots[index];
                instances[instance].apply_list(state.position(), state.list(), now);
                instances[instance].apply_evacuations(state.evacuations(), &BTreeSet::new(), now);
                if let Some((at, document)) = state.document() {
                    instances[instance].apply_document(at, document);
                }
            }
            Step::Restore(age) => platform.restore(age),
            Step::RewriteLost => platform.rewrite_lost(),
        }
        for (held, before) in instances.iter().zip(before) {
            let after = held.positions();
            assert!(after.document >= before.document, "never an older document");
            assert!(after.document_at >= before.document_at);
            assert!(after.upstreams_at >= before.upstreams_at);
            assert!(after.evacuations_at >= before.evacuations_at);
        }
    }
    platform.rewrite_lost();
    assert_convergence(&platform.state, &mut instances);
}

/// Has one instance read everything and the others pull from it, then checks that all hold the platform's state.
fn assert_convergence(platform: &State, instances: &mut [Knowledge]) {
    let now = Time(10_000_000);
    let (first, others) = instances.split_first_mut().unwrap();
    first.apply_list(platform.position(), platform.list(), now);
    if let Some((at, document)) = platform.document() {
        first.apply_document(at, document);
    }
    first.apply_evacuations(platform.evacuations(), &BTreeSet::new(), now);
    for other in others.iter_mut() {
        pull(other, first, now);
        // The other instance may be ahead in some part, so the first pulls from it in turn.
        pull(first, other, now);
        pull(other, first, now);
        assert_eq!(other.level(), first.level());
        assert_eq!(other.positions(), first.positions());
    }
    for held in instances {
        held.end_grace(now + Duration::from_secs(2));
        let document = held.document().map(|(_, document)| document);
        assert_eq!(document, platform.document.as_ref().map(|(_, document)| document));
        assert_eq!(held.evacuated(), platform.evacuated);
        let listed = held.upstreams().filter(|(_, entry)| !entry.gone);
        let listed: Vec<_> = listed.map(|(id, entry)| (id, entry.upstream.clone())).collect();
        let expected: Vec<_> = platform
            .list()
            .into_iter()
            .map(|(id, _, upstream)| (id, upstream))
            .collect();
        assert_eq!(listed, expected);
    }
}

/// Pulls changes from another instance if the positions differ.
fn pull(instance: &mut Knowledge, other: &Knowledge, now: Time) {
    if instance.positions() != other.positions() {
        instance.apply(other.since(&instance.positions()), now);
    }
}

/// An instance that read the list after the removal of an upstream never knew it. Another instance that did must still
/// learn of the removal from it.
#[test]
fn an_instance_that_never_knew_an_upstream_propagates_its_removal() {
    run_steps(vec![
        Step::WriteEntry(3, false),
        Step::ReadList(1),
        Step::RemoveEntry(3),
    ]);
}

/// The same holds if one watch response contained both the addition and the removal.
#[test]
fn a_watch_response_with_both_addition_and_removal_propagates_the_removal() {
    let steps = [
        Step::ReadList(0),
        Step::ReadList(1),
        Step::WriteEntry(4, false),
        Step::Watch(1),
        Step::RemoveEntry(4),
        Step::Watch(0),
    ];
    run_steps([steps.to_vec(), vec![Step::Pull(1, 0), Step::WriteEntry(1, false)]].concat());
}

/// An upstream that was removed, added and removed again is gone, although the sender knows only of the first removal.
#[test]
fn an_upstream_that_was_removed_twice_is_gone() {
    let before = [
        Step::WriteEntry(4, false),
        Step::ReadList(2),
        Step::ReadList(0),
        Step::RemoveEntry(4),
        Step::Watch(0),
    ];
    let after = [Step::WriteEntry(4, false), Step::ReadList(1), Step::RemoveEntry(4)];
    run_steps([before.to_vec(), after.to_vec()].concat());
}

/// An evacuation that is ended and soon requested again stays in force, although another instance knows only that it
/// ended: the later state wins.
#[test]
fn an_evacuation_that_is_requested_again_stays() {
    let steps = [
        Step::Evacuate(0, true),
        Step::ReadEvacuations(0),
        Step::Evacuate(0, false),
        Step::ReadEvacuations(1),
        Step::Evacuate(0, true),
        Step::ReadEvacuations(0),
    ];
    run_steps([steps.to_vec(), vec![Step::Pull(0, 1), Step::Pull(1, 0)]].concat());
}

#[test]
fn an_unreadable_evacuation_stays_if_known_and_is_ignored_if_new() {
    let zones: Vec<ZoneName> = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
    let read = |at, zones: &[ZoneName]| Evacuations {
        at: Revision(at).into(),
        zones: zones.iter().cloned().collect(),
    };
    let mut knowledge = Knowledge::awaiting_evacuations();
    assert!(knowledge.apply_evacuations(read(5, &zones[..1]), &BTreeSet::new(), Time(0)));
    assert!(!knowledge.apply_evacuations(read(6, &[]), &zones.iter().cloned().collect(), Time(0)));
    assert!(knowledge.is_evacuated(&zones[0]) && !knowledge.is_evacuated(&zones[1]));
    assert!(
        !knowledge.apply_evacuations(read(4, &[]), &BTreeSet::new(), Time(0)),
        "an older state is ignored"
    );
    assert!(knowledge.apply_evacuations(read(7, &[]), &BTreeSet::new(), Time(0)));
    assert!(!knowledge.is_evacuated(&zones[0]));
}

/// Right after a restore, the copy's evacuation can't be read: the zone stays under evacuation, even after the grace
/// period in which lost state is rewritten.
#[test]
fn an_evacuation_that_is_unreadable_right_after_a_restore_stays() {
    let zones: BTreeSet<ZoneName> = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
    let zone: ZoneName = ZONES[0].parse().unwrap();
    let position = |epoch, revision| Position::new(Epoch(epoch), Revision(revision));
    let mut knowledge = Knowledge::awaiting_evacuations();
    let requested = Evacuations {
        at: position(0, 9),
        zones: BTreeSet::from([zone.clone()]),
    };
    knowledge.apply_evacuations(requested, &BTreeSet::new(), Time(0));
    let restored = |revision| Evacuations {
        at: position(1, revision),
        zones: BTreeSet::new(),
    };
    knowledge.apply_evacuations(restored(3), &zones, Time(0));
    let evacuated = |knowledge: &Knowledge| knowledge.evacuated();
    assert_eq!(evacuated(&knowledge), BTreeSet::from([zone.clone()]));
    let later = Time(0) + Duration::from_secs(5);
    knowledge.end_grace(later);
    assert_eq!(evacuated(&knowledge), BTreeSet::from([zone]));
    knowledge.apply_evacuations(restored(4), &BTreeSet::new(), later);
    assert_eq!(
        evacuated(&knowledge),
        BTreeSet::new(),
        "it can be read, and the evacuation has ended"
    );
}

/// A restored copy of the store lacks a serving upstream and an evacuation, still lists a leaving upstream as not
/// leaving, and contains a removed upstream and an evacuation that has ended. The writers rewrite these within two
/// seconds. Until then the earlier state counts.
#[test]
fn state_that_a_restored_copy_lacks_stays_in_force_for_the_grace_period() {
    let entry = |id: u64, leaving| (UpstreamId(id), Revision(id), Some(upstream(leaving, 1)));
    let zones = |zones: &[&str]| zones.iter().map(|zone| zone.parse().unwrap()).collect();
    let evacuations = |at, named: &[&str]| Evacuations {
        at,
        zones: zones(named),
    };
    let position = |epoch, revision| Position::new(Epoch(epoch), Revision(revision));
    let none = BTreeSet::new();
    let restored_at = Time(1_000_000);
    let mut before = Knowledge::default();
    before.apply_list(
        position(0, 10),
        vec![entry(1, false), entry(2, true), entry(4, false)],
        Time(0),
    );
    before.apply_watched(position(0, 11), vec![entry(3, false)], Time(0));
    before.apply_watched(position(0, 12), vec![(UpstreamId(3), Revision(12), None)], Time(0));
    before.apply_evacuations(evacuations(position(0, 12), &["zone-a"]), &none, Time(0));
    let restored_list = vec![entry(2, false), entry(3, false), entry(4, true)];
    let contents = |knowledge: &Knowledge| {
        let upstreams = knowledge.upstreams();
        let upstreams = upstreams.map(|(id, entry)| (id.0, entry.gone, entry.upstream.leaving));
        let zones: Vec<String> = knowledge.evacuated().iter().map(ToString::to_string).collect();
        (upstreams.collect::<Vec<_>>(), zones)
    };
    let mut read = before.clone();
    assert!(read.apply_list(position(1, 9), restored_list, restored_at));
    assert!(read.apply_evacuations(evacuations(position(1, 9), &["zone-b"]), &none, restored_at));
    // An instance without earlier knowledge takes over the copy. One that has it learns of the copy from another
    // instance.
    let mut newcomer = Knowledge::default();
    newcomer.apply(read.since(&newcomer.positions()), restored_at);
    let mut informed = before.clone();
    assert!(informed.apply(read.since(&informed.positions()), restored_at));
    let as_copied = (
        vec![(1, true, false), (2, false, false), (3, false, false), (4, false, true)],
        vec!["zone-b".to_owned()],
    );
    assert_eq!(contents(&newcomer), as_copied);
    for mut held in [read, informed] {
        let as_before = (
            vec![(1, false, false), (2, false, true), (3, true, false), (4, false, true)],
            vec!["zone-a".to_owned()],
        );
        assert_eq!(contents(&held), as_before);
        assert!(held.gone_since(UpstreamId(3)).is_some());
        assert!(!held.end_grace(Time(2_999_999)));
        // Another instance has read a later list of the same copy.
        let mut other = before.clone();
        let restored_list = vec![entry(2, false), entry(3, false), entry(4, true)];
        other.apply_list(position(1, 11), restored_list, restored_at);
        held.apply(other.since(&held.positions()), restored_at);
        assert_eq!(contents(&held), as_before);
        // Writes in the new epoch take effect at once.
        let leaving = (UpstreamId(2), Revision(13), Some(upstream(true, 1)));
        let gone = (UpstreamId(3), Revision(13), None);
        held.apply_watched(position(1, 13), vec![leaving, gone], restored_at);
        held.apply_evacuations(evacuations(position(1, 14), &[]), &none, restored_at);
        let written = (
            vec![(1, false, false), (2, false, true), (3, true, false), (4, false, true)],
            vec!["zone-a".to_owned()],
        );
        assert_eq!(contents(&held), written);
        assert!(held.end_grace(Time(3_000_000)));
        let settled = (
            vec![(1, true, false), (2, false, true), (3, true, false), (4, false, true)],
            Vec::new(),
        );
        assert_eq!(contents(&held), settled);
        assert!(!held.end_grace(Time(9_000_000)));
    }
}

/// An instance that started after the restore has read an older document from the copy, at a later position than that
/// of the others' document. It still learns the newer one from them, and they learn from it that the store holds
/// nothing newer.
#[test]
fn an_instance_with_an_older_document_from_a_restored_copy_gets_the_newer_one_from_others() {
    let position = |epoch, revision| Position::new(Epoch(epoch), Revision(revision));
    let document = |number| Document {
        revision: Revision(number),
        routes: BTreeMap::new(),
        idle_timeout: Duration::from_secs(number),
        cold_starts: BTreeMap::new(),
        connection_limits: BTreeMap::new(),
        warnings: Vec::new(),
    };
    for has_read_the_restored_copy in [false, true] {
        let mut newcomer = Knowledge::default();
        newcomer.apply_document(position(1, 40), document(73));
        let mut other = Knowledge::default();
        other.apply_document(position(0, 46), document(73));
        other.apply_document(position(0, 47), document(76));
        if has_read_the_restored_copy {
            other.apply_document(position(1, 40), document(73));
        }
        pull(&mut other, &newcomer, Time(1));
        assert_eq!(other.document(), Some(&(position(1, 40), document(76))));
        pull(&mut newcomer, &other, Time(1));
        assert_eq!(newcomer.document(), other.document());
        assert_eq!(newcomer.positions(), other.positions());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn knowledge_never_regresses_and_converges_to_the_platform_state(steps in vec(step_strategy(), 0..80)) {
        run_steps(steps);
    }
}

#[test]
fn removals_are_forgotten_after_a_while() {
    let mut knowledge = Knowledge::default();
    let id = UpstreamId(1);
    knowledge.apply_watched(Revision(2), vec![(id, Revision(2), Some(upstream(false, 1)))], Time(0));
    knowledge.apply_watched(Revision(3), vec![(id, Revision(3), None)], Time(10));
    assert_eq!(knowledge.gone_since(id), Some(Time(10)));
    assert!(!knowledge.forget(Time(10)));
    assert!(knowledge.forget(Time(11)));
    assert_eq!(knowledge.upstreams().count(), 0);
    assert_eq!(knowledge.upstreams_at(), Revision(3).into(), "the position stays");
}
