//! HTTP transport with a timeout for each call. Each call goes to a single address.
//!
//! All clients of a platform service use this transport, whichever API the service has.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use reqwest::ClientBuilder;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::redirect::Policy;
use reqwest::retry;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time before the first TCP keep-alive probe, and the interval between probes. They detect a dead connection after
/// three to four seconds; without them, a call for which the service delays its response would fail only at its timeout.
/// Each probe costs about 100 bytes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent data may remain unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// An HTTP transport. Clones share connections.
#[derive(Debug, Clone)]
pub struct Transport {
    http: Client,
    timeout: Duration,
}

impl Transport {
    /// Creates a transport that reuses connections. `timeout` applies to each call, in addition to the time that the
    /// service is asked to wait.
    pub fn new(timeout: Duration) -> Self {
        Self::build(timeout, Client::builder())
    }

    /// Creates a transport that opens a new connection for each call.
    ///
    /// With seconds between calls, a reused connection may have died unnoticed, and a call on it would fail only after
    /// `timeout`. A new connection costs just one round trip.
    pub fn without_reuse(timeout: Duration) -> Self {
        Self::build(timeout, Client::builder().pool_max_idle_per_host(0))
    }

    fn build(timeout: Duration, builder: ClientBuilder) -> Self {
        let http = builder
            .no_proxy()
            .redirect(Policy::none())
            .retry(retry::never())
            .referer(false)
            .http1_only()
            .connect_timeout(CONNECT_TIMEOUT.min(timeout))
            .tcp_keepalive(KEEPALIVE_INTERVAL)
            .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
            .tcp_keepalive_retries(KEEPALIVE_RETRIES)
            .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
            .build()
            .expect("building a client without TLS, proxies and resolvers cannot fail");
        Self { http, timeout }
    }

    /// Builds a request to an address. `path` may include a query; `wait` is how long the service may delay its response.
    pub fn request(&self, method: Method, address: SocketAddr, path: &str, wait: Duration) -> RequestBuilder {
        self.http
            .request(method, format!("http://{address}{path}"))
            .timeout(self.timeout + wait)
    }
}

/// A response body, read up to a maximum length.
#[derive(Debug, Default)]
pub struct Body {
    /// The bytes read.
    pub bytes: Vec<u8>,
    /// Whether the body was longer than the maximum length.
    pub is_truncated: bool,
}

/// Reads at most `max_len` bytes of a response body, regardless of its declared length.
pub async fn read_body(mut response: Response, max_len: usize) -> reqwest::Result<Body> {
    let mut body = Body::default();
    while let Some(chunk) = response.chunk().await? {
        let remaining = max_len - body.bytes.len();
        body.bytes.extend_from_slice(&chunk[..chunk.len().min(remaining)]);
        if chunk.len() > remaining {
            body.is_truncated = true;
            break;
        }
    }
    Ok(body)
}

/// Returns the innermost cause of a failed call, which is the most informative one for an operator.
pub fn root_cause(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
