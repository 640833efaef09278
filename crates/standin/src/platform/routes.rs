//! The object API as HTTP.

use std::sync::Arc;
use std::time::Duration;

use ::platform::api;
use ::platform::api::Condition;
use ::platform::api::EntityTag;
use ::platform::api::HistoryResponse;
use ::platform::api::Key;
use ::platform::api::Kind;
use ::platform::api::ListResponse;
use ::platform::api::Object;
use ::platform::api::PutRequest;
use ::platform::api::PutResponse;
use axum::Extension;
use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::http::header::ETAG;
use axum::http::header::IF_MATCH;
use axum::http::header::IF_NONE_MATCH;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use node::Listed;
use serde::Deserialize;
use units::Revision;
use units::ZoneName;

use crate::line::Line;
use crate::platform::Shared;
use crate::platform::store::Store;

/// How much longer than its value a write may be, in bytes.
const PUT_OVERHEAD: usize = 4_096;
/// How many hexadecimal digits the tag of a list has.
const TAG_LEN: usize = 32;
/// The content type of the list.
const JSON: &str = "application/json";

/// What a read asks for.
#[derive(Debug, Default, Deserialize)]
struct Ask {
    newer_than: Option<Revision>,
    #[serde(default)]
    wait_ms: u64,
    version: Option<Revision>,
    history: Option<usize>,
}

/// Which part of the list a read asks for.
#[derive(Debug, Default, Deserialize)]
struct Part {
    zone: Option<ZoneName>,
    upstreams: Option<Upstreams>,
}

/// Which upstreams a read of the list asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Upstreams {
    Leaving,
}

impl Part {
    fn holds(&self, entry: &Listed) -> bool {
        match entry {
            Listed::Entry { zone, .. } => self.zone.as_ref().is_none_or(|wanted| wanted == zone),
            Listed::Upstream { leaving, .. } => self.upstreams.is_none() || *leaving,
        }
    }
}

/// The routes of the object API.
pub(crate) fn routes(shared: &Shared) -> Router {
    let object = format!("{}/{{kind}}/{{name}}", api::OBJECTS);
    Router::new()
        .route(&object, get(read).put(write))
        .route(api::LIST, get(list))
        .layer(DefaultBodyLimit::max(api::MAX_VALUE_LEN + PUT_OVERHEAD))
        .with_state(shared.clone())
}

async fn read(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(Kind, String)>,
    Query(ask): Query<Ask>,
) -> Response {
    let key = Key { kind, name };
    if let Some(newer_than) = ask.newer_than {
        return watch(&shared, &key, newer_than, Duration::from_millis(ask.wait_ms)).await;
    }
    shared.store.count(|counts| counts.reads += 1);
    if let Some(refusal) = disturb(&shared).await {
        return refusal;
    }
    let behind = shared.behaviour.borrow().behind;
    if let Some(limit) = ask.history {
        let versions = shared.store.history(&key, limit, behind);
        return Json(HistoryResponse { versions }).into_response();
    }
    let Some(found) = shared.store.find(&key, ask.version, behind) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    tagged(found)
}

async fn watch(shared: &Shared, key: &Key, newer_than: Revision, wait: Duration) -> Response {
    let _waiting = Waiting::new(&shared.store);
    if let Some(refusal) = disturb(shared).await {
        return refusal;
    }
    let mut changes = shared.store.changes();
    let mut behaviours = shared.behaviour.subscribe();
    let end = tokio::time::sleep(wait);
    tokio::pin!(end);
    loop {
        let behind = behaviours.borrow_and_update().behind;
        if let Some(object) = shared.store.find(key, None, behind)
            && object.version > newer_than
        {
            return tagged(object);
        }
        tokio::select! {
            _changed = changes.changed() => {}
            _changed = behaviours.changed() => {}
            () = &mut end => return StatusCode::NOT_MODIFIED.into_response(),
        }
    }
}

async fn write(
    State(shared): State<Shared>,
    Extension(line): Extension<Line>,
    Path((kind, name)): Path<(Kind, String)>,
    headers: HeaderMap,
    Json(put): Json<PutRequest>,
) -> Response {
    shared.store.count(|counts| counts.writes += 1);
    let Some(condition) = condition(&headers) else {
        return (StatusCode::BAD_REQUEST, "the condition cannot be read").into_response();
    };
    if put.value.to_string().len() > api::MAX_VALUE_LEN {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    if let Some(refusal) = disturb(&shared).await {
        return refusal;
    }
    let mut behaviour = shared.behaviour.subscribe();
    let store = Arc::clone(&shared.store);
    let key = Key { kind, name };
    // A task of its own takes effect even if the writer goes away meanwhile.
    let task = tokio::spawn(async move {
        // A stand-in that is stopped lets what it holds take effect, which nobody can see.
        drop(behaviour.wait_for(|behaviour| behaviour.hold != Some(put.nonce)).await);
        store.put(&key, condition, put)
    });
    let result = task.await.expect("the store does not panic");
    if result.is_ok() && take_lost_answer(&shared) {
        shared.store.count(|counts| counts.lost_answers += 1);
        return line.cut().await;
    }
    match result {
        Ok(version) => (tag(version), Json(PutResponse { version })).into_response(),
        Err(current) => (StatusCode::PRECONDITION_FAILED, Json(current)).into_response(),
    }
}

async fn list(State(shared): State<Shared>, Query(part): Query<Part>, headers: HeaderMap) -> Response {
    shared.store.count(|counts| counts.lists += 1);
    if let Some(refusal) = disturb(&shared).await {
        return refusal;
    }
    let lag = shared.behaviour.borrow().list_lag.duration();
    let mut entries = shared.store.list(lag);
    entries.retain(|entry| part.holds(entry));
    let body = serde_json::to_string(&ListResponse { entries }).expect("entries have a JSON form");
    // The tag follows from what is listed, so that a renewal that changes nothing leaves it as it is.
    let tag = format!("\"{}\"", &blake3::hash(body.as_bytes()).to_hex()[..TAG_LEN]);
    if headers.get(IF_NONE_MATCH).is_some_and(|held| held == tag.as_str()) {
        shared.store.count(|counts| counts.lists_unchanged += 1);
        return (StatusCode::NOT_MODIFIED, [(ETAG, tag)]).into_response();
    }
    shared.store.count(|counts| counts.list_bytes += body.len() as u64);
    ([(ETAG, tag), (CONTENT_TYPE, JSON.to_owned())], body).into_response()
}

/// Brings about the faults that any call may meet.
async fn disturb(shared: &Shared) -> Option<Response> {
    let mut behaviour = shared.behaviour.subscribe();
    // The sender lives in `shared`, so this waits for the end of the stall and for nothing else.
    let now = behaviour.wait_for(|behaviour| !behaviour.stalled).await.ok()?.clone();
    tokio::time::sleep(now.slow.duration()).await;
    now.unavailable.then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
}

fn take_lost_answer(shared: &Shared) -> bool {
    shared.behaviour.send_if_modified(|behaviour| {
        let some = behaviour.lose_answers > 0;
        behaviour.lose_answers = behaviour.lose_answers.saturating_sub(1);
        some
    })
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    if let Some(value) = headers.get(IF_MATCH) {
        let tag: EntityTag = value.to_str().ok()?.parse().ok()?;
        return Some(Condition::Version(tag.0));
    }
    if let Some(value) = headers.get(IF_NONE_MATCH) {
        return (value == "*").then_some(Condition::Absent);
    }
    Some(Condition::Any)
}

fn tagged(object: Object) -> Response {
    (tag(object.version), Json(object)).into_response()
}

fn tag(version: Revision) -> [(axum::http::HeaderName, String); 1] {
    [(ETAG, EntityTag(version).to_string())]
}

/// Counts a watch, and that it waits until this is dropped.
#[derive(Debug)]
struct Waiting<'a>(&'a Store);

impl<'a> Waiting<'a> {
    fn new(store: &'a Store) -> Self {
        store.count(|counts| {
            counts.watches += 1;
            counts.waiting += 1;
        });
        Self(store)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.count(|counts| counts.waiting -= 1);
    }
}
