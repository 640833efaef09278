//! Status updates that instances send to all others: whether an upstream gets new flows.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::upstream::UpstreamId;

/// Announced status of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Attempts at it fail. It gets no new flows, and its open flows stay.
    Failing,
    /// Attempts at it succeed again.
    Serving,
    /// It answers no instance. It gets no new flows, and its open flows are lost.
    Silent {
        /// How long flows have waited for it without an answer at any instance.
        silent_for: Duration,
        /// Number of retransmissions of these flows.
        signs: u32,
        /// Number of instances with such flows.
        instances: u32,
    },
    /// It has answered again.
    Alive {
        /// Time since the answer.
        answered_ago: Duration,
    },
}

/// Status update about one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Round number of the update, counted separately for failure and for silence; the highest takes precedence.
    pub round: u32,
    /// The announced status.
    pub status: Status,
}

impl StatusUpdate {
    /// The same update, delayed by `by`. The times come from another instance and may have any value.
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
