//! HTTP endpoints for operators and probes: liveness, readiness, status, timeline and metrics.
//!
//! All endpoints are read-only.

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

/// Time limit for the engine to reply, after which the process is reported as not alive.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a connection, from accepting it to the last byte of the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of concurrent connections, which leaves file descriptors for sessions and calls.
const MAX_CONNECTIONS: usize = 64;

/// State shared by the endpoints.
#[derive(Debug, Clone)]
pub struct Context {
    /// Sends requests to the engine.
    pub input_sender: InputSender,
    /// Provides the uptime of the process.
    pub clock: Clock,
    /// Addresses at which the process listens.
    pub addresses: Addresses,
    /// Renders the metrics, if a recorder is installed.
    pub metrics: Option<PrometheusHandle>,
    /// Results of handshakes, which show whether other instances accept this one.
    pub handshake_history: Arc<HandshakeHistory>,
}

/// Whether an instance should receive packets, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// The instance serves requests.
    Ready,
    /// The instance serves requests but cannot reach the platform.
    CutOff,
    /// The instance has not yet found the other instances.
    Starting,
    /// The instance has no configuration document.
    NoDocument,
    /// A planned stop is in progress.
    Draining,
    /// The other instances reject this one because it holds none of their secrets.
    Stranger,
}

impl Readiness {
    /// Determines the readiness from the node's status and the results of handshakes.
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

    /// The state as written in JSON and on status pages.
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

    /// Whether the instance may receive packets.
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Ready | Self::CutOff)
    }
}

/// Response body of `/ready`.
#[derive(Debug, Serialize)]
struct ReadyResponse {
    ready: bool,
    state: Readiness,
}

/// Response body of `/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Readiness of the instance.
    pub state: Readiness,
    /// Addresses at which the instance listens.
    pub addresses: Addresses,
    /// Time of the instance's clock.
    pub now: Time,
    /// Time since the start of the process, in milliseconds.
    pub uptime_ms: u64,
    /// Version of the program.
    pub version: String,
    /// Status of the node.
    pub node: Status,
}

#[derive(Debug, Deserialize)]
struct TimelineQuery {
    #[serde(default)]
    since: Seq,
}

/// Serves requests until the task is aborted. A connection carries one request and is closed within 15 seconds.
pub async fn serve(listener: TcpListener, context: Context) {
    let router = router(context);
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let throttle = LogThrottle::default();
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let (tcp, from) = accept::accept_next(&listener, "admin").await;
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
            // The client may disconnect or exceed the time limit.
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

/// Returns one JSON object per line, oldest first. A client continues from the last sequence number it received.
async fn timeline(State(context): State<Context>, Query(query): Query<TimelineQuery>) -> Response {
    let result = tokio::time::timeout(ENGINE_TIMEOUT, context.input_sender.timeline(query.since)).await;
    let Ok(Some(page)) = result else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let mut lines = String::new();
    for entry in page.0 {
        let line = serde_json::to_string(&entry).expect("an entry can always be encoded as JSON");
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
