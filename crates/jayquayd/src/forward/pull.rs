//! Fetches knowledge that other instances have and this one lacks.

use std::net::SocketAddr;
use std::time::Duration;

use flow::Knowledge;
use flow::Positions;
use platform::transport;
use platform::transport::Transport;
use rand::RngExt;
use reqwest::Method;
use reqwest::StatusCode;
use reqwest::header::CONTENT_ENCODING;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use units::Epoch;
use units::Revision;
use wire::Digest;

use super::compression;
use super::exchange;
use super::metric;
use super::shared::Shared;

/// Timeout of a request to another instance. It holds its whole response in memory, but thousands of upstreams take a
/// third of a second on a link of 10 Mbit/s.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait for the local zone to provide what another zone has announced. The local zone's watchers learn it from
/// the store equally soon, and traffic between zones costs more.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the added delay of a starting instance, for each other instance that it knows in its zone: they ask
/// another zone one after the other, until those that have asked can provide the rest.
const STARTUP_SPACING: Duration = Duration::from_millis(10);

/// An instance that announced newer or different knowledge.
#[derive(Debug, Clone, Copy)]
pub(super) struct Announcement {
    pub(super) address: SocketAddr,
    /// Revision up to which it knows changes.
    pub(super) level: Revision,
    /// Digest of the positions of its knowledge.
    pub(super) parts: Digest,
    /// Whether it is in another zone.
    pub(super) is_from_other_zone: bool,
    /// Whether the wait for the local zone to provide the same is over.
    pub(super) has_waited: bool,
}

/// Fetches changes from one instance and applies them.
async fn fetch(transport: &Transport, announcement: Announcement, shared: &Shared) {
    let Announcement {
        address: from,
        is_from_other_zone,
        ..
    } = announcement;
    let path = format!("{}?{}", exchange::PATH, exchange::Query::from(held_positions(shared)));
    let request = transport.request(Method::GET, from, &path, Duration::ZERO);
    let response = match request.send().await {
        Ok(response) if response.status() == StatusCode::OK => response,
        Ok(response) => {
            log::debug!("peers: unexpected status from={from}: {}", response.status());
            return;
        }
        Err(error) => {
            log::info!(
                "peers: no answer from={from} error=\"{}\"",
                transport::root_cause(&error)
            );
            return;
        }
    };
    let encoding = response.headers().get(CONTENT_ENCODING);
    let is_compressed = encoding.is_some_and(|encoding| encoding == exchange::DEFLATE);
    let Ok(body) = transport::read_body(response, exchange::MAX_CHANGE_LEN).await else {
        log::debug!("peers: incomplete response from={from}");
        return;
    };
    metric::change_bytes(if is_from_other_zone { "other" } else { "own" }).increment(body.bytes.len() as u64);
    let bytes = if is_compressed {
        compression::expand(&body.bytes, exchange::MAX_CHANGE_LEN)
    } else {
        Some(body.bytes)
    };
    let Some(change) = bytes.and_then(|bytes| exchange::decode(&bytes)) else {
        metric::changes_malformed().increment(1);
        log::warn!("peers: malformed change from={from}");
        return;
    };
    let now = shared.now();
    let apply = |knowledge: &mut Knowledge| {
        if change.tells_epochs {
            return knowledge.apply(change, now);
        }
        let change = knowledge.read_without_epochs(change);
        change.is_some_and(|change| knowledge.apply(change, now))
    };
    if shared.learn(apply) {
        let Positions {
            document_at,
            upstreams_at,
            evacuations_at,
            ..
        } = held_positions(shared);
        log::info!(
            "peers: learnt from={from} document_at={document_at} upstreams_at={upstreams_at} evacuations_at={evacuations_at}"
        );
    }
}

/// The positions of this instance's knowledge.
pub(super) fn held_positions(shared: &Shared) -> Positions {
    shared.core().knowledge().positions()
}

/// Queues an instance of another zone again after a pause, in case the local zone has not provided the same by then.
async fn requeue_after(announcement: Announcement, delay: Duration, queue: mpsc::Sender<Announcement>) {
    tokio::time::sleep(delay).await;
    let announcement = Announcement {
        has_waited: true,
        ..announcement
    };
    // The channel closes only when the process ends.
    let _closed = queue.send(announcement).await;
}

/// Time to wait for the local zone to provide what another zone has announced. There is no wait while packets of
/// clients are queued.
fn other_zone_delay(shared: &Shared) -> Option<Duration> {
    if shared.is_ready() {
        return Some(OTHER_ZONE_DELAY);
    }
    if shared.has_waiting_packet() {
        return None;
    }
    let members = shared.members();
    let zone = &members.me().zone;
    let zone_peers = members.members().filter(|member| member.zone == *zone).count() - 1;
    let longest = STARTUP_SPACING * u32::try_from(zone_peers).unwrap_or(u32::MAX);
    Some(longest.mul_f64(rand::rng().random()))
}

/// Revision and digest of this instance's knowledge.
pub(super) fn level(shared: &Shared) -> (Revision, Digest) {
    let core = shared.core();
    let knowledge = core.knowledge();
    (knowledge.level(), Digest::of(&digest_input(&knowledge.positions())))
}

/// Converts the revision and digest announced by an instance of an earlier release, which lack epochs, to be
/// comparable with the knowledge here.
pub(super) fn level_without_epochs(shared: &Shared, (level, parts): (Revision, Digest)) -> (Revision, Digest) {
    let core = shared.core();
    let knowledge = core.knowledge();
    let held = knowledge.positions();
    let is_same = parts == Digest::of(&digest_input(&held.in_epochs(&Positions::default())));
    let parts = if is_same {
        Digest::of(&digest_input(&held))
    } else {
        parts
    };
    (knowledge.level_without_epochs(level), parts)
}

/// Input of the digest of an instance's knowledge. In epoch 0 it consists of the revisions of the parts: there, the
/// operators' revision of the document adds nothing to its position.
fn digest_input(held: &Positions) -> Vec<u8> {
    let Positions {
        document,
        document_at,
        upstreams_at,
        evacuations_at,
    } = held;
    let parts = [document_at, upstreams_at, evacuations_at];
    let mut bytes: Vec<u8> = parts.iter().flat_map(|at| at.revision.0.to_be_bytes()).collect();
    if parts.iter().all(|at| at.epoch == Epoch(0)) {
        return bytes;
    }
    bytes.extend(parts.iter().flat_map(|at| at.epoch.0.to_be_bytes()));
    bytes.extend(document.unwrap_or_default().0.to_be_bytes());
    bytes
}

/// Fetches knowledge from other instances one after another, skipping those that no longer know more.
pub(super) async fn run(
    mut announcements: mpsc::Receiver<Announcement>,
    queue: mpsc::Sender<Announcement>,
    shared: Shared,
) {
    let transport = Transport::without_reuse(TIMEOUT);
    let mut delayed = None;
    while let Some(announcement) = announcements.recv().await {
        // Several instances announce the same change, and the first request fetches it.
        let (level, parts) = level(&shared);
        if level > announcement.level || (level, parts) == (announcement.level, announcement.parts) {
            continue;
        }
        let may_delay = announcement.is_from_other_zone && !announcement.has_waited;
        let Some(delay) = other_zone_delay(&shared).filter(|_| may_delay) else {
            fetch(&transport, announcement, &shared).await;
            continue;
        };
        delayed = delayed.filter(|task: &JoinHandle<()>| !task.is_finished());
        delayed.get_or_insert_with(|| tokio::spawn(requeue_after(announcement, delay, queue.clone())));
    }
}
