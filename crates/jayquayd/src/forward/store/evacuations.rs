//! Watch of the zones that operators want evacuated.

use std::convert::Infallible;
use std::time::Duration;
use std::time::Instant;

use adapter::Store;
use adapter::store::Error;
use adapter::store::EvacuationList;
use flow::Evacuations;
use flow::Knowledge;
use units::Position;

use super::ROLE_POLL_INTERVAL;
use super::connection::StoreConnection;
use super::log_stale_watch;
use super::wait_for_new_epoch;
use crate::forward::role::Role;
use crate::forward::shared::Shared;
use crate::forward::watch_schedule::ObjectKind;
use crate::forward::watch_schedule::WatchSchedule;

/// Time after startup during which an instance starts no watch. It regards itself as its zone's watcher until it has
/// discovered the other instances, so in a fleet that starts simultaneously each instance would start a watch.
const STARTUP_DELAY: Duration = Duration::from_secs(2);

/// Keeps the set of evacuated zones up to date.
pub(super) async fn run(store: &Store, shared: &Shared, schedule: &WatchSchedule) -> Infallible {
    let held_at = || shared.core().knowledge().evacuations().at;
    let mut cursor = None;
    let mut connection = StoreConnection::new(ObjectKind::Evacuations);
    // Other instances usually provide all knowledge at once, and then nothing has to be read.
    shared.wait_until(Knowledge::has_routes_and_upstreams).await;
    loop {
        let is_needed = held_at().is_unset();
        let is_startup_over = shared.clock.uptime() >= STARTUP_DELAY;
        let role = Role::of(shared).filter(|_| is_needed || is_startup_over);
        let Some(role) = role else {
            cursor = None;
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
            continue;
        };
        let result = match cursor {
            None => read(store, shared).await.map(|at| (at, false)),
            Some(since) => {
                let wait = schedule.wait(ObjectKind::Evacuations, role, Instant::now());
                tokio::select! {
                    result = store.watch_evacuations(since, wait) => result,
                    () = schedule.suspected(ObjectKind::Evacuations) => continue,
                    () = wait_for_new_epoch(shared, since) => {
                        cursor = None;
                        continue;
                    }
                    () = schedule.stale(since, held_at) => {
                        log_stale_watch(ObjectKind::Evacuations, since);
                        cursor = None;
                        continue;
                    }
                }
            }
        };
        match result {
            Ok((at, has_changed)) => {
                connection.succeeded();
                // The watch reports only that something changed: the zones are few and are read together.
                cursor = Some(at).filter(|_| !has_changed);
            }
            Err(error) => {
                cursor = cursor.filter(|_| !matches!(error, Error::HistoryGone));
                connection.failed(&error, schedule).await;
            }
        }
    }
}

/// Reads which zones are evacuated and returns the position of that list.
pub(in crate::forward) async fn read(store: &Store, shared: &Shared) -> Result<Position, Error> {
    let EvacuationList {
        at,
        requested,
        unreadable,
    } = store.list_evacuations().await?;
    let read = Evacuations { at, zones: requested };
    let now = shared.now();
    shared.learn(|knowledge| knowledge.apply_evacuations(read, &unreadable, now));
    Ok(at)
}
