//! During a rolling update, instances of two releases exchange changes. The earlier release doesn't support epochs.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::Change;
use flow::Knowledge;
use flow::Positions;
use flow::Update;
use flow::Upstream;
use flow::UpstreamId;
use units::Epoch;
use units::Position;
use units::Revision;
use units::Slots;
use units::Time;

const NOW: Time = Time(1);

fn at(epoch: u64, revision: u64) -> Position {
    Position::new(Epoch(epoch), Revision(revision))
}

fn listed_entry(id: u64, revision: u64) -> (UpstreamId, Revision, Option<Upstream>) {
    let upstream = Upstream {
        service: "search".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        zone: "zone-a".parse().unwrap(),
        slots: Slots(2),
        leaving: false,
        cold_for: Duration::ZERO,
        started: None,
    };
    (UpstreamId(id), Revision(revision), Some(upstream))
}

/// The knowledge of an instance that started in this epoch, with one upstream listed.
fn knowledge_in_epoch(epoch: u64, revision: u64) -> Knowledge {
    let mut knowledge = Knowledge::default();
    knowledge.apply_list(at(epoch, revision), vec![listed_entry(1, 3)], NOW);
    knowledge
}

/// A change from an instance of the earlier release that knows one more upstream.
fn change_without_epochs(revision: u64) -> Change {
    let mut other = Knowledge::default();
    other.apply_list(at(0, 10), vec![listed_entry(1, 3)], NOW);
    other.apply_watched(at(0, revision), vec![listed_entry(2, revision)], NOW);
    let held = Positions {
        upstreams_at: at(0, 10),
        ..Positions::default()
    };
    Change {
        tells_epochs: false,
        ..other.since(&held)
    }
}

#[test]
fn its_positions_are_taken_to_be_in_the_local_epoch() {
    let mut knowledge = knowledge_in_epoch(2, 10);
    assert!(knowledge.level_without_epochs(Revision(12)) > knowledge.level());
    let change = knowledge.read_without_epochs(change_without_epochs(12)).unwrap();
    assert!(knowledge.apply(change, NOW));
    assert_eq!(knowledge.upstreams_at(), at(2, 12));
    assert_eq!(knowledge.upstreams().count(), 2);
    assert_eq!(knowledge.level_without_epochs(Revision(12)), knowledge.level());
}

#[test]
fn an_instance_that_has_seen_a_restore_rejects_its_changes() {
    let mut knowledge = knowledge_in_epoch(1, 20);
    knowledge.apply_list(at(2, 10), vec![listed_entry(1, 3)], NOW);
    assert!(knowledge.read_without_epochs(change_without_epochs(12)).is_none());
}

#[test]
fn in_the_first_epoch_its_changes_are_applied_unchanged() {
    let mut knowledge = knowledge_in_epoch(0, 10);
    let change = knowledge.read_without_epochs(change_without_epochs(12)).unwrap();
    assert_eq!(change, change_without_epochs(12));
    assert!(knowledge.apply(change, NOW));
    assert_eq!(knowledge.level_without_epochs(Revision(12)), knowledge.level());
}

#[test]
fn it_is_sent_revisions_only() {
    let mut knowledge = knowledge_in_epoch(2, 10);
    knowledge.apply_watched(at(2, 12), vec![listed_entry(2, 12)], NOW);
    let held = Positions {
        upstreams_at: at(0, 10),
        ..Positions::default()
    };
    let change = knowledge
        .since(&held.in_epochs(&knowledge.positions()))
        .without_epochs();
    assert_eq!(change.upstreams_at, at(0, 12));
    assert_eq!((change.document, change.is_whole), (Update::Nothing, false));
    let ids: Vec<u64> = change.upstreams.iter().map(|(id, _)| id.0).collect();
    assert_eq!(ids, [2]);
}
