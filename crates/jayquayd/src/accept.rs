//! Taking TCP connections, also while the system refuses to. Who connects is not this part's business.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// How long to wait after the system refused to take a connection, as when file descriptors are used up.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The next connection. `part` begins the log lines.
pub(crate) async fn next(listener: &TcpListener, part: &str) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                log::warn!("{part}: no connection could be taken: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
