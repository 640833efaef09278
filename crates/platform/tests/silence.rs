//! Detection of dead connections: the system probes a connection on which a response is pending, and a transport without
//! connection reuse never depends on an idle one.

use std::fs;
use std::time::Duration;

use platform::transport::Transport;
use reqwest::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// How long the service may delay its response.
const WAIT: Duration = Duration::from_secs(30);
/// Code of an active keep-alive timer in `/proc/net/tcp`.
const KEEPALIVE_TIMER: &str = "02";

/// Returns the timer of the connection to a local port, with the hundredths of a second until it expires.
fn timer_to(port: u16) -> Option<(String, u64)> {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!("0100007F:{port:04X}");
    let line = table
        .lines()
        .find(|line| line.split_whitespace().nth(2) == Some(&remote))?;
    let (timer, due) = line.split_whitespace().nth(5)?.split_once(':')?;
    Some((timer.to_owned(), u64::from_str_radix(due, 16).unwrap()))
}

#[tokio::test]
async fn a_connection_that_waits_for_an_answer_is_probed_within_a_second() {
    let service = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = service.local_addr().unwrap();
    let transport = Transport::new(WAIT);
    let call = tokio::spawn(transport.request(Method::GET, address, "/", WAIT).send());
    let (held, _) = service.accept().await.unwrap();
    held.readable().await.unwrap();
    // Until the request is acknowledged, the retransmission timer is active instead.
    let mut seen = None;
    for _ in 0..100 {
        seen = timer_to(address.port());
        if seen.as_ref().is_some_and(|(timer, _)| timer == KEEPALIVE_TIMER) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (timer, due) = seen.expect("connection not found in /proc/net/tcp");
    assert_eq!(timer, KEEPALIVE_TIMER);
    assert!(due <= 100, "keep-alive probe is due in {due} hundredths of a second");
    call.abort();
}

/// Responds to the first request on each connection, then reads further input without responding.
async fn answer_once(service: TcpListener) {
    loop {
        let (mut stream, _) = service.accept().await.unwrap();
        tokio::spawn(async move {
            let mut buffer = [0; 1_024];
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                .await
                .unwrap();
            // Read until the client closes the connection.
            while stream.read(&mut buffer).await.is_ok_and(|len| len > 0) {}
        });
    }
}

#[tokio::test]
async fn without_reuse_a_connection_that_has_gone_silent_costs_nothing() {
    let service = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = service.local_addr().unwrap();
    let serving = tokio::spawn(answer_once(service));
    let transport = Transport::without_reuse(WAIT);
    for _ in 0..3 {
        let call = transport.request(Method::GET, address, "/", Duration::ZERO).send();
        assert!(call.await.unwrap().status().is_success());
    }
    serving.abort();
}
