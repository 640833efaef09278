//! What passing packets tell of each upstream: how busy it is, and whether it still answers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Time;

use crate::flows::Flow;
use crate::upstream::UpstreamId;

/// Requests count towards an upstream's activity for about this long. A flow sends a request or so a second, so a
/// shorter span would see mostly chance.
const ACTIVITY_SPAN: Duration = Duration::from_secs(1);

/// How much a new sample of the response time counts. About ten requests a second reach an upstream from one instance,
/// so that a change shows within a second or two.
const SAMPLE_WEIGHT: f64 = 0.1;
/// For how long samples count after the last one. A slow upstream is tried again after it.
const SAMPLE_KEEP: Duration = Duration::from_secs(4);

/// What an instance tells others of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How many flows of the reporting instance it holds.
    pub flows: u32,
    /// How many of these wait for a sign of life.
    pub stalled: u32,
}

/// What is known of one upstream from the packets that passed here.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// How many flows seen here it holds.
    pub(crate) flows: u32,
    activity: f64,
    activity_at: Time,
    /// A moving mean of its response times, in seconds.
    response: Option<f64>,
    response_at: Time,
    /// When it last answered something.
    pub(crate) last_progress: Time,
    /// How many different flows have sent data again since then.
    pub(crate) stalled: u32,
    /// Since when flows have sent data again.
    pub(crate) stalled_since: Option<Time>,
    /// Numbers its stalls, so that a flow is counted once in each.
    stall: u32,
    /// When it was last given a new flow.
    pub(crate) placed_at: Time,
}

impl Health {
    /// The upstream has answered something.
    pub(crate) fn note_progress(&mut self, now: Time) {
        self.last_progress = now;
        if self.stalled > 0 {
            self.stalled = 0;
            self.stalled_since = None;
        }
    }

    /// The upstream took this long to answer a request.
    pub(crate) fn note_response(&mut self, waited: Duration, now: Time) {
        let sample = waited.as_secs_f64();
        let held = self.response(now).unwrap_or(sample);
        self.response = Some(held + (sample - held) * SAMPLE_WEIGHT);
        self.response_at = now;
    }

    /// How long it takes to answer, in seconds, if that was seen lately.
    pub(crate) fn response(&self, now: Time) -> Option<f64> {
        self.response.filter(|_| now.since(self.response_at) < SAMPLE_KEEP)
    }

    /// A request is on its way to it.
    pub(crate) fn note_request(&mut self, now: Time) {
        self.activity = self.activity(now) + 1.0;
        self.activity_at = now;
    }

    /// Data or an opening packet came once more for it.
    pub(crate) fn note_copy(&mut self, flow: &mut Flow, now: Time) {
        if self.stalled == 0 {
            self.stall = self.stall.wrapping_add(1).max(1);
            self.stalled_since = Some(now);
        }
        if flow.counted_in != self.stall {
            flow.counted_in = self.stall;
            self.stalled += 1;
        }
    }

    /// About how many requests it got within the last [`ACTIVITY_SPAN`].
    pub(crate) fn activity(&self, now: Time) -> f64 {
        let age = now.since(self.activity_at).as_secs_f64();
        self.activity * (-age / ACTIVITY_SPAN.as_secs_f64()).exp()
    }
}
