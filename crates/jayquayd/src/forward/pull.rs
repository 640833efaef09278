//! Asks another instance for what it knows and this one does not.

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
use super::metric;
use super::relay;
use super::shared::Shared;

/// How long another instance may take to answer. It holds all it gives in memory, but thousands of upstreams take a third
/// of a second on a link of 10 Mbit/s.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How long an instance waits for its own zone to tell what another zone has told already. Its own zone's watchers learn it
/// from the store as soon, and bytes between zones cost more.
const FAR_PAUSE: Duration = Duration::from_millis(200);
/// How much longer an instance that starts waits at most, for each other one of its zone that it knows: one after the other asks another
/// zone, until those that have can tell the rest.
const FAR_SPACE: Duration = Duration::from_millis(10);

/// An instance that knows something newer, or something else.
#[derive(Debug, Clone, Copy)]
pub(super) struct Newer {
    pub(super) address: SocketAddr,
    /// How much it knows.
    pub(super) level: Revision,
    /// Which parts that is made of.
    pub(super) parts: Digest,
    /// Whether it is in another zone.
    pub(super) is_far: bool,
    /// Whether nobody nearer has told the same for a while.
    pub(super) is_overdue: bool,
}

/// Asks one instance, and takes in what it tells.
async fn pull(transport: &Transport, newer: Newer, shared: &Shared) {
    let Newer {
        address: from, is_far, ..
    } = newer;
    let path = format!("{}?{}", relay::PATH, relay::Query::from(held(shared)));
    let request = transport.request(Method::GET, from, &path, Duration::ZERO);
    let response = match request.send().await {
        Ok(response) if response.status() == StatusCode::OK => response,
        Ok(response) => {
            log::debug!("peers: {from} answers {}", response.status());
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
    let is_compressed = encoding.is_some_and(|encoding| encoding == relay::COMPRESSED);
    let Ok(body) = transport::read_body(response, relay::MAX_CHANGE_LEN).await else {
        log::debug!("peers: an answer broke off from={from}");
        return;
    };
    metric::change_bytes(if is_far { "other" } else { "own" }).increment(body.bytes.len() as u64);
    let bytes = if is_compressed {
        compression::expand(&body.bytes, relay::MAX_CHANGE_LEN)
    } else {
        Some(body.bytes)
    };
    let Some(change) = bytes.and_then(|bytes| relay::decode(&bytes)) else {
        metric::changes_malformed().increment(1);
        log::warn!("peers: unreadable change from={from}");
        return;
    };
    let now = shared.now();
    let take = |knowledge: &mut Knowledge| {
        if change.tells_epochs {
            return knowledge.apply(change, now);
        }
        let change = knowledge.read_without_epochs(change);
        change.is_some_and(|change| knowledge.apply(change, now))
    };
    if shared.learn(take) {
        let Positions {
            document_at,
            upstreams_at,
            evacuations_at,
            ..
        } = held(shared);
        log::info!(
            "peers: learnt from={from} document_at={document_at} upstreams_at={upstreams_at} evacuations_at={evacuations_at}"
        );
    }
}

/// The places that this instance's knowledge stands at.
pub(super) fn held(shared: &Shared) -> Positions {
    shared.core().knowledge().positions()
}

/// Asks an instance of another zone a little later, if nobody nearer has told the same by then.
async fn ask_later(newer: Newer, pause: Duration, again: mpsc::Sender<Newer>) {
    tokio::time::sleep(pause).await;
    let newer = Newer {
        is_overdue: true,
        ..newer
    };
    // The queue is gone only with the process.
    let _closed = again.send(newer).await;
}

/// How long an instance waits for its own zone to tell what another zone has told. While clients wait for it, it does not.
fn far_pause(shared: &Shared) -> Option<Duration> {
    if shared.is_ready() {
        return Some(FAR_PAUSE);
    }
    if shared.is_awaited() {
        return None;
    }
    let members = shared.members();
    let zone = &members.me().zone;
    let near = members.members().filter(|member| member.zone == *zone).count() - 1;
    let longest = FAR_SPACE * u32::try_from(near).unwrap_or(u32::MAX);
    Some(longest.mul_f64(rand::rng().random()))
}

/// How much this instance knows, and which parts that is made of.
pub(super) fn level(shared: &Shared) -> (Revision, Digest) {
    let core = shared.core();
    let knowledge = core.knowledge();
    (knowledge.level(), Digest::of(&digested(&knowledge.positions())))
}

/// What an instance of an earlier release knows, which tells no epochs, as it stands to what is known here.
pub(super) fn level_without_epochs(shared: &Shared, (level, parts): (Revision, Digest)) -> (Revision, Digest) {
    let core = shared.core();
    let knowledge = core.knowledge();
    let held = knowledge.positions();
    let is_same = parts == Digest::of(&digested(&held.in_epochs(&Positions::default())));
    let parts = if is_same { Digest::of(&digested(&held)) } else { parts };
    (knowledge.level_without_epochs(level), parts)
}

/// What the digest of an instance's knowledge is made of. In the first epoch that is the parts' revisions: the document's number adds
/// nothing to its place there.
fn digested(held: &Positions) -> Vec<u8> {
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

/// Asks others for their knowledge, one after the other, and only while they still know more.
pub(super) async fn ask(mut wanted: mpsc::Receiver<Newer>, again: mpsc::Sender<Newer>, shared: Shared) {
    let transport = Transport::without_reuse(TIMEOUT);
    let mut put_off = None;
    while let Some(newer) = wanted.recv().await {
        // Several instances tell of the same news, and the first one asked has it.
        let (level, parts) = level(&shared);
        if level > newer.level || (level, parts) == (newer.level, newer.parts) {
            continue;
        }
        let may_wait = newer.is_far && !newer.is_overdue;
        let Some(pause) = far_pause(&shared).filter(|_| may_wait) else {
            pull(&transport, newer, &shared).await;
            continue;
        };
        put_off = put_off.filter(|task: &JoinHandle<()>| !task.is_finished());
        put_off.get_or_insert_with(|| tokio::spawn(ask_later(newer, pause, again.clone())));
    }
}
