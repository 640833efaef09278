//! Data-driven scenarios for one instance: its inputs, the packets that arrive, and the resulting decisions.
//!
//! Directives:
//!
//! - `at MS` sets the time.
//! - `document` applies a document: its revision, then a line `PORT SERVICE[:WEIGHT]...` for each route, and lines
//!   `cold SERVICE RATE MS`.
//! - `upstreams` applies changes of the list of upstreams, one a line: `ID SERVICE ZONE [leaving] [slots=N] [cold=MS]
//!   [started=MS]`, `ID unreadable` or `ID gone`.
//! - `evacuations` sets the availability zones that operators are evacuating, one a line.
//! - `assign-cold` sets the cold upstreams that are assigned to this instance, one a line, and shows all upstreams that
//!   are cold.
//! - `packets` processes packets and messages, one a line. `repeat N` does so N times, and `repeat-quietly N` shows only
//!   the decisions.
//! - `waits` shows the client wait times recorded since the last `waits`.
//! - `stats` shows the counters of the core.
//!
//! Lines of `packets`:
//!
//! - `+MS` advances the time.
//! - `KIND CLIENT [PORT]` sends a packet of the client's flow: `syn`, `open` (completes the handshake), `data`,
//!   `retransmit`, `ack` (acknowledges a response), `short-ack` (acknowledges a short response), `fin`, `rst`, or
//!   `lost-echo` (carries an unknown echo).
//! - `send-reports INSTANCE` shows the reports of this instance that are due.
//! - `report-from INSTANCE UPSTREAM/STALLED/SILENT_MS` receives another instance's report.
//! - `evaluate-failures N` evaluates the failed attempts of this instance as one of N reporting instances.
//! - `status-update UPSTREAM ROUND/STATUS` receives another instance's status update.
//! - `inquire N` starts the inquiries that are due, each to N other instances.
//! - `inquiry-reply INSTANCE UPSTREAM/RETRANSMISSIONS/WAITING_MS/SILENT_MS` receives the reply of one of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use datadriven::TestCase;
use flow::ColdStart;
use flow::Core;
use flow::Decision;
use flow::Document;
use flow::Echo;
use flow::Evacuations;
use flow::FailureReport;
use flow::Flags;
use flow::ListingState;
use flow::Options;
use flow::Packet;
use flow::Priority;
use flow::Report;
use flow::ReporterId;
use flow::Route;
use flow::Sample;
use flow::Share;
use flow::StartTime;
use flow::Status;
use flow::StatusUpdate;
use flow::Upstream;
use flow::UpstreamId;
use flow::Verdict;
use units::Revision;
use units::Slots;
use units::Time;
use units::Weight;

/// Request length in bytes.
const REQUEST_LEN: u16 = 100;
/// Length of a normal response in bytes.
const RESPONSE_LEN: u32 = 1_000;
/// Length of an error response in bytes.
const SHORT_RESPONSE_LEN: u32 = 150;

/// The client side of a flow.
#[derive(Debug, Clone, Copy)]
struct ClientEnd {
    client: SocketAddrV4,
    route: SocketAddrV4,
    transmissions: u32,
    echo: Echo,
    seq: u32,
    ack: u32,
}

/// The name of a status in scenarios.
fn status_name(status: Status) -> &'static str {
    match status {
        Status::Failing => "failing",
        Status::Serving => "serving",
        Status::Silent { .. } => "silent",
        Status::Alive { .. } => "alive",
    }
}

/// Parses a status as scenarios write it: `failing`, `serving`, `silent[:MS]` or `alive[:MS]`.
fn parse_status(text: &str) -> Status {
    let (name, ago) = text.split_once(':').unwrap_or((text, "0"));
    let ago = Duration::from_millis(millis(ago));
    match name {
        "failing" => Status::Failing,
        "serving" => Status::Serving,
        "silent" => Status::Silent {
            silent_for: ago,
            signs: 3,
            instances: 2,
        },
        "alive" => Status::Alive { answered_ago: ago },
        other => panic!("unknown status: {other}"),
    }
}

/// Derives a reporter id from the name of an instance.
fn reporter_id(name: &str) -> ReporterId {
    ReporterId(name.bytes().map(u64::from).sum())
}

struct Harness {
    core: Core,
    now: Time,
    revision: u64,
    clients: BTreeMap<String, ClientEnd>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
}

fn millis(text: &str) -> u64 {
    text.parse().unwrap()
}

fn route_address(port: &str) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port.parse().unwrap())
}

impl Harness {
    fn new() -> Self {
        let options = Options {
            zone: "zone-a".parse().unwrap(),
            max_flow: Duration::from_mins(1),
            awaits_evacuations: false,
            seed: 7,
        };
        Self {
            core: Core::new(options),
            now: Time(1_000_000_000),
            revision: 1,
            clients: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        }
    }

    fn run(&mut self, case: &TestCase) -> String {
        let lines: Vec<&str> = case.input.lines().collect();
        let argument = |index: usize| case.args.keys().nth(index).cloned().unwrap_or_default();
        match case.directive.as_str() {
            "at" => {
                self.now = Time(1_000_000_000 + millis(&argument(0)) * 1_000);
                self.core.tick(self.now);
                String::new()
            }
            "document" => self.apply_document(&lines),
            "upstreams" => self.update_upstreams(&lines),
            "evacuations" => self.evacuate(&lines),
            "assign-cold" => self.assign_cold(&lines),
            "packets" => self.run_packets(&lines),
            "repeat" => {
                let times = millis(&argument(0));
                (0..times).map(|_| self.run_packets(&lines)).collect()
            }
            "repeat-quietly" => {
                let times = millis(&argument(0));
                let output: String = (0..times).map(|_| self.run_packets(&lines)).collect();
                let decisions = output.split_inclusive('\n');
                decisions.filter(|line| line.starts_with("  ")).collect()
            }
            "waits" => self.show_waits(),
            "stats" => format!("{:?}\n", self.core.stats()),
            other => panic!("unknown directive: {other}"),
        }
    }

    /// Shows the client wait times recorded since the last call.
    fn show_waits(&mut self) -> String {
        let mut out = String::new();
        for wait in self.core.take_waits() {
            let zone = if wait.is_local_zone { "local zone" } else { "other zone" };
            writeln!(out, "{:?} {zone}: {} ms", wait.kind, wait.time.as_millis()).unwrap();
        }
        out
    }

    fn apply_document(&mut self, lines: &[&str]) -> String {
        let revision = Revision(millis(lines[0]));
        let (cold_lines, route_lines): (Vec<&str>, Vec<&str>) =
            lines[1..].iter().partition(|line| line.starts_with("cold "));
        let cold_starts = cold_lines.iter().map(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let cold_start = ColdStart {
                lasts: Duration::from_millis(millis(words[3])),
                rate: Some(words[2].parse().unwrap()),
            };
            (words[1].to_owned(), cold_start)
        });
        let cold_starts = cold_starts.collect();
        let routes = route_lines.iter().map(|line| {
            let (port, shares) = line.split_once(' ').unwrap();
            let shares = shares.split_whitespace().map(|share| {
                let (service, weight) = share.split_once(':').unwrap_or((share, "1"));
                Share {
                    service: service.to_owned(),
                    weight: Weight(weight.parse().unwrap()),
                }
            });
            let route = Route {
                address: route_address(port),
                shares: shares.collect(),
                idempotent: true,
                aim: Duration::from_millis(100),
                priority: Priority::LEAST_URGENT,
                timeout: None,
            };
            (format!("r-{port}"), route)
        });
        let document = Document {
            revision,
            routes: routes.collect(),
            idle_timeout: Duration::from_secs(15),
            cold_starts,
            connection_limits: BTreeMap::new(),
            warnings: Vec::new(),
        };
        self.revision += 1;
        let at = Revision(self.revision);
        let given = document.clone();
        let before = self.core.knowledge().document().cloned();
        self.core
            .learn(self.now, |knowledge| knowledge.apply_document(at, document));
        let held = self.core.knowledge().document().cloned();
        let is_new = held != before && held.is_some_and(|(_, held)| held == given);
        if is_new {
            String::new()
        } else {
            "ignored, not newer\n".to_owned()
        }
    }

    /// Assigns these cold upstreams to this instance and shows all upstreams that are cold.
    fn assign_cold(&mut self, ids: &[&str]) -> String {
        let kept = ids.iter().map(|id| id.parse().unwrap());
        self.core.set_assigned_cold(kept.collect());
        let mut out = String::new();
        for id in self.core.rate_limited(self.now) {
            writeln!(out, "{:x} is cold", id.0).unwrap();
        }
        out
    }

    /// Sets the availability zones under evacuation; any others are no longer evacuated.
    fn evacuate(&mut self, zones: &[&str]) -> String {
        self.revision += 1;
        let read = Evacuations {
            at: Revision(self.revision).into(),
            zones: zones.iter().map(|zone| zone.parse().unwrap()).collect(),
        };
        let none = BTreeSet::new();
        let now = self.now;
        self.core
            .learn(now, |knowledge| knowledge.apply_evacuations(read, &none, now));
        let mut out = String::new();
        self.show_decisions(&mut out);
        for (zone, flows) in self.core.evacuated() {
            writeln!(out, "  {zone} has {flows} open flows").unwrap();
        }
        out
    }

    fn update_upstreams(&mut self, lines: &[&str]) -> String {
        let mut changes = Vec::new();
        self.revision += 1;
        for line in lines {
            let words: Vec<&str> = line.split_whitespace().collect();
            let id: UpstreamId = words[0].parse().unwrap();
            let revision = Revision(self.revision);
            if words[1] == "gone" {
                changes.push((id, revision, ListingState::Gone));
                continue;
            }
            if words[1] == "unreadable" {
                changes.push((id, revision, ListingState::Unreadable));
                continue;
            }
            let value = |name: &str| words.iter().find_map(|word| word.strip_prefix(name));
            let number = u16::try_from(self.upstreams.len()).unwrap();
            let known = self.upstreams.get(&id).map(|upstream| upstream.address);
            let upstream = Upstream {
                service: words[1].into(),
                address: known.unwrap_or(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 8_000 + number)),
                zone: words[2].parse().unwrap(),
                slots: Slots(value("slots=").map_or(2, |slots| slots.parse().unwrap())),
                leaving: words.contains(&"leaving"),
                cold_for: Duration::from_millis(value("cold=").map_or(0, millis)),
                started: value("started=").map(|started| StartTime(millis(started))),
            };
            self.upstreams.insert(id, upstream.clone());
            changes.push((id, revision, ListingState::Listed(upstream)));
        }
        let at = Revision(self.revision);
        let now = self.now;
        self.core
            .learn(now, |knowledge| knowledge.apply_watched(at, changes, now));
        let mut out = String::new();
        self.show_decisions(&mut out);
        out
    }

    /// Processes the lines of a `packets` directive.
    fn run_packets(&mut self, lines: &[&str]) -> String {
        let mut out = String::new();
        for line in lines {
            if let Some(span) = line.strip_prefix('+') {
                self.now = self.now + Duration::from_millis(millis(span));
                continue;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let port = words.get(2).copied().unwrap_or("443");
            self.run_packet(words[0], words[1], port, &mut out);
        }
        out
    }

    fn exchange_reports(&mut self, kind: &str, name: &str, report: &str, out: &mut String) {
        if kind == "report-from" {
            return self.receive_report(name, report, out);
        }
        for report in self.core.take_reports(self.now) {
            writeln!(
                out,
                "  reports to {name}: {} flows stalled at {:x}",
                report.stalled, report.upstream.0
            )
            .unwrap();
        }
    }

    /// Evaluates the failure reports of this instance, as one of `instances`, and shows the status updates for others.
    fn evaluate_failures(&mut self, instances: &str, out: &mut String) {
        for report in self.core.take_failures(self.now) {
            let FailureReport { upstream, failed, .. } = report;
            writeln!(out, "  reports {failed} failed attempts at {:x}", upstream.0).unwrap();
            self.core
                .receive_failure_report(&report, instances.parse().unwrap(), self.now);
        }
        self.show_status_updates(out);
        self.show_decisions(out);
    }

    fn show_status_updates(&mut self, out: &mut String) {
        for update in self.core.take_status_updates() {
            let status = status_name(update.status);
            writeln!(
                out,
                "  announces: {:x} is {status}, round {}",
                update.upstream.0, update.round
            )
            .unwrap();
        }
    }

    /// Starts the inquiries that are due, each to `others` other instances.
    fn start_inquiries(&mut self, others: &str, out: &mut String) {
        let others = others.parse().unwrap();
        for id in self.core.take_due_inquiries(self.now) {
            writeln!(out, "  asks {others} others about {:x}", id.0).unwrap();
            self.core.start_inquiry(id, others, self.now);
        }
        self.show_status_updates(out);
        self.show_decisions(out);
    }

    /// Receives the reply of instance `name` to an inquiry: `UPSTREAM/RETRANSMISSIONS/WAITING_MS/SILENT_MS`.
    fn receive_inquiry_reply(&mut self, name: &str, reply: &str, out: &mut String) {
        let fields: Vec<&str> = reply.split('/').collect();
        let retransmissions = fields[1].parse().unwrap();
        let report = Report {
            upstream: fields[0].parse().unwrap(),
            stalled: retransmissions,
            signs: retransmissions,
            waiting_for: Duration::from_millis(millis(fields[2])),
            silent_for: Duration::from_millis(millis(fields[3])),
            loss: Sample::default(),
            is_in_doubt: false,
        };
        self.core
            .receive_inquiry_replies(reporter_id(name), &[report], self.now);
        self.show_status_updates(out);
        self.show_decisions(out);
    }

    /// Receives a status update: `ROUND/failing`, `ROUND/serving`, `ROUND/silent:MS` or `ROUND/alive:MS`.
    fn receive_status_update(&mut self, id: &str, update: &str, out: &mut String) {
        let (round, status) = update.split_once('/').unwrap();
        let update = StatusUpdate {
            upstream: id.parse().unwrap(),
            round: round.parse().unwrap(),
            status: parse_status(status),
        };
        for answer in self.core.receive_status_updates(&[update], self.now) {
            let silent = answer.silent_for.as_millis();
            writeln!(out, "  replies: {:x} answered {silent} ms ago", answer.upstream.0).unwrap();
        }
        for update in self.core.take_received_updates(self.now) {
            writeln!(out, "  forwards round {} of {:x}", update.round, update.upstream.0).unwrap();
        }
        self.show_decisions(out);
    }

    /// Receives a report `UPSTREAM/STALLED/SILENT_MS` of instance `name`. The flows there have been waiting since 10 ms
    /// after the last response.
    fn receive_report(&mut self, name: &str, report: &str, out: &mut String) {
        let mut fields = report.split('/');
        let mut field = || fields.next().unwrap();
        let upstream = field().parse().unwrap();
        let stalled = field().parse().unwrap();
        let silent_for = Duration::from_millis(millis(field()));
        let report = Report {
            upstream,
            stalled,
            signs: stalled,
            waiting_for: silent_for.saturating_sub(Duration::from_millis(10)),
            silent_for,
            loss: Sample::default(),
            is_in_doubt: false,
        };
        for answer in self.core.receive_reports(reporter_id(name), &[report], self.now) {
            let silent = answer.silent_for.as_millis();
            writeln!(
                out,
                "  replies to {name}: {:x} answered {silent} ms ago",
                answer.upstream.0
            )
            .unwrap();
        }
        self.show_decisions(out);
    }

    fn run_packet(&mut self, kind: &str, name: &str, port: &str, out: &mut String) {
        match kind {
            "evaluate-failures" => return self.evaluate_failures(name, out),
            "status-update" => return self.receive_status_update(name, port, out),
            "inquire" => return self.start_inquiries(name, out),
            "inquiry-reply" => return self.receive_inquiry_reply(name, port, out),
            _ => {}
        }
        if matches!(kind, "report-from" | "send-reports") {
            return self.exchange_reports(kind, name, port, out);
        }
        let number = u16::try_from(self.clients.len()).unwrap();
        let end = self.clients.entry(name.to_owned()).or_insert(ClientEnd {
            client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_000 + number),
            route: route_address(port),
            transmissions: 0,
            echo: Echo::NONE,
            seq: 500,
            ack: 9_000,
        });
        let mut packet = Packet {
            client: end.client,
            route: end.route,
            flags: Flags::ACK,
            echo: end.echo,
            seq: end.seq,
            ack: end.ack,
            len: 0,
        };
        match kind {
            "syn" => {
                packet.flags = Flags::SYN;
                packet.ack = end.transmissions;
                packet.echo = Echo::NONE;
                end.transmissions += 1;
            }
            // The client acknowledges a response.
            "ack" => {
                end.ack += RESPONSE_LEN;
                packet.ack = end.ack;
            }
            "short-ack" => {
                end.ack += SHORT_RESPONSE_LEN;
                packet.ack = end.ack;
            }
            "open" => packet.ack = end.ack,
            "data" => {
                packet.len = REQUEST_LEN;
                end.seq += u32::from(REQUEST_LEN);
            }
            "retransmit" => {
                packet.len = REQUEST_LEN;
                packet.seq = end.seq - u32::from(REQUEST_LEN);
            }
            "fin" => packet.flags = Flags::FIN | Flags::ACK,
            "rst" => packet.flags = Flags::RST,

            "lost-echo" => packet.echo = Echo(0x0bad_0bad),
            other => panic!("unknown packet line: {other}"),
        }
        let verdict = self.core.handle_packet(&packet, self.now);
        let end = self.clients.get_mut(name).unwrap();
        match verdict {
            Verdict::Forward { upstream, echo, .. } => {
                assert_eq!(echo, upstream.echo());
                end.echo = echo;
                writeln!(out, "{kind} {name}: to {:x}", upstream.0).unwrap();
            }
            Verdict::Reset(reset) => {
                assert!(reset.seq == 0 || reset.seq == packet.ack);
                writeln!(out, "{kind} {name}: reset, {}", reset.cause).unwrap();
            }
            Verdict::Drop(cause) => writeln!(out, "{kind} {name}: dropped, {cause}").unwrap(),
        }
        self.show_decisions(out);
    }

    /// Shows the decisions and resets other than the verdict on the packet.
    fn show_decisions(&mut self, out: &mut String) {
        for reset in self.core.take_resets() {
            let (name, _) = self.clients.iter().find(|(_, end)| end.client == reset.client).unwrap();
            writeln!(out, "  {name} is reset, {}", reset.cause).unwrap();
        }
        for decision in self.core.take_decisions() {
            match decision {
                Decision::MarkedDead { upstream, evidence, .. } => {
                    let waiting = evidence.waiting;
                    writeln!(out, "  {:x} is marked dead, {waiting} flows waiting", upstream.0).unwrap();
                }
                Decision::Revived(upstream) => writeln!(out, "  {:x} responds again", upstream.0).unwrap(),
                Decision::Ejected {
                    upstream,
                    usual_percent,
                    ..
                } => writeln!(out, "  {:x} is ejected, baseline {usual_percent}%", upstream.0).unwrap(),
                Decision::EjectedElsewhere(upstream) => {
                    writeln!(out, "  {:x} is ejected elsewhere", upstream.0).unwrap();
                }
                Decision::Readmitted(upstream) => writeln!(out, "  {:x} is readmitted", upstream.0).unwrap(),
                Decision::Restarted { upstream, flows } => {
                    writeln!(out, "  {:x} has restarted, {flows} flows ended", upstream.0).unwrap();
                }
                Decision::Evacuated { zone, flows, .. } => {
                    writeln!(out, "  {zone} is being evacuated, {flows} open flows").unwrap();
                }
                Decision::Restored { zone, .. } => writeln!(out, "  {zone} is no longer evacuated").unwrap(),
                Decision::CapacityChanged { service, state, .. } => {
                    writeln!(out, "  {service} is {state}").unwrap();
                }
                Decision::DocumentWarning { .. }
                | Decision::Placed { .. }
                | Decision::Reset { .. }
                | Decision::Dropped { .. } => {}
            }
        }
    }
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut harness = Harness::new();
        file.run(|case| harness.run(case));
    });
}
