//! The HTTP endpoints for operators and probes: liveness, readiness, status, time line and metrics.
//!
//! Everything here reads. Nothing that is asked here changes what the instance does.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use metrics_exporter_prometheus::PrometheusHandle;
use node::Stage;
use node::Status;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use units::Time;

use crate::accept;
use crate::addresses::Addresses;
use crate::clock::Clock;
use crate::input::InputSender;
use crate::sessions::HandshakeHistory;
use crate::throttle::LogThrottle;
use crate::timeline::Seq;

/// How long the engine may take to answer before the process counts as not alive.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may last, from its beginning to the last byte of its answer.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);
/// How many connections there may be at a time, so that those who ask leave file descriptors for sessions and calls.
const MAX_CONNECTIONS: usize = 64;

/// What the endpoints need.
#[derive(Debug, Clone)]
pub struct Context {
    /// Reaches the engine.
    pub input_sender: InputSender,
    /// Tells how long the process runs.
    pub clock: Clock,
    /// Where the process listens.
    pub addresses: Addresses,
    /// Renders the metrics, if a recorder is installed.
    pub metrics: Option<PrometheusHandle>,
    /// Whether other instances accept this one.
    pub handshake_history: Arc<HandshakeHistory>,
}

/// Why an instance should get no packets, or that it should.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// It serves.
    Ready,
    /// It serves what it can without the platform.
    CutOff,
    /// It has not found its fleet yet.
    Starting,
    /// It holds no configuration document.
    NoDocument,
    /// It is on a planned stop.
    Draining,
    /// The other instances take it for a stranger: its secrets are not theirs.
    Stranger,
}

impl Readiness {
    /// What a status and the handshakes with other instances say of readiness.
    pub fn of(status: &Status, is_rejected: bool) -> Self {
        match status.stage {
            Stage::Draining | Stage::Stopped => Self::Draining,
            Stage::Starting if status.revision.is_none() => Self::NoDocument,
            Stage::Starting | Stage::Serving if is_rejected => Self::Stranger,
            Stage::Starting => Self::Starting,
            Stage::Serving if !status.platform => Self::CutOff,
            Stage::Serving => Self::Ready,
        }
    }

    /// The state as it stands in JSON and on status pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::CutOff => "cut-off",
            Self::Starting => "starting",
            Self::NoDocument => "no-document",
            Self::Draining => "draining",
            Self::Stranger => "stranger",
        }
    }

    /// Whether packets may be handed to the instance.
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Ready | Self::CutOff)
    }
}

/// The answer of `/ready`.
#[derive(Debug, Serialize)]
struct ReadyResponse {
    ready: bool,
    state: Readiness,
}

/// The answer of `/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Whether packets may be handed to it, and why not.
    pub state: Readiness,
    /// Where it listens.
    pub addresses: Addresses,
    /// Its own clock.
    pub now: Time,
    /// How long it runs, in milliseconds.
    pub uptime_ms: u64,
    /// The version of the program.
    pub version: String,
    /// What its node tells of itself.
    pub node: Status,
}

#[derive(Debug, Deserialize)]
struct TimelineQuery {
    #[serde(default)]
    since: Seq,
}

/// Answers requests for ever. A connection carries one request, and ends within 15 seconds.
pub async fn serve(listener: TcpListener, context: Context) {
    let router = router(context);
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let throttle = LogThrottle::default();
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let (tcp, from) = accept::next(&listener, "admin").await;
        let Ok(permit) = Arc::clone(&slots).try_acquire_owned() else {
            if let Some(suppressed) = throttle.allow() {
                log::warn!("admin: too many connections, refused {from}{suppressed}");
            }
            continue;
        };
        let service = TowerToHyperService::new(router.clone());
        tasks.spawn(async move {
            let mut server = http1::Builder::new();
            let connection = server.keep_alive(false).serve_connection(TokioIo::new(tcp), service);
            // Whoever asked may hang up, or be too slow for the time that a connection has.
            let _ended = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
            drop(permit);
        });
    }
}

fn router(context: Context) -> Router {
    Router::new()
        .route("/live", get(live))
        .route("/ready", get(ready))
        .route("/status", get(status))
        .route("/timeline", get(timeline))
        .route("/metrics", get(metrics))
        .with_state(context)
}

async fn query_status(context: &Context) -> Option<Status> {
    tokio::time::timeout(ENGINE_TIMEOUT, context.input_sender.status())
        .await
        .ok()?
}

async fn live(State(context): State<Context>) -> StatusCode {
    match query_status(&context).await {
        Some(_) => StatusCode::OK,
        None => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn ready(State(context): State<Context>) -> Response {
    let Some(status) = query_status(&context).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let state = Readiness::of(&status, context.handshake_history.is_rejected());
    let ready = state.is_ready();
    let code = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (code, Json(ReadyResponse { ready, state })).into_response()
}

async fn status(State(context): State<Context>) -> Response {
    let Some(status) = query_status(&context).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let uptime = context.clock.uptime();
    let report = Report {
        state: Readiness::of(&status, context.handshake_history.is_rejected()),
        addresses: context.addresses,
        now: context.clock.now(),
        uptime_ms: u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        node: status,
    };
    Json(report).into_response()
}

/// One JSON object a line, oldest first. A caller goes on from the last number it got.
async fn timeline(State(context): State<Context>, Query(query): Query<TimelineQuery>) -> Response {
    let queried = tokio::time::timeout(ENGINE_TIMEOUT, context.input_sender.timeline(query.since)).await;
    let Ok(Some(page)) = queried else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let mut lines = String::new();
    for entry in page.0 {
        let line = serde_json::to_string(&entry).expect("an entry always has a JSON form");
        lines.push_str(&line);
        lines.push('\n');
    }
    ([(header::CONTENT_TYPE, "application/x-ndjson")], lines).into_response()
}

async fn metrics(State(context): State<Context>) -> Response {
    match &context.metrics {
        Some(handle) => handle.render().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}
