//! Runs the scripted scenarios in the files under `scenarios`.

#[expect(dead_code, reason = "each target uses only a part of it")]
mod support;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use membership::Membership;
use membership::Output;
use membership::Standing;
use support::Condition;
use support::Fleet;
use support::name;
use units::Incarnation;
use units::Revision;
use wire::Digest;
use wire::LeavingUpstream;
use wire::Successor;

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut fleet = Fleet::new(1, 0);
        file.run(|case| {
            assert_eq!(case.directive, "do", "`do` is the only directive");
            let lines = case.input.lines().map(Line::from);
            lines.map(|line| step(&mut fleet, &line)).collect::<String>()
        });
    });
}

/// One line of a script: a verb, then arguments of the form `key=1` or `key=1,2`.
struct Line<'a> {
    verb: &'a str,
    args: BTreeMap<&'a str, Vec<usize>>,
}

impl<'a> From<&'a str> for Line<'a> {
    fn from(text: &'a str) -> Self {
        let mut words = text.split_whitespace();
        let verb = words.next().expect("the line starts with a verb");
        let mut args = BTreeMap::new();
        for word in words {
            let (key, values) = word.split_once('=').expect("an argument has the form key=value");
            let values = values
                .split(',')
                .map(|value| value.parse().expect("an argument value is a number"));
            args.insert(key, values.collect());
        }
        Self { verb, args }
    }
}

fn numbers(line: &Line<'_>, key: &str) -> Vec<usize> {
    line.args.get(key).cloned().unwrap_or_default()
}

fn number(line: &Line<'_>, key: &str, default: usize) -> usize {
    numbers(line, key).first().copied().unwrap_or(default)
}

fn step(fleet: &mut Fleet, line: &Line<'_>) -> String {
    match line.verb {
        "fleet" => {
            *fleet = Fleet::new(number(line, "zones", 1), number(line, "seed", 1) as u64);
            let count = number(line, "count", 0);
            fleet.start_all(count, number(line, "hints", count));
        }
        "start" => numbers(line, "i")
            .iter()
            .for_each(|i| fleet.start(*i, &numbers(line, "hints"))),
        "run" => {
            let span = Duration::from_millis(number(line, "ms", 0) as u64);
            fleet.run(span);
        }
        "crash" => set(fleet, line, Condition::Crashed),
        "freeze" => set(fleet, line, Condition::Frozen),
        "resume" => set(fleet, line, Condition::Running),
        "cut" => fleet.cut(&numbers(line, "zones")),
        "heal" => fleet.cut(&[]),
        "loss" => fleet.loss = number(line, "percent", 0) as f64 / 100.0,
        "leave" => numbers(line, "i").iter().for_each(|i| fleet.act(*i, Membership::leave)),
        "succeed" => succeed(fleet, line),
        "mark" => mark(fleet, line),
        "document" => document(fleet, line),
        "documents" => return documents(fleet),
        "views" => return views(fleet),
        "learned" => return outputs(fleet, line),
        "standing" => return standing(fleet, line),
        "marked" => return marked(fleet, line),
        "watchers" => return watchers(fleet, line),
        "false-deaths" => return format!("false deaths: {}\n", fleet.false_deaths),
        other => panic!("unknown verb: {other}"),
    }
    String::new()
}

fn set(fleet: &mut Fleet, line: &Line<'_>, condition: Condition) {
    for index in numbers(line, "i") {
        fleet.set(index, condition);
    }
}

fn succeed(fleet: &mut Fleet, line: &Line<'_>) {
    let from = number(line, "from", 0);
    let to = number(line, "to", 0);
    let record = Successor {
        from: name(from),
        from_incarnation: fleet.incarnation(from),
        to: name(to),
        to_incarnation: fleet.incarnation(to),
    };
    let at = number(line, "at", from);
    fleet.act(at, |membership, now, out| membership.add_successor(record, now, out));
}

fn mark(fleet: &mut Fleet, line: &Line<'_>) {
    let mark = LeavingUpstream {
        name: "target".parse().expect("a valid name"),
        incarnation: Incarnation(number(line, "incarnation", 0) as u64),
    };
    let at = number(line, "at", 0);
    fleet.act(at, |membership, now, out| {
        membership.add_leaving_upstream(mark, now, out);
    });
}

/// Publishes a document at one instance. Each instance that learns of it fetches it.
fn document(fleet: &mut Fleet, line: &Line<'_>) {
    let revision = Revision(number(line, "revision", 0) as u64);
    let digest = Digest::of(&revision.0.to_le_bytes());
    let at = number(line, "at", 0);
    fleet.act(at, |membership, now, out| {
        membership.set_document(revision, digest, now, out);
    });
}

/// Counts the running instances by the revision that they hold.
fn documents(fleet: &Fleet) -> String {
    let mut held: BTreeMap<Revision, usize> = BTreeMap::new();
    let running = |process: &&support::Process| process.condition == Condition::Running;
    for process in fleet.processes.values().filter(running) {
        if let Some((revision, _)) = process.membership.document() {
            *held.entry(revision).or_default() += 1;
        }
    }
    let lines = held
        .iter()
        .map(|(revision, count)| format!("revision {revision}: {count}\n"));
    lines.collect()
}

/// Groups the running instances by the members that they see.
fn views(fleet: &Fleet) -> String {
    let mut groups: BTreeMap<Vec<String>, Vec<String>> = BTreeMap::new();
    for (name, process) in &fleet.processes {
        if process.condition != Condition::Running {
            continue;
        }
        let shown = process.membership.members().map(|member| match member.state {
            wire::MemberState::Alive => member.name.to_string(),
            state => format!("{}:{state:?}", member.name),
        });
        let mut seen: Vec<String> = shown.collect();
        seen.sort();
        groups.entry(seen).or_default().push(name.to_string());
    }
    let mut text = String::new();
    for (seen, by) in groups {
        let line = if seen.len() > 12 {
            writeln!(text, "{} instances see {}", by.len(), seen.len())
        } else {
            writeln!(text, "{} see {}", by.join(" "), seen.join(" "))
        };
        line.expect("writing to a string cannot fail");
    }
    text
}

/// Counts the changes that an instance has reported since the last call.
fn outputs(fleet: &mut Fleet, line: &Line<'_>) -> String {
    let process = fleet
        .processes
        .get_mut(&name(number(line, "at", 0)))
        .expect("the process exists");
    let mut lines: BTreeMap<String, usize> = BTreeMap::new();
    for (_, output) in process.outputs.drain(..) {
        let line = match output {
            Output::Up(member) => format!("up {}", member.name),
            Output::Leaving(member) => format!("leaving {}", member.name),
            Output::Down(member) => format!("down {}", member.name),
            Output::Succeeded(record) => format!("succeeded {} by {}", record.from, record.to),
            Output::UpstreamLeaving(mark) => format!("upstream leaving {} {}", mark.name, mark.incarnation),
            Output::DocumentSeen { revision, .. } => format!("document {revision}"),
            Output::Send { .. } => continue,
        };
        *lines.entry(line).or_default() += 1;
    }
    let mut text = String::new();
    for (line, count) in lines {
        writeln!(text, "{line} x{count}").expect("writing to a string cannot fail");
    }
    text
}

fn standing(fleet: &Fleet, line: &Line<'_>) -> String {
    let of = number(line, "of", 0);
    let incarnation = fleet.incarnation(of);
    let incarnation = Incarnation(incarnation.0 - number(line, "older", 0) as u64);
    let text = match fleet.membership(number(line, "at", 0)).standing(&name(of), incarnation) {
        Standing::Me => "me".to_owned(),
        Standing::Alive(member) => format!("alive {}", member.name),
        Standing::Suspect(member) => format!("suspect {}", member.name),
        Standing::Leaving(member) => format!("leaving {}", member.name),
        Standing::Succeeded(member) => format!("succeeded by {}", member.name),
        Standing::SucceededByMe => "succeeded by me".to_owned(),
        Standing::Gone => "gone".to_owned(),
        Standing::Unknown => "unknown".to_owned(),
    };
    format!("{} at {}: {text}\n", name(of), name(number(line, "at", 0)))
}

/// Counts the running instances that hold a mark for an incarnation.
fn marked(fleet: &Fleet, line: &Line<'_>) -> String {
    let upstream = "target".parse().expect("a valid name");
    let incarnation = Incarnation(number(line, "incarnation", 0) as u64);
    let running = fleet
        .processes
        .values()
        .filter(|process| process.condition == Condition::Running);
    let marked = running.filter(|process| process.membership.is_leaving(&upstream, incarnation));
    format!("marked {incarnation}: {}\n", marked.count())
}

fn watchers(fleet: &Fleet, line: &Line<'_>) -> String {
    let membership = fleet.membership(number(line, "at", 0));
    let names: Vec<String> = membership.watchers().map(|member| member.name.to_string()).collect();
    format!("watchers: {}\n", names.join(" "))
}
