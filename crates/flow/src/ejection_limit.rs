//! How many upstreams of a service may be ejected, and which is readmitted first, given the work of the service.

use std::time::Duration;

use crate::upstream::UpstreamId;

/// Work in flight per remaining slot up to which an upstream may be ejected. Beyond it, the others would queue its
/// work. Work in flight includes the network round trip, so some slots are still free at this limit.
const MAX_REMAINING_UTILIZATION: f64 = 1.0;
/// Upstreams that fail more than this share of the attempts aren't readmitted before they are probed: they add little
/// capacity, and their failures cost the caller a retry.
const MAX_READMISSION_SHARE: f64 = 0.6;
/// How long a service has to be short of capacity before an upstream that fails all attempts is readmitted. For others,
/// the time is proportional to the share that fails. So the leaders of several upstreams readmit the best one first,
/// without messages.
const READMISSION_DELAY: Duration = Duration::from_secs(2);

/// Work of a service and the slots of its usable upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Openings and requests without an answer yet.
    pub in_flight: u32,
    /// Slots of the upstreams that remain in use.
    pub slots: u32,
}

impl ServiceLoad {
    /// Whether these upstreams have a slot for each piece of work, so that one more upstream may be ejected.
    pub fn allows_ejection(self) -> bool {
        f64::from(self.in_flight) <= f64::from(self.slots) * MAX_REMAINING_UTILIZATION
    }

    /// Whether there is work for all slots, so that the service is short of capacity.
    pub fn is_short_of_capacity(self) -> bool {
        self.in_flight >= self.slots
    }
}

/// Selects the ejected upstream to readmit, given the share of attempts that fail at each, and for how long the
/// service has been short of capacity.
pub fn select_readmission(ejected: &[(UpstreamId, f64)], shortage: Duration) -> Option<UpstreamId> {
    let (id, share) = ejected.iter().min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))?;
    let is_due = *share <= MAX_READMISSION_SHARE && shortage >= READMISSION_DELAY.mul_f64(*share);
    is_due.then_some(*id)
}
