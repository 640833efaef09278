//! What a flow has counted.

/// What a flow has counted since it began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct FlowCounters {
    /// Packets that could not be read.
    pub malformed: u64,
    /// Packets of another flow, or about a request that was never sent.
    pub unmatched: u64,
    /// Packets about a request that has ended.
    pub late: u64,
    /// Chunks that had already arrived.
    pub duplicate: u64,
    /// Packets that contradict what has arrived of the same request, such as a chunk of another answer.
    pub crossed: u64,
    /// Whole answers that did not match their digest.
    pub corrupt: u64,
    /// Tokens not adopted, because a higher number than their floor was in use, or they would leave too few numbers.
    pub tokens_declined: u64,
    /// Tokens adopted in place of an earlier one.
    pub tokens_adopted: u64,
    /// Packets sent again.
    pub retransmitted: u64,
    /// Requests sent anew after a refusal.
    pub retried: u64,
    /// Flows started in place of one whose token was refused.
    pub reopened: u64,
}
