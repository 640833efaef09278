//! Asks another instance for what it knows and this one does not.

use std::net::SocketAddr;
use std::time::Duration;

use platform::transport;
use platform::transport::Transport;
use reqwest::Method;
use reqwest::StatusCode;

use super::metric;
use super::relay;
use super::relay::Since;
use super::shared::Shared;

/// How long another instance may take to answer. It holds all it gives in memory, but thousands of upstreams take a third
/// of a second on a link of 10 Mbit/s.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(2);

/// Asks one instance, and takes in what it tells.
pub(crate) async fn pull(transport: &Transport, from: SocketAddr, shared: &Shared) {
    let since = held(shared);
    let path = format!(
        "{}?document_at={}&upstreams_at={}",
        relay::PATH,
        since.document_at,
        since.upstreams_at
    );
    let request = transport.request(Method::GET, from, &path, Duration::ZERO);
    let response = match request.send().await {
        Ok(response) if response.status() == StatusCode::OK => response,
        Ok(response) => {
            log::debug!("peers: {from} answers {}", response.status());
            return;
        }
        Err(error) => {
            log::info!("peers: no answer from={from} error=\"{}\"", transport::describe(&error));
            return;
        }
    };
    let Ok(body) = transport::body(response, relay::MAX_CHANGE_LEN).await else {
        log::debug!("peers: an answer broke off from={from}");
        return;
    };
    let Some(change) = relay::decode(&body.bytes) else {
        metric::changes_malformed().increment(1);
        log::warn!("peers: unreadable change from={from}");
        return;
    };
    let now = shared.now();
    if shared.learn(|knowledge| knowledge.take(change, now)) {
        let Since {
            document_at,
            upstreams_at,
        } = held(shared);
        log::info!("peers: learnt from={from} document_at={document_at} upstreams_at={upstreams_at}");
    }
}

fn held(shared: &Shared) -> Since {
    let core = shared.core();
    Since {
        document_at: core.knowledge().document_at(),
        upstreams_at: core.knowledge().upstreams_at(),
    }
}
