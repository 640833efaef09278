//! HTTP endpoints: readiness for the platform; changes and metrics for other instances and operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use adapter::ready;
use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_ENCODING;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use flow::Document;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use super::exchange;
use super::metric_update;
use super::metric_update::CapacityGauges;
use super::response_cache::ResponseCache;
use super::shared::Shared;
use super::status;
use super::status::Status;

/// Path of the metrics, as text.
pub(crate) const METRICS: &str = "/metrics";

/// State of the endpoints.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) shared: Shared,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) responses: Arc<ResponseCache>,
    pub(crate) gauges: Arc<Mutex<CapacityGauges>>,
}

/// Serves the readiness checks.
pub(crate) async fn serve_ready(listener: TcpListener, shared: Shared) -> io::Result<()> {
    let router = Router::new().route(ready::PATH, get(is_ready)).with_state(shared);
    axum::serve(listener, router).await
}

/// Serves other instances and operators.
pub(crate) async fn serve_peers(listener: TcpListener, context: Context) -> io::Result<()> {
    let router = Router::new()
        .route(exchange::PATH, get(changes))
        .route(METRICS, get(metrics))
        .route(status::PATH, get(own_status))
        .route(status::DOCUMENT_PATH, get(document))
        .with_state(context);
    axum::serve(listener, router).await
}

/// Listens with `SO_REUSEADDR`, so that a restarted process can use the same address at once.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Maximum number of connections waiting to be accepted. A whole fleet may contact one instance at the same time.
const BACKLOG: u32 = 1_024;

async fn is_ready(State(shared): State<Shared>) -> (StatusCode, String) {
    match shared.why_not_ready() {
        None => (StatusCode::OK, String::new()),
        Some(why) => (StatusCode::SERVICE_UNAVAILABLE, why),
    }
}

async fn changes(State(context): State<Context>, Query(held): Query<exchange::Query>) -> Response {
    let exchange::EncodedChange { bytes, is_compressed } =
        context.responses.get(held, context.shared.core().knowledge());
    let mut response = Bytes::from_owner(bytes).into_response();
    if is_compressed {
        let compressed = HeaderValue::from_static(exchange::DEFLATE);
        response.headers_mut().insert(CONTENT_ENCODING, compressed);
    }
    response
}

async fn own_status(State(context): State<Context>) -> Json<Status> {
    Json(Status::of(&context.shared))
}

async fn document(State(context): State<Context>) -> Result<Json<Document>, StatusCode> {
    let held = status::document(&context.shared);
    held.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn metrics(State(context): State<Context>) -> String {
    let mut gauges = context.gauges.lock().unwrap_or_else(PoisonError::into_inner);
    metric_update::update(&context.shared, &mut gauges);
    context.metrics.render()
}
