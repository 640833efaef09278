//! Tests of which configuration document is in force.

mod support;

use std::time::Duration;

use node::Event;
use units::Revision;

use support::Fleet;
use support::document;
use support::instance;

#[track_caller]
fn check(texts: &[(u64, String)], expected: &[&str]) {
    let mut fleet = Fleet::new(1);
    fleet.document_records.clear();
    for (revision, text) in texts {
        fleet.event(&instance(0), Event::DocumentLoaded(Revision(*revision), text.clone()));
    }
    assert_eq!(fleet.document_records, expected);
}

#[test]
fn the_highest_revision_wins() {
    let texts = [(3, document(3)), (2, document(2)), (3, document(3)), (4, document(4))];
    check(&texts, &["a: revision 3 in force", "a: revision 4 in force"]);
}

#[test]
fn an_invalid_document_is_reported_once_and_changes_nothing() {
    let rejected = "a: revision 5 rejected: validation failed";
    let broken = (5, document(5).replace("slots: 1", "slots: 0"));
    check(&[broken.clone(), broken.clone()], &[rejected]);
    check(&[(5, document(4))], &[rejected]);
    check(&[broken, (6, document(6))], &[rejected, "a: revision 6 in force"]);
}

#[test]
fn a_new_document_reaches_all_instances() {
    let mut fleet = Fleet::new(9);
    fleet.document_records.clear();
    fleet.event(&instance(4), Event::DocumentLoaded(Revision(2), document(2)));
    fleet.advance(Duration::from_secs(5));
    fleet.document_records.sort();
    let expected: Vec<String> = (0..9)
        .map(|index| format!("{}: revision 2 in force", instance(index)))
        .collect();
    assert_eq!(fleet.document_records, expected);
}
