//! The cost of a change or a new flow depends on the size of the change, not on the number of upstreams. It is counted
//! rather than timed.

#[path = "../benches/support/mod.rs"]
mod support;

use flow::Core;
use flow::Knowledge;
use flow::UpstreamId;
use flow::Verdict;
use support::START;
use support::core;
use support::opening_packet;
use support::upstream;
use units::Revision;

/// Marks these upstreams as leaving. Returns the number of entries that the directory indexed for it.
fn apply_leaving(core: &mut Core, ids: impl Iterator<Item = u64>) -> u64 {
    let at = core.knowledge().upstreams_at().revision.0 + 1;
    let leaving = ids.map(|id| {
        let mut upstream = upstream(id, 10);
        upstream.leaving = true;
        (UpstreamId(id), Revision(at), upstream)
    });
    let leaving = leaving.collect();
    let before = core.stats().indexed;
    let apply = |knowledge: &mut Knowledge| knowledge.apply_watched(Revision(at), leaving, START);
    assert!(core.learn(START, apply));
    core.stats().indexed - before
}

#[test]
fn a_change_indexes_only_the_changed_entries() {
    for upstreams in [100, 1_300, 10_000] {
        let mut core = core(upstreams);
        assert_eq!(apply_leaving(&mut core, 7..=7), 1, "of {upstreams}");
        assert_eq!(apply_leaving(&mut core, 20..30), 10, "of {upstreams}");
    }
}

#[test]
fn a_newer_position_without_changes_indexes_nothing() {
    let mut core = core(1_300);
    let before = core.stats().indexed;
    core.learn(START, |knowledge| {
        knowledge.apply_watched(Revision(9), Vec::<(_, _, Option<_>)>::new(), START)
    });
    assert_eq!(core.knowledge().upstreams_at(), Revision(9).into());
    assert_eq!(core.stats().indexed, before);
}

#[test]
fn placing_a_flow_examines_few_of_many_upstreams() {
    for upstreams in [1_300, 13_000] {
        let mut core = core(upstreams);
        for client in 0..100 {
            assert!(matches!(
                core.handle_packet(&opening_packet(client), START),
                Verdict::Forward { .. }
            ));
        }
        let examined = core.stats().examined;
        assert!(examined <= 100 * 32, "{examined} of {upstreams}");
    }
}

/// Upstreams are considered in turn, so each of many gets its share, and idle ones aren't left to chance.
#[test]
fn flows_spread_over_all_upstreams_of_the_local_zone() {
    let mut core = core(5_000);
    let mut flows = std::collections::BTreeMap::<UpstreamId, u32>::new();
    for client in 0..1_500 {
        let Verdict::Forward { upstream, .. } = core.handle_packet(&opening_packet(client), START) else {
            panic!("no upstream for {client}");
        };
        *flows.entry(upstream).or_default() += 1;
    }
    let local = flows.keys().filter(|id| id.0 % 10 == 0).count();
    assert!(local >= 490, "only {local} of 500 in the local zone got flows");
    assert!(flows.values().all(|flows| *flows <= 12), "{flows:?}");
}

/// If none of the upstreams whose turn it is can accept a flow, the others are examined.
#[test]
fn one_available_upstream_is_found_among_thousands_that_are_leaving() {
    let mut core = core(2_000);
    apply_leaving(&mut core, (1..=2_000).filter(|id| *id != 777));
    for client in 0..20 {
        let verdict = core.handle_packet(&opening_packet(client), START);
        assert!(matches!(verdict, Verdict::Forward { upstream, .. } if upstream == UpstreamId(777)));
    }
}
