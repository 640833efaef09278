//! Recently forwarded packets that were answered: evidence that this instance's own path to upstreams worked at a given
//! time.
//!
//! Answers go directly to clients, so the signs of them keep arriving while outgoing packets are lost. A link that is
//! saturated for a fifth of a second, for example while a document of thousands of routes is passed on, delays or drops
//! outgoing packets, and works again before the first retransmission arrives. So only an answered packet that was sent
//! at the same time shows that another one wasn't lost here. And only an answered packet that was sent later shows that
//! the other one isn't still queued, since a link delivers packets in order.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

use units::Time;

use crate::upstream::UpstreamId;

/// How long entries are kept: stalled flows send their third retransmission after 1.4 seconds.
const RETENTION: Duration = Duration::from_secs(2);
/// Maximum number of entries, about 24 KB. At a busy instance they cover less time, but many upstreams answer there.
const MAX_ENTRIES: usize = 1_024;

/// Time at which a packet was sent, and its upstream.
type Sent = (Time, UpstreamId);

/// Packets that were sent recently and have been answered, in the order of the answers.
#[derive(Debug, Default)]
pub(crate) struct AnswerLog {
    sent: VecDeque<Sent>,
}

impl AnswerLog {
    /// Records an answer to something that was sent to an upstream at `sent_at`.
    pub(crate) fn record(&mut self, upstream: UpstreamId, sent_at: Time, now: Time) {
        let is_old = |sent: &Sent| now.since(sent.0) > RETENTION;
        while self.sent.len() >= MAX_ENTRIES || self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back((sent_at, upstream));
    }

    /// Upstreams that have answered something sent at `since` or later.
    pub(crate) fn since(&self, since: Time) -> BTreeSet<UpstreamId> {
        let sent = self.sent.iter().filter(|(at, _)| *at >= since);
        sent.map(|(_, upstream)| *upstream).collect()
    }

    /// Upstreams that have answered something sent within `span`. The result is empty until something sent at the end
    /// of the span or later has been answered.
    pub(crate) fn within(&self, span: &RangeInclusive<Time>) -> BTreeSet<UpstreamId> {
        let is_over = self.sent.iter().any(|(at, _)| at >= span.end());
        let sent = self.sent.iter().filter(|(at, _)| is_over && span.contains(at));
        sent.map(|(_, upstream)| *upstream).collect()
    }
}
