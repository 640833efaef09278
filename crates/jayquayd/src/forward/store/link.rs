//! Connection state of the store for one kind of object: logs outages and paces retries.

use std::time::Duration;
use std::time::Instant;

use adapter::store::Error;
use rand::RngExt;

use crate::forward::rhythm::Kind;
use crate::forward::rhythm::Rhythm;

/// Delay after the first failed call. It doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum delay between failing calls.
const LAST_PAUSE: Duration = Duration::from_millis(1_600);
/// Logs when the store becomes unreachable and reachable again for one kind of object, and paces retries.
#[derive(Debug)]
pub(super) struct Link {
    kind: Kind,
    lost: Option<Instant>,
    backoff: Backoff,
}

impl Link {
    pub(super) fn new(kind: Kind) -> Self {
        Self {
            kind,
            lost: None,
            backoff: Backoff::new(),
        }
    }

    /// Records a successful call.
    pub(super) fn answered(&mut self) {
        self.note_answer();
        self.backoff = Backoff::new();
    }

    fn note_answer(&mut self) {
        if let Some(lost) = self.lost.take() {
            log::info!(
                "store: regained what={} after_ms={}",
                self.kind,
                lost.elapsed().as_millis()
            );
        }
    }

    /// Records a failed call and waits until the next one may be made.
    pub(super) async fn failed(&mut self, error: &Error, rhythm: &Rhythm) {
        rhythm.note_failure(self.kind);
        match error {
            Error::HistoryGone => {
                rhythm.doubt_others(self.kind);
                self.note_gone();
            }
            Error::Unreachable(_) => {
                // Later failures of the same outage add no information.
                if self.lost.is_none() {
                    rhythm.doubt_others(self.kind);
                }
                self.note_lost(error);
            }
            Error::Refused(_) | Error::Malformed(_) | Error::TooLong | Error::Endless | Error::Epoch(_) => {
                self.note_lost(error);
            }
        }
        tokio::time::sleep(self.backoff.next()).await;
    }

    /// Logs that the store answers but no longer has the history since the requested revision.
    fn note_gone(&mut self) {
        self.note_answer();
        log::info!("store: history gone what={}", self.kind);
    }

    fn note_lost(&mut self, error: &Error) {
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
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
        Self(FIRST_PAUSE)
    }

    fn next(&mut self) -> Duration {
        let pause = self.0.mul_f64(rand::rng().random_range(0.5..1.0));
        self.0 = (self.0 * 2).min(LAST_PAUSE);
        pause
    }
}
