//! Establishes and accepts connections with other instances, including the handshake.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::Role;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use wire::MAX_FRAME_LEN;

use super::handshake;
use super::handshake::Error;
use super::handshake::Identity;
use super::handshake::Keys;
use super::handshake::MAX_MESSAGE_LEN;

/// Time limit for connecting and completing the handshake.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes in a message besides the frame itself.
const ENVELOPE_LEN: usize = 64;

/// An authenticated connection.
pub(super) struct Connection {
    pub(super) other: Identity,
    pub(super) ws: WebSocketStream<TcpStream>,
}

/// Connects to the instance at `address` and authenticates both sides.
pub(super) async fn connect(address: SocketAddr, own: &Identity, keys: &Keys) -> Result<Connection, Error> {
    with_handshake_timeout(connect_without_timeout(address, own, keys)).await
}

/// Performs the handshake on an incoming connection.
pub(super) async fn accept(tcp: TcpStream, own: &Identity, keys: &Keys) -> Result<Connection, Error> {
    with_handshake_timeout(accept_without_timeout(tcp, own, keys)).await
}

async fn with_handshake_timeout(
    handshake: impl Future<Output = Result<Connection, Error>>,
) -> Result<Connection, Error> {
    let result = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    result.unwrap_or(Err(Error::Timeout))
}

async fn connect_without_timeout(address: SocketAddr, own: &Identity, keys: &Keys) -> Result<Connection, Error> {
    let tcp = TcpStream::connect(address).await.map_err(|_| Error::Connect)?;
    tcp.set_nodelay(true).map_err(|_| Error::Closed)?;
    let url = format!("ws://{address}/");
    let config = Some(config_with_max_len(MAX_FRAME_LEN + ENVELOPE_LEN));
    let handshake = tokio_tungstenite::client_async_with_config(url, tcp, config).await;
    let (mut ws, _response) = handshake.map_err(|_| Error::Closed)?;
    let other = handshake::initiate(&mut ws, own, keys).await?;
    Ok(Connection { other, ws })
}

async fn accept_without_timeout(tcp: TcpStream, own: &Identity, keys: &Keys) -> Result<Connection, Error> {
    tcp.set_nodelay(true).map_err(|_| Error::Closed)?;
    // Until the peer is authenticated, it cannot make this side buffer more than a handshake message.
    let handshake_config = Some(config_with_max_len(MAX_MESSAGE_LEN));
    let handshake = tokio_tungstenite::accept_async_with_config(tcp, handshake_config).await;
    let mut ws = handshake.map_err(|_| Error::Closed)?;
    let other = handshake::accept(&mut ws, own, keys).await?;
    // The peer sends nothing between its proof and ours, so no bytes are lost when the handshake's buffers are
    // discarded.
    let session_config = Some(config_with_max_len(MAX_FRAME_LEN + ENVELOPE_LEN));
    let ws = WebSocketStream::from_raw_socket(ws.into_inner(), Role::Server, session_config).await;
    Ok(Connection { other, ws })
}

/// Size of a session's read and write buffers, in bytes. An instance may have sessions with 600 others, for which the
/// library's default of 128 KiB in each direction would take 150 MB.
const BUFFER_LEN: usize = 8 * 1_024;

fn config_with_max_len(len: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_LEN)
        .write_buffer_size(BUFFER_LEN)
        .max_message_size(Some(len))
        .max_frame_size(Some(len))
}
