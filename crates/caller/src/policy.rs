//! Timeouts and limits of a caller.

use std::time::Duration;

/// Timeouts and limits of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// How long to wait until a flow is open.
    pub open_timeout: Duration,
    /// Initial retransmission interval. It doubles each time, but is limited to a third of the time left until the
    /// deadline, and is never shorter than this value.
    pub retransmit: Duration,
    /// Initial retransmission interval of a request that an instance has accepted.
    pub retransmit_accepted: Duration,
    /// Maximum retransmission interval, before jitter.
    pub retransmit_max: Duration,
    /// Initial retransmission interval of a pull.
    pub retransmit_pull: Duration,
    /// Maximum number of outstanding chunks, at most [`wire::Pull::MAX_COUNT`].
    pub window: u8,
    /// Maximum length of an answer in bytes.
    pub max_answer: u32,
    /// Maximum number of concurrent calls, waiting ones included.
    pub max_in_flight: usize,
    /// Maximum distance between the newest request number and the oldest one in progress. An owner tracks only a
    /// limited range of numbers per flow, and must report older ones as `may have run`.
    pub max_seq_span: u64,
    /// Minimum delay before the first retry. It doubles with each retry.
    pub retry_backoff: Duration,
    /// How many times a packet is resent, possibly to another instance, after an instance reports that the flow's
    /// owner, or its answer, is gone.
    pub owner_gone_resends: u32,
    /// Maximum ratio of retries to successes, in percent.
    pub retry_percent: u32,
    /// Initial retry balance, and the maximum that successes can accumulate.
    pub retry_reserve: u32,
    /// How much earlier the instances' deadline is than the caller's, so that their refusal, which may be `not run`,
    /// arrives in time. It is limited to a tenth of the time left when the request is sent.
    pub deadline_margin: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            open_timeout: Duration::from_secs(5),
            retransmit: Duration::from_millis(100),
            retransmit_accepted: Duration::from_millis(500),
            retransmit_max: Duration::from_secs(2),
            retransmit_pull: Duration::from_millis(100),
            window: wire::Pull::MAX_COUNT,
            max_answer: 16 * 1_024 * 1_024,
            max_in_flight: 64,
            max_seq_span: 32,
            retry_backoff: Duration::from_millis(50),
            owner_gone_resends: 3,
            retry_percent: 10,
            retry_reserve: 3,
            deadline_margin: Duration::from_millis(50),
        }
    }
}
