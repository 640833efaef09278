//! The settings of an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use token::Secret;
use units::Bytes;
use units::InstanceName;
use units::ZoneName;

/// The validated settings of one entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The name of the instance, unique within its region.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The addresses it listens on.
    pub listen: Listen,
    /// The addresses it advertises, where they differ from those it listens on.
    pub advertise: Advertise,
    /// The addresses of the platform service, in order of preference.
    pub platform: Vec<SocketAddr>,
    /// Instances to contact at startup when the platform is unreachable.
    pub peers: Vec<Seed>,
    /// The shared secrets of all instances.
    pub secrets: Secrets,
    /// Resource limits.
    pub limits: Limits,
    /// The deadline for a graceful shutdown.
    pub stop_within: Duration,
    /// The lifetime of a flow token.
    pub token_lifetime: Duration,
}

/// The addresses that an instance listens on. With port 0, the operating system assigns one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// UDP address for datagrams from callers.
    pub callers: SocketAddr,
    /// TCP address for sessions with other instances.
    pub instances: SocketAddr,
    /// HTTP address for operators and health probes.
    pub admin: SocketAddr,
}

/// The advertised addresses of an instance, where they differ from those it listens on.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Advertise {
    /// Address for datagrams from callers.
    pub callers: Option<SocketAddr>,
    /// Address for sessions with other instances.
    pub instances: Option<SocketAddr>,
    /// Address for operators and health probes.
    pub admin: Option<SocketAddr>,
}

/// An instance to contact at startup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for sessions with other instances.
    pub address: SocketAddr,
}

/// The shared secrets of all instances. To rotate them, move the current secret to the previous ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Secrets {
    /// The secret used for sealing.
    pub current: Secret,
    /// Older secrets, still accepted for opening.
    pub previous: Vec<Secret>,
}

/// The resource limits of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Flows owned by the instance.
    pub flows: u32,
    /// Requests with state in memory.
    pub requests: u32,
    /// Total size of the answers that are kept until callers have received them.
    pub answer_bytes: Bytes,
    /// Sessions with other instances.
    pub sessions: u32,
    /// Packets per second from one caller's address.
    pub packets_per_second: u32,
    /// Packets per second from all callers.
    pub total_packets_per_second: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            flows: 500_000,
            requests: 100_000,
            answer_bytes: Bytes(256 * 1_024 * 1_024),
            sessions: 512,
            packets_per_second: 5_000,
            total_packets_per_second: 200_000,
        }
    }
}
