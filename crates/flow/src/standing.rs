//! What instances tell all others of an upstream: that it gets no new flows, or gets them again.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::upstream::UpstreamId;

/// What is told of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Tries at it end badly. It gets no new flows, and open ones stay.
    Failing,
    /// Tries at it end well again.
    Serving,
    /// It answers nobody: it gets no new flows, and open ones are over.
    Silent {
        /// For how long flows wait for it and nobody has seen an answer.
        silent_for: Duration,
        /// How often these flows have sent something again.
        signs: u32,
        /// At how many instances.
        instances: u32,
    },
    /// It has answered after all.
    Alive {
        /// How long ago.
        answered_ago: Duration,
    },
}

/// What an instance tells all others of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Counts what was told of its failing, or of its silence; the highest counts.
    pub round: u32,
    /// What is told.
    pub status: Status,
}

impl Standing {
    /// The same, told so much later. The times come from another instance and may be any.
    pub(crate) fn aged(self, by: Duration) -> Self {
        let status = match self.status {
            Status::Silent {
                silent_for,
                signs,
                instances,
            } => Status::Silent {
                silent_for: silent_for.saturating_add(by),
                signs,
                instances,
            },
            Status::Alive { answered_ago } => Status::Alive {
                answered_ago: answered_ago.saturating_add(by),
            },
            status @ (Status::Failing | Status::Serving) => status,
        };
        Self { status, ..self }
    }
}
