//! Calls to upstreams over HTTP, and polls of their health and load.
//!
//! This part never retries. It tells the node exactly what is known of a call: `Unreachable` only when no
//! connection came about, so that no byte of the request was sent. Therefore every call has a connection of its
//! own, made before the request is handed over: on a pooled one, a request that failed might or might not have been
//! sent.

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

use crate::intake::Intake;
use crate::metric;
use crate::poll;

/// Names the request, the same in each call for it.
pub const REQUEST_HEADER: &str = "x-jayquay-request";
/// Names the call.
pub const CALL_HEADER: &str = "x-jayquay-call";
/// The service.
pub const SERVICE_HEADER: &str = "x-jayquay-service";
/// The kind of request.
pub const KIND_HEADER: &str = "x-jayquay-kind";
/// How long until the deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-jayquay-timeout-ms";
/// On a 503: the request has not run, and why.
pub const NOT_RUN_HEADER: &str = "x-jayquay-not-run";
/// The longest answer of an upstream, in bytes.
pub const MAX_ANSWER_LEN: usize = 4 * 1_024 * 1_024 - 64 * 1_024;

/// How long making a connection may take.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Calls upstreams, and keeps track of the calls in progress.
#[derive(Debug)]
pub struct Upstreams {
    caller: Caller,
    polls: Client,
    running: HashMap<CallId, AbortHandle>,
    tasks: JoinSet<()>,
    intake: Intake,
}

impl Upstreams {
    /// Calls in the name of this life of an instance.
    pub fn new(name: InstanceName, incarnation: Incarnation, intake: Intake) -> reqwest::Result<Self> {
        Ok(Self {
            caller: Caller::new(name, incarnation),
            polls: poll::client()?,
            running: HashMap::new(),
            tasks: JoinSet::new(),
            intake,
        })
    }

    /// Begins a call. Its result comes as [`Event::CallEnded`].
    pub fn call(&mut self, call: Call) {
        self.reap();
        let id = call.id;
        let caller = self.caller.clone();
        let intake = self.intake.clone();
        let task = self.tasks.spawn(async move {
            let result = caller.call(&call).await;
            // The engine is gone when this fails, and the result with it.
            let _closed = intake.event(Event::CallEnded(id, result)).await;
        });
        self.running.insert(id, task);
        metric::calls_running().set(self.running.len() as f64);
    }

    /// Ends a call at once by closing its connection.
    pub fn cancel(&mut self, id: CallId) {
        let Some(task) = self.running.remove(&id) else {
            return;
        };
        task.abort();
        metric::calls(CANCELLED).increment(1);
        metric::calls_running().set(self.running.len() as f64);
    }

    /// Forgets a call whose result has come, and tells whether it was still wanted.
    pub fn ended(&mut self, id: CallId) -> bool {
        let wanted = self.running.remove(&id).is_some();
        metric::calls_running().set(self.running.len() as f64);
        wanted
    }

    /// Asks for an upstream's health and load. The answer comes as [`Event::PollEnded`].
    pub fn poll(&mut self, name: UpstreamName, address: SocketAddr) {
        self.reap();
        let client = self.polls.clone();
        let intake = self.intake.clone();
        self.tasks.spawn(async move {
            let report = poll::report(&client, address).await;
            metric::polls(if report.is_ok() { "ok" } else { "failed" }).increment(1);
            let _closed = intake.event(Event::PollEnded(name, report)).await;
        });
    }

    fn reap(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }
}

/// The result label of a call that was cancelled.
const CANCELLED: &str = "cancelled";

/// Makes single calls.
#[derive(Debug, Clone)]
pub struct Caller {
    name: InstanceName,
    incarnation: Incarnation,
}

impl Caller {
    /// Calls in the name of this life of an instance.
    pub fn new(name: InstanceName, incarnation: Incarnation) -> Self {
        Self { name, incarnation }
    }

    /// Makes a call. Dropping the future closes the connection.
    pub async fn call(&self, call: &Call) -> CallResult {
        let began = Instant::now();
        let result = self.call_within(call, began + call.timeout).await;
        metric::calls(label(&result)).increment(1);
        metric::call_seconds().record(began.elapsed());
        result
    }

    async fn call_within(&self, call: &Call, deadline: Instant) -> CallResult {
        // Connecting has a time of its own, because a deadline that passes meanwhile leaves nothing in doubt.
        let connecting = tokio::time::timeout(CONNECT_TIME.min(call.timeout), connect(call.address));
        let Ok(Ok(stream)) = connecting.await else {
            return CallResult::Unreachable;
        };
        let exchange = tokio::time::timeout_at(deadline, self.exchange(call, stream)).await;
        exchange.unwrap_or(CallResult::TimedOut)
    }

    async fn exchange(&self, call: &Call, stream: TcpStream) -> CallResult {
        let names = Names::new(call, &self.name, self.incarnation);
        let Ok(request) = request(call, &names) else {
            return CallResult::Failed;
        };
        let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
            Ok(halves) => halves,
            Err(error) => return failed(&error),
        };
        let answer = async {
            match sender.send_request(request).await {
                Ok(response) => judge(response, &names).await,
                Err(error) => failed(&error),
            }
        };
        // What had arrived when the connection ended is still read, so its end ends nothing here.
        let driven = async {
            let _ended = connection.await;
            std::future::pending().await
        };
        tokio::select! {
            result = answer => result,
            result = driven => result,
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn request(call: &Call, names: &Names) -> http::Result<Request<Full<Bytes>>> {
    Request::post("/run")
        .header(HOST, call.address.to_string())
        .header(REQUEST_HEADER, &names.request)
        .header(CALL_HEADER, &names.call)
        .header(SERVICE_HEADER, call.service.as_str())
        .header(KIND_HEADER, call.kind.as_str())
        .header(TIMEOUT_HEADER, Millis::from(call.timeout).0)
        .body(Full::from(call.body.clone()))
}

async fn judge(response: Response<Incoming>, names: &Names) -> CallResult {
    match response.status() {
        StatusCode::OK => answer(response, names).await,
        StatusCode::SERVICE_UNAVAILABLE => refusal(&response, names),
        _ => CallResult::Failed,
    }
}

/// The two names that an answer must repeat.
struct Names {
    request: String,
    call: String,
}

impl Names {
    fn new(call: &Call, name: &InstanceName, incarnation: Incarnation) -> Self {
        Self {
            request: format!("{}-{}-{}", call.owner, call.flow, call.seq),
            call: format!("{name}-{incarnation}-{}", call.id),
        }
    }

    fn repeated_by(&self, response: &Response<Incoming>) -> bool {
        header(response, REQUEST_HEADER) == Some(&self.request) && header(response, CALL_HEADER) == Some(&self.call)
    }

    /// Whether the response names another request or call. One that names none is not contradicted.
    fn contradicted_by(&self, response: &Response<Incoming>) -> bool {
        let differs = |name, own: &str| header(response, name).is_some_and(|value| value != own);
        differs(REQUEST_HEADER, &self.request) || differs(CALL_HEADER, &self.call)
    }
}

fn header<'a>(response: &'a Response<Incoming>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// The call failed on its connection, and the request may have been sent.
fn failed(error: &hyper::Error) -> CallResult {
    log::debug!("upstreams: a call failed: {error}, {:?}", error.source());
    CallResult::Failed
}

fn refusal(response: &Response<Incoming>, names: &Names) -> CallResult {
    if names.contradicted_by(response) {
        return CallResult::Mismatched;
    }
    match header(response, NOT_RUN_HEADER) {
        Some("shed") => CallResult::Shed,
        Some("draining") => CallResult::Draining,
        _ => CallResult::Failed,
    }
}

async fn answer(response: Response<Incoming>, names: &Names) -> CallResult {
    if !names.repeated_by(&response) {
        return CallResult::Mismatched;
    }
    // A body that is cut off or too long is none.
    match Limited::new(response.into_body(), MAX_ANSWER_LEN).collect().await {
        Ok(body) => CallResult::Answered(body.to_bytes().into()),
        Err(_) => CallResult::Mismatched,
    }
}

fn label(result: &CallResult) -> &'static str {
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
