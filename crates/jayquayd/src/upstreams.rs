//! Calls to upstreams over HTTP, and polls of their health and load.
//!
//! This part never retries. It tells the node exactly what is known of a call: `Unreachable` only when no
//! connection came about, so that no byte of the request was sent. Therefore every call has a connection of its
//! own: on a pooled one, a request that failed might or might not have been sent.

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use node::Call;
use node::CallId;
use node::CallResult;
use node::Event;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::redirect::Policy;
use reqwest::retry;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
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
            caller: Caller::new(name, incarnation)?,
            polls: poll::client()?,
            running: HashMap::new(),
            tasks: JoinSet::new(),
            intake,
        })
    }

    /// Begins a call. Its result comes as [`Event::Called`].
    pub fn call(&mut self, call: Call) {
        self.reap();
        let id = call.id;
        let caller = self.caller.clone();
        let intake = self.intake.clone();
        let task = self.tasks.spawn(async move {
            let result = caller.call(&call).await;
            // The engine is gone when this fails, and the result with it.
            let _closed = intake.event(Event::Called(id, result)).await;
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

    /// Asks for an upstream's health and load. The answer comes as [`Event::Polled`].
    pub fn poll(&mut self, name: UpstreamName, address: SocketAddr) {
        self.reap();
        let client = self.polls.clone();
        let intake = self.intake.clone();
        self.tasks.spawn(async move {
            let report = poll::report(&client, address).await;
            metric::polls(if report.is_ok() { "ok" } else { "failed" }).increment(1);
            let _closed = intake.event(Event::Polled(name, report)).await;
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
    client: Client,
    name: InstanceName,
    incarnation: Incarnation,
}

impl Caller {
    /// Calls in the name of this life of an instance.
    pub fn new(name: InstanceName, incarnation: Incarnation) -> reqwest::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .redirect(Policy::none())
            .retry(retry::never())
            .referer(false)
            .http1_only()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(0)
            .connect_timeout(CONNECT_TIME)
            .build()?;
        Ok(Self {
            client,
            name,
            incarnation,
        })
    }

    /// Makes a call. Dropping the future closes the connection.
    pub async fn call(&self, call: &Call) -> CallResult {
        let began = Instant::now();
        let result = tokio::time::timeout(call.timeout, self.exchange(call)).await;
        let result = result.unwrap_or(CallResult::TimedOut);
        metric::calls(label(&result)).increment(1);
        metric::call_seconds().record(began.elapsed());
        result
    }

    async fn exchange(&self, call: &Call) -> CallResult {
        let names = Names::new(call, &self.name, self.incarnation);
        let request = self.request(call, &names);
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return unsent(&error),
        };
        match response.status() {
            StatusCode::OK => answer(response, &names).await,
            StatusCode::SERVICE_UNAVAILABLE => refusal(&response, &names),
            _ => CallResult::Failed,
        }
    }

    fn request(&self, call: &Call, names: &Names) -> RequestBuilder {
        self.client
            .post(format!("http://{}/run", call.address))
            .header(REQUEST_HEADER, &names.request)
            .header(CALL_HEADER, &names.call)
            .header(SERVICE_HEADER, call.service.as_str())
            .header(KIND_HEADER, call.kind.as_str())
            .header(TIMEOUT_HEADER, Millis::from(call.timeout).0)
            .body(call.body.clone())
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

    fn repeated_by(&self, response: &Response) -> bool {
        header(response, REQUEST_HEADER) == Some(&self.request) && header(response, CALL_HEADER) == Some(&self.call)
    }

    /// Whether the response names another request or call. One that names none is not contradicted.
    fn contradicted_by(&self, response: &Response) -> bool {
        let differs = |name, own: &str| header(response, name).is_some_and(|value| value != own);
        differs(REQUEST_HEADER, &self.request) || differs(CALL_HEADER, &self.call)
    }
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Tells a request that was surely not sent from one that may have been.
fn unsent(error: &reqwest::Error) -> CallResult {
    if error.is_connect() {
        return CallResult::Unreachable;
    }
    log::debug!("upstreams: a call failed: {error}, {:?}", error.source());
    CallResult::Failed
}

fn refusal(response: &Response, names: &Names) -> CallResult {
    if names.contradicted_by(response) {
        return CallResult::Mismatched;
    }
    match header(response, NOT_RUN_HEADER) {
        Some("shed") => CallResult::Shed,
        Some("draining") => CallResult::Draining,
        _ => CallResult::Failed,
    }
}

async fn answer(response: Response, names: &Names) -> CallResult {
    if !names.repeated_by(&response) {
        return CallResult::Mismatched;
    }
    match body(response, MAX_ANSWER_LEN).await {
        Some(bytes) => CallResult::Answered(bytes),
        None => CallResult::Mismatched,
    }
}

/// Reads a body, unless it is cut off or longer than `max_len`.
pub(crate) async fn body(mut response: Response, max_len: usize) -> Option<Vec<u8>> {
    let claimed = usize::try_from(response.content_length().unwrap_or(0)).unwrap_or(usize::MAX);
    if claimed > max_len {
        return None;
    }
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if bytes.len() + chunk.len() > max_len {
            return None;
        }
        bytes.extend_from_slice(&chunk);
    }
    Some(bytes)
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
