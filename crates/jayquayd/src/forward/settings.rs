//! The settings of a process in flow mode.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use units::InstanceName;
use units::NameError;
use units::ZoneName;

/// The settings as deserialized from the file. Unknown fields are ignored, since a platform may add its own.
#[derive(Debug, Clone, Deserialize)]
struct RawSettings {
    name: String,
    zone: String,
    listen: RawListen,
    store: SocketAddr,
    /// Addresses of instances to contact at startup. The ports are ignored.
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// Maximum duration of a graceful shutdown, in seconds.
    grace_s: f64,
    /// Maximum lifetime of a flow, in seconds.
    max_flow_s: f64,
    #[serde(default = "evacuations")]
    evacuations: bool,
}

/// Operators may evacuate availability zones unless the settings say otherwise.
fn evacuations() -> bool {
    true
}

#[derive(Debug, Clone, Deserialize)]
struct RawListen {
    packets: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    /// The address at which other instances reach `peers`, if it differs.
    advertised: Option<SocketAddr>,
}

/// The listen addresses of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Packets, over UDP. The clients receive packets on the same port number.
    pub packets: SocketAddr,
    /// Readiness checks, over HTTP.
    pub ready: SocketAddr,
    /// Other instances, over UDP and HTTP, and metrics.
    pub peers: SocketAddr,
    /// The address at which other instances reach `peers`. It differs from `peers` behind a port mapping or a proxy.
    pub advertised: SocketAddr,
}

/// The validated settings of a process in flow mode.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance.
    pub name: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Listen addresses.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Hosts of the instances to contact at startup.
    pub seeds: Vec<IpAddr>,
    /// Maximum duration of a graceful shutdown.
    pub grace: Duration,
    /// Maximum lifetime of a flow.
    pub max_flow: Duration,
    /// Whether operators of this platform evacuate availability zones. If not, the store is not asked for evacuations,
    /// which saves one long-polling call per zone.
    pub evacuations: bool,
}

impl Settings {
    /// Whether this instance is one of the configured seeds.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.listen.advertised.ip())
    }
}

/// Error in the settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The text is not YAML with the expected fields.
    Yaml(String),
    /// The instance name is invalid.
    Name(NameError),
    /// The name of the availability zone is invalid.
    Zone(NameError),
    /// A duration is negative or too long.
    Duration(&'static str, f64),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Yaml(error) => f.write_str(error),
            Self::Name(error) => write!(f, "name: {error}"),
            Self::Zone(error) => write!(f, "zone: {error}"),
            Self::Duration(field, value) => write!(f, "{field}: {value} is not a valid duration in seconds"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        Ok(Self {
            name: raw.name.parse().map_err(SettingsError::Name)?,
            zone: raw.zone.parse().map_err(SettingsError::Zone)?,
            listen: Listen {
                packets: raw.listen.packets,
                ready: raw.listen.ready,
                peers: raw.listen.peers,
                advertised: raw.listen.advertised.unwrap_or(raw.listen.peers),
            },
            store: raw.store,
            seeds: raw.seeds.iter().map(SocketAddr::ip).collect(),
            grace: parse_duration("grace_s", raw.grace_s)?,
            max_flow: parse_duration("max_flow_s", raw.max_flow_s)?,
            evacuations: raw.evacuations,
        })
    }
}

fn parse_duration(field: &'static str, seconds: f64) -> Result<Duration, SettingsError> {
    Duration::try_from_secs_f64(seconds).map_err(|_error| SettingsError::Duration(field, seconds))
}

/// Parses and validates settings in YAML.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let raw: RawSettings = serde_saphyr::from_str(text).map_err(|error| SettingsError::Yaml(error.to_string()))?;
    Settings::try_from(raw)
}
