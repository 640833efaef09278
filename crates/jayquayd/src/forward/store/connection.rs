//! Connection state of the store for one kind of object: logs outages and paces retries.

use std::time::Duration;
use std::time::Instant;

use adapter::store::Error;
use rand::RngExt;

use crate::forward::watch_schedule::ObjectKind;
use crate::forward::watch_schedule::WatchSchedule;

/// Delay after the first failed call. It doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay between failing calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// Logs when the store becomes unreachable and reachable again for one kind of object, and paces retries.
#[derive(Debug)]
pub(super) struct StoreConnection {
    kind: ObjectKind,
    lost_at: Option<Instant>,
    backoff: Backoff,
}

impl StoreConnection {
    pub(super) fn new(kind: ObjectKind) -> Self {
        Self {
            kind,
            lost_at: None,
            backoff: Backoff::new(),
        }
    }

    /// Records a successful call.
    pub(super) fn succeeded(&mut self) {
        self.note_recovery();
        self.backoff = Backoff::new();
    }

    fn note_recovery(&mut self) {
        if let Some(lost_at) = self.lost_at.take() {
            log::info!(
                "store: regained what={} after_ms={}",
                self.kind,
                lost_at.elapsed().as_millis()
            );
        }
    }

    /// Records a failed call and waits until the next one may be made.
    pub(super) async fn failed(&mut self, error: &Error, schedule: &WatchSchedule) {
        schedule.note_failure(self.kind);
        match error {
            Error::HistoryGone => {
                schedule.suspect_others(self.kind);
                self.log_history_gone();
            }
            Error::Unreachable(_) => {
                // Later failures of the same outage add no information.
                if self.lost_at.is_none() {
                    schedule.suspect_others(self.kind);
                }
                self.note_outage(error);
            }
            Error::Refused(_)
            | Error::Malformed(_)
            | Error::TooLong
            | Error::MissingCursor
            | Error::InvalidEpoch(_) => {
                self.note_outage(error);
            }
        }
        tokio::time::sleep(self.backoff.next()).await;
    }

    /// Logs that the store answers but no longer has the history since the requested revision.
    fn log_history_gone(&mut self) {
        self.note_recovery();
        log::info!("store: history gone what={}", self.kind);
    }

    fn note_outage(&mut self, error: &Error) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            log::warn!("store: lost what={} error=\"{error}\"", self.kind);
        }
        log::debug!("store: failed what={} error=\"{error}\"", self.kind);
    }
}

/// Exponential backoff with jitter, so that instances don't retry in lockstep.
#[derive(Debug)]
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(MIN_BACKOFF)
    }

    fn next(&mut self) -> Duration {
        let delay = self.0.mul_f64(rand::rng().random_range(0.5..1.0));
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
        delay
    }
}
