//! Accepts TCP connections, retrying while the system refuses to. Peers are not checked here.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Delay after a failed accept, for example when the process has run out of file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts the next connection. `component` is the prefix of log lines.
pub(crate) async fn accept_next(listener: &TcpListener, component: &str) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                log::warn!("{component}: accept failed: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
