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
    let stop_within = fields.read_or("stop-within-ms", DEFAULT_STOP, report, stop_within);
    let token_lifetime = fields.read_or("token-lifetime-s", DEFAULT_LIFETIME, report, token_lifetime);
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
    value.number(STOPS, report).map(Duration::from_millis)
}

fn token_lifetime(value: &Cursor<'_>, report: &mut Report) -> Option<Duration> {
    value.number(LIFETIMES, report).map(Duration::from_secs)
}

fn advertise(cursor: &Cursor<'_>, report: &mut Report) -> Option<Advertise> {
    let fields = cursor.fields(&["callers", "instances", "admin"], report)?;
    let dialable = |value: &Cursor<'_>, report: &mut Report| value.dialable(report).map(Some);
    let callers = fields.read_or("callers", None, report, dialable);
    let instances = fields.read_or("instances", None, report, dialable);
    let admin = fields.read_or("admin", None, report, dialable);
    // One bad address must not hide that another one is missing, so the rest is kept.
    Some(Advertise {
        callers: callers.flatten(),
        instances: instances.flatten(),
        admin: admin.flatten(),
    })
}

fn listen(cursor: &Cursor<'_>, advertise: Option<&Advertise>, report: &mut Report) -> Option<Listen> {
    let fields = cursor.fields(&["callers", "instances", "admin", "admin-on-any-address"], report)?;
    let callers = fields.read("callers", report, Cursor::address);
    let instances = fields.read("instances", report, |value, report| instances(value, advertise, report));
    let anywhere = fields.read_or("admin-on-any-address", false, report, Cursor::flag);
    let admin = fields.read("admin", report, |value, report| admin(value, anywhere, report));
    Some(Listen {
        callers: callers?,
        instances: instances?,
        admin: admin?,
    })
}

/// Other instances must be told an address that they can dial.
fn instances(value: &Cursor<'_>, advertise: Option<&Advertise>, report: &mut Report) -> Option<SocketAddr> {
    let address = value.address(report)?;
    let named = advertise.is_none_or(|advertise| advertise.instances.is_some());
    if address.ip().is_unspecified() && !named {
        value.note(report, Fault::Unadvertised);
    }
    Some(address)
}

/// Operators' endpoints leave loopback only on purpose. `anywhere` is `None` if what it says is a problem itself.
fn admin(value: &Cursor<'_>, anywhere: Option<bool>, report: &mut Report) -> Option<SocketAddr> {
    let address = value.address(report)?;
    if !address.ip().is_loopback() && anywhere == Some(false) {
        value.note(report, Fault::Exposed);
    }
    Some(address)
}

fn platform(cursor: &Cursor<'_>, report: &mut Report) -> Option<Vec<SocketAddr>> {
    let mut seen = Unique::default();
    let mut addresses = Vec::new();
    for item in cursor.items(PLATFORM_COUNT, report)? {
        addresses.extend(item.unique_address(&mut seen, report));
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
    let name = fields.read("name", report, |value, report| value.unique_name(names, report));
    let zone = fields.read("zone", report, Cursor::name);
    let address = fields.read("address", report, Cursor::dialable);
    Some(Seed {
        name: name?,
        zone: zone?,
        address: address?,
    })
}

fn secrets(cursor: &Cursor<'_>, report: &mut Report) -> Option<Secrets> {
    let fields = cursor.fields(&["current", "previous"], report)?;
    let current = fields.read("current", report, secret);
    let previous = fields.read_or("previous", Vec::new(), report, previous);
    Some(Secrets {
        current: current?,
        previous: previous?,
    })
}

fn previous(cursor: &Cursor<'_>, report: &mut Report) -> Option<Vec<Secret>> {
    let mut secrets = Vec::new();
    for item in cursor.items(PREVIOUS_COUNT, report)? {
        secrets.extend(secret(&item, report));
    }
    Some(secrets)
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
    let default = Limits::default();
    let count = |value: &Cursor<'_>, report: &mut Report| value.number32(COUNTS, report);
    let flows = fields.read_or("flows", default.flows, report, count);
    let requests = fields.read_or("requests", default.requests, report, count);
    let answer_bytes = fields.read_or("answer-bytes", default.answer_bytes, report, |value, report| {
        value.number(ANSWER_BYTES, report).map(Bytes)
    });
    let sessions = fields.read_or("sessions", default.sessions, report, |value, report| {
        value.number32(SESSIONS, report)
    });
    let caller = default.packets_per_second;
    let caller = fields.read_or("packets-per-second-per-caller", caller, report, count);
    let total = default.total_packets_per_second;
    let total = fields.read_or("packets-per-second-in-all", total, report, count);
    Some(Limits {
        flows: flows?,
        requests: requests?,
        answer_bytes: answer_bytes?,
        sessions: sessions?,
        packets_per_second: caller?,
        total_packets_per_second: total?,
    })
}
