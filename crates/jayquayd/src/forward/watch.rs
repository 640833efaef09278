//! The store's watches. Only the watchers of an availability zone keep them; the others learn from these.

use std::time::Duration;

use adapter::Store;
use adapter::store::Error;
use adapter::store::Watched;
use flow::Entry;
use flow::Knowledge;
use flow::UpstreamId;
use rand::RngExt;
use units::Revision;

use super::shared::Shared;

/// The shortest and the longest time that a watch waits for a change. Each call costs the same however long it waits. A
/// connection that has gone silent for good shows only after the wait; as the watchers' waits differ, one of them finds
/// out within a second or two, and the others hear of the news from it.
const SHORTEST_WAIT: Duration = Duration::from_secs(4);
const LONGEST_WAIT: Duration = Duration::from_secs(8);
/// How long changes are gathered before the next call asks for more, so that a series of them costs few calls.
const GATHER: Duration = Duration::from_millis(300);
/// The first pause after a call that failed. It doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between calls that fail.
const LAST_PAUSE: Duration = Duration::from_millis(1_600);
/// How often an instance that does not watch looks whether it should.
const IDLE: Duration = Duration::from_millis(200);

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

/// How long the next watch waits.
fn wait() -> Duration {
    rand::rng().random_range(SHORTEST_WAIT..LONGEST_WAIT)
}

/// Keeps the document and the upstreams up to date.
pub(crate) async fn run(store: Store, shared: Shared) {
    tokio::join!(documents(&store, &shared), upstreams(&store, &shared));
}

/// Whether this instance has to ask the store: it is a watcher, or it holds too little to serve.
fn is_asked(shared: &Shared) -> bool {
    shared.members().is_watcher() || !shared.core().knowledge().is_ready()
}

async fn documents(store: &Store, shared: &Shared) {
    let mut cursor = None;
    let mut backoff = Backoff::new();
    loop {
        if !is_asked(shared) {
            cursor = None;
            tokio::time::sleep(IDLE).await;
            continue;
        }
        let result = match cursor {
            None => store.read_document().await,
            Some(since) => store.watch_document(since, wait()).await,
        };
        let documents = match result {
            Ok(documents) => documents,
            Err(error) => {
                failed("document", &error, &mut cursor, &mut backoff).await;
                continue;
            }
        };
        backoff = Backoff::new();
        cursor = Some(documents.at);
        let Some((at, document)) = documents.newest else {
            continue;
        };
        let revision = document.revision;
        if shared.learn(|knowledge| knowledge.take_document(at, document)) {
            log::info!("store: document {revision} at {at}");
        }
        tokio::time::sleep(GATHER).await;
    }
}

async fn upstreams(store: &Store, shared: &Shared) {
    let mut cursor = held(shared);
    let mut backoff = Backoff::new();
    loop {
        if !is_asked(shared) {
            tokio::time::sleep(IDLE).await;
            cursor = held(shared);
            continue;
        }
        let result = match cursor {
            None => list(store, shared).await,
            Some(since) => watch(store, shared, since).await,
        };
        let (at, has_changed) = match result {
            Ok(told) => told,
            Err(error) => {
                failed("upstreams", &error, &mut cursor, &mut backoff).await;
                continue;
            }
        };
        backoff = Backoff::new();
        cursor = Some(at);
        if has_changed {
            tokio::time::sleep(GATHER).await;
        }
    }
}

/// Tells of a call that failed, and waits a little.
async fn failed(what: &str, error: &Error, cursor: &mut Option<Revision>, backoff: &mut Backoff) {
    log::warn!("store: {what}: {error}");
    if matches!(error, Error::HistoryGone) {
        *cursor = None;
    }
    tokio::time::sleep(backoff.next()).await;
}

/// The revision from which a new watcher can go on without reading the whole list: it has it from another instance.
fn held(shared: &Shared) -> Option<Revision> {
    let at = shared.core().knowledge().upstreams_at();
    (at > Revision(0)).then_some(at)
}

async fn list(store: &Store, shared: &Shared) -> Result<(Revision, bool), Error> {
    let list = store.list_upstreams().await?;
    let count = list.upstreams.len();
    let now = shared.now();
    let has_changed = shared.learn(|knowledge| knowledge.take_list(list.at, list.upstreams, now));
    log::info!("store: {count} upstreams at {}", list.at);
    Ok((list.at, has_changed))
}

async fn watch(store: &Store, shared: &Shared, since: Revision) -> Result<(Revision, bool), Error> {
    let watched = store.watch_upstreams(since, wait()).await?;
    if watched.changes.is_empty() {
        return Ok((watched.at, false));
    }
    let at = watched.at;
    let now = shared.now();
    shared.learn(|knowledge| {
        let changes = entries(knowledge, watched);
        knowledge.apply(at, changes, now)
    });
    Ok((at, true))
}

/// Turns what a watch told into entries. An upstream that went keeps what was known of it; one that was never known
/// matters to nobody.
fn entries(knowledge: &Knowledge, watched: Watched) -> Vec<(UpstreamId, Entry)> {
    let mut entries = Vec::new();
    for (id, revision, upstream) in watched.changes {
        let gone = upstream.is_none();
        let Some(upstream) = upstream.or_else(|| knowledge.upstream(id).cloned()) else {
            continue;
        };
        entries.push((
            id,
            Entry {
                revision,
                upstream,
                gone,
            },
        ));
    }
    entries
}
