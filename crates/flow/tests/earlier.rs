//! Instances of two releases tell one another what they know while a fleet is rolled out: the earlier one knows no epochs.

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

fn listed(id: u64, revision: u64) -> (UpstreamId, Revision, Option<Upstream>) {
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

/// Started in a later epoch, where an upstream has been listed.
fn started_at(epoch: u64, revision: u64) -> Knowledge {
    let mut knowledge = Knowledge::default();
    knowledge.apply_list(at(epoch, revision), vec![listed(1, 3)], NOW);
    knowledge
}

/// What an instance of the earlier release tells that has heard of one more upstream.
fn told(revision: u64) -> Change {
    let mut other = Knowledge::default();
    other.apply_list(at(0, 10), vec![listed(1, 3)], NOW);
    other.apply_watched(at(0, revision), vec![listed(2, revision)], NOW);
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
fn its_words_are_of_the_epoch_that_is_held() {
    let mut knowledge = started_at(2, 10);
    assert!(knowledge.level_without_epochs(Revision(12)) > knowledge.level());
    let change = knowledge.read_without_epochs(told(12)).unwrap();
    assert!(knowledge.apply(change, NOW));
    assert_eq!(knowledge.upstreams_at(), at(2, 12));
    assert_eq!(knowledge.upstreams().count(), 2);
    assert_eq!(knowledge.level_without_epochs(Revision(12)), knowledge.level());
}

#[test]
fn whoever_has_seen_the_store_come_back_takes_none() {
    let mut knowledge = started_at(1, 20);
    knowledge.apply_list(at(2, 10), vec![listed(1, 3)], NOW);
    assert!(knowledge.read_without_epochs(told(12)).is_none());
}

#[test]
fn in_the_first_epoch_its_words_are_as_any_other() {
    let mut knowledge = started_at(0, 10);
    let change = knowledge.read_without_epochs(told(12)).unwrap();
    assert_eq!(change, told(12));
    assert!(knowledge.apply(change, NOW));
    assert_eq!(knowledge.level_without_epochs(Revision(12)), knowledge.level());
}

#[test]
fn it_is_told_revisions_alone() {
    let mut knowledge = started_at(2, 10);
    knowledge.apply_watched(at(2, 12), vec![listed(2, 12)], NOW);
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
