//! The timeline buffer, and the hybrid timestamps that order the events of several processes.

use std::time::Duration;

use jayquayd::timeline::HybridClock;
use jayquayd::timeline::PAGE_LEN;
use jayquayd::timeline::Seq;
use jayquayd::timeline::Stamp;
use jayquayd::timeline::TimelineBuffer;
use node::Record;
use units::Incarnation;
use units::Revision;
use units::Time;

/// Pushes `count` records into a buffer of `capacity`, and describes a page: its first and last number and its length.
fn check(capacity: usize, count: u64, since: u64) -> String {
    let mut buffer = TimelineBuffer::new("one".parse().unwrap(), Incarnation(1), capacity);
    for number in 1..=count {
        buffer.push(Stamp(number), Record::InForce(Revision(number)));
    }
    let page = buffer.page(Seq(since)).0;
    for entry in &page {
        assert_eq!(entry.record, Record::InForce(Revision(entry.seq.0)));
    }
    match (page.first(), page.last()) {
        (Some(first), Some(last)) => format!("{}..={}, {} entries", first.seq, last.seq, page.len()),
        _ => "nothing".to_owned(),
    }
}

#[test]
fn the_oldest_entries_are_dropped_and_the_gap_is_visible() {
    assert_eq!(check(10, 0, 0), "nothing");
    assert_eq!(check(10, 4, 0), "1..=4, 4 entries");
    assert_eq!(check(10, 4, 3), "4..=4, 1 entries");
    assert_eq!(check(10, 4, 4), "nothing");
    assert_eq!(check(10, 25, 0), "16..=25, 10 entries");
    assert_eq!(check(10, 25, 20), "21..=25, 5 entries");
    assert_eq!(check(10, 25, 90), "nothing");
    assert_eq!(check(5_000, 4_000, 0), format!("1..={PAGE_LEN}, {PAGE_LEN} entries"));
}

#[test]
fn an_entry_is_one_line_of_json() {
    let mut buffer = TimelineBuffer::new("one".parse().unwrap(), Incarnation(1), 10);
    buffer.push(Stamp(4_096), Record::InForce(Revision(3)));
    let entry = buffer.page(Seq(0)).0.remove(0);
    let line = serde_json::to_string(&entry).unwrap();
    insta::assert_snapshot!(line, @r#"{"seq":1,"stamp":4096,"instance":"one","incarnation":1,"record":{"InForce":3}}"#);
    assert_eq!(serde_json::from_str::<jayquayd::timeline::Entry>(&line).unwrap(), entry);
}

#[test]
fn an_effect_has_a_higher_stamp_than_its_cause() {
    let behind = Time(1_000_000);
    let ahead = behind + Duration::from_secs(30);
    let mut sender = HybridClock::default();
    let mut receiver = HybridClock::default();
    let own = receiver.tick(behind);
    let cause = sender.tick(ahead);
    assert!(receiver.observe(behind, cause));
    let effect = receiver.tick(behind);
    assert!(own < cause && cause < effect);
    assert!(receiver.tick(behind) > effect);
    assert_eq!(
        receiver.tick(ahead + Duration::from_secs(1)).time(),
        ahead + Duration::from_secs(1)
    );
}

#[test]
fn a_stamp_far_ahead_is_ignored() {
    let now = Time(1_000_000);
    let mut clock = HybridClock::default();
    let far = HybridClock::default().tick(now + Duration::from_mins(2));
    assert!(!clock.observe(now, far));
    assert_eq!(clock.tick(now).time(), now);
}
