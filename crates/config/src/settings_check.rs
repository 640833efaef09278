//! Validates a YAML tree as settings. No error message contains a secret.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use token::Secret;
use units::Bytes;
use units::InstanceName;

use crate::Problem;
use crate::ProblemKind;
use crate::cursor::Cursor;
use crate::cursor::Report;
use crate::settings::Advertise;
use crate::settings::Limits;
use crate::settings::Listen;
use crate::settings::Secrets;
use crate::settings::Seed;
use crate::settings::Settings;
use crate::tree;
use crate::tree::ErrorDetail;
use crate::unique::UniqueValues;

const PLATFORM_ADDRESS_COUNT: RangeInclusive<usize> = 1..=16;
const PEER_COUNT: RangeInclusive<usize> = 0..=1_000;
const PREVIOUS_SECRET_COUNT: RangeInclusive<usize> = 0..=4;
const LIMIT_RANGE: RangeInclusive<u32> = 1..=10_000_000;
const SESSION_LIMIT_RANGE: RangeInclusive<u32> = 1..=10_000;
const ANSWER_BYTES_RANGE: RangeInclusive<u64> = 1_000_000..=1_000_000_000_000;
const STOP_WITHIN_MS_RANGE: RangeInclusive<u64> = 100..=3_600_000;
const TOKEN_LIFETIME_S_RANGE: RangeInclusive<u64> = 60..=2_592_000;
const DEFAULT_STOP_WITHIN: Duration = Duration::from_secs(30);
const DEFAULT_TOKEN_LIFETIME: Duration = Duration::from_hours(24);

/// Parses and validates the settings of an entry instance. On failure, returns all problems in the order of the text.
pub fn parse_settings(text: &str) -> Result<Settings, Vec<Problem>> {
    let tree = tree::parse(text, ErrorDetail::Redacted).map_err(|problem| vec![problem])?;
    let mut report = Report::default();
    let settings = settings(&Cursor::root(&tree), &mut report);
    report.finish(settings)
}

impl TryFrom<&str> for Settings {
    type Error = Vec<Problem>;

    fn try_from(text: &str) -> Result<Self, Vec<Problem>> {
        parse_settings(text)
    }
}

fn settings(root: &Cursor<'_>, report: &mut Report) -> Option<Settings> {
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
    let fields = root.fields(known, report)?;
    let name = fields.read("name", report, Cursor::name);
    let zone = fields.read("zone", report, Cursor::name);
    let advertise = fields.read_or("advertise", Advertise::default(), report, advertise);
    let listen = fields.read("listen", report, |value, report| {
        listen(value, advertise.as_ref(), report)
    });
    let platform = fields.read("platform", report, platform);
    let peers = fields.read_or("peers", Vec::new(), report, peers);
    let secrets = fields.read("secrets", report, secrets);
    let limits = fields.read_or("limits", Limits::default(), report, limits);
    let stop_within = fields.read_or("stop-within-ms", DEFAULT_STOP_WITHIN, report, stop_within);
    let token_lifetime = fields.read_or("token-lifetime-s", DEFAULT_TOKEN_LIFETIME, report, token_lifetime);
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

fn stop_within(value: &Cursor<'_>, report: &mut Report) -> Option<Duration> {
    value.number(STOP_WITHIN_MS_RANGE, report).map(Duration::from_millis)
}

fn token_lifetime(value: &Cursor<'_>, report: &mut Report) -> Option<Duration> {
    value.number(TOKEN_LIFETIME_S_RANGE, report).map(Duration::from_secs)
}

fn advertise(cursor: &Cursor<'_>, report: &mut Report) -> Option<Advertise> {
    let fields = cursor.fields(&["callers", "instances", "admin"], report)?;
    let dialable = |value: &Cursor<'_>, report: &mut Report| value.dialable_address(report).map(Some);
    let callers = fields.read_or("callers", None, report, dialable);
    let instances = fields.read_or("instances", None, report, dialable);
    let admin = fields.read_or("admin", None, report, dialable);
    // An invalid address counts as absent but does not discard the others. Otherwise `listen` could not be checked
    // for an address that is missing here.
    Some(Advertise {
        callers: callers.flatten(),
        instances: instances.flatten(),
        admin: admin.flatten(),
    })
}

fn listen(cursor: &Cursor<'_>, advertise: Option<&Advertise>, report: &mut Report) -> Option<Listen> {
    let fields = cursor.fields(&["callers", "instances", "admin", "admin-on-any-address"], report)?;
    let callers = fields.read("callers", report, Cursor::address);
    let instances = fields.read("instances", report, |value, report| {
        instances_address(value, advertise, report)
    });
    let any_address_allowed = fields.read_or("admin-on-any-address", false, report, Cursor::boolean);
    let admin = fields.read("admin", report, |value, report| {
        admin_address(value, any_address_allowed, report)
    });
    Some(Listen {
        callers: callers?,
        instances: instances?,
        admin: admin?,
    })
}

/// Checks that other instances get an address that they can connect to: an unspecified one needs `advertise`.
fn instances_address(value: &Cursor<'_>, advertise: Option<&Advertise>, report: &mut Report) -> Option<SocketAddr> {
    let address = value.address(report)?;
    let is_advertised = advertise.is_none_or(|advertise| advertise.instances.is_some());
    if address.ip().is_unspecified() && !is_advertised {
        value.add_problem(report, ProblemKind::NotAdvertised);
    }
    Some(address)
}

/// Checks that the operators' endpoints are on loopback, unless the settings explicitly allow other addresses.
/// `any_address_allowed` is `None` if that setting is itself invalid.
fn admin_address(value: &Cursor<'_>, any_address_allowed: Option<bool>, report: &mut Report) -> Option<SocketAddr> {
    let address = value.address(report)?;
    if !address.ip().is_loopback() && any_address_allowed == Some(false) {
        value.add_problem(report, ProblemKind::AdminNotLoopback);
    }
    Some(address)
}

fn platform(cursor: &Cursor<'_>, report: &mut Report) -> Option<Vec<SocketAddr>> {
    let mut seen = UniqueValues::default();
    let mut addresses = Vec::new();
    for item in cursor.items(PLATFORM_ADDRESS_COUNT, report)? {
        addresses.extend(item.unique_address(&mut seen, report));
    }
    Some(addresses)
}

fn peers(cursor: &Cursor<'_>, report: &mut Report) -> Option<Vec<Seed>> {
    let mut names = UniqueValues::default();
    let mut seeds = Vec::new();
    for item in cursor.items(PEER_COUNT, report)? {
        seeds.extend(seed(&item, &mut names, report));
    }
    Some(seeds)
}

fn seed(cursor: &Cursor<'_>, names: &mut UniqueValues<InstanceName>, report: &mut Report) -> Option<Seed> {
    let fields = cursor.fields(&["name", "zone", "address"], report)?;
    let name = fields.read("name", report, |value, report| value.unique_name(names, report));
    let zone = fields.read("zone", report, Cursor::name);
    let address = fields.read("address", report, Cursor::dialable_address);
    Some(Seed {
        name: name?,
        zone: zone?,
        address: address?,
    })
}

fn secrets(cursor: &Cursor<'_>, report: &mut Report) -> Option<Secrets> {
    let fields = cursor.fields(&["current", "previous"], report)?;
    let current = fields.read("current", report, secret);
    let previous = fields.read_or("previous", Vec::new(), report, previous_secrets);
    Some(Secrets {
        current: current?,
        previous: previous?,
    })
}

fn previous_secrets(cursor: &Cursor<'_>, report: &mut Report) -> Option<Vec<Secret>> {
    let mut secrets = Vec::new();
    for item in cursor.items(PREVIOUS_SECRET_COUNT, report)? {
        secrets.extend(secret(&item, report));
    }
    Some(secrets)
}

fn secret(cursor: &Cursor<'_>, report: &mut Report) -> Option<Secret> {
    match cursor.text(report)?.parse() {
        Ok(secret) => Some(secret),
        Err(error) => {
            cursor.add_problem(report, ProblemKind::Secret(error));
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
    let default = Limits::default();
    let count = |value: &Cursor<'_>, report: &mut Report| value.number_u32(LIMIT_RANGE, report);
    let flows = fields.read_or("flows", default.flows, report, count);
    let requests = fields.read_or("requests", default.requests, report, count);
    let answer_bytes = fields.read_or("answer-bytes", default.answer_bytes, report, |value, report| {
        value.number(ANSWER_BYTES_RANGE, report).map(Bytes)
    });
    let sessions = fields.read_or("sessions", default.sessions, report, |value, report| {
        value.number_u32(SESSION_LIMIT_RANGE, report)
    });
    let per_caller = default.packets_per_second;
    let per_caller = fields.read_or("packets-per-second-per-caller", per_caller, report, count);
    let total = default.total_packets_per_second;
    let total = fields.read_or("packets-per-second-in-all", total, report, count);
    Some(Limits {
        flows: flows?,
        requests: requests?,
        answer_bytes: answer_bytes?,
        sessions: sessions?,
        packets_per_second: per_caller?,
        total_packets_per_second: total?,
    })
}
