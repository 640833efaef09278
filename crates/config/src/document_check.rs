//! Validates a YAML tree as a configuration document.

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
use crate::Kind;
use crate::Problem;
use crate::ProblemKind;
use crate::Service;
use crate::Sharing;
use crate::Upstream;
use crate::UpstreamState;
use crate::Zone;
use crate::cursor::Cursor;
use crate::cursor::Report;
use crate::tree;
use crate::tree::ErrorDetail;
use crate::unique::UniqueValues;

/// Revisions only increase, so the upper bound keeps a mistyped one from exhausting the range.
const REVISION_RANGE: RangeInclusive<u64> = 1..=1_000_000_000;
const PERSON_NAME_LEN: RangeInclusive<usize> = 1..=100;
const REASON_LEN: RangeInclusive<usize> = 1..=500;
const ZONE_COUNT: RangeInclusive<usize> = 1..=100;
const SERVICE_COUNT: RangeInclusive<usize> = 1..=3_000;
const ADDRESS_COUNT: RangeInclusive<usize> = 1..=100;
const KIND_COUNT: RangeInclusive<usize> = 1..=100;
const UPSTREAM_COUNT: RangeInclusive<usize> = 0..=2_000;
const SLOT_RANGE: RangeInclusive<u32> = 1..=1_000;
const WEIGHT_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const QUEUE_LIMIT_RANGE: RangeInclusive<u32> = 0..=100_000;
const RETRY_BUDGET_PERCENT_RANGE: RangeInclusive<u32> = 0..=100;
const SLOW_START_MS_RANGE: RangeInclusive<u32> = 0..=600_000;
const AFFINITIES: [&str; 2] = ["request", "flow"];
const UPSTREAM_STATES: [&str; 2] = ["active", "draining"];

/// Parses and validates a configuration document. On failure, returns all problems in the order of the text.
pub fn parse(text: &str) -> Result<Document, Vec<Problem>> {
    let tree = tree::parse(text, ErrorDetail::Full).map_err(|problem| vec![problem])?;
    let mut report = Report::default();
    let document = document(&Cursor::root(&tree), text, &mut report);
    report.finish(document)
}

impl TryFrom<&str> for Document {
    type Error = Vec<Problem>;

    fn try_from(text: &str) -> Result<Self, Vec<Problem>> {
        parse(text)
    }
}

/// The values read so far that must be unique within the document.
#[derive(Debug, Default)]
struct Seen {
    zones: UniqueValues<ZoneName>,
    services: UniqueValues<ServiceName>,
    service_addresses: UniqueValues<SocketAddr>,
    upstreams: UniqueValues<UpstreamName>,
    upstream_addresses: UniqueValues<SocketAddr>,
}

fn document(root: &Cursor<'_>, text: &str, report: &mut Report) -> Option<Document> {
    let fields = root.fields(&["revision", "change", "zones", "services"], report)?;
    let mut seen = Seen::default();
    let revision = fields.read("revision", report, |value, report| value.number(REVISION_RANGE, report));
    let change = fields.read("change", report, change);
    let zones = fields.read("zones", report, |value, report| zones(value, &mut seen, report));
    let services = fields.read("services", report, |value, report| services(value, &mut seen, report));
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
    let author = fields.read("author", report, |value, report| {
        value.free_text(PERSON_NAME_LEN, report)
    });
    let approver = fields.read("approver", report, |value, report| {
        approver(value, author.as_deref(), report)
    });
    let reason = fields.read("reason", report, |value, report| value.free_text(REASON_LEN, report));
    Some(Change {
        author: author?,
        approver: approver?,
        reason: reason?,
    })
}

fn approver(value: &Cursor<'_>, author: Option<&str>, report: &mut Report) -> Option<String> {
    let approver = value.free_text(PERSON_NAME_LEN, report)?;
    if author.is_some_and(|author| author.to_lowercase() == approver.to_lowercase()) {
        value.add_problem(report, ProblemKind::SelfApproval);
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
    let name = fields.read("name", report, |value, report| {
        value.unique_name(&mut seen.zones, report)
    });
    let region = fields.read("region", report, Cursor::name);
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
    let name = fields.read("name", report, |value, report| {
        value.unique_name(&mut seen.services, report)
    });
    let addresses = fields.read("addresses", report, |value, report| addresses(value, seen, report));
    let sharing = fields.read_or("sharing", Sharing::default(), report, sharing);
    let kinds = fields.read("kinds", report, kinds);
    let upstreams = fields.read("upstreams", report, |value, report| upstreams(value, seen, report));
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
        addresses.extend(item.unique_address(&mut seen.service_addresses, report));
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
    let default = Sharing::default();
    let number = |range| move |value: &Cursor<'_>, report: &mut Report| value.number_u32(range, report);
    let affinity = fields.read_or("affinity", default.affinity, report, affinity);
    let prefer_local_zone = fields.read_or("prefer-local-zone", default.prefer_local_zone, report, Cursor::boolean);
    let queue_limit = fields.read_or("queue-limit", default.queue_limit, report, number(QUEUE_LIMIT_RANGE));
    let retry_budget = fields.read_or(
        "retry-budget-percent",
        default.retry_budget_percent,
        report,
        number(RETRY_BUDGET_PERCENT_RANGE),
    );
    let slow_start = fields.read_or("slow-start-ms", default.slow_start, report, |value, report| {
        let millis = value.number_u32(SLOW_START_MS_RANGE, report)?;
        Some(Millis(millis).duration())
    });
    Some(Sharing {
        affinity: affinity?,
        prefer_local_zone: prefer_local_zone?,
        queue_limit: queue_limit?,
        retry_budget_percent: retry_budget?,
        slow_start: slow_start?,
    })
}

fn affinity(cursor: &Cursor<'_>, report: &mut Report) -> Option<Affinity> {
    let index = cursor.choice(&AFFINITIES, report)?;
    Some([Affinity::Request, Affinity::Flow][index])
}

fn kinds(cursor: &Cursor<'_>, report: &mut Report) -> Option<Vec<Kind>> {
    let mut names = UniqueValues::default();
    let mut kinds = Vec::new();
    for item in cursor.items(KIND_COUNT, report)? {
        kinds.extend(kind(&item, &mut names, report));
    }
    Some(kinds)
}

fn kind(cursor: &Cursor<'_>, names: &mut UniqueValues<KindName>, report: &mut Report) -> Option<Kind> {
    let fields = cursor.fields(&["name", "weight", "idempotent"], report)?;
    let name = fields.read("name", report, |value, report| value.unique_name(names, report));
    let weight = fields.read("weight", report, |value, report| value.number_u32(WEIGHT_RANGE, report));
    let idempotent = fields.read("idempotent", report, Cursor::boolean);
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
    let name = fields.read("name", report, |value, report| {
        value.unique_name(&mut seen.upstreams, report)
    });
    let zone = fields.read("zone", report, |value, report| known_zone(value, &seen.zones, report));
    let address = fields.read("address", report, |value, report| {
        value.unique_address(&mut seen.upstream_addresses, report)
    });
    let slots = fields.read("slots", report, |value, report| value.number_u32(SLOT_RANGE, report));
    let state = fields.read_or("state", UpstreamState::default(), report, upstream_state);
    Some(Upstream {
        name: name?,
        zone: zone?,
        address: address?,
        slots: Slots(u16::try_from(slots?).ok()?),
        state: state?,
    })
}

fn upstream_state(cursor: &Cursor<'_>, report: &mut Report) -> Option<UpstreamState> {
    let index = cursor.choice(&UPSTREAM_STATES, report)?;
    Some([UpstreamState::Active, UpstreamState::Draining][index])
}

fn known_zone(cursor: &Cursor<'_>, zones: &UniqueValues<ZoneName>, report: &mut Report) -> Option<ZoneName> {
    let name: ZoneName = cursor.name(report)?;
    if !zones.contains(&name) {
        let known = zones.values().map(ZoneName::to_string).collect();
        cursor.add_problem(report, ProblemKind::UnknownZone(name.to_string(), known));
    }
    Some(name)
}
