//! Synchronisation with the platform: the configuration document, the instance list and this instance's entry on it.
//!
//! Only an instance selected as a watcher by its node watches the document and keeps reading the list. The others learn
//! of changes from their peers, so that the number of reads grows slowly with the fleet. Failed calls are repeated with
//! exponential backoff.

use std::time::Duration;

use node::Event;
use node::Listed;
use platform::Client;
use platform::Document;
use platform::Error;
use platform::Lease;
use platform::List;
use platform::ListScope;
use tokio::sync::watch;
use tokio::time::Instant;
use units::Millis;
use units::Revision;
use units::ZoneName;

use crate::input::Closed;
use crate::input::InputSender;
use crate::metric;
use crate::throttle::LogThrottle;

/// Lifetime of an entry on the platform's list unless it is renewed.
const LEASE_TTL: Millis = Millis(90_000);
/// Interval between renewals of the entry.
const RENEW_EVERY: Duration = Duration::from_secs(30);
/// Interval between a watcher's reads of the list.
const WATCHER_LIST_EVERY: Duration = Duration::from_secs(2);
/// Interval between a watcher's reads of the full list instead of the instances of its own availability zone.
const FULL_LIST_EVERY: Duration = Duration::from_mins(1);
/// Period after its first read in which a watcher always reads the full list: instances that start together may all
/// have read the list before any of them was on it.
const FULL_LIST_FIRST: Duration = Duration::from_secs(30);
/// Interval between announcements of the peers in the settings to the node.
const PEERS_INTERVAL: Duration = Duration::from_secs(10);
/// Time that one watch request waits for a change.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Minimum interval between reads of the document, unless the last one returned a newer revision.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after the first failure.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Maximum delay after repeated failures.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Maximum delay for a watcher of the document. A document accepted once the platform is back must be in force within
/// seconds, and the two watchers of a zone cause little load.
const MAX_WATCHER_PAUSE: Duration = Duration::from_secs(2);
/// Maximum exponent of the exponential backoff.
const MAX_DOUBLINGS: u32 = 6;

/// State requested by the engine.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct DesiredState {
    /// Whether this instance is a watcher of the document and the list.
    pub watching: bool,
    /// Whether the entry is to be marked as leaving.
    pub leaving: bool,
}

/// Synchronises the instance with the platform.
#[derive(Debug, Clone)]
pub struct PlatformSync {
    client: Client,
    input_sender: InputSender,
    desired: watch::Receiver<DesiredState>,
}

/// Exponential backoff.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn next_delay(&mut self) -> Duration {
        let delay = MIN_PAUSE * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        jittered(delay.min(MAX_PAUSE))
    }
}

impl PlatformSync {
    /// Creates a synchronisation that calls the platform through `client` and follows `desired`.
    pub fn new(client: Client, input_sender: InputSender, desired: watch::Receiver<DesiredState>) -> Self {
        Self {
            client,
            input_sender,
            desired,
        }
    }

    /// Keeps `entry` on the platform's list, and marks it once this instance is leaving.
    pub async fn maintain_entry(mut self, entry: Listed) -> Result<(), Closed> {
        let mut lease = Lease::new(entry, LEASE_TTL);
        let mut backoff = Backoff::default();
        let throttle = LogThrottle::default();
        loop {
            let leaving = self.desired.borrow_and_update().leaving;
            if leaving {
                lease.mark_leaving();
            }
            let result = self.client.renew(&mut lease).await;
            if let Err(error) = &result
                && let Some(suppressed) = throttle.allow()
            {
                log::warn!("platform: entry not renewed: {error}{suppressed}");
            }
            let delay = self.record_outcome(&result, RENEW_EVERY, &mut backoff).await?;
            // A change of `leaving` ends the wait, so that the other instances see it without delay.
            let changed = self.desired.wait_for(|desired| desired.leaving != leaving);
            if let Ok(Err(_)) = tokio::time::timeout(delay, changed).await {
                return Err(Closed);
            }
        }
    }

    /// Reads the list once, and continues while this instance is a watcher. An instance that knows no other is always a
    /// watcher.
    ///
    /// A watcher reads its own zone often and the full list rarely; both reads return only changes.
    pub async fn sync_list(mut self, zone: ZoneName) -> Result<(), Closed> {
        let mut backoff = Backoff::default();
        let mut zone_list = List::new(ListScope::Zone(zone));
        let mut full_list = List::new(ListScope::Instances);
        let mut first_read: Option<Instant> = None;
        let mut last_full_read: Option<Instant> = None;
        loop {
            let watching = self.desired.borrow_and_update().watching;
            if last_full_read.is_some() && !watching {
                self.desired.changed().await.map_err(|_| Closed)?;
                continue;
            }
            let is_initial = first_read.is_none_or(|read| read.elapsed() < FULL_LIST_FIRST);
            let is_full = is_initial || last_full_read.is_none_or(|read| read.elapsed() >= FULL_LIST_EVERY);
            let list = if is_full { &mut full_list } else { &mut zone_list };
            let result = self.client.refresh(list).await;
            let delay = self.record_outcome(&result, WATCHER_LIST_EVERY, &mut backoff).await?;
            if is_full && result.is_ok() {
                let now = Instant::now();
                first_read.get_or_insert(now);
                last_full_read = Some(now);
            }
            if result == Ok(true) {
                self.input_sender
                    .send_event(Event::InstanceList(list.entries().to_vec()))
                    .await?;
            }
            self.sleep_or_change(delay).await?;
        }
    }

    /// Periodically reports the peers in the settings to the node, so that they are found while the platform is down.
    pub async fn announce_peers(self, peers: Vec<Listed>) -> Result<(), Closed> {
        if peers.is_empty() {
            return Ok(());
        }
        loop {
            self.input_sender.send_event(Event::InstanceList(peers.clone())).await?;
            tokio::time::sleep(jittered(PEERS_INTERVAL)).await;
        }
    }

    /// Reads the document until there is one, and watches it while this instance is a watcher.
    pub async fn sync_document(mut self) -> Result<(), Closed> {
        let mut backoff = Backoff::default();
        let mut no_document_backoff = Backoff::default();
        let mut known = Revision::default();
        let mut has_read = false;
        loop {
            let watching = self.desired.borrow_and_update().watching;
            let has_document = known > Revision::default();
            if has_document && !watching {
                self.desired.changed().await.map_err(|_| Closed)?;
                continue;
            }
            let started = Instant::now();
            let result = if watching && has_read {
                self.client.watch(known, WATCH_TIME).await
            } else {
                self.client.document().await
            };
            let mut delay = self.record_outcome(&result, Duration::ZERO, &mut backoff).await?;
            if watching {
                delay = delay.min(jittered(MAX_WATCHER_PAUSE));
            }
            if let Ok(document) = result {
                has_read = true;
                let is_newer = self.deliver_document(document, &mut known).await?;
                // The minimum interval prevents a tight loop if the platform answers watches at once without a change.
                // While there is no document, only watchers keep reading often.
                delay = match (is_newer, watching) {
                    (true, _) => Duration::ZERO,
                    (false, true) => jittered(MIN_READ_INTERVAL.saturating_sub(started.elapsed())),
                    (false, false) => no_document_backoff.next_delay(),
                };
            }
            self.sleep_or_change(delay).await?;
        }
    }

    /// Waits for `delay`, or until the desired state changes.
    async fn sleep_or_change(&mut self, delay: Duration) -> Result<(), Closed> {
        match tokio::time::timeout(delay, self.desired.changed()).await {
            Ok(Err(_)) => Err(Closed),
            Ok(Ok(())) | Err(_) => Ok(()),
        }
    }

    /// Passes a document to the node. Returns whether it is newer than the known revision.
    async fn deliver_document(&self, document: Option<Document>, known: &mut Revision) -> Result<bool, Closed> {
        let Some(document) = document else {
            return Ok(false);
        };
        let is_newer = document.revision > *known;
        *known = document.revision.max(*known);
        self.input_sender
            .send_event(Event::DocumentLoaded(document.revision, document.text))
            .await?;
        Ok(is_newer)
    }

    /// Reports to the node whether the platform is reachable. Returns the delay before the next call.
    async fn record_outcome<T>(
        &self,
        result: &Result<T, Error>,
        interval: Duration,
        backoff: &mut Backoff,
    ) -> Result<Duration, Closed> {
        let is_reachable = is_reachable(result);
        metric::platform_calls(if is_reachable { "ok" } else { "failed" }).increment(1);
        metric::platform_up().set(if is_reachable { 1.0 } else { 0.0 });
        self.input_sender
            .send_event(Event::PlatformReachable(is_reachable))
            .await?;
        if result.is_ok() {
            backoff.failures = 0;
            return Ok(jittered(interval));
        }
        Ok(backoff.next_delay())
    }
}

/// Whether the platform answered. A refusal counts as an answer.
fn is_reachable<T>(result: &Result<T, Error>) -> bool {
    !matches!(result, Err(Error::Unavailable(_) | Error::InDoubt(_)))
}

fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.75..1.25))
}
