//! From a tree to checked settings. No message repeats a secret.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use token::Secret;
use units::Bytes;
use units::InstanceName;

use crate::Fault;
use crate::Problem;
use crate::cursor::Cursor;
use crate::cursor::Fields;
use crate::cursor::Report;
use crate::settings::Advertise;
use crate::settings::Limits;
use crate::settings::Listen;
use crate::settings::Secrets;
use crate::settings::Seed;
use crate::settings::Settings;
use crate::tree;
use crate::tree::Quoting;
use crate::unique::Unique;

const PLATFORM_COUNT: RangeInclusive<usize> = 1..=16;
const PEER_COUNT: RangeInclusive<usize> = 0..=1_000;
const PREVIOUS_COUNT: RangeInclusive<usize> = 0..=4;
const COUNTS: RangeInclusive<u32> = 1..=10_000_000;
const SESSIONS: RangeInclusive<u32> = 1..=10_000;
const ANSWER_BYTES: RangeInclusive<u64> = 1_000_000..=1_000_000_000_000;
const STOPS: RangeInclusive<u64> = 100..=3_600_000;
const LIFETIMES: RangeInclusive<u64> = 60..=2_592_000;
const DEFAULT_STOP: Duration = Duration::from_secs(30);
const DEFAULT_LIFETIME: Duration = Duration::from_hours(24);

/// Reads the settings of an entry instance, or tells everything that is wrong with them in the order of the text.
pub fn parse_settings(text: &str) -> Result<Settings, Vec<Problem>> {
    let tree = tree::read(text, Quoting::Secret).map_err(|problem| vec![problem])?;
    let mut report = Report::default();
    let settings = settings(&Cursor::top(&tree), &mut report);
    report.finish(settings)
}

impl TryFrom<&str> for Settings {
    type Error = Vec<Problem>;

    fn try_from(text: &str) -> Result<Self, Vec<Problem>> {
        parse_settings(text)
    }
}

fn settings(top: &Cursor<'_>, report: &mut Report) -> Option<Settings> {
    let known = &[
        "name",
        "zone",
        "listen",
        "advertise",
        "platform",
        "peers",
        "secrets",
        "limits",
        "stop-within-ms",
        "token-lifetime-s",
    ];
    let fields = top.fields(known, report)?;
    let name = fields.required("name", report).and_then(|value| value.name(report));
    let zone = fields.required("zone", report).and_then(|value| value.name(report));
    let advertise = match fields.optional("advertise") {
        Some(value) => advertise(&value, report),
        None => Some(Advertise::default()),
    };
    let listen = fields
        .required("listen", report)
        .and_then(|value| listen(&value, advertise.as_ref(), report));
    let platform = fields
        .required("platform", report)
        .and_then(|value| platform(&value, report));
    let peers = match fields.optional("peers") {
        Some(value) => peers(&value, report),
        None => Some(Vec::new()),
    };
    let secrets = fields
        .required("secrets", report)
        .and_then(|value| secrets(&value, report));
    let limits = match fields.optional("limits") {
        Some(value) => limits(&value, report),
        None => Some(Limits::default()),
    };
    let stop_within = match fields.optional("stop-within-ms") {
        Some(value) => value.number(STOPS, report).map(Duration::from_millis),
        None => Some(DEFAULT_STOP),
    };
    let token_lifetime = match fields.optional("token-lifetime-s") {
        Some(value) => value.number(LIFETIMES, report).map(Duration::from_secs),
        None => Some(DEFAULT_LIFETIME),
    };
    Some(Settings {
        name: name?,
        zone: zone?,
        listen: listen?,
        advertise: advertise?,
        platform: platform?,
        peers: peers?,
        secrets: secrets?,
        limits: limits?,
        stop_within: stop_within?,
        token_lifetime: token_lifetime?,
    })
}

fn advertise(cursor: &Cursor<'_>, report: &mut Report) -> Option<Advertise> {
    let fields = cursor.fields(&["callers", "instances", "admin"], report)?;
    let mut address = |name| fields.optional(name).and_then(|value| value.dialable(report));
    Some(Advertise {
        callers: address("callers"),
        instances: address("instances"),
        admin: address("admin"),
    })
}

fn listen(cursor: &Cursor<'_>, advertise: Option<&Advertise>, report: &mut Report) -> Option<Listen> {
    let fields = cursor.fields(&["callers", "instances", "admin", "admin-on-any-address"], report)?;
    let callers = fields
        .required("callers", report)
        .and_then(|value| value.address(report));
    let instances = instances(&fields, advertise, report);
    let admin = admin(&fields, report);
    Some(Listen {
        callers: callers?,
        instances: instances?,
        admin: admin?,
    })
}

/// Other instances must be told an address that they can dial.
fn instances(fields: &Fields<'_>, advertise: Option<&Advertise>, report: &mut Report) -> Option<SocketAddr> {
    let value = fields.required("instances", report)?;
    let address = value.address(report)?;
    let named = advertise.is_none_or(|advertise| advertise.instances.is_some());
    if address.ip().is_unspecified() && !named {
        value.note(report, Fault::Unadvertised);
    }
    Some(address)
}

fn admin(fields: &Fields<'_>, report: &mut Report) -> Option<SocketAddr> {
    let anywhere = match fields.optional("admin-on-any-address") {
        Some(value) => value.flag(report)?,
        None => false,
    };
    let value = fields.required("admin", report)?;
    let address = value.address(report)?;
    if !address.ip().is_loopback() && !anywhere {
        value.note(report, Fault::Exposed);
    }
    Some(address)
}

fn platform(cursor: &Cursor<'_>, report: &mut Report) -> Option<Vec<SocketAddr>> {
    let mut seen = Unique::default();
    let mut addresses = Vec::new();
    for item in cursor.items(PLATFORM_COUNT, report)? {
        let Some(address) = item.dialable(report) else {
            continue;
        };
        seen.add(&address, &item, report);
        addresses.push(address);
    }
    Some(addresses)
}

fn peers(cursor: &Cursor<'_>, report: &mut Report) -> Option<Vec<Seed>> {
    let mut names = Unique::default();
    let mut seeds = Vec::new();
    for item in cursor.items(PEER_COUNT, report)? {
        seeds.extend(seed(&item, &mut names, report));
    }
    Some(seeds)
}

fn seed(cursor: &Cursor<'_>, names: &mut Unique<InstanceName>, report: &mut Report) -> Option<Seed> {
    let fields = cursor.fields(&["name", "zone", "address"], report)?;
    let name = fields.required("name", report).and_then(|value| {
        let name: InstanceName = value.name(report)?;
        names.add(&name, &value, report);
        Some(name)
    });
    let zone = fields.required("zone", report).and_then(|value| value.name(report));
    let address = fields
        .required("address", report)
        .and_then(|value| value.dialable(report));
    Some(Seed {
        name: name?,
        zone: zone?,
        address: address?,
    })
}

fn secrets(cursor: &Cursor<'_>, report: &mut Report) -> Option<Secrets> {
    let fields = cursor.fields(&["current", "previous"], report)?;
    let current = fields
        .required("current", report)
        .and_then(|value| secret(&value, report));
    let mut previous = Vec::new();
    if let Some(value) = fields.optional("previous") {
        for item in value.items(PREVIOUS_COUNT, report)? {
            previous.extend(secret(&item, report));
        }
    }
    let current = current?;
    Some(Secrets { current, previous })
}

fn secret(cursor: &Cursor<'_>, report: &mut Report) -> Option<Secret> {
    match cursor.text(report)?.parse() {
        Ok(secret) => Some(secret),
        Err(error) => {
            cursor.note(report, Fault::Secret(error));
            None
        }
    }
}

fn limits(cursor: &Cursor<'_>, report: &mut Report) -> Option<Limits> {
    let known = &[
        "flows",
        "requests",
        "answer-bytes",
        "sessions",
        "packets-per-second-per-caller",
        "packets-per-second-in-all",
    ];
    let fields = cursor.fields(known, report)?;
    let mut limits = Limits::default();
    if let Some(value) = fields.optional("flows") {
        limits.flows = value.number32(COUNTS, report).unwrap_or_default();
    }
    if let Some(value) = fields.optional("requests") {
        limits.requests = value.number32(COUNTS, report).unwrap_or_default();
    }
    if let Some(value) = fields.optional("answer-bytes") {
        limits.answer_bytes = Bytes(value.number(ANSWER_BYTES, report).unwrap_or_default());
    }
    if let Some(value) = fields.optional("sessions") {
        limits.sessions = value.number32(SESSIONS, report).unwrap_or_default();
    }
    if let Some(value) = fields.optional("packets-per-second-per-caller") {
        limits.packets_per_second = value.number32(COUNTS, report).unwrap_or_default();
    }
    if let Some(value) = fields.optional("packets-per-second-in-all") {
        limits.total_packets_per_second = value.number32(COUNTS, report).unwrap_or_default();
    }
    Some(limits)
}
