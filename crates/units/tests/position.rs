//! Order and text form of store positions.

use units::Epoch;
use units::Position;
use units::Revision;

#[test]
fn positions_order_by_epoch_before_revision() {
    let at = |epoch, revision| Position::new(Epoch(epoch), Revision(revision));
    assert!(at(1, 43) > at(0, 46));
    assert!(at(1, 44) > at(1, 43));
    assert!(at(0, 46) > at(0, 45));
    assert!(at(3, 0).is_unset() && !at(0, 1).is_unset());
}

#[test]
fn both_text_forms_round_trip() {
    for (text, epoch, revision) in [("46", 0, 46), ("2/46", 2, 46), ("1/0", 1, 0)] {
        let position = Position::new(Epoch(epoch), Revision(revision));
        assert_eq!(position.to_string(), text);
        assert_eq!(text.parse(), Ok(position));
    }
    for invalid in ["", "/", "1/", "/1", "1/2/3", "-1"] {
        assert!(invalid.parse::<Position>().is_err(), "{invalid}");
    }
}
