//! Watch of the zones that operators want evacuated.

use std::convert::Infallible;
use std::time::Duration;
use std::time::Instant;

use adapter::Store;
use adapter::store::Error;
use adapter::store::Zones;
use flow::Evacuations;
use flow::Knowledge;
use units::Position;

use super::IDLE;
use super::come_back;
use super::link::Link;
use super::overtaken;
use crate::forward::rhythm::Kind;
use crate::forward::rhythm::Rhythm;
use crate::forward::role::Role;
use crate::forward::shared::Shared;

/// Time after startup during which an instance starts no watch. It regards itself as its zone's watcher until it has
/// discovered the other instances, so in a fleet that starts simultaneously each instance would start a watch.
const SETTLED: Duration = Duration::from_secs(2);

/// Keeps the set of evacuated zones up to date.
pub(super) async fn run(store: &Store, shared: &Shared, rhythm: &Rhythm) -> Infallible {
    let held_at = || shared.core().knowledge().evacuations().at;
    let mut cursor = None;
    let mut link = Link::new(Kind::Evacuations);
    // Other instances usually provide all knowledge at once, and then nothing has to be read.
    shared.until(Knowledge::has_routes_and_upstreams).await;
    loop {
        let is_needed = held_at().is_unset();
        let is_settled = shared.clock.uptime() >= SETTLED;
        let role = Role::of(shared).filter(|_| is_needed || is_settled);
        let Some(role) = role else {
            cursor = None;
            tokio::time::sleep(IDLE).await;
            continue;
        };
        let result = match cursor {
            None => read(store, shared).await.map(|at| (at, false)),
            Some(since) => {
                let wait = rhythm.wait(Kind::Evacuations, role, Instant::now());
                tokio::select! {
                    result = store.watch_evacuations(since, wait) => result,
                    () = rhythm.doubted(Kind::Evacuations) => continue,
                    () = come_back(shared, since) => {
                        cursor = None;
                        continue;
                    }
                    () = rhythm.overtaken(since, held_at) => {
                        overtaken(Kind::Evacuations, since);
                        cursor = None;
                        continue;
                    }
                }
            }
        };
        match result {
            Ok((at, has_changed)) => {
                link.answered();
                // The watch reports only that something changed: the zones are few and are read together.
                cursor = Some(at).filter(|_| !has_changed);
            }
            Err(error) => {
                cursor = cursor.filter(|_| !matches!(error, Error::HistoryGone));
                link.failed(&error, rhythm).await;
            }
        }
    }
}

/// Reads which zones are evacuated and returns the position of that list.
pub(in crate::forward) async fn read(store: &Store, shared: &Shared) -> Result<Position, Error> {
    let Zones { at, named, unreadable } = store.list_evacuations().await?;
    let read = Evacuations { at, zones: named };
    let now = shared.now();
    shared.learn(|knowledge| knowledge.apply_evacuations(read, &unreadable, now));
    Ok(at)
}
