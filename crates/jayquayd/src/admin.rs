//! The HTTP endpoints for operators and probes: liveness, readiness, status, time line and metrics.
//!
//! Everything here reads. Nothing that is asked here changes what the instance does.

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
use metrics_exporter_prometheus::PrometheusHandle;
use node::Stage;
use node::Status;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use units::Time;

use crate::clock::Clock;
use crate::daemon::Addresses;
use crate::intake::Intake;
use crate::timeline::Seq;

/// How long the engine may take to answer before the process counts as not alive.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// What the endpoints need.
#[derive(Debug, Clone)]
pub struct Context {
    /// Reaches the engine.
    pub intake: Intake,
    /// Tells how long the process runs.
    pub clock: Clock,
    /// Where the process listens.
    pub addresses: Addresses,
    /// Renders the metrics, if a recorder is installed.
    pub metrics: Option<PrometheusHandle>,
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
}

impl Readiness {
    /// What a status says of readiness.
    pub fn of(status: &Status) -> Self {
        match status.stage {
            Stage::Draining | Stage::Stopped => Self::Draining,
            Stage::Starting if status.revision.is_none() => Self::NoDocument,
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
        }
    }

    /// Whether packets may be handed to the instance.
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Ready | Self::CutOff)
    }
}

/// The answer of `/ready`.
#[derive(Debug, Serialize)]
struct Ready {
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
struct Since {
    #[serde(default)]
    since: Seq,
}

/// Answers requests for ever.
pub async fn serve(listener: TcpListener, context: Context) {
    let router = Router::new()
        .route("/live", get(live))
        .route("/ready", get(ready))
        .route("/status", get(status))
        .route("/timeline", get(timeline))
        .route("/metrics", get(metrics))
        .with_state(context);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("admin: endpoints ended: {error}");
    }
}

async fn ask(context: &Context) -> Option<Status> {
    tokio::time::timeout(ANSWER_TIME, context.intake.status()).await.ok()?
}

async fn live(State(context): State<Context>) -> StatusCode {
    match ask(&context).await {
        Some(_) => StatusCode::OK,
        None => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn ready(State(context): State<Context>) -> Response {
    let Some(status) = ask(&context).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let state = Readiness::of(&status);
    let ready = state.is_ready();
    let code = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (code, Json(Ready { ready, state })).into_response()
}

async fn status(State(context): State<Context>) -> Response {
    let Some(status) = ask(&context).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let uptime = context.clock.uptime();
    let report = Report {
        state: Readiness::of(&status),
        addresses: context.addresses,
        now: context.clock.now(),
        uptime_ms: u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        node: status,
    };
    Json(report).into_response()
}

/// One JSON object a line, oldest first. A caller goes on from the last number it got.
async fn timeline(State(context): State<Context>, Query(query): Query<Since>) -> Response {
    let asked = tokio::time::timeout(ANSWER_TIME, context.intake.timeline(query.since)).await;
    let Ok(Some(page)) = asked else {
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
