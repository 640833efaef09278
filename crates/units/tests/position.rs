//! Places in a store's history: their order, and how they are written.

use units::Epoch;
use units::Position;
use units::Revision;

#[test]
fn a_later_epoch_is_later_whatever_the_revisions() {
    let at = |epoch, revision| Position::new(Epoch(epoch), Revision(revision));
    assert!(at(1, 43) > at(0, 46));
    assert!(at(1, 44) > at(1, 43));
    assert!(at(0, 46) > at(0, 45));
    assert!(at(3, 0).is_none() && !at(0, 1).is_none());
}

#[test]
fn a_place_is_written_and_read_in_both_forms() {
    for (text, epoch, revision) in [("46", 0, 46), ("2/46", 2, 46), ("1/0", 1, 0)] {
        let place = Position::new(Epoch(epoch), Revision(revision));
        assert_eq!(place.to_string(), text);
        assert_eq!(text.parse(), Ok(place));
    }
    for nonsense in ["", "/", "1/", "/1", "1/2/3", "-1"] {
        assert!(nonsense.parse::<Position>().is_err(), "{nonsense}");
    }
}
