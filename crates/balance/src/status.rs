//! Reports by upstreams, and the status of upstreams in a pool.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Slots;
use units::UpstreamName;

/// An upstream's report on itself. It may be outdated or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Whether it reports to be healthy.
    pub healthy: bool,
    /// Whether it reports to be draining, so that it takes no new requests.
    pub draining: bool,
    /// The number of requests that it reports to be serving.
    pub busy: Slots,
    /// The time since it started.
    pub age: Duration,
}

/// Whether an upstream gets new requests, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It gets its full share of new requests.
    Active,
    /// It started recently and gets a growing share of new requests.
    Warming,
    /// It failed and gets no requests for some time.
    Ejected,
    /// It failed, and single requests probe whether it has recovered.
    Probing,
    /// It finishes its requests and gets no new ones, as it or an operator requested.
    Draining,
    /// It is no longer in the configuration document and finishes its requests.
    Removed,
}

impl State {
    /// The name of the state in metric labels and on status pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Warming => "warming",
            Self::Ejected => "ejected",
            Self::Probing => "probing",
            Self::Draining => "draining",
            Self::Removed => "removed",
        }
    }

    /// Explains to operators why the upstream gets new requests or not.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Active => "it gets new work",
            Self::Warming => "it started lately and gets a growing share",
            Self::Ejected => "it failed and gets nothing for some time",
            Self::Probing => "it failed, and a few requests try whether it serves again",
            Self::Draining => "it or an operator said that it takes no new work",
            Self::Removed => "it is no longer in the document",
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The status of an upstream in its pool.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: UpstreamName,
    /// Whether it gets new requests.
    pub state: State,
    /// The number of its slots that this pool has leased.
    pub busy: u32,
    /// The number of requests that it can serve concurrently.
    pub slots: Slots,
    /// The number of queued requests that are pinned to it.
    pub pinned: u32,
    /// The number of queued requests that any upstream of the service can serve.
    pub queued: u32,
    /// The smoothed share of its slots that this pool has leased; 0 is idle, and it may exceed 1.
    pub utilisation: f64,
    /// The smoothed share of its calls that failed, from 0 to 1.
    pub failure_rate: f64,
}
