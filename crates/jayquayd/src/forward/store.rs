//! Watches on the store. Only the watchers of an availability zone keep them; the other instances learn changes from
//! the watchers.

mod connection;
pub(super) mod evacuations;

use std::convert::Infallible;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use adapter::Store;
use adapter::store::DocumentRead;
use adapter::store::Error;
use adapter::store::UpstreamList;
use adapter::store::UpstreamListing;
use flow::Knowledge;
use rand::RngExt;
use tokio::sync::watch;
use units::Position;
use units::Revision;

use super::role::Role;
use super::settings::Settings;
use super::shared::Shared;
use super::shared::UnreadableDocument;
use super::watch_schedule::ObjectKind;
use super::watch_schedule::WatchSchedule;
use connection::StoreConnection;

/// Number of pages of the upstream list that every instance reads at startup. Only seeds read longer lists to the end
/// at once: in a fleet that starts simultaneously, the store would reject all but a few instances for exceeding its
/// read limit.
const INITIAL_PAGES: u32 = 4;
/// Time, at least, for which an instance that has read the first pages waits to learn the list from other instances
/// before it reads on.
const PEER_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a starting seed with no packets waiting lets other instances provide the knowledge, drawn from this
/// range: in a fleet that starts simultaneously, the first readers have then informed the rest before these read as
/// well. Routers check readiness every half second.
const SEED_STARTUP_DELAY: Range<Duration> = Duration::from_millis(200)..Duration::from_millis(1_500);
/// The same for instances that are not seeds. They contact the seeds first, which read a long list and pass it on
/// within this time.
const STARTUP_DELAY: Range<Duration> = Duration::from_secs(2)..Duration::from_secs(4);
/// Interval at which an instance that is not a watcher checks whether it should become one.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Gives other instances time to provide all knowledge, as long as no packets are waiting for this instance.
///
/// This way, only a few instances of a fleet that starts simultaneously, or is restarted one by one, read the store.
/// If the routers still send packets to this instance, as after its process was killed, it reads at once.
async fn wait_for_peers(shared: &Shared, is_seed: bool) {
    let range = if is_seed { SEED_STARTUP_DELAY } else { STARTUP_DELAY };
    let delay = rand::rng().random_range(range);
    tokio::select! {
        () = shared.wait_until_ready() => {}
        () = shared.packet_waiting() => {}
        () = tokio::time::sleep(delay) => {}
    }
}

/// Keeps the knowledge of the platform up to date, and switches to another store when the settings change.
pub(crate) async fn run(store: Store, mut settings: watch::Receiver<Settings>, shared: Shared) {
    let is_seed = settings.borrow().is_seed();
    wait_for_peers(&shared, is_seed).await;
    loop {
        let (address, is_seed, has_evacuations) = {
            let settings = settings.borrow_and_update();
            (settings.store, settings.is_seed(), settings.evacuations)
        };
        let store = store.at(address);
        let schedule = WatchSchedule::default();
        let settings_changed = settings.wait_for(|new| new.store != address || new.evacuations != has_evacuations);
        tokio::select! {
            _ = watch_document(&store, &shared, &schedule) => {}
            _ = watch_upstreams(&store, &shared, &schedule, is_seed) => {}
            _ = evacuations::run(&store, &shared, &schedule), if has_evacuations => {}
            changed = settings_changed => if changed.is_err() {
                return;
            },
        }
        log::info!("store: watches restarted after a change of settings from={address}");
    }
}

async fn watch_document(store: &Store, shared: &Shared, schedule: &WatchSchedule) -> Infallible {
    let mut cursor = None;
    let mut connection = StoreConnection::new(ObjectKind::Document);
    loop {
        let Some(role) = Role::of(shared) else {
            cursor = None;
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
            continue;
        };
        let result = match cursor {
            None => store.read_document().await,
            Some(since) => {
                let wait = schedule.wait(ObjectKind::Document, role, Instant::now());
                tokio::select! {
                    result = store.watch_document(since, wait) => result,
                    () = schedule.suspected(ObjectKind::Document) => continue,
                    () = wait_for_new_epoch(shared, since) => {
                        cursor = None;
                        continue;
                    }
                    () = schedule.stale(since, || shared.core().knowledge().document_at()) => {
                        log_stale_watch(ObjectKind::Document, since);
                        continue;
                    }
                }
            }
        };
        let documents = match result {
            Ok(documents) => documents,
            Err(error) => {
                cursor = cursor.filter(|_| !matches!(error, Error::HistoryGone));
                connection.failed(&error, schedule).await;
                continue;
            }
        };
        connection.succeeded();
        cursor = Some(documents.at);
        if apply_document(shared, documents) {
            tokio::time::sleep(role.batch_delay()).await;
        }
    }
}

/// Applies the result of a read or a watch of the document. Returns whether it held a document.
pub(super) fn apply_document(shared: &Shared, documents: DocumentRead) -> bool {
    let is_unreadable = documents.is_unreadable;
    if is_unreadable || documents.newest.is_some() {
        let at = documents.at;
        let unreadable = documents.why_unreadable.map(|reason| UnreadableDocument { at, reason });
        note_unreadable_document(shared, unreadable);
    }
    let Some((at, document)) = documents.newest else {
        return is_unreadable;
    };
    let revision = document.revision;
    let before = held_revision(shared);
    shared.learn(|knowledge| knowledge.apply_document(at, document));
    let held = held_revision(shared);
    if held != before && held == Some(revision) {
        log::info!("store: document in force revision={revision} at={at}");
    }
    if let Some(held) = held.filter(|held| *held > revision) {
        log::warn!("store: outdated document ignored revision={revision} at={at} held={held}");
    }
    true
}

/// The operators' revision of the document in force.
fn held_revision(shared: &Shared) -> Option<Revision> {
    shared.core().knowledge().positions().document
}

/// Logs a document that can't be parsed.
fn note_unreadable_document(shared: &Shared, unreadable: Option<UnreadableDocument>) {
    let has_changed = shared.set_unreadable_document(unreadable.clone());
    let Some(UnreadableDocument { at, reason }) = unreadable.filter(|_| has_changed) else {
        return;
    };
    let held = shared.core().knowledge().document_at();
    if held.is_unset() {
        log::error!("store: nothing is served, document unreadable and no other known at={at} error=\"{reason}\"");
    } else {
        log::warn!("store: document unreadable, earlier one stays in force at={at} held={held} error=\"{reason}\"");
    }
}

async fn watch_upstreams(store: &Store, shared: &Shared, schedule: &WatchSchedule, is_seed: bool) -> Infallible {
    let mut cursor = held_position(shared);
    let mut connection = StoreConnection::new(ObjectKind::Upstreams);
    loop {
        let Some(role) = Role::of(shared) else {
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
            cursor = held_position(shared);
            continue;
        };
        let result = match cursor {
            None => list_upstreams(store, shared, schedule, is_seed).await,
            Some(since) => {
                let wait = schedule.wait(ObjectKind::Upstreams, role, Instant::now());
                tokio::select! {
                    result = read_upstream_changes(store, shared, since, wait) => result,
                    () = schedule.suspected(ObjectKind::Upstreams) => continue,
                    () = wait_for_new_epoch(shared, since) => {
                        cursor = held_position(shared).filter(|at| at.epoch > since.epoch);
                        continue;
                    }
                    () = schedule.stale(since, || shared.core().knowledge().upstreams_at()) => {
                        log_stale_watch(ObjectKind::Upstreams, since);
                        cursor = held_position(shared);
                        continue;
                    }
                }
            }
        };
        let (at, has_changed) = match result {
            Ok(result) => result,
            Err(error) => {
                cursor = cursor.filter(|_| !matches!(error, Error::HistoryGone));
                connection.failed(&error, schedule).await;
                continue;
            }
        };
        connection.succeeded();
        cursor = Some(at);
        if has_changed {
            tokio::time::sleep(role.batch_delay()).await;
        }
    }
}

/// Waits until an epoch later than that of a watch is known. The store may have reassigned the watch's revision in the
/// new epoch, so the watch would wait for changes after something it has not seen.
async fn wait_for_new_epoch(shared: &Shared, since: Position) {
    shared.wait_until(|knowledge| knowledge.epoch() > since.epoch).await;
    // Spaces out the reads, however often other instances announce new epochs.
    tokio::time::sleep(ROLE_POLL_INTERVAL).await;
}

/// Logs that a watch did not report what other instances have learnt, so it is restarted.
fn log_stale_watch(kind: ObjectKind, since: Position) {
    log::info!("store: watch is stale what={kind} since={since}");
}

/// The position from which a new watcher can continue without reading the whole list, known from other instances.
fn held_position(shared: &Shared) -> Option<Position> {
    let at = shared.core().knowledge().upstreams_at();
    (!at.is_unset()).then_some(at)
}

/// Reads the list of upstreams, unless another instance provides it meanwhile.
async fn list_upstreams(
    store: &Store,
    shared: &Shared,
    schedule: &WatchSchedule,
    is_seed: bool,
) -> Result<(Position, bool), Error> {
    let is_unready = || !shared.core().knowledge().is_ready();
    let was_unready = is_unready();
    let mut listing = UpstreamListing::default();
    let mut connection = StoreConnection::new(ObjectKind::Upstreams);
    let mut pages = 0;
    let list = loop {
        match store.next_page(&mut listing).await {
            Ok(Some(list)) => break list,
            Ok(None) => {
                connection.succeeded();
                pages += 1;
            }
            // Keep the pages read so far: in a fleet that starts simultaneously, most calls are rejected.
            Err(error) if pages > 0 => connection.failed(&error, schedule).await,
            Err(error) => return Err(error),
        }
        if was_unready && pages == INITIAL_PAGES && !is_seed {
            wait_for_peer_knowledge(shared, PEER_LIST_TIMEOUT, Knowledge::is_ready).await;
        }
        if was_unready && !is_unready() {
            return Ok((shared.core().knowledge().upstreams_at(), false));
        }
    };
    Ok((list.at, apply_list(shared, list)))
}

/// Applies a whole list. Returns whether anything has changed.
fn apply_list(shared: &Shared, list: UpstreamList) -> bool {
    let count = list.upstreams.len();
    let at = list.at;
    let now = shared.now();
    let held_at = shared.core().knowledge().upstreams_at();
    let has_changed = shared.learn(|knowledge| knowledge.apply_list(at, list.sightings(), now));
    if at < held_at {
        log::warn!("store: outdated list of upstreams ignored at={at} held={held_at}");
    }
    log::info!("store: upstreams listed count={count} at={at}");
    has_changed
}

/// Reads the whole list of upstreams, unless other instances provide its contents meanwhile. They get some time to
/// read a long list.
pub(super) async fn read_list(store: &Store, shared: &Shared) -> Result<(), Error> {
    let mut listing = UpstreamListing::default();
    let began = Instant::now();
    let mut pages = 0;
    let list = loop {
        if let Some(list) = store.next_page(&mut listing).await? {
            break list;
        }
        pages += 1;
        let Some(at) = listing.at() else {
            continue;
        };
        let is_known = move |knowledge: &Knowledge| knowledge.upstreams_at() >= at;
        if pages == INITIAL_PAGES {
            wait_for_peer_knowledge(
                shared,
                peer_list_timeout(shared, listing.len(), began.elapsed()),
                is_known,
            )
            .await;
        }
        if is_known(shared.core().knowledge()) {
            return Ok(());
        }
    };
    apply_list(shared, list);
    Ok(())
}

/// How long to wait for other instances to read the list, given how many entries were read in what time: one and a
/// half times the estimated duration for all known upstreams.
fn peer_list_timeout(shared: &Shared, entries: usize, took: Duration) -> Duration {
    let known = shared.core().knowledge().upstreams().count();
    let whole = took.mul_f64(known as f64 / entries.max(1) as f64);
    PEER_LIST_TIMEOUT.max(whole + whole / 2)
}

/// Waits for a limited time until what other instances provide suffices.
async fn wait_for_peer_knowledge(shared: &Shared, timeout: Duration, is_sufficient: impl Fn(&Knowledge) -> bool) {
    // On a timeout too, the caller checks what is known.
    let _timed_out = tokio::time::timeout(timeout, shared.wait_until(is_sufficient)).await;
}

pub(super) async fn read_upstream_changes(
    store: &Store,
    shared: &Shared,
    since: Position,
    wait: Duration,
) -> Result<(Position, bool), Error> {
    let watched = store.watch_upstreams(since, wait).await?;
    if watched.changes.is_empty() {
        return Ok((watched.at, false));
    }
    let at = watched.at;
    let now = shared.now();
    shared.learn(|knowledge| knowledge.apply_watched(at, watched.changes, now));
    Ok((at, true))
}
