//! Data-driven tests of a pool's decisions. `REWRITE=1` updates the expected output in the script files.

use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

use balance::Decision;
use balance::Pool;
use balance::Report;
use balance::SlotRequest;
use config::Affinity;
use config::Service;
use config::Sharing;
use config::Upstream;
use config::UpstreamState;
use datadriven::TestCase;
use units::Slots;
use units::Time;
use units::Weight;
use wire::Outcome;

#[test]
fn pool_decisions_match_the_scripts() {
    datadriven::walk("tests/scripts", |file| {
        let mut runner = ScriptRunner::new();
        file.run(|case| runner.run(case));
    });
}

struct ScriptRunner {
    now: Time,
    service: Service,
    pool: Option<Pool<String>>,
}

impl ScriptRunner {
    fn new() -> Self {
        Self {
            now: Time(1_000_000_000),
            service: build_service(&HashMap::new(), ""),
            pool: None,
        }
    }

    fn run(&mut self, case: &TestCase) -> String {
        if let Some(millis) = number_arg(&case.args, "after") {
            self.now = self.now + Duration::from_millis(millis);
        }
        let mut out = Vec::new();
        if case.directive == "service" {
            self.service = build_service(&case.args, &case.input);
            match &mut self.pool {
                Some(pool) => pool.configure(&self.service, &[], self.now, &mut out),
                None => self.pool = Some(Pool::new(&self.service, 1, self.now)),
            }
            return format_decisions(&out);
        }
        let pool = self
            .pool
            .as_mut()
            .expect("a script must begin with a `service` directive");
        if case.directive == "states" {
            return format_statuses(pool);
        }
        for line in case.input.lines().filter(|line| !line.is_empty()) {
            run_line(pool, &case.directive, line, self.now, &mut out);
        }
        if case.directive == "tick" {
            pool.tick(self.now, &mut out);
        }
        format_decisions(&out)
    }
}

/// Runs one line of a directive's input. Its first word is a request key or an upstream.
fn run_line(pool: &mut Pool<String>, directive: &str, line: &str, now: Time, out: &mut Vec<Decision<String>>) {
    let words: Vec<&str> = line.split_whitespace().collect();
    let name = words[0];
    let value = |key: &str| words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    let millis =
        |key: &str, default: u64| Duration::from_millis(value(key).map_or(default, |text| text.parse().unwrap()));
    match directive {
        "ask" => {
            let list = |text: &str| text.split(',').map(|name| name.parse().unwrap()).collect();
            let request = SlotRequest {
                key: name.to_owned(),
                weight: Weight(value("weight").map_or(1, |text| text.parse().unwrap())),
                zone: value("zone").unwrap_or("z1").parse().unwrap(),
                deadline: now + millis("within", 1_000),
                pinned: value("pinned").map(|text| text.parse().unwrap()),
                avoid: value("avoid").map(list).unwrap_or_default(),
            };
            pool.acquire(request, now, out);
        }
        "settle" => pool.settle(&name.to_owned(), parse_outcome(words[1]), millis("took", 20), now, out),
        "withdraw" => pool.withdraw(&name.to_owned(), now, out),
        "retain" => pool.retain(|key| key.starts_with(name), now, out),
        "hold" => pool.hold(
            name.to_owned(),
            words[1].parse().unwrap(),
            now + millis("within", 1_000),
            now,
        ),
        "leave" => pool.announce_drain(&name.parse().unwrap()),
        "readmit" => pool.reset_after_restart(&name.parse().unwrap(), now),
        "report" => {
            let report = Report {
                healthy: !words.contains(&"unhealthy"),
                draining: words.contains(&"draining"),
                busy: Slots(value("busy").map_or(0, |text| text.parse().unwrap())),
                age: millis("age", 1_000_000),
            };
            let report = (!words.contains(&"none")).then_some(report);
            pool.report(&name.parse().unwrap(), report, now, out);
        }
        other => panic!("unknown directive: {other}"),
    }
}

fn parse_outcome(word: &str) -> Outcome {
    match word {
        "completed" => Outcome::Completed,
        "shed" => Outcome::Shed,
        "draining" => Outcome::Draining,
        "unreachable" => Outcome::Unreachable,
        "failed" => Outcome::Failed,
        "timed-out" => Outcome::TimedOut,
        "unused" => Outcome::Unused,
        other => panic!("unknown outcome: {other}"),
    }
}

fn number_arg(args: &HashMap<String, Vec<String>>, key: &str) -> Option<u64> {
    let text = args.get(key)?.first()?;
    Some(text.parse().unwrap())
}

/// Builds a service from the input, which has one upstream per line: name, zone, slots, and optionally `draining`.
fn build_service(args: &HashMap<String, Vec<String>>, input: &str) -> Service {
    let sharing = Sharing {
        affinity: Affinity::Request,
        prefer_local_zone: args.contains_key("local"),
        queue_limit: number_arg(args, "limit").unwrap_or(100) as u32,
        retry_budget_percent: number_arg(args, "budget").unwrap_or(10) as u32,
        slow_start: Duration::from_millis(number_arg(args, "slow-start").unwrap_or(1_000)),
    };
    let upstream = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let draining = words.contains(&"draining");
        Upstream {
            name: words[0].parse().unwrap(),
            zone: words[1].parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: words[2].parse().unwrap(),
            state: if draining {
                UpstreamState::Draining
            } else {
                UpstreamState::Active
            },
        }
    };
    Service {
        name: "quotes".parse().unwrap(),
        addresses: Vec::new(),
        sharing,
        kinds: Vec::new(),
        upstreams: input.lines().map(upstream).collect(),
    }
}

fn format_decisions(out: &[Decision<String>]) -> String {
    let mut text = String::new();
    for decision in out {
        let line = match decision {
            Decision::Grant { key, upstream } => writeln!(text, "{key} -> {upstream}"),
            Decision::Deny { key, reason, .. } => writeln!(text, "{key} refused: {reason}"),
        };
        line.unwrap();
    }
    text
}

fn format_statuses(pool: &Pool<String>) -> String {
    let mut text = String::new();
    for status in pool.statuses() {
        let (name, state, busy, slots, pinned) = (status.name, status.state, status.busy, status.slots, status.pinned);
        writeln!(
            text,
            "{name} {state} busy {busy}/{slots} pinned {pinned} queued {}",
            status.queued
        )
        .unwrap();
    }
    text
}
