//! Listening addresses of an instance.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Addresses at which an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// UDP address for datagrams from callers.
    pub callers: SocketAddr,
    /// TCP address for sessions with other instances.
    pub instances: SocketAddr,
    /// HTTP address for operators and probes.
    pub admin: SocketAddr,
}
