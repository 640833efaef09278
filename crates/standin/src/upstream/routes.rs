//! What an upstream serves: requests, health and load.

use std::io;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header::CONTENT_LENGTH;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::KindName;
use units::Millis;
use units::ServiceName;
use units::Slots;

use crate::control;
use crate::line::Line;
use crate::upstream::Behaviour;
use crate::upstream::RequestKey;
use crate::upstream::Shared;
use crate::upstream::Upstream;
use crate::upstream::expected_answer;

/// Names the request, and is echoed in the answer.
pub const HEADER_REQUEST: &str = "x-jayquay-request";

/// Names the attempt, and is echoed in the answer.
pub const HEADER_CALL: &str = "x-jayquay-call";

/// Names the service that the request is meant for.
pub const HEADER_SERVICE: &str = "x-jayquay-service";

/// Names the kind of request.
pub const HEADER_KIND: &str = "x-jayquay-kind";

/// Says in how many milliseconds the answer has to be there.
pub const HEADER_TIMEOUT: &str = "x-jayquay-timeout-ms";

/// Says with a 503 that the request has not run, and why: `shed` or `draining`.
pub const HEADER_NOT_RUN: &str = "x-jayquay-not-run";

/// The longest request, in bytes.
const MAX_BODY_LEN: usize = 1024 * 1024;

/// What `GET /health` answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Which life this is.
    pub incarnation: Incarnation,
    /// Whether it is fit to serve.
    pub healthy: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How long ago it started, in milliseconds.
    pub age_ms: Millis,
}

/// What `GET /load` answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// How many requests run.
    pub busy: Slots,
    /// How many can run at a time.
    pub slots: Slots,
}

/// The headers of a request.
#[derive(Debug)]
struct Call {
    request: RequestKey,
    id: String,
    service: ServiceName,
    kind: KindName,
    timeout: Duration,
}

impl Call {
    fn read(headers: &HeaderMap) -> Option<Self> {
        let timeout: Millis = header(headers, HEADER_TIMEOUT)?;
        Some(Self {
            request: header(headers, HEADER_REQUEST)?,
            id: header(headers, HEADER_CALL)?,
            service: header(headers, HEADER_SERVICE)?,
            kind: header(headers, HEADER_KIND)?,
            timeout: timeout.duration(),
        })
    }
}

/// An answer and what it says it belongs to.
#[derive(Debug, Default, Clone)]
pub(crate) struct Answer {
    request: RequestKey,
    call: String,
    body: Vec<u8>,
}

/// The routes towards instances.
pub(crate) fn routes(shared: &Shared) -> Router {
    Router::new()
        .route("/run", post(run))
        .route("/health", get(health))
        .route("/load", get(load))
        .layer(DefaultBodyLimit::max(MAX_BODY_LEN))
        .with_state(shared.clone())
}

/// The routes of the control address: the usual ones, `GET /runs` and `POST /restart`.
pub(crate) fn control(upstream: &Upstream) -> Router {
    let work = Arc::clone(&upstream.shared.work);
    let restarted = upstream.clone();
    control::routes(upstream)
        .route("/runs", get(move || async move { Json(work.runs()) }))
        .route("/restart", post(move || async move { Json(restarted.restart().await) }))
}

async fn run(
    State(shared): State<Shared>,
    Extension(line): Extension<Line>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let Some(call) = Call::read(&headers) else {
        shared.work.count(|counts| counts.malformed += 1);
        return StatusCode::BAD_REQUEST.into_response();
    };
    if call.service != shared.options.service {
        shared.work.count(|counts| counts.violations += 1);
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let behaviour = shared.behaviour.borrow().clone();
    if behaviour.draining {
        shared.work.refuse_draining();
        return not_run("draining");
    }
    if shared.work.draw(behaviour.fail_before) {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let time = shared.work.draw_time(&shared.options);
    let Some(slot) = shared.work.begin(call.request, &body) else {
        return not_run("shed");
    };
    let expired = tokio::time::timeout(call.timeout, tokio::time::sleep(time))
        .await
        .is_err();
    slot.finish();
    if expired {
        shared.work.count(|counts| counts.expired += 1);
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    let answer = Answer {
        request: call.request,
        body: expected_answer(&call.service, &call.kind, &body, shared.options.answer_len),
        call: call.id,
    };
    send(&shared, &line, &behaviour, answer).await
}

/// Sends an answer, with the faults that it is to have.
async fn send(shared: &Shared, line: &Line, behaviour: &Behaviour, answer: Answer) -> Response {
    let other = shared.work.swap_last_answer(answer.clone());
    if shared.work.draw(behaviour.fail_after) {
        return line.cut().await;
    }
    if shared.work.draw(behaviour.late) {
        tokio::time::sleep(behaviour.late_by.duration()).await;
    }
    shared.work.count(|counts| counts.answered += 1);
    if shared.work.draw(behaviour.twice) {
        line.repeat_answer();
    }
    let answer = if shared.work.draw(behaviour.crossed) {
        other
    } else {
        answer
    };
    let headers = [(HEADER_REQUEST, answer.request.to_string()), (HEADER_CALL, answer.call)];
    if shared.work.draw(behaviour.cut_short) {
        let len = [(CONTENT_LENGTH, answer.body.len().to_string())];
        return (headers, len, half(answer.body)).into_response();
    }
    (headers, answer.body).into_response()
}

async fn health(State(shared): State<Shared>) -> Json<Health> {
    let behaviour = report(&shared).await;
    let (incarnation, age) = shared.work.life();
    Json(Health {
        incarnation,
        healthy: behaviour.claims.healthy.unwrap_or(true),
        draining: behaviour.claims.draining.unwrap_or(behaviour.draining),
        age_ms: age.into(),
    })
}

async fn load(State(shared): State<Shared>) -> Json<Load> {
    let behaviour = report(&shared).await;
    let busy = shared.work.busy(behaviour.report_lag.duration());
    Json(Load {
        busy: behaviour.claims.busy.unwrap_or(busy),
        slots: shared.options.slots,
    })
}

/// Waits while reports are stalled, and returns how to behave then.
async fn report(shared: &Shared) -> Behaviour {
    shared.work.count(|counts| counts.polls += 1);
    let mut behaviour = shared.behaviour.subscribe();
    let ready = behaviour.wait_for(|behaviour| !behaviour.stall_reports).await;
    ready.expect("the sender lives in what the handlers share").clone()
}

fn not_run(why: &'static str) -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, [(HEADER_NOT_RUN, why)]).into_response()
}

/// The first half of a body, after which the connection breaks.
fn half(mut body: Vec<u8>) -> Body {
    body.truncate(body.len() / 2);
    let broken = io::Error::from(io::ErrorKind::ConnectionReset);
    Body::from_stream(stream::iter([Ok(body), Err(broken)]))
}

fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
