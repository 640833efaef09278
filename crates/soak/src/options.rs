//! How a soak is run.

use std::path::PathBuf;
use std::time::Duration;

/// How a soak is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Draws the faults and the clients' pauses.
    pub seed: u64,
    /// For how long faults begin.
    pub length: Duration,
    /// Instances in each of two zones.
    pub instances: usize,
    /// Whether the ways between instances fail as well.
    pub cuts: bool,
    /// Whether the store comes back from older copies.
    pub returns: bool,
    /// Whether upstreams have few slots, become slow, and get bursts of requests.
    pub bursts: bool,
    /// Clients of each of two services.
    pub clients: usize,
    /// The daemon's program.
    pub binary: PathBuf,
    /// Where settings and logs of the processes go.
    pub folder: PathBuf,
}
