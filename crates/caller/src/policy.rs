//! The times and limits that a caller keeps to.

use std::time::Duration;

/// The times and limits that a caller keeps to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// How long to wait for the answer to an `Open`.
    pub open_timeout: Duration,
    /// The wait before the first retransmission of a packet. It doubles each time, but is cut to a third of the time
    /// left until the deadline, down to this wait.
    pub retransmit: Duration,
    /// The wait before the first retransmission of a request that is known to be accepted.
    pub retransmit_accepted: Duration,
    /// The longest wait between two retransmissions.
    pub retransmit_max: Duration,
    /// The wait before the first retransmission of a pull.
    pub retransmit_pull: Duration,
    /// The most chunks that are asked for and have not arrived, at most [`wire::Pull::MAX_COUNT`].
    pub window: u8,
    /// The longest answer that is taken, in bytes.
    pub max_answer: u32,
    /// The most requests in progress at a time.
    pub max_in_flight: usize,
    /// How far the newest request number may be ahead of the oldest one in progress. An owner tells only so many
    /// numbers of a flow apart, and what is older it must call `may have run`.
    pub max_seq_span: u64,
    /// The shortest wait before the first retry. It doubles each time.
    pub retry_backoff: Duration,
    /// How many more instances are asked when one says that the flow's owner, or its answer, is gone.
    pub owner_gone_resends: u32,
    /// The most retries, in percent of successes.
    pub retry_percent: u32,
    /// How many retries may be made before any success, and the most that are saved up.
    pub retry_reserve: u32,
    /// How much sooner the instances' deadline passes than the caller's own, so that their refusal, which may be
    /// `not run`, arrives in time. It is at most a tenth of the timeout.
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
