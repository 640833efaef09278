//! The admin endpoints under connections that send no request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jayquayd::Addresses;
use jayquayd::admin;
use jayquayd::admin::Context;
use jayquayd::clock::Clock;
use jayquayd::input::InputQueues;
use jayquayd::input::InputSender;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Longer than any step of a test takes unless it hangs.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);
/// More connections than may be open at a time.
const IDLE_CONNECTIONS: usize = 100;

async fn start() -> (SocketAddr, InputQueues) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (input_sender, queues) = InputSender::new();
    let context = Context {
        input_sender,
        clock: Clock::start(),
        addresses: Addresses {
            callers: address,
            instances: address,
            admin: address,
        },
        metrics: None,
        handshake_history: Arc::default(),
    };
    tokio::spawn(admin::serve(listener, context));
    (address, queues)
}

/// Requests the metrics, which this process does not have, and returns whether there was a response.
async fn is_answered(address: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /metrics HTTP/1.1\r\nhost: jayquay\r\nconnection: close\r\n\r\n";
    let mut answer = Vec::new();
    // A refused connection is closed, which shows on the write or on the read.
    if stream.write_all(request).await.is_err() || stream.read_to_end(&mut answer).await.is_err() {
        return false;
    }
    answer.starts_with(b"HTTP/1.1 404")
}

#[tokio::test]
async fn connections_are_bounded_in_number() {
    let (address, _queues) = start().await;
    assert!(is_answered(address).await);
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.push(TcpStream::connect(address).await.unwrap());
    }
    assert!(!is_answered(address).await, "a connection over the limit was answered");
    drop(idle);
    let answered = async {
        while !is_answered(address).await {
            tokio::task::yield_now().await;
        }
    };
    let answered = tokio::time::timeout(TEST_TIMEOUT, answered).await;
    assert!(answered.is_ok(), "the slots were not released");
}

#[tokio::test(start_paused = true)]
async fn a_connection_without_a_request_ends() {
    let (address, _queues) = start().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET /metrics HTTP/1.1\r\n").await.unwrap();
    let mut answer = Vec::new();
    let ended = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
    assert!(ended.is_ok(), "the connection is still open");
}
