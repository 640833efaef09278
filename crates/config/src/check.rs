//! From a tree to a checked document.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use units::KindName;
use units::Millis;
use units::Revision;
use units::ServiceName;
use units::Slots;
use units::UpstreamName;
use units::Weight;
use units::ZoneName;
use wire::Digest;

use crate::Affinity;
use crate::Change;
use crate::Document;
use crate::Fault;
use crate::Kind;
use crate::Problem;
use crate::Service;
use crate::Sharing;
use crate::Upstream;
use crate::UpstreamState;
use crate::Zone;
use crate::cursor::Cursor;
use crate::cursor::Fields;
use crate::cursor::Report;
use crate::tree;
use crate::tree::Quoting;
use crate::unique::Unique;

/// The bound keeps a slip of the pen from using up the revisions.
const REVISIONS: RangeInclusive<u64> = 1..=1_000_000_000;
const PERSON_LEN: RangeInclusive<usize> = 1..=100;
const REASON_LEN: RangeInclusive<usize> = 1..=500;
const ZONE_COUNT: RangeInclusive<usize> = 1..=100;
const SERVICE_COUNT: RangeInclusive<usize> = 1..=3_000;
const ADDRESS_COUNT: RangeInclusive<usize> = 1..=100;
const KIND_COUNT: RangeInclusive<usize> = 1..=100;
const UPSTREAM_COUNT: RangeInclusive<usize> = 0..=2_000;
const SLOTS: RangeInclusive<u32> = 1..=1_000;
const WEIGHTS: RangeInclusive<u32> = 1..=1_000_000;
const QUEUE_LIMITS: RangeInclusive<u32> = 0..=100_000;
const PERCENTS: RangeInclusive<u32> = 0..=100;
const SLOW_STARTS: RangeInclusive<u32> = 0..=600_000;
const AFFINITIES: [&str; 2] = ["request", "flow"];
const STATES: [&str; 2] = ["active", "draining"];

/// Reads a configuration document, or tells everything that is wrong with it in the order of the text.
pub fn parse(text: &str) -> Result<Document, Vec<Problem>> {
    let tree = tree::read(text, Quoting::Free).map_err(|problem| vec![problem])?;
    let mut report = Report::default();
    let document = document(&Cursor::top(&tree), text, &mut report);
    report.finish(document)
}

impl TryFrom<&str> for Document {
    type Error = Vec<Problem>;

    fn try_from(text: &str) -> Result<Self, Vec<Problem>> {
        parse(text)
    }
}

/// What must be unique in the document, as far as it has been read.
#[derive(Debug, Default)]
struct Seen {
    zones: Unique<ZoneName>,
    services: Unique<ServiceName>,
    service_addresses: Unique<SocketAddr>,
    upstreams: Unique<UpstreamName>,
    upstream_addresses: Unique<SocketAddr>,
}

fn document(top: &Cursor<'_>, text: &str, report: &mut Report) -> Option<Document> {
    let fields = top.fields(&["revision", "change", "zones", "services"], report)?;
    let mut seen = Seen::default();
    let revision = fields
        .required("revision", report)
        .and_then(|value| value.number(REVISIONS, report));
    let change = fields
        .required("change", report)
        .and_then(|value| change(&value, report));
    let zones = fields
        .required("zones", report)
        .and_then(|value| zones(&value, &mut seen, report));
    let services = fields
        .required("services", report)
        .and_then(|value| services(&value, &mut seen, report));
    Some(Document {
        revision: Revision(revision?),
        digest: Digest::of(text.as_bytes()),
        text: text.to_owned(),
        change: change?,
        zones: zones?,
        services: services?,
    })
}

fn change(cursor: &Cursor<'_>, report: &mut Report) -> Option<Change> {
    let fields = cursor.fields(&["author", "approver", "reason"], report)?;
    let author = fields
        .required("author", report)
        .and_then(|value| value.prose(PERSON_LEN, report));
    let approver = approver(&fields, author.as_deref(), report);
    let reason = fields
        .required("reason", report)
        .and_then(|value| value.prose(REASON_LEN, report));
    Some(Change {
        author: author?,
        approver: approver?,
        reason: reason?,
    })
}

fn approver(fields: &Fields<'_>, author: Option<&str>, report: &mut Report) -> Option<String> {
    let value = fields.required("approver", report)?;
    let approver = value.prose(PERSON_LEN, report)?;
    if author.is_some_and(|author| author.to_lowercase() == approver.to_lowercase()) {
        value.note(report, Fault::SameAuthor);
    }
    Some(approver)
}

fn zones(cursor: &Cursor<'_>, seen: &mut Seen, report: &mut Report) -> Option<Vec<Zone>> {
    let mut zones = Vec::new();
    for item in cursor.items(ZONE_COUNT, report)? {
        zones.extend(zone(&item, seen, report));
    }
    Some(zones)
}

fn zone(cursor: &Cursor<'_>, seen: &mut Seen, report: &mut Report) -> Option<Zone> {
    let fields = cursor.fields(&["name", "region"], report)?;
    let name = unique_name(&fields, &mut seen.zones, report);
    let region = fields.required("region", report).and_then(|value| value.name(report));
    Some(Zone {
        name: name?,
        region: region?,
    })
}

fn services(cursor: &Cursor<'_>, seen: &mut Seen, report: &mut Report) -> Option<Vec<Service>> {
    let mut services = Vec::new();
    for item in cursor.items(SERVICE_COUNT, report)? {
        services.extend(service(&item, seen, report));
    }
    Some(services)
}

fn service(cursor: &Cursor<'_>, seen: &mut Seen, report: &mut Report) -> Option<Service> {
    let fields = cursor.fields(&["name", "addresses", "sharing", "kinds", "upstreams"], report)?;
    let name = unique_name(&fields, &mut seen.services, report);
    let addresses = fields
        .required("addresses", report)
        .and_then(|value| addresses(&value, seen, report));
    let sharing = match fields.optional("sharing") {
        Some(value) => sharing(&value, report),
        None => Some(Sharing::default()),
    };
    let kinds = fields.required("kinds", report).and_then(|value| kinds(&value, report));
    let upstreams = fields
        .required("upstreams", report)
        .and_then(|value| upstreams(&value, seen, report));
    Some(Service {
        name: name?,
        addresses: addresses?,
        sharing: sharing?,
        kinds: kinds?,
        upstreams: upstreams?,
    })
}

fn addresses(cursor: &Cursor<'_>, seen: &mut Seen, report: &mut Report) -> Option<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for item in cursor.items(ADDRESS_COUNT, report)? {
        addresses.extend(unique_address(&item, &mut seen.service_addresses, report));
    }
    Some(addresses)
}

fn sharing(cursor: &Cursor<'_>, report: &mut Report) -> Option<Sharing> {
    let known = &[
        "affinity",
        "prefer-local-zone",
        "queue-limit",
        "retry-budget-percent",
        "slow-start-ms",
    ];
    let fields = cursor.fields(known, report)?;
    let mut sharing = Sharing::default();
    if let Some(value) = fields.optional("affinity") {
        sharing.affinity = affinity(&value, report).unwrap_or_default();
    }
    if let Some(value) = fields.optional("prefer-local-zone") {
        sharing.prefer_local_zone = value.flag(report).unwrap_or_default();
    }
    if let Some(value) = fields.optional("queue-limit") {
        sharing.queue_limit = value.number32(QUEUE_LIMITS, report).unwrap_or_default();
    }
    if let Some(value) = fields.optional("retry-budget-percent") {
        sharing.retry_budget_percent = value.number32(PERCENTS, report).unwrap_or_default();
    }
    if let Some(value) = fields.optional("slow-start-ms") {
        sharing.slow_start = Millis(value.number32(SLOW_STARTS, report).unwrap_or_default()).duration();
    }
    Some(sharing)
}

fn affinity(cursor: &Cursor<'_>, report: &mut Report) -> Option<Affinity> {
    let index = cursor.choice(&AFFINITIES, report)?;
    Some([Affinity::Request, Affinity::Flow][index])
}

fn kinds(cursor: &Cursor<'_>, report: &mut Report) -> Option<Vec<Kind>> {
    let mut names = Unique::default();
    let mut kinds = Vec::new();
    for item in cursor.items(KIND_COUNT, report)? {
        kinds.extend(kind(&item, &mut names, report));
    }
    Some(kinds)
}

fn kind(cursor: &Cursor<'_>, names: &mut Unique<KindName>, report: &mut Report) -> Option<Kind> {
    let fields = cursor.fields(&["name", "weight", "idempotent"], report)?;
    let name = unique_name(&fields, names, report);
    let weight = fields
        .required("weight", report)
        .and_then(|value| value.number32(WEIGHTS, report));
    let idempotent = fields
        .required("idempotent", report)
        .and_then(|value| value.flag(report));
    Some(Kind {
        name: name?,
        weight: Weight(weight?),
        idempotent: idempotent?,
    })
}

fn upstreams(cursor: &Cursor<'_>, seen: &mut Seen, report: &mut Report) -> Option<Vec<Upstream>> {
    let mut upstreams = Vec::new();
    for item in cursor.items(UPSTREAM_COUNT, report)? {
        upstreams.extend(upstream(&item, seen, report));
    }
    Some(upstreams)
}

fn upstream(cursor: &Cursor<'_>, seen: &mut Seen, report: &mut Report) -> Option<Upstream> {
    let fields = cursor.fields(&["name", "zone", "address", "slots", "state"], report)?;
    let name = unique_name(&fields, &mut seen.upstreams, report);
    let zone = fields
        .required("zone", report)
        .and_then(|value| known_zone(&value, &seen.zones, report));
    let address = fields
        .required("address", report)
        .and_then(|value| unique_address(&value, &mut seen.upstream_addresses, report));
    let slots = fields
        .required("slots", report)
        .and_then(|value| value.number32(SLOTS, report));
    let state = match fields.optional("state") {
        Some(value) => state(&value, report),
        None => Some(UpstreamState::default()),
    };
    Some(Upstream {
        name: name?,
        zone: zone?,
        address: address?,
        slots: Slots(u16::try_from(slots?).ok()?),
        state: state?,
    })
}

fn state(cursor: &Cursor<'_>, report: &mut Report) -> Option<UpstreamState> {
    let index = cursor.choice(&STATES, report)?;
    Some([UpstreamState::Active, UpstreamState::Draining][index])
}

fn known_zone(cursor: &Cursor<'_>, zones: &Unique<ZoneName>, report: &mut Report) -> Option<ZoneName> {
    let name: ZoneName = cursor.name(report)?;
    if !zones.contains(&name) {
        let known = zones.values().map(ZoneName::to_string).collect();
        cursor.note(report, Fault::NoZone(name.to_string(), known));
    }
    Some(name)
}

/// The name of what `fields` describe, which must be unique among `seen`.
fn unique_name<T>(fields: &Fields<'_>, seen: &mut Unique<T>, report: &mut Report) -> Option<T>
where
    T: std::str::FromStr<Err = units::NameError> + Ord + Clone + std::fmt::Display,
{
    let value = fields.required("name", report)?;
    let name = value.name(report)?;
    seen.add(&name, &value, report);
    Some(name)
}

fn unique_address(cursor: &Cursor<'_>, seen: &mut Unique<SocketAddr>, report: &mut Report) -> Option<SocketAddr> {
    let address = cursor.dialable(report)?;
    seen.add(&address, cursor, report);
    Some(address)
}
