//! HTTP client for the platform, with failover between its addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::header::ETAG;
use reqwest::header::IF_MATCH;
use reqwest::header::IF_NONE_MATCH;
use serde::de::DeserializeOwned;
use units::Revision;

use crate::Error;
use crate::api::Condition;
use crate::api::EntityTag;
use crate::api::Key;
use crate::api::Object;
use crate::api::PutRequest;
use crate::api::PutResponse;
use crate::transport::Body;
use crate::transport::Transport;
use crate::transport::read_body;
use crate::transport::root_cause;

/// Default response timeout for each address.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Addresses and timeout of the platform client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Addresses of the platform. An address that responds is used until it fails.
    pub addresses: Vec<SocketAddr>,
    /// Response timeout for each address, in addition to the wait time of a watch.
    pub timeout: Duration,
}

impl Options {
    /// Creates options with the default timeout.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            timeout: TIMEOUT,
        }
    }
}

/// Maximum length of a response, in bytes. Large enough for an object whose value has the maximum length and is escaped
/// throughout, and for a long list.
pub(crate) const MAX_RESPONSE_LEN: usize = 8 * 1_024 * 1_024;

/// Maximum length of the explanation kept from a rejection, in bytes.
const MAX_REJECTION_LEN: usize = 4 * 1_024;

/// Parameters of a read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadRequest<'a> {
    pub(crate) path: &'a str,
    /// How long the platform may wait for a newer version before it responds.
    pub(crate) wait: Duration,
    /// Entity tag of the version already held, which the platform does not send again.
    pub(crate) tag: Option<&'a str>,
    /// Maximum length of the response, in bytes.
    pub(crate) max_len: usize,
}

impl<'a> ReadRequest<'a> {
    pub(crate) fn new(path: &'a str) -> Self {
        Self {
            path,
            wait: Duration::ZERO,
            tag: None,
            max_len: MAX_RESPONSE_LEN,
        }
    }
}

/// A value with its entity tag, which lets a later read detect whether the value has changed.
#[derive(Debug)]
pub(crate) struct Tagged<T> {
    pub(crate) value: T,
    pub(crate) tag: Option<String>,
}

/// The result of a read from one address.
enum ReadOutcome {
    /// The entity tag, if any, and the body of a successful response.
    Found(Option<String>, Body),
    /// The object does not exist, or has not changed.
    NotFoundOrUnmodified,
    /// The address did not serve the read, with the cause.
    Unavailable(String),
}

/// A client for the platform. Clones share connections, the active address and the highest revision seen.
#[derive(Debug, Clone)]
pub struct Client {
    transport: Transport,
    options: Arc<Options>,
    active_address: Arc<AtomicUsize>,
    highest_revision: Arc<AtomicU64>,
}

impl Client {
    /// Creates a client. No connection is made until the first call.
    pub fn new(options: Options) -> Self {
        let transport = Transport::new(options.timeout);
        Self {
            transport,
            options: Arc::new(options),
            active_address: Arc::new(AtomicUsize::new(0)),
            highest_revision: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Records a revision of the document and returns whether a higher one has been seen before.
    pub(crate) fn record_revision(&self, revision: Revision) -> bool {
        self.highest_revision.fetch_max(revision.0, Ordering::Relaxed) > revision.0
    }

    /// Reads the value at a path. Returns `None` if there is none, or if nothing newer arrived within `wait`.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<Option<T>, Error> {
        let read = ReadRequest {
            wait,
            ..ReadRequest::new(path)
        };
        let found = self.read(read).await?;
        Ok(found.map(|found| found.value))
    }

    /// Reads the value at a path. Returns `None` if there is none, if nothing newer arrived in time, or if the entity tag
    /// has not changed.
    pub(crate) async fn read<T: DeserializeOwned>(&self, read: ReadRequest<'_>) -> Result<Option<Tagged<T>>, Error> {
        let mut cause = "no platform address is configured".to_owned();
        let first = self.active_address.load(Ordering::Relaxed);
        for offset in 0..self.options.addresses.len() {
            let index = first.wrapping_add(offset);
            let found = match self.read_at(index, read).await? {
                ReadOutcome::Found(tag, body) => Some((tag, body)),
                ReadOutcome::NotFoundOrUnmodified => None,
                ReadOutcome::Unavailable(why) => {
                    cause = why;
                    continue;
                }
            };
            self.active_address.store(index, Ordering::Relaxed);
            let Some((tag, body)) = found else {
                return Ok(None);
            };
            let value = parse_json(&body)?;
            return Ok(Some(Tagged { value, tag }));
        }
        Err(Error::Unavailable(cause))
    }

    /// Reads from one address.
    async fn read_at(&self, index: usize, read: ReadRequest<'_>) -> Result<ReadOutcome, Error> {
        let mut request = self.request(Method::GET, index, read.path, read.wait);
        if let Some(tag) = read.tag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Ok(ReadOutcome::Unavailable(root_cause(&error))),
        };
        let status = response.status();
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            return Ok(ReadOutcome::Unavailable(format!("status {status}")));
        }
        if matches!(status, StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED) {
            return Ok(ReadOutcome::NotFoundOrUnmodified);
        }
        if !status.is_success() {
            return Err(rejection_error(response).await);
        }
        let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
        let tag = tag.map(str::to_owned);
        match read_body(response, read.max_len).await {
            Ok(body) => Ok(ReadOutcome::Found(tag, body)),
            Err(error) => Ok(ReadOutcome::Unavailable(root_cause(&error))),
        }
    }

    /// Writes an object. Tries the next address only if the write has certainly not taken effect.
    pub(crate) async fn put(&self, key: &Key, condition: Condition, put: &PutRequest) -> Result<Revision, Error> {
        let mut cause = "no platform address is configured".to_owned();
        let first = self.active_address.load(Ordering::Relaxed);
        for offset in 0..self.options.addresses.len() {
            let index = first.wrapping_add(offset);
            let request = self.request(Method::PUT, index, &key.path(), Duration::ZERO).json(put);
            let response = match with_condition(request, condition).send().await {
                Ok(response) => response,
                Err(error) if error.is_connect() => {
                    cause = root_cause(&error);
                    continue;
                }
                Err(error) => return Err(Error::InDoubt(root_cause(&error))),
            };
            let status = response.status();
            if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
                cause = format!("status {status}");
                continue;
            }
            self.active_address.store(index, Ordering::Relaxed);
            return parse_write_response(response).await;
        }
        Err(Error::Unavailable(cause))
    }

    fn request(&self, method: Method, index: usize, path: &str, wait: Duration) -> RequestBuilder {
        let address = self.options.addresses[index % self.options.addresses.len()];
        self.transport.request(method, address, path, wait)
    }
}

fn with_condition(request: RequestBuilder, condition: Condition) -> RequestBuilder {
    match condition {
        Condition::Any => request,
        Condition::Absent => request.header(IF_NONE_MATCH, "*"),
        Condition::Version(version) => request.header(IF_MATCH, EntityTag(version).to_string()),
    }
}

/// Interprets the response of an address that processed a write.
async fn parse_write_response(response: Response) -> Result<Revision, Error> {
    let status = response.status();
    if status.is_success() {
        let body = read_body(response, MAX_RESPONSE_LEN)
            .await
            .map_err(|error| in_doubt(&error))?;
        let written: PutResponse = parse_json(&body).map_err(|error| Error::InDoubt(error.to_string()))?;
        return Ok(written.version);
    }
    if status == StatusCode::PRECONDITION_FAILED {
        // The status alone shows that the write has failed. The current object in the body is optional.
        let current = read_body(response, MAX_RESPONSE_LEN).await.ok();
        let current: Option<Object> = current.and_then(|body| parse_json(&body).ok()).flatten();
        return Err(Error::Conflict {
            current: current.map(Box::new),
        });
    }
    if status.is_client_error() {
        return Err(rejection_error(response).await);
    }
    Err(Error::InDoubt(format!("status {status}")))
}

async fn rejection_error(response: Response) -> Error {
    let status = response.status().as_u16();
    let body = read_body(response, MAX_REJECTION_LEN).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body.bytes).into_owned();
    Error::Rejected { status, text }
}

fn parse_json<T: DeserializeOwned>(body: &Body) -> Result<T, Error> {
    if body.is_truncated {
        return Err(Error::Malformed(format!("response exceeds {} bytes", body.bytes.len())));
    }
    serde_json::from_slice(&body.bytes).map_err(|error| Error::Malformed(error.to_string()))
}

fn in_doubt(error: &reqwest::Error) -> Error {
    Error::InDoubt(root_cause(error))
}
