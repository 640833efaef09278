//! Behaviour after the store was restored from an older copy.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::ColdStart;
use flow::Core;
use flow::Document;
use flow::Options;
use flow::Upstream;
use flow::UpstreamId;
use units::Epoch;
use units::Position;
use units::Revision;
use units::Slots;
use units::Time;

const COLD_DURATION: Duration = Duration::from_secs(2);

fn upstream(cold_for: Duration) -> Upstream {
    Upstream {
        service: "search".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        zone: "zone-a".parse().unwrap(),
        slots: Slots(2),
        leaving: false,
        cold_for,
        started: None,
    }
}

/// After a restore, revisions are reused: the same revision stands for an entry of a serving upstream before the
/// restore, and for one of an upstream that has just started after it.
#[test]
fn an_entry_with_a_reused_revision_counts_as_a_new_one() {
    let at = |epoch, revision| Position::new(Epoch(epoch), Revision(revision));
    let id = UpstreamId(1);
    let now = Time(1);
    let mut core = Core::new(Options {
        zone: "zone-a".parse().unwrap(),
        max_flow: Duration::from_mins(1),
        awaits_evacuations: false,
        seed: 1,
    });
    let cold = ColdStart {
        lasts: COLD_DURATION,
        rate: Some("4".parse().unwrap()),
    };
    let document = Document {
        revision: Revision(1),
        routes: BTreeMap::new(),
        idle_timeout: Duration::from_secs(15),
        cold_starts: BTreeMap::from([("search".to_owned(), cold)]),
        connection_limits: BTreeMap::new(),
        warnings: Vec::new(),
    };
    let warm = vec![(id, Revision(5), upstream(Duration::ZERO))];
    core.learn(now, |knowledge| {
        knowledge.apply_document(at(0, 4), document) | knowledge.apply_list(at(0, 10), warm, now)
    });
    assert_eq!(core.rate_limited(now), []);
    let started = vec![(id, Revision(5), upstream(COLD_DURATION))];
    core.learn(now, |knowledge| knowledge.apply_list(at(1, 5), started, now));
    assert_eq!(core.rate_limited(now), [id]);
    let kept = vec![(id, Revision(5), upstream(COLD_DURATION))];
    let later = now + COLD_DURATION;
    core.learn(later, |knowledge| knowledge.apply_list(at(2, 5), kept, later));
    assert_eq!(
        core.rate_limited(later),
        [],
        "the same write counts from when it was first seen"
    );
}
