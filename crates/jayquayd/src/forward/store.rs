//! The store's watches. Only the watchers of an availability zone keep them; the others learn from these.

use std::convert::Infallible;
use std::time::Duration;
use std::time::Instant;

use adapter::Store;
use adapter::store::Error;
use adapter::store::Listing;
use rand::RngExt;
use tokio::sync::watch;
use units::Revision;

use super::settings::Settings;
use super::shared::Shared;

/// The shortest and the longest time that a watch waits for a change. Each call costs the same however long it waits. A
/// connection that has gone silent for good shows only after the wait; as the watchers' waits differ, one of them finds
/// out within a second or two, and the others hear of the news from it.
const SHORTEST_WAIT: Duration = Duration::from_secs(4);
const LONGEST_WAIT: Duration = Duration::from_secs(8);
/// From how many availability zones on each has one watcher. What it misses while it fails, the others' watchers tell its
/// zone a fifth of a second later; a second one there took a quarter of all calls to the store.
const ENOUGH_ZONES: usize = 3;
/// How long changes are gathered before the next call asks for more, so that a series of them costs few calls.
const GATHER: Duration = Duration::from_millis(700);
/// How long a zone's second watcher gathers changes. It is there for the moment in which the first one fails, and what
/// it learns late is still in force within the bounds for a change, the shortest of which are three seconds.
const GATHER_SECOND: Duration = Duration::from_millis(1_500);
/// How long a zone's second watcher waits for a change.
const SECOND_WAIT: Duration = Duration::from_secs(20);
/// The first pause after a call that failed. It doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between calls that fail.
const LAST_PAUSE: Duration = Duration::from_millis(1_600);
/// How many pages of the list every instance reads at its start. Where there are more, only the seeds go on at once: of a
/// fleet that starts together, all but a few would be refused for reading more than the store gives.
const PAGES_AT_ONCE: u32 = 4;
/// How long the others wait to be told, before they read on themselves.
const OTHERS_PATIENCE: Duration = Duration::from_secs(2);
/// How often an instance that does not watch looks whether it should.
const IDLE: Duration = Duration::from_millis(200);

/// Tells when the store is lost and regained for one kind of object, and paces calls that fail.
#[derive(Debug)]
struct Link {
    what: &'static str,
    lost: Option<Instant>,
    backoff: Backoff,
}

impl Link {
    fn new(what: &'static str) -> Self {
        Self {
            what,
            lost: None,
            backoff: Backoff::new(),
        }
    }

    /// A call was answered.
    fn answered(&mut self) {
        self.note_answer();
        self.backoff = Backoff::new();
    }

    fn note_answer(&mut self) {
        if let Some(lost) = self.lost.take() {
            log::info!(
                "store: regained what={} after_ms={}",
                self.what,
                lost.elapsed().as_millis()
            );
        }
    }

    /// A call brought nothing. Waits until the next one may be made.
    async fn failed(&mut self, error: &Error) {
        match error {
            Error::HistoryGone => self.note_gone(),
            Error::Unreachable(_) | Error::Refused(_) | Error::Malformed(_) | Error::TooLong => self.note_lost(error),
        }
        tokio::time::sleep(self.backoff.next()).await;
    }

    /// The store answers, but no longer knows what has changed since the revision that was asked from.
    fn note_gone(&mut self) {
        self.note_answer();
        log::info!("store: history gone what={}", self.what);
    }

    fn note_lost(&mut self, error: &Error) {
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            log::warn!("store: lost what={} error=\"{error}\"", self.what);
        }
        log::debug!("store: failed what={} error=\"{error}\"", self.what);
    }
}

/// Pauses that grow while calls fail, with a random part so that instances don't call together.
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

/// Keeps the document and the upstreams up to date, wherever the settings say the store is.
pub(crate) async fn run(mut settings: watch::Receiver<Settings>, shared: Shared) {
    loop {
        let (address, is_seed) = {
            let settings = settings.borrow_and_update();
            (settings.store, settings.is_seed())
        };
        let store = Store::new(address);
        let has_moved = settings.wait_for(|new| new.store != address);
        tokio::select! {
            _ = documents(&store, &shared) => {}
            _ = upstreams(&store, &shared, is_seed) => {}
            moved = has_moved => if moved.is_err() {
                return;
            },
        }
        log::info!("store: moved from={address}");
    }
}

/// This instance's part in watching the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Duty {
    /// It is its zone's first watcher, or it holds too little to serve.
    First,
    /// It is its zone's second watcher.
    Second,
}

impl Duty {
    /// `None` while others watch for this instance.
    pub(crate) fn of(shared: &Shared) -> Option<Self> {
        if !shared.core().knowledge().is_ready() {
            return Some(Self::First);
        }
        let members = shared.members();
        let own = &members.me().name;
        match members.watchers().position(|member| member.name == *own) {
            Some(0) => Some(Self::First),
            Some(_) if members.zone_count() < ENOUGH_ZONES => Some(Self::Second),
            Some(_) | None => None,
        }
    }

    /// How long the next watch waits.
    fn wait(self) -> Duration {
        match self {
            Self::First => rand::rng().random_range(SHORTEST_WAIT..LONGEST_WAIT),
            Self::Second => SECOND_WAIT,
        }
    }

    fn gather(self) -> Duration {
        match self {
            Self::First => GATHER,
            Self::Second => GATHER_SECOND,
        }
    }
}

async fn documents(store: &Store, shared: &Shared) -> Infallible {
    let mut cursor = None;
    let mut link = Link::new("document");
    loop {
        let Some(duty) = Duty::of(shared) else {
            cursor = None;
            tokio::time::sleep(IDLE).await;
            continue;
        };
        let result = match cursor {
            None => store.read_document().await,
            Some(since) => store.watch_document(since, duty.wait()).await,
        };
        let documents = match result {
            Ok(documents) => documents,
            Err(error) => {
                cursor = cursor.filter(|_| !matches!(error, Error::HistoryGone));
                link.failed(&error).await;
                continue;
            }
        };
        link.answered();
        cursor = Some(documents.at);
        let Some((at, document)) = documents.newest else {
            continue;
        };
        let revision = document.revision;
        if shared.learn(|knowledge| knowledge.take_document(at, document)) {
            log::info!("store: document in force revision={revision} at={at}");
        }
        tokio::time::sleep(duty.gather()).await;
    }
}

async fn upstreams(store: &Store, shared: &Shared, is_seed: bool) -> Infallible {
    let mut cursor = held(shared);
    let mut link = Link::new("upstreams");
    loop {
        let Some(duty) = Duty::of(shared) else {
            tokio::time::sleep(IDLE).await;
            cursor = held(shared);
            continue;
        };
        let result = match cursor {
            None => list(store, shared, is_seed).await,
            Some(since) => watch(store, shared, since, duty.wait()).await,
        };
        let (at, has_changed) = match result {
            Ok(told) => told,
            Err(error) => {
                cursor = cursor.filter(|_| !matches!(error, Error::HistoryGone));
                link.failed(&error).await;
                continue;
            }
        };
        link.answered();
        cursor = Some(at);
        if has_changed {
            tokio::time::sleep(duty.gather()).await;
        }
    }
}

/// The revision from which a new watcher can go on without reading the whole list: it has it from another instance.
fn held(shared: &Shared) -> Option<Revision> {
    let at = shared.core().knowledge().upstreams_at();
    (at > Revision(0)).then_some(at)
}

/// Reads the list of upstreams, unless another instance tells it meanwhile.
async fn list(store: &Store, shared: &Shared, is_seed: bool) -> Result<(Revision, bool), Error> {
    let is_needed = || !shared.core().knowledge().is_ready();
    let was_needed = is_needed();
    let mut listing = Listing::default();
    let mut link = Link::new("list of upstreams");
    let mut pages = 0;
    let list = loop {
        match store.next_page(&mut listing).await {
            Ok(Some(list)) => break list,
            Ok(None) => {
                link.answered();
                pages += 1;
            }
            // The pages that were read stay: in a fleet that starts at once, most calls are refused.
            Err(error) if pages > 0 => link.failed(&error).await,
            Err(error) => return Err(error),
        }
        if was_needed && pages == PAGES_AT_ONCE && !is_seed {
            wait_for_others(shared).await;
        }
        if was_needed && !is_needed() {
            return Ok((shared.core().knowledge().upstreams_at(), false));
        }
    };
    let count = list.upstreams.len();
    let now = shared.now();
    let has_changed = shared.learn(|knowledge| knowledge.take_list(list.at, list.upstreams, now));
    log::info!("store: upstreams listed count={count} at={}", list.at);
    Ok((list.at, has_changed))
}

/// Leaves it to others for a moment to read a long list.
async fn wait_for_others(shared: &Shared) {
    // Whether they told in time or not, the caller looks what is known.
    let _in_time = tokio::time::timeout(OTHERS_PATIENCE, shared.until_ready()).await;
}

async fn watch(store: &Store, shared: &Shared, since: Revision, wait: Duration) -> Result<(Revision, bool), Error> {
    let watched = store.watch_upstreams(since, wait).await?;
    if watched.changes.is_empty() {
        return Ok((watched.at, false));
    }
    let at = watched.at;
    let now = shared.now();
    shared.learn(|knowledge| knowledge.take_watched(at, watched.changes, now));
    Ok((at, true))
}
