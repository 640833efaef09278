//! What this instance has sent lately that was answered: the evidence that its own way to upstreams was in order at a time.
//!
//! Answers go to clients directly, so that they come in while nothing gets out. And a link that is full for a fifth of a second, as
//! when a document of thousands of routes is handed on, holds up or drops what is sent meanwhile and is in order again before the
//! first copy of it comes. So only what was sent at the same time and has been answered tells that something else was not lost here,
//! and only what was sent later that it is not still on its way, as what leaves by one link leaves in order.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

use units::Time;

use crate::upstream::UpstreamId;

/// For how long it is remembered: flows that wait send their third copy after 1.4 seconds.
const KEEP: Duration = Duration::from_secs(2);
/// How much is remembered at most, about 24 KB. At a busy instance it covers less time, and there many upstreams answer.
const MOST: usize = 1_024;

/// When something was sent, and to which upstream.
type Sent = (Time, UpstreamId);

/// What was sent lately and has been answered, in the order of the answers.
#[derive(Debug, Default)]
pub(crate) struct Answered {
    sent: VecDeque<Sent>,
}

impl Answered {
    /// Something that was sent to an upstream at this time has been answered.
    pub(crate) fn note(&mut self, upstream: UpstreamId, sent_at: Time, now: Time) {
        let is_old = |sent: &Sent| now.since(sent.0) > KEEP;
        while self.sent.len() >= MOST || self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back((sent_at, upstream));
    }

    /// The upstreams that have answered something that was sent since.
    pub(crate) fn since(&self, since: Time) -> BTreeSet<UpstreamId> {
        let sent = self.sent.iter().filter(|(at, _)| *at >= since);
        sent.map(|(_, upstream)| *upstream).collect()
    }

    /// The upstreams that have answered something that was sent within a span. There are none before something that was sent at its
    /// end or later has been answered.
    pub(crate) fn within(&self, span: &RangeInclusive<Time>) -> BTreeSet<UpstreamId> {
        let is_over = self.sent.iter().any(|(at, _)| at >= span.end());
        let sent = self.sent.iter().filter(|(at, _)| is_over && span.contains(at));
        sent.map(|(_, upstream)| *upstream).collect()
    }
}
