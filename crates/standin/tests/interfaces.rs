//! The page on interfaces says what is true: its exchanges are played, and its tables compared with the code.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use reqwest::Method;
use reqwest::Response;
use serde::Serialize;
use serde_json::Value;
use standin::fabric;
use standin::platform;
use standin::upstream;
use units::Slots;

/// Fields that differ from run to run.
const CLOCKS: [&str; 2] = ["written_at", "age_ms"];

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn page() -> String {
    fs::read_to_string(root().join("docs/INTERFACES.md")).expect("the page is there")
}

/// A block of exchanges and what it is played against.
struct Block<'a> {
    stage: &'a str,
    lines: Vec<&'a str>,
}

fn blocks(page: &str) -> Vec<Block<'_>> {
    let mut blocks = Vec::new();
    let mut parts = page.split("```http ");
    parts.next();
    for part in parts {
        let (stage, rest) = part.split_once('\n').expect("a block begins on a line of its own");
        let (body, _text) = rest.split_once("\n```").expect("a block ends");
        let lines = body.lines().collect();
        blocks.push(Block { stage, lines });
    }
    blocks
}

/// One request and the response that the page promises.
#[derive(Default)]
struct Exchange {
    sent: Vec<String>,
    back: Vec<String>,
}

fn exchanges(lines: &[&str]) -> Vec<Exchange> {
    let mut exchanges: Vec<Exchange> = Vec::new();
    for line in lines {
        let (side, text) = line.split_once(' ').expect("a line has a side");
        let begins = exchanges.last().is_none_or(|exchange| !exchange.back.is_empty());
        if side == ">" && begins {
            exchanges.push(Exchange::default());
        }
        let exchange = exchanges.last_mut().expect("a block begins with a request");
        match side {
            ">" => exchange.sent.push(text.to_owned()),
            "<" => exchange.back.push(text.to_owned()),
            _ => panic!("no such side: {line}"),
        }
    }
    exchanges
}

fn header(line: &str) -> Option<(&str, &str)> {
    let (name, value) = line.split_once(": ")?;
    name.bytes()
        .all(|b| b.is_ascii_alphanumeric() || b == b'-')
        .then_some((name, value))
}

async fn play(address: SocketAddr, exchange: &Exchange) {
    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("nothing is needed");
    let (method, path) = exchange.sent[0].split_once(' ').expect("a request line");
    let method: Method = method.parse().expect("a method");
    let mut request = http.request(method, format!("http://{address}{path}"));
    for line in &exchange.sent[1..] {
        request = match header(line) {
            Some((name, value)) => request.header(name, value),
            None if line.starts_with('{') => request.header("content-type", "application/json").body(line.clone()),
            None => request.body(line.clone()),
        };
    }
    let response = request.send().await.expect("the stand-in answers");
    check(exchange, response).await;
}

async fn check(exchange: &Exchange, response: Response) {
    let request = &exchange.sent;
    assert_eq!(response.status().as_str(), exchange.back[0], "{request:?}");
    let headers = response.headers().clone();
    let body = response.bytes().await.expect("the body is whole");
    for line in &exchange.back[1..] {
        if let Some((name, value)) = header(line) {
            let seen = headers.get(name).map(|value| value.to_str().expect("a text"));
            assert_eq!(seen, Some(value), "{name} of {request:?}");
            continue;
        }
        let promised: Value = serde_json::from_str(line).expect("JSON");
        let seen: Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(without_clocks(seen), without_clocks(promised), "{request:?}");
    }
}

fn without_clocks(mut value: Value) -> Value {
    match &mut value {
        Value::Object(fields) => {
            for (name, field) in fields.iter_mut() {
                let inner = field.take();
                *field = if CLOCKS.contains(&name.as_str()) {
                    Value::Null
                } else {
                    without_clocks(inner)
                };
            }
        }
        Value::Array(items) => {
            for item in items {
                *item = without_clocks(item.take());
            }
        }
        _ => {}
    }
    value
}

#[tokio::test]
async fn the_exchanges_are_as_shown() {
    let platform = platform::start(platform::Options::default()).await.expect("free ports");
    let page = page();
    let mut played = 0;
    for block in blocks(&page) {
        let (name, service) = ("target-1".parse(), "availability".parse());
        let mut options = upstream::Options::new(name.expect("a name"), service.expect("a name"));
        options.behaviour.draining = block.stage == "upstream draining";
        if block.stage == "upstream full" {
            options.slots = Slots(0);
        }
        let upstream = upstream::start(options).await.expect("free ports");
        let address = if block.stage == "platform" {
            platform.address()
        } else {
            upstream.address()
        };
        for exchange in exchanges(&block.lines) {
            play(address, &exchange).await;
            played += 1;
        }
    }
    assert_eq!(played, page.matches("\n> GET ").count() + page.matches("\n> P").count());
    assert!(played > 20, "the exchanges were found");
}

/// The cells of the rows of every table.
fn rows(page: &str) -> Vec<Vec<&str>> {
    let lines = page.lines().filter(|line| line.starts_with("| "));
    lines
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

/// The value of a constant, as the page writes it.
fn constant(file: &str, name: &str) -> String {
    let source = fs::read_to_string(root().join(file)).expect("the page names files that are there");
    let start = source
        .find(&format!("const {name}: "))
        .unwrap_or_else(|| panic!("{file} has no {name}"));
    let line = source[start..].lines().next().expect("a line");
    let (_name, value) = line.split_once(" = ").expect("a constant has a value");
    let digits: String = value.chars().filter(char::is_ascii_digit).collect();
    if value.contains("from_mins") {
        return format!("{digits} min");
    }
    if value.contains("from_secs") {
        return format!("{digits} s");
    }
    if value.contains("from_millis") {
        return format!("{digits} ms");
    }
    if value.contains("Millis(") {
        let millis: u32 = digits.parse().expect("a number");
        return format!("{} s", millis / 1_000);
    }
    digits
}

#[test]
fn the_times_and_limits_are_those_of_the_code() {
    let page = page();
    let mut compared = 0;
    for row in rows(&page) {
        let [value, _what, place] = row.as_slice() else {
            continue;
        };
        let mut names = place.split('`').filter(|part| !part.trim().is_empty());
        let (Some(file), Some(name)) = (names.next(), names.next()) else {
            continue;
        };
        if !file.starts_with("crates/") {
            continue;
        }
        assert_eq!(constant(file, name), *value, "{name} in {file}");
        compared += 1;
    }
    assert!(compared > 10, "the table was found");
}

/// The first cells of the table that begins with this heading.
fn names<'a>(page: &'a str, heading: &str) -> Vec<&'a str> {
    let start = page.find(&format!("| {heading} | ")).expect("the table is there");
    let table = page[start..].lines().take_while(|line| line.starts_with('|')).skip(2);
    table.filter_map(|line| line.split('`').nth(1)).collect()
}

fn fields<T: Serialize>(behaviour: &T) -> Vec<String> {
    let value = serde_json::to_value(behaviour).expect("it has a JSON form");
    let fields = value.as_object().expect("an object");
    fields.keys().cloned().collect()
}

#[test]
fn the_faults_are_those_of_the_stand_ins() {
    let page = page();
    let all = [
        ("Platform", fields(&platform::Behaviour::default())),
        ("Upstream", fields(&upstream::Behaviour::default())),
        ("Fabric", fields(&fabric::Behaviour::default())),
    ];
    for (heading, mut fields) in all {
        let mut named = names(&page, heading);
        named.sort_unstable();
        fields.sort_unstable();
        assert_eq!(named, fields, "{heading}");
    }
}

#[test]
fn the_headers_are_those_of_the_code() {
    let own = [
        upstream::HEADER_REQUEST,
        upstream::HEADER_CALL,
        upstream::HEADER_SERVICE,
        upstream::HEADER_KIND,
        upstream::HEADER_TIMEOUT,
        upstream::HEADER_NOT_RUN,
    ];
    let daemon =
        fs::read_to_string(root().join("crates/jayquayd/src/upstreams.rs")).expect("the daemon calls upstreams");
    let in_daemon: Vec<&str> = daemon
        .split('"')
        .filter(|text| text.starts_with("x-jayquay-"))
        .collect();
    assert_eq!(names(&page(), "Header"), own);
    assert_eq!(in_daemon, own);
}
