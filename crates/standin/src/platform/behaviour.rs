//! How a stand-in for the platform misbehaves, and what it counts.

use serde::Deserialize;
use serde::Serialize;
use units::Millis;
use units::Nonce;

/// How a stand-in for the platform behaves. The default is without fault.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Cuts every connection and refuses new ones.
    pub down: bool,
    /// Refuses every call with 503.
    pub unavailable: bool,
    /// Takes calls, and goes on with them only once this has ended.
    pub stalled: bool,
    /// Takes this much longer for every call.
    pub slow: Millis,
    /// Lets this many writes take effect and cuts their connections in place of an answer.
    pub lose_answers: u32,
    /// Lets the write with this nonce take effect only once this has ended, whether or not the writer still waits.
    pub hold: Option<Nonce>,
    /// Serves reads from a replica that is this many versions behind.
    pub behind: u64,
    /// Serves the list as it was this long ago.
    pub list_lag: Millis,
}

/// How often a stand-in for the platform was called.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of objects, their versions and history, but for watches.
    pub reads: u64,
    /// Reads of the list.
    pub lists: u64,
    /// Reads of the list that found nothing new.
    pub lists_unchanged: u64,
    /// Bytes of the list in the answers to such reads, all together.
    pub list_bytes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Writes, refused ones too.
    pub writes: u64,
    /// Writes that took effect.
    pub taken: u64,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Answers that were lost on purpose.
    pub lost_answers: u64,
}
