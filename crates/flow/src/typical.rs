//! Typical values that failures are measured against: a service's response times and results, and a route's response
//! lengths.

use std::time::Duration;

use units::Time;

use crate::outcome::Tally;
use crate::recent_answers::RecentAnswers;
use crate::response_level::ResponseLevel;
use crate::upstream::UpstreamId;

/// Weight of a new response time sample of a service. An instance sees about fifty answers a second.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Multiple of the typical response time after which an unanswered request counts as overdue. Of requests whose work
/// varies by half (log-normal distribution), three in ten thousand take that long.
const OVERDUE_FACTOR: f64 = 5.0;
/// Bounds of the time until a request counts as overdue. Data that the upstream hasn't acknowledged is retransmitted
/// after 200 milliseconds, which is counted separately.
const MIN_OVERDUE: Duration = Duration::from_millis(250);
const MAX_OVERDUE: Duration = Duration::from_secs(2);

/// Fraction of the typical response time from which on an upstream counts as busy.
const BUSY_FRACTION: f64 = 0.4;

/// Time after the first answer of a service within which its joint view of load may still be missing. Collectors
/// gather reports for a second, after instances have begun to send them.
const VIEW_GRACE: Duration = Duration::from_secs(2);

/// Typical behaviour of a service's upstreams.
#[derive(Debug, Default, Clone)]
pub(crate) struct TypicalService {
    /// When the first answer was complete.
    first_answer_at: Option<Time>,
    /// Moving average of the time until an answer begins, in seconds.
    response: Option<f64>,
    /// Results of attempts at upstreams that aren't ejected.
    pub(crate) tally: Tally,
    /// The latest answers of its upstreams.
    recent_answers: RecentAnswers,
    /// Level of the response times, which shows whether requests wait.
    level: ResponseLevel,
    /// Since when the joint view has shown work for all slots of its upstreams.
    pub(crate) short_of_capacity_since: Option<Time>,
}

impl TypicalService {
    pub(crate) fn record_response_time(&mut self, response_time: Duration, now: Time) {
        self.level.add(response_time, now);
        let sample = response_time.as_secs_f64();
        let mean = self.response.unwrap_or(sample);
        self.response = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
    }

    /// Time after which an unanswered request counts as overdue at an upstream with this mean response time in
    /// seconds, if one is known. A slow upstream, or one whose queue is full, takes longer than others without failing.
    pub(crate) fn overdue_after(&self, response: Option<f64>) -> Duration {
        let expected = self.response.unwrap_or_default().max(response.unwrap_or_default());
        Duration::from_secs_f64(expected)
            .mul_f64(OVERDUE_FACTOR)
            .clamp(MIN_OVERDUE, MAX_OVERDUE)
    }

    /// Records a complete answer of an upstream.
    pub(crate) fn record_answer(&mut self, id: UpstreamId, is_short: bool, now: Time) {
        self.first_answer_at.get_or_insert(now);
        self.recent_answers.add(id, is_short, now);
    }

    /// Whether a joint view of the load can't be expected yet.
    pub(crate) fn is_awaiting_view(&self, now: Time) -> bool {
        self.first_answer_at.is_none_or(|first| now.since(first) < VIEW_GRACE)
    }

    /// Whether the service seems to be short of capacity: requests wait, or many upstreams other than `except` answer
    /// short.
    pub(crate) fn is_short_of_capacity(&self, except: UpstreamId, now: Time) -> bool {
        self.level.is_raised() || self.recent_answers.are_widely_short(except, now)
    }

    /// Whether the service's response times are so long that requests wait.
    pub(crate) fn are_responses_raised(&self) -> bool {
        self.level.is_raised()
    }

    /// Whether an upstream with this mean response time in seconds, if one is known, is among the busier ones of the
    /// service. Requests wait in the queue of an upstream that refuses others for lack of capacity, while one that fails
    /// answers the rest of its requests as usual.
    pub(crate) fn is_busy(&self, response: Option<f64>) -> bool {
        let typical = self.response.unwrap_or_default();
        response.is_none_or(|response| response >= typical * BUSY_FRACTION)
    }

    /// Lower bound in seconds for response time samples: an answer that comes much sooner than usual is typically an
    /// error, and must not make its upstream look fast.
    pub(crate) fn min_response_sample(&self) -> f64 {
        self.response.unwrap_or_default() / 2.0
    }
}

/// Minimum number of answers on a route before one can be classified as short.
const MIN_ANSWERS: u32 = 20;
/// Fraction of the median below which an answer is short. Error responses have about 150 bytes including their header,
/// and the shortest of twenty regular answers has about a third of the median.
const SHORT_FRACTION: f64 = 1.0 / 3.0;
/// Minimum step of the median estimate per answer, relative to the median.
const MIN_MEDIAN_STEP: f64 = 0.02;

/// Factor on the step for a refusal. An overloaded service may refuse more than half of its requests for as long
/// as the overload lasts, and a median that followed would let the refusals count as regular answers.
const SHORT_STEP_FACTOR: f64 = 0.25;

/// Running estimate of the median response length of a route. It moves in small steps, so errors can't shift it while
/// they are fewer than half of the answers, and refusals while they are fewer than four in five.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct TypicalLength {
    median: f64,
    answers: u32,
}

impl TypicalLength {
    pub(crate) fn add_sample(&mut self, bytes: u32, is_refusal: bool) {
        let bytes = f64::from(bytes);
        self.answers = self.answers.saturating_add(1);
        if self.answers == 1 {
            self.median = bytes;
            return;
        }
        let mut step = MIN_MEDIAN_STEP.max(1.0 / f64::from(self.answers));
        if is_refusal {
            step *= SHORT_STEP_FACTOR;
        }
        if bytes > self.median {
            self.median *= 1.0 + step;
        } else {
            self.median /= 1.0 + step;
        }
    }

    /// Whether an answer is far shorter than usual.
    pub(crate) fn is_short(&self, bytes: u32) -> bool {
        self.answers >= MIN_ANSWERS && f64::from(bytes) < self.median * SHORT_FRACTION
    }
}
