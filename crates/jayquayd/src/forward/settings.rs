//! The settings of a process in flow mode.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use units::InstanceName;
use units::NameError;
use units::ZoneName;

/// The settings as they stand in the file. Unknown fields are ignored, since a platform may add its own.
#[derive(Debug, Clone, Deserialize)]
struct RawSettings {
    name: String,
    zone: String,
    listen: RawListen,
    store: SocketAddr,
    /// Any address of an instance to ask at the start; its port does not matter.
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// How long the process may go on after it was told to stop, in seconds.
    grace_s: f64,
    /// The longest that a flow lives, in seconds.
    max_flow_s: f64,
    #[serde(default = "evacuations")]
    evacuations: bool,
}

/// Operators may empty availability zones unless the settings say otherwise.
fn evacuations() -> bool {
    true
}

#[derive(Debug, Clone, Deserialize)]
struct RawListen {
    packets: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    /// Where others reach `peers`, if that is another address.
    advertised: Option<SocketAddr>,
}

/// Where an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// For packets, over UDP. Its port is also the one at which clients take packets.
    pub packets: SocketAddr,
    /// For the question whether it is ready, over HTTP.
    pub ready: SocketAddr,
    /// For other instances, over UDP and HTTP, and for metrics.
    pub peers: SocketAddr,
    /// Where others reach that one. It differs from it behind a port mapping or a proxy.
    pub advertised: SocketAddr,
}

/// The checked settings of a process in flow mode.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The instance's name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// Instances to ask at the start.
    pub seeds: Vec<IpAddr>,
    /// How long the process may go on after it was told to stop.
    pub grace: Duration,
    /// The longest that a flow lives.
    pub max_flow: Duration,
    /// Whether the platform's operators empty availability zones. Where they don't, the store is not asked for it, which saves a
    /// waiting call in each zone.
    pub evacuations: bool,
}

impl Settings {
    /// Whether others are told to ask this instance at their start.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.listen.advertised.ip())
    }
}

/// Why settings are not usable.
#[derive(Debug)]
pub enum SettingsError {
    /// The text is not YAML of the expected shape.
    Shape(String),
    /// The instance's name is no name.
    Name(NameError),
    /// The availability zone's name is no name.
    Zone(NameError),
    /// A span is negative or too long.
    Span(&'static str, f64),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shape(error) => f.write_str(error),
            Self::Name(error) => write!(f, "name: {error}"),
            Self::Zone(error) => write!(f, "zone: {error}"),
            Self::Span(field, value) => write!(f, "{field}: {value} is no span in seconds"),
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
            grace: span("grace_s", raw.grace_s)?,
            max_flow: span("max_flow_s", raw.max_flow_s)?,
            evacuations: raw.evacuations,
        })
    }
}

fn span(field: &'static str, seconds: f64) -> Result<Duration, SettingsError> {
    Duration::try_from_secs_f64(seconds).map_err(|_error| SettingsError::Span(field, seconds))
}

/// Reads and checks settings in YAML.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let raw: RawSettings = serde_saphyr::from_str(text).map_err(|error| SettingsError::Shape(error.to_string()))?;
    Settings::try_from(raw)
}
