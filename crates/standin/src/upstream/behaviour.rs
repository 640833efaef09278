//! How a stand-in for an upstream misbehaves, and what it counts.

use serde::Deserialize;
use serde::Serialize;
use units::Millis;
use units::Slots;

use crate::Share;
use crate::upstream::RequestKey;

/// How a stand-in for an upstream behaves. The default is without fault.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Cuts every connection and refuses new ones.
    pub down: bool,
    /// Finishes what it runs and takes no new work.
    pub draining: bool,
    /// Of the requests, fails this share with 500 before they run.
    pub fail_before: Share,
    /// Of the requests, cuts the connections of this share after they ran.
    pub fail_after: Share,
    /// Of the answers, sends this share late.
    pub late: Share,
    /// How late these are.
    pub late_by: Millis,
    /// Of the answers, sends this share twice on the same connection.
    pub twice: Share,
    /// Of the requests, answers this share with the headers and the answer of another request.
    pub crossed: Share,
    /// Of the answers, cuts this share in the middle.
    pub cut_short: Share,
    /// What it claims in its reports against the truth.
    pub claims: Claims,
    /// Reports its load as it was this long ago.
    pub report_lag: Millis,
    /// Takes requests for reports and does not answer them until this has ended.
    pub stall_reports: bool,
}

/// What an upstream claims in its reports. What is not set is told truthfully.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Claims {
    /// Claims to be fit to serve, or not to be.
    pub healthy: Option<bool>,
    /// Claims to take no new work, or to take it.
    pub draining: Option<bool>,
    /// Claims to run so many requests.
    pub busy: Option<Slots>,
}

/// What a stand-in for an upstream counted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that began to run.
    pub runs: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests refused because no slot was free.
    pub shed: u64,
    /// Requests refused while draining.
    pub refused_draining: u64,
    /// How long after the drain began the last of these came.
    pub last_after_drain_ms: Millis,
    /// Requests of another service.
    pub violations: u64,
    /// Requests without the headers that name them.
    pub malformed: u64,
    /// Requests whose connection closed while they ran.
    pub cancelled: u64,
    /// Requests given up at their deadline.
    pub expired: u64,
    /// Answers and requests that were tampered with, as the behaviour said.
    pub disturbed: u64,
    /// Requests that run now.
    pub busy: u64,
    /// The most requests that ran at a time.
    pub max_busy: u64,
    /// Reports asked for.
    pub polls: u64,
}

/// How often a request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub request: RequestKey,
    /// A short digest of its body, which tells requests apart as the caller means them.
    pub body: String,
    /// How often it began to run.
    pub runs: u32,
}
