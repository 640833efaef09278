//! Calls to upstreams over HTTP, and polls of their health and load.
//!
//! Calls are never retried here. The node learns exactly what is known about a call: `Unreachable` means that no
//! connection was established, so no byte of the request was sent. Every call therefore uses a new connection that is
//! established before the request is passed to it. On a pooled connection, a failed request might or might not have
//! been sent.

use std::collections::HashMap;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::http;
use hyper_util::rt::TokioIo;
use node::Call;
use node::CallId;
use node::CallResult;
use node::Event;
use reqwest::Client;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use units::Incarnation;
use units::InstanceName;
use units::Millis;
use units::UpstreamName;

use crate::input::InputSender;
use crate::metric;
use crate::poll;

/// Header with the ID of the request, which is the same for every call made for it.
pub const REQUEST_HEADER: &str = "x-jayquay-request";
/// Header with the ID of the call.
pub const CALL_HEADER: &str = "x-jayquay-call";
/// Header with the name of the service.
pub const SERVICE_HEADER: &str = "x-jayquay-service";
/// Header with the kind of request.
pub const KIND_HEADER: &str = "x-jayquay-kind";
/// Header with the time left until the deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-jayquay-timeout-ms";
/// Header of a 503 response that states that the request has not run, and why.
pub const NOT_RUN_HEADER: &str = "x-jayquay-not-run";
/// Maximum length of an upstream's answer, in bytes.
pub const MAX_ANSWER_LEN: usize = 4 * 1_024 * 1_024 - 64 * 1_024;

/// Time limit for establishing a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Starts calls and polls, and tracks the calls in progress.
#[derive(Debug)]
pub struct Upstreams {
    call_client: CallClient,
    poll_client: Client,
    in_flight: HashMap<CallId, AbortHandle>,
    tasks: JoinSet<()>,
    input_sender: InputSender,
}

impl Upstreams {
    /// Prepares for calls whose IDs begin with the instance's name and incarnation.
    pub fn new(name: InstanceName, incarnation: Incarnation, input_sender: InputSender) -> reqwest::Result<Self> {
        Ok(Self {
            call_client: CallClient::new(name, incarnation),
            poll_client: poll::client()?,
            in_flight: HashMap::new(),
            tasks: JoinSet::new(),
            input_sender,
        })
    }

    /// Starts a call. Its result is sent to the engine as [`Event::CallEnded`].
    pub fn call(&mut self, call: Call) {
        self.reap_finished();
        let id = call.id;
        let call_client = self.call_client.clone();
        let input_sender = self.input_sender.clone();
        let task = self.tasks.spawn(async move {
            let result = call_client.call(&call).await;
            // Fails only if the engine has ended, in which case nobody needs the result.
            let _closed = input_sender.send_event(Event::CallEnded(id, result)).await;
        });
        self.in_flight.insert(id, task);
        metric::calls_running().set(self.in_flight.len() as f64);
    }

    /// Cancels a call by closing its connection.
    pub fn cancel(&mut self, id: CallId) {
        let Some(task) = self.in_flight.remove(&id) else {
            return;
        };
        task.abort();
        metric::calls(CANCELLED).increment(1);
        metric::calls_running().set(self.in_flight.len() as f64);
    }

    /// Removes a completed call. Returns whether its result is still expected, that is, whether it was not cancelled.
    pub fn complete(&mut self, id: CallId) -> bool {
        let is_expected = self.in_flight.remove(&id).is_some();
        metric::calls_running().set(self.in_flight.len() as f64);
        is_expected
    }

    /// Polls an upstream's health and load. The result is sent to the engine as [`Event::PollEnded`].
    pub fn poll(&mut self, name: UpstreamName, address: SocketAddr) {
        self.reap_finished();
        let client = self.poll_client.clone();
        let input_sender = self.input_sender.clone();
        self.tasks.spawn(async move {
            let report = poll::fetch_report(&client, address).await;
            metric::polls(if report.is_ok() { "ok" } else { "failed" }).increment(1);
            let _closed = input_sender.send_event(Event::PollEnded(name, report)).await;
        });
    }

    fn reap_finished(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }
}

/// Metric label of a cancelled call.
const CANCELLED: &str = "cancelled";

/// Executes single calls.
#[derive(Debug, Clone)]
pub struct CallClient {
    name: InstanceName,
    incarnation: Incarnation,
}

impl CallClient {
    /// Creates a client whose call IDs begin with the instance's name and incarnation.
    pub fn new(name: InstanceName, incarnation: Incarnation) -> Self {
        Self { name, incarnation }
    }

    /// Executes a call. Dropping the future closes the connection.
    pub async fn call(&self, call: &Call) -> CallResult {
        let started = Instant::now();
        let result = self.call_within(call, started + call.timeout).await;
        metric::calls(result_label(&result)).increment(1);
        metric::call_seconds().record(started.elapsed());
        result
    }

    async fn call_within(&self, call: &Call, deadline: Instant) -> CallResult {
        // Connecting has its own time limit: if the deadline passes before a connection is established, the request
        // has certainly not run.
        let connecting = tokio::time::timeout(CONNECT_TIME.min(call.timeout), connect(call.address));
        let Ok(Ok(stream)) = connecting.await else {
            return CallResult::Unreachable;
        };
        let exchange = tokio::time::timeout_at(deadline, self.exchange(call, stream)).await;
        exchange.unwrap_or(CallResult::TimedOut)
    }

    async fn exchange(&self, call: &Call, stream: TcpStream) -> CallResult {
        let call_headers = CallHeaders::new(call, &self.name, self.incarnation);
        let Ok(request) = build_request(call, &call_headers) else {
            return CallResult::Failed;
        };
        let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
            Ok(halves) => halves,
            Err(error) => return connection_error(&error),
        };
        let answer = async {
            match sender.send_request(request).await {
                Ok(response) => classify(response, &call_headers).await,
                Err(error) => connection_error(&error),
            }
        };
        // Data that arrived before the connection ended must still be read, so the end of the connection alone does not
        // complete the call.
        let connection_driver = async {
            let _ended = connection.await;
            std::future::pending().await
        };
        tokio::select! {
            result = answer => result,
            result = connection_driver => result,
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn build_request(call: &Call, call_headers: &CallHeaders) -> http::Result<Request<Full<Bytes>>> {
    Request::post("/run")
        .header(HOST, call.address.to_string())
        .header(REQUEST_HEADER, &call_headers.request)
        .header(CALL_HEADER, &call_headers.call)
        .header(SERVICE_HEADER, call.service.as_str())
        .header(KIND_HEADER, call.kind.as_str())
        .header(TIMEOUT_HEADER, Millis::from(call.timeout).0)
        .body(Full::from(call.body.clone()))
}

async fn classify(response: Response<Incoming>, call_headers: &CallHeaders) -> CallResult {
    match response.status() {
        StatusCode::OK => read_answer(response, call_headers).await,
        StatusCode::SERVICE_UNAVAILABLE => classify_refusal(&response, call_headers),
        _ => CallResult::Failed,
    }
}

/// The two header values that an answer must echo.
struct CallHeaders {
    request: String,
    call: String,
}

impl CallHeaders {
    fn new(call: &Call, name: &InstanceName, incarnation: Incarnation) -> Self {
        Self {
            request: format!("{}-{}-{}", call.owner, call.flow, call.seq),
            call: format!("{name}-{incarnation}-{}", call.id),
        }
    }

    fn is_echoed_by(&self, response: &Response<Incoming>) -> bool {
        header(response, REQUEST_HEADER) == Some(&self.request) && header(response, CALL_HEADER) == Some(&self.call)
    }

    /// Whether the response names another request or call. A response without these headers does not.
    fn is_contradicted_by(&self, response: &Response<Incoming>) -> bool {
        let differs = |name, expected: &str| header(response, name).is_some_and(|value| value != expected);
        differs(REQUEST_HEADER, &self.request) || differs(CALL_HEADER, &self.call)
    }
}

fn header<'a>(response: &'a Response<Incoming>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// The result of a connection error after which the request may have been sent.
fn connection_error(error: &hyper::Error) -> CallResult {
    log::debug!("upstreams: call failed: {error}, {:?}", error.source());
    CallResult::Failed
}

fn classify_refusal(response: &Response<Incoming>, call_headers: &CallHeaders) -> CallResult {
    if call_headers.is_contradicted_by(response) {
        return CallResult::Mismatched;
    }
    match header(response, NOT_RUN_HEADER) {
        Some("shed") => CallResult::Shed,
        Some("draining") => CallResult::Draining,
        _ => CallResult::Failed,
    }
}

async fn read_answer(response: Response<Incoming>, call_headers: &CallHeaders) -> CallResult {
    if !call_headers.is_echoed_by(&response) {
        return CallResult::Mismatched;
    }
    // A truncated or oversized body is treated as a mismatch.
    match Limited::new(response.into_body(), MAX_ANSWER_LEN).collect().await {
        Ok(body) => CallResult::Answered(body.to_bytes().into()),
        Err(_) => CallResult::Mismatched,
    }
}

fn result_label(result: &CallResult) -> &'static str {
    match result {
        CallResult::Answered(_) => "answered",
        CallResult::Shed => "shed",
        CallResult::Draining => "draining",
        CallResult::Unreachable => "unreachable",
        CallResult::Failed => "failed",
        CallResult::Mismatched => "mismatched",
        CallResult::TimedOut => "timed_out",
    }
}
