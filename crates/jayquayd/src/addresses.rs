//! The addresses of a process.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Where a process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// For datagrams of callers, over UDP.
    pub callers: SocketAddr,
    /// For sessions of other instances, over TCP.
    pub instances: SocketAddr,
    /// For operators and probes, over HTTP.
    pub admin: SocketAddr,
}
