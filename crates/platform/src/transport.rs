//! HTTP calls with a time limit each, to one address a call.
//!
//! Whatever speaks to a platform's service goes through here, whichever API that service has.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use reqwest::ClientBuilder;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::redirect::Policy;
use reqwest::retry;

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a connection may be idle before the system asks the other end whether it is there, and the pause between two
/// such questions. A connection that has gone silent for good shows by them after three to four seconds, where an answer
/// that the service holds back would be missed only when its time is up. Each costs about 100 bytes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How many of them go unanswered before a connection is given up.
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent data may stay unacknowledged before a connection is given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Makes HTTP calls. Clones share connections.
#[derive(Debug, Clone)]
pub struct Transport {
    http: Client,
    timeout: Duration,
}

impl Transport {
    /// Calls that may take `timeout` each, on top of the time that the service is asked to wait. Connections are kept for
    /// further calls.
    pub fn new(timeout: Duration) -> Self {
        Self::build(timeout, Client::builder())
    }

    /// The same with a new connection for each call.
    ///
    /// Between calls that are seconds apart a kept connection may have gone silent for good. A call on it brings nothing
    /// until `timeout` is over, where a new connection costs a round trip.
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
            .expect("a client without TLS, proxies and resolvers needs nothing from the system");
        Self { http, timeout }
    }

    /// A call to an address. `path` may hold a query; `wait` is how long the service may hold its answer back.
    pub fn request(&self, method: Method, address: SocketAddr, path: &str, wait: Duration) -> RequestBuilder {
        self.http
            .request(method, format!("http://{address}{path}"))
            .timeout(self.timeout + wait)
    }
}

/// What was read of a body.
#[derive(Debug, Default)]
pub struct Body {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Whether there was more than may be read.
    pub is_truncated: bool,
}

/// Reads at most `max_len` bytes of a body, whatever length it claims.
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

/// The innermost cause of a failed call, which is the one that tells an operator something.
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
