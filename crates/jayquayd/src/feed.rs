//! What the platform says: the configuration document, the list of instances, and this instance's own entry on it.
//!
//! Only an instance that the node chose as a watcher watches the document and goes on reading the list; the others learn
//! from their peers, so that reads grow slowly with the fleet. While the platform is down, pauses grow.

use std::time::Duration;

use node::Event;
use node::Listed;
use platform::Client;
use platform::Document;
use platform::Error;
use platform::Lease;
use platform::List;
use platform::Scope;
use tokio::sync::watch;
use tokio::time::Instant;
use units::Millis;
use units::Revision;
use units::ZoneName;

use crate::input::Closed;
use crate::input::InputSender;
use crate::metric;
use crate::throttle::LogThrottle;

/// How long the platform keeps an entry that is not renewed.
const LEASE_TTL: Millis = Millis(90_000);
/// How often an entry is renewed.
const RENEW_EVERY: Duration = Duration::from_secs(30);
/// How often a watcher reads the list.
const WATCHER_LIST_EVERY: Duration = Duration::from_secs(2);
/// How often a watcher reads the instances of all availability zones, and not only those of its own.
const FULL_LIST_EVERY: Duration = Duration::from_mins(1);
/// How long after its first read a watcher goes on to read all zones: instances that start together may all have read
/// before any stood on the list.
const FULL_LIST_FIRST: Duration = Duration::from_secs(30);
/// How often the instances in the settings are named.
const PEERS_INTERVAL: Duration = Duration::from_secs(10);
/// How long one watch waits.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// The shortest time from one read of the document to the next, unless it brought something new.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);
/// The first pause after a failure.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// The longest pause of a watcher of the document. A document that is accepted once the platform is back must be in force within
/// seconds, and two instances of a zone are no burden.
const MAX_WATCHER_PAUSE: Duration = Duration::from_secs(2);
/// The exponent at which pauses stop growing.
const MAX_DOUBLINGS: u32 = 6;

/// What the engine wants of this part.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct DesiredState {
    /// Whether this instance watches the document.
    pub watching: bool,
    /// Whether this instance is leaving.
    pub leaving: bool,
}

/// Talks to the platform.
#[derive(Debug, Clone)]
pub struct PlatformSync {
    client: Client,
    input_sender: InputSender,
    desired: watch::Receiver<DesiredState>,
}

/// Pauses that grow with each failure.
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
    /// Calls the platform by `client`, and follows `desired`.
    pub fn new(client: Client, input_sender: InputSender, desired: watch::Receiver<DesiredState>) -> Self {
        Self {
            client,
            input_sender,
            desired,
        }
    }

    /// Keeps `entry` on the platform's list, and marks it when this instance is leaving.
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
            // Only this change is not waited out: the others see at once that this instance is leaving.
            let changed = self.desired.wait_for(|desired| desired.leaving != leaving);
            if let Ok(Err(_)) = tokio::time::timeout(delay, changed).await {
                return Err(Closed);
            }
        }
    }

    /// Reads the list once, and goes on while the engine wishes so: whoever knows no other instance is a watcher.
    ///
    /// Of the list a watcher reads its own zone often and all zones seldom, and only what has changed.
    pub async fn sync_list(mut self, zone: ZoneName) -> Result<(), Closed> {
        let mut backoff = Backoff::default();
        let mut zone_list = List::new(Scope::Zone(zone));
        let mut full_list = List::new(Scope::Instances);
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

    /// Names the instances in the settings now and then, so that they are found without the platform.
    pub async fn announce_peers(self, peers: Vec<Listed>) -> Result<(), Closed> {
        if peers.is_empty() {
            return Ok(());
        }
        loop {
            self.input_sender.send_event(Event::InstanceList(peers.clone())).await?;
            tokio::time::sleep(jittered(PEERS_INTERVAL)).await;
        }
    }

    /// Reads the document until there is one, and watches it while the engine wishes so.
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
            let began = Instant::now();
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
                // A platform that answers a watch at once, and with nothing new, is not asked in a tight loop. Where
                // there is no document yet, only watchers keep asking often.
                delay = match (is_newer, watching) {
                    (true, _) => Duration::ZERO,
                    (false, true) => jittered(MIN_READ_INTERVAL.saturating_sub(began.elapsed())),
                    (false, false) => no_document_backoff.next_delay(),
                };
            }
            self.sleep_or_change(delay).await?;
        }
    }

    /// Waits, but not once the engine wishes something else.
    async fn sleep_or_change(&mut self, delay: Duration) -> Result<(), Closed> {
        match tokio::time::timeout(delay, self.desired.changed()).await {
            Ok(Err(_)) => Err(Closed),
            Ok(Ok(())) | Err(_) => Ok(()),
        }
    }

    /// Hands a document to the node, and tells whether it is newer than what was held.
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

    /// Tells the node whether the platform answered, and returns how long to wait.
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

/// A refusal is an answer as well.
fn is_reachable<T>(result: &Result<T, Error>) -> bool {
    !matches!(result, Err(Error::Unavailable(_) | Error::InDoubt(_)))
}

fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.75..1.25))
}
