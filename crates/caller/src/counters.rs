//! Counters of a flow.

/// Event counts since the flow was created.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct FlowCounters {
    /// Packets that could not be decoded.
    pub malformed: u64,
    /// Packets for another flow, with the nonce of another `Open`, or for a request that was never sent.
    pub unmatched: u64,
    /// Packets for a request that has already ended, or an `Opened` reply when no open is pending.
    pub late: u64,
    /// Chunks that had been received before.
    pub duplicate: u64,
    /// Packets that conflict with earlier ones for the same request, such as a chunk of a different answer.
    pub crossed: u64,
    /// Complete answers that did not match their digest.
    pub corrupt: u64,
    /// Tokens not adopted because a request number above their floor was already used, or because their floor would
    /// leave too few request numbers.
    pub tokens_declined: u64,
    /// Tokens that replaced an earlier one.
    pub tokens_adopted: u64,
    /// Retransmitted packets.
    pub retransmitted: u64,
    /// Requests retried after a refusal.
    pub retried: u64,
    /// Times the flow's token was refused, so that a new flow had to be opened.
    pub reopened: u64,
}
