//! Fetches an upstream's report of its health and load. The report may be stale or wrong; the node evaluates it.

use std::net::SocketAddr;
use std::time::Duration;

use node::PollError;
use node::UpstreamReport;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::redirect::Policy;
use reqwest::retry;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use units::Incarnation;
use units::Slots;

/// Time limit for fetching a report.
const POLL_TIME: Duration = Duration::from_millis(500);
/// Maximum length of a report, in bytes.
const MAX_REPORT_LEN: usize = 4 * 1_024;

#[derive(Debug, Deserialize)]
struct Health {
    incarnation: Incarnation,
    healthy: bool,
    draining: bool,
    age_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Load {
    busy: Slots,
}

pub(crate) fn client() -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(retry::never())
        .referer(false)
        .http1_only()
        .pool_max_idle_per_host(1)
        .connect_timeout(POLL_TIME)
        .timeout(POLL_TIME)
        .build()
}

/// Fetches the report of the upstream at `address`.
pub(crate) async fn fetch_report(client: &Client, address: SocketAddr) -> Result<UpstreamReport, PollError> {
    let health = get_json::<Health>(client, address, "health");
    let load = get_json::<Load>(client, address, "load");
    let (health, load) = tokio::try_join!(health, load)?;
    Ok(UpstreamReport {
        incarnation: health.incarnation,
        healthy: health.healthy,
        draining: health.draining,
        busy: load.busy,
        age: Duration::from_millis(health.age_ms),
    })
}

async fn get_json<T: DeserializeOwned>(client: &Client, address: SocketAddr, path: &str) -> Result<T, PollError> {
    let url = format!("http://{address}/{path}");
    let response = client.get(url).send().await.map_err(|_| PollError)?;
    if response.status() != StatusCode::OK {
        return Err(PollError);
    }
    let bytes = read_body(response, MAX_REPORT_LEN).await.ok_or(PollError)?;
    serde_json::from_slice(&bytes).map_err(|_| PollError)
}

/// Reads a body. Returns `None` if it is truncated or longer than `max_len`.
async fn read_body(mut response: Response, max_len: usize) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if bytes.len() + chunk.len() > max_len {
            return None;
        }
        bytes.extend_from_slice(&chunk);
    }
    Some(bytes)
}
