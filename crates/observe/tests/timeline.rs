//! Merged time lines, their gaps, filters and pictures.
//!
//! A line of a script tells an event: where it happened, in which life, its number, its microsecond, and what.

use insta::assert_snapshot;
use jayquayd::timeline::Entry;
use jayquayd::timeline::Seq;
use jayquayd::timeline::Stamp;
use node::Record;
use observe::timeline::Fetched;
use observe::timeline::Filter;
use observe::timeline::Line;
use units::FlowId;
use units::Incarnation;
use units::InstanceName;
use units::RequestSeq;

/// The first microsecond of the scripts.
const START: u64 = 1_790_000_000_000_000;

/// A request that begins at one instance, whose end is told by another after the owner was killed.
const SCRIPT: &str = "
    entry-1 5 1 100 up entry-2 7
    entry-1 5 2 110 up entry-3 9
    entry-1 5 3 300 accepted 81/3
    entry-1 5 4 310 called 81/3
    entry-1 5 5 340 answered 81/3
    entry-1 5 6 400 down entry-3 9
    entry-2 7 4 120 up entry-3 9
    entry-2 7 5 320 accepted 82/1
    entry-2 7 8 330 answered 82/1
";

fn record(words: &[&str]) -> Record {
    let life = || {
        let name: InstanceName = words[1].parse().expect("a name");
        (name, Incarnation(words[2].parse().expect("a number")))
    };
    let request = || {
        let (flow, seq) = words[1].split_once('/').expect("a request");
        let number = |text: &str| text.parse().expect("a number");
        (FlowId(number(flow)), RequestSeq(number(seq)))
    };
    match words[0] {
        "up" => Record::Up(life().0, life().1),
        "down" => Record::Down(life().0, life().1),
        "accepted" => Record::Accepted("holds".parse().expect("a name"), request().0, request().1),
        "called" => Record::Called("u-1".parse().expect("a name"), request().0, request().1),
        "answered" => Record::Answered(request().0, request().1),
        other => panic!("{other} is no event"),
    }
}

fn entry(line: &str) -> Entry {
    let words: Vec<&str> = line.split_whitespace().collect();
    let number = |index: usize| words[index].parse::<u64>().expect("a number");
    Entry {
        instance: words[0].parse().expect("a name"),
        incarnation: Incarnation(number(1)),
        seq: Seq(number(2)),
        stamp: Stamp((START + number(3)) << 12),
        record: record(&words[4..]),
    }
}

fn line() -> Line {
    let entries: Vec<Entry> = SCRIPT.trim().lines().map(entry).collect();
    let of = |name: &str, failure: Option<&str>| Fetched {
        name: None,
        address: ([127, 0, 0, 1], 4200).into(),
        entries: entries
            .iter()
            .filter(|entry| entry.instance.as_str() == name)
            .cloned()
            .collect(),
        failure: failure.map(str::to_owned),
    };
    Line::merge(vec![
        of("entry-2", Some("no answer in time")),
        of("entry-1", None),
        of("entry-4", Some("connection refused")),
    ])
}

/// What a filter leaves, without the day.
fn check(filter: &Filter) -> String {
    line().filter(filter).to_string().replace("2026-09-21T14:13:20", "")
}

#[test]
fn events_are_merged_and_gaps_are_shown() {
    assert_snapshot!(check(&Filter::default()), @r"
    TIME (UTC)                   INSTANCE        EVENT
    ?                            127.0.0.1:4200  gap: events of 127.0.0.1:4200 were not fetched: connection refused
    ?                            entry-2         gap: 3 events of entry-2 (7) were dropped
    .000100Z  entry-1         instance entry-2 (7) is up
    .000110Z  entry-1         instance entry-3 (9) is up
    .000110Z  entry-3         gap: nothing was fetched from entry-3 (9), of which others told
    .000120Z  entry-2         instance entry-3 (9) is up
    .000300Z  entry-1         request 81/3 accepted for holds
    .000310Z  entry-1         request 81/3 sent to u-1
    .000320Z  entry-2         request 82/1 accepted for holds
    .000320Z  entry-2         gap: 2 events of entry-2 (7) were dropped
    .000330Z  entry-2         request 82/1 answered
    .000330Z  entry-2         gap: events of entry-2 (7) were not fetched: no answer in time
    .000340Z  entry-1         request 81/3 answered
    .000400Z  entry-1         instance entry-3 (9) is down
    ");
    assert!(line().has_gaps());
}

#[test]
fn filters_leave_gaps_that_may_hide_what_was_asked_for() {
    let request = Filter {
        flow: Some(FlowId(81)),
        request: Some(RequestSeq(3)),
        ..Filter::default()
    };
    assert_snapshot!(check(&request), @r"
    TIME (UTC)                   INSTANCE        EVENT
    ?                            127.0.0.1:4200  gap: events of 127.0.0.1:4200 were not fetched: connection refused
    ?                            entry-2         gap: 3 events of entry-2 (7) were dropped
    .000110Z  entry-3         gap: nothing was fetched from entry-3 (9), of which others told
    .000300Z  entry-1         request 81/3 accepted for holds
    .000310Z  entry-1         request 81/3 sent to u-1
    .000320Z  entry-2         gap: 2 events of entry-2 (7) were dropped
    .000330Z  entry-2         gap: events of entry-2 (7) were not fetched: no answer in time
    .000340Z  entry-1         request 81/3 answered
    ");
    let instance = Filter {
        instance: Some("entry-1".parse().expect("a name")),
        ..Filter::default()
    };
    assert_snapshot!(check(&instance), @r"
    TIME (UTC)                   INSTANCE        EVENT
    ?                            127.0.0.1:4200  gap: events of 127.0.0.1:4200 were not fetched: connection refused
    .000100Z  entry-1         instance entry-2 (7) is up
    .000110Z  entry-1         instance entry-3 (9) is up
    .000300Z  entry-1         request 81/3 accepted for holds
    .000310Z  entry-1         request 81/3 sent to u-1
    .000340Z  entry-1         request 81/3 answered
    .000400Z  entry-1         instance entry-3 (9) is down
    ");
    let time = Filter {
        since: Some(units::Time(START + 200)),
        until: Some(units::Time(START + 315)),
        ..Filter::default()
    };
    assert_snapshot!(check(&time), @r"
    TIME (UTC)                   INSTANCE        EVENT
    ?                            127.0.0.1:4200  gap: events of 127.0.0.1:4200 were not fetched: connection refused
    .000110Z  entry-3         gap: nothing was fetched from entry-3 (9), of which others told
    .000300Z  entry-1         request 81/3 accepted for holds
    .000310Z  entry-1         request 81/3 sent to u-1
    ");
}

#[test]
fn a_picture_shows_each_event_each_lane_and_each_gap() {
    let line = line();
    let svg = line.svg();
    assert_eq!(svg.matches("<circle").count(), line.items.len());
    // Four names and one address that gave none.
    assert_eq!(svg.matches("font-weight=\"bold\"").count(), 4);
    assert_eq!(svg.matches("stroke-dasharray").count(), 5);
    // Request 81/3 has two steps and request 82/1 has one.
    assert_eq!(svg.matches("marker-end").count(), 3);
}

#[test]
fn a_long_time_line_says_that_it_is_not_drawn_whole() {
    let entries = (1..=2_100).map(|seq| entry(&format!("entry-1 5 {seq} {seq} answered 81/{seq}")));
    let fetched = Fetched {
        name: None,
        address: ([127, 0, 0, 1], 4200).into(),
        entries: entries.collect(),
        failure: None,
    };
    let svg = Line::merge(vec![fetched]).svg();
    assert_eq!(svg.matches("<circle").count(), 2_000);
    assert!(svg.contains("100 earlier rows are not drawn"));
}
