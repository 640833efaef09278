//! What upstreams say of themselves, and what a pool says of them.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Slots;
use units::UpstreamName;

/// What an upstream says of itself. It may lag or mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Whether it says that it is fit to serve.
    pub healthy: bool,
    /// Whether it says that it takes no new work.
    pub draining: bool,
    /// How many requests it says it is serving.
    pub busy: Slots,
    /// How long ago it started.
    pub age: Duration,
}

/// Whether an upstream gets new work, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does.
    Active,
    /// It started lately and gets a growing share.
    Warming,
    /// It failed and gets nothing for some time.
    Ejected,
    /// It failed, and a few requests try whether it serves again.
    Probing,
    /// It finishes what it has, since it or an operator said so.
    Draining,
    /// It is no longer in the document and finishes what it has.
    Removed,
}

impl State {
    /// The state as a metric label and on status pages.
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

    /// Why the upstream gets new work or not, for operators.
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

/// An upstream as its pool sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: UpstreamName,
    /// Whether it gets new work.
    pub state: State,
    /// How many of its slots this pool has lent.
    pub busy: u32,
    /// How many requests it serves at a time.
    pub slots: Slots,
    /// How many requests wait for this very upstream.
    pub pinned: u32,
    /// How many requests wait for any upstream of the service.
    pub queued: u32,
    /// The smoothed share of its slots that were in use, from 0 on.
    pub utilisation: f64,
    /// The smoothed share of its calls that failed, from 0 to 1.
    pub failure_rate: f64,
}
