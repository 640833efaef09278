//! The settings of an entry instance's process.

use std::net::SocketAddr;
use std::time::Duration;

use token::Secret;
use units::Bytes;
use units::InstanceName;
use units::ZoneName;

/// The checked settings of one entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The instance's name, unique in its region.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub listen: Listen,
    /// Where others reach it, as far as that differs from where it listens.
    pub advertise: Advertise,
    /// Where the platform's service is, in the order of preference.
    pub platform: Vec<SocketAddr>,
    /// Instances to ask at the start when the platform cannot be reached.
    pub peers: Vec<Seed>,
    /// The secrets of the fleet.
    pub secrets: Secrets,
    /// What the instance takes at most.
    pub limits: Limits,
    /// How long a planned stop may take.
    pub stop_within: Duration,
    /// How long a flow token lives.
    pub token_lifetime: Duration,
}

/// Where an instance listens. Port 0 lets the system pick one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// For datagrams of callers, over UDP.
    pub callers: SocketAddr,
    /// For sessions of other instances, over TCP.
    pub instances: SocketAddr,
    /// For operators and probes, over HTTP.
    pub admin: SocketAddr,
}

/// Where others reach an instance, as far as that differs from where it listens.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Advertise {
    /// For datagrams of callers.
    pub callers: Option<SocketAddr>,
    /// For sessions of other instances.
    pub instances: Option<SocketAddr>,
    /// For operators and probes.
    pub admin: Option<SocketAddr>,
}

/// An instance that may be asked at the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for other instances.
    pub address: SocketAddr,
}

/// The secrets of the fleet. They are rotated by moving the current one to the previous ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Secrets {
    /// The one that seals.
    pub current: Secret,
    /// Those that still open.
    pub previous: Vec<Secret>,
}

/// What an instance takes at most.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Flows that it owns.
    pub flows: u32,
    /// Requests whose state is in memory.
    pub requests: u32,
    /// Answers kept until callers have them, together.
    pub answer_bytes: Bytes,
    /// Sessions with other instances.
    pub sessions: u32,
    /// Packets per second from one caller's address.
    pub packets_per_second: u32,
    /// Packets per second in all.
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
