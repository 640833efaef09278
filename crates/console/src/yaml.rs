//! Serialises a draft as the YAML text of a document.
//!
//! Every value is written, including defaults, so that the text describes the configuration completely. An invalid
//! value is written such that validation reports it at its own path and nowhere else.

use std::fmt;

use units::Revision;

use crate::draft::Draft;
use crate::draft::Kind;
use crate::draft::Service;
use crate::draft::Upstream;
use crate::draft::Zone;

/// Serialises a draft as the document with this revision.
pub fn write(draft: &Draft, revision: Revision) -> String {
    let change = &draft.change;
    let mut lines = vec![
        format!("revision: {revision}"),
        "change:".to_owned(),
        format!("  author: {}", Quoted(&change.author)),
        format!("  approver: {}", Quoted(&change.approver)),
        format!("  reason: {}", Quoted(&change.reason)),
        String::new(),
    ];
    list("", "zones", &draft.zones, zone, &mut lines);
    if draft.services.is_empty() {
        lines.push("services: []".to_owned());
        return join(&lines);
    }
    lines.push("services:".to_owned());
    for item in &draft.services {
        service(item, &mut lines);
    }
    join(&lines)
}

fn join(lines: &[String]) -> String {
    let text = lines.join("\n");
    format!("{}\n", text.trim_end())
}

fn service(service: &Service, lines: &mut Vec<String>) {
    let addresses: Vec<String> = service
        .addresses
        .iter()
        .map(|address| Quoted(address).to_string())
        .collect();
    let sharing = &service.sharing;
    lines.push(format!("  - name: {}", ScalarText(&service.name)));
    lines.push(format!("    addresses: [{}]", addresses.join(", ")));
    lines.push("    sharing:".to_owned());
    lines.push(format!("      affinity: {}", ScalarText(&sharing.affinity)));
    lines.push(format!(
        "      prefer-local-zone: {}",
        BooleanText(&sharing.prefer_local_zone)
    ));
    lines.push(format!("      queue-limit: {}", NumberText(&sharing.queue_limit)));
    lines.push(format!(
        "      retry-budget-percent: {}",
        NumberText(&sharing.retry_budget_percent)
    ));
    lines.push(format!("      slow-start-ms: {}", NumberText(&sharing.slow_start_ms)));
    list("    ", "kinds", &service.kinds, kind, lines);
    list("    ", "upstreams", &service.upstreams, upstream, lines);
    lines.push(String::new());
}

fn list<T>(indent: &str, name: &str, items: &[T], write: fn(&T) -> String, lines: &mut Vec<String>) {
    if items.is_empty() {
        lines.push(format!("{indent}{name}: []"));
        return;
    }
    lines.push(format!("{indent}{name}:"));
    for item in items {
        lines.push(format!("{indent}  - {}", write(item)));
    }
}

fn zone(zone: &Zone) -> String {
    let Zone { name, region } = zone;
    format!("{{name: {}, region: {}}}", ScalarText(name), ScalarText(region))
}

fn kind(kind: &Kind) -> String {
    let Kind {
        name,
        weight,
        idempotent,
    } = kind;
    format!(
        "{{name: {}, weight: {}, idempotent: {}}}",
        ScalarText(name),
        NumberText(weight),
        BooleanText(idempotent)
    )
}

fn upstream(upstream: &Upstream) -> String {
    let name = ScalarText(&upstream.name);
    let zone = ScalarText(&upstream.zone);
    let address = Quoted(&upstream.address);
    let slots = NumberText(&upstream.slots);
    let state = ScalarText(&upstream.state);
    format!("{{name: {name}, zone: {zone}, address: {address}, slots: {slots}, state: {state}}}")
}

/// Text in double quotes.
struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("\"")?;
        for c in self.0.chars() {
            match c {
                '"' | '\\' => write!(f, "\\{c}")?,
                // Line breaks and invisible characters that YAML or a reader could misinterpret.
                c if c.is_control() || matches!(c, '\u{2028}' | '\u{2029}' | '\u{feff}') => {
                    write!(f, "\\U{:08x}", u32::from(c))?;
                }
                c => write!(f, "{c}")?,
            }
        }
        f.write_str("\"")
    }
}

/// A name, quoted if YAML could read it as another type or as syntax.
struct ScalarText<'a>(&'a str);

impl fmt::Display for ScalarText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let starts_with_letter = self.0.starts_with(|c: char| c.is_ascii_lowercase());
        let is_plain = self
            .0
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        if starts_with_letter && is_plain && !matches!(self.0, "true" | "false" | "null") {
            return f.write_str(self.0);
        }
        Quoted(self.0).fmt(f)
    }
}

/// A whole number, or quoted text that validation rejects.
struct NumberText<'a>(&'a str);

impl fmt::Display for NumberText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.parse::<u64>() {
            Ok(number) => number.fmt(f),
            Err(_) => Quoted(self.0).fmt(f),
        }
    }
}

/// `true` or `false`, or quoted text that validation rejects.
struct BooleanText<'a>(&'a str);

impl fmt::Display for BooleanText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            "true" | "false" => f.write_str(self.0),
            other => Quoted(other).fmt(f),
        }
    }
}
