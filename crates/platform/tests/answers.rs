//! How the client classifies each kind of response, and when it tries the next address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use platform::Client;
use platform::DocumentWrite;
use platform::Error;
use platform::Options;
use platform::api::Key;
use standin::platform::Handle;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use units::Nonce;
use units::Revision;

/// Longer than any response that the client accepts, in bytes.
const OVERSIZED_LEN: usize = 9 * 1_024 * 1_024;

/// Starts a server that sends the given response to every request. If it is empty, the server just closes the connection.
async fn serve_response(answer: String, tasks: &mut JoinSet<()>) -> SocketAddr {
    serve_counted_response(answer, tasks).await.0
}

/// Like [`serve_response`], and also returns a counter of the requests.
async fn serve_counted_response(answer: String, tasks: &mut JoinSet<()>) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let address = listener.local_addr().expect("bound");
    let request_count = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&request_count);
    tasks.spawn(async move {
        loop {
            let (mut connection, _from) = listener.accept().await.expect("loopback works");
            let mut seen = Vec::new();
            while !is_complete_request(&seen) {
                connection.read_buf(&mut seen).await.expect("the client sends");
            }
            count.fetch_add(1, Ordering::Relaxed);
            connection.write_all(answer.as_bytes()).await.expect("the client waits");
        }
    });
    (address, request_count)
}

/// Whether a request has been received completely. A body, if any, ends with a brace.
fn is_complete_request(request: &[u8]) -> bool {
    let is_read = request.starts_with(b"GET");
    request.ends_with(if is_read { b"\r\n\r\n" } else { b"}" })
}

fn error_kind(error: &Error) -> &'static str {
    match error {
        Error::Unavailable(_) => "unavailable",
        Error::Conflict { .. } => "conflict",
        Error::Rejected { .. } => "rejected",
        Error::InDoubt(_) => "in doubt",
        Error::Malformed(_) => "malformed",
    }
}

async fn start_platform() -> Handle {
    let handle = standin::platform::start(standin::platform::Options::default()).await;
    handle.expect("loopback has free ports")
}

/// Checks a read and a write when the first address sends the given response, both alone and followed by a second address
/// that works.
async fn check_read_and_write(answer: &str, alone: [&str; 2], with_another: [&str; 2]) {
    let mut tasks = JoinSet::new();
    let first = serve_response(answer.to_owned(), &mut tasks).await;
    let platform = start_platform().await;
    for (addresses, expected) in [(vec![first], alone), (vec![first, platform.address()], with_another)] {
        // Use a new client each time, because a client keeps using the address that served it.
        let read = Client::new(Options::new(addresses.clone())).document().await;
        let read = read.map_or_else(
            |error| error_kind(&error),
            |document| document.map_or("nothing", |_document| "document"),
        );
        let write = DocumentWrite {
            base: Revision(0),
            text: "text".to_owned(),
            writer: "ann".to_owned(),
            nonce: Nonce(1),
        };
        let written = Client::new(Options::new(addresses)).write(&write).await;
        let written = written.map_or_else(|error| error_kind(&error), |_revision| "written");
        assert_eq!([read, written], expected, "{answer}");
    }
    let reached = platform.object(&Key::document()).is_some();
    assert_eq!(reached, with_another[1] == "written", "{answer}");
}

#[tokio::test]
async fn responses_are_classified() {
    let read_unavailable = ["unavailable", "in doubt"];
    let read_from_second = ["nothing", "in doubt"];
    check_read_and_write(
        "HTTP/1.1 503 \r\ncontent-length: 0\r\n\r\n",
        ["unavailable"; 2],
        ["nothing", "written"],
    )
    .await;
    check_read_and_write(
        "HTTP/1.1 429 \r\ncontent-length: 0\r\n\r\n",
        ["unavailable"; 2],
        ["nothing", "written"],
    )
    .await;
    check_read_and_write(
        "HTTP/1.1 500 \r\ncontent-length: 0\r\n\r\n",
        read_unavailable,
        read_from_second,
    )
    .await;
    check_read_and_write(
        "HTTP/1.1 504 \r\ncontent-length: 0\r\n\r\n",
        read_unavailable,
        read_from_second,
    )
    .await;
    check_read_and_write("", read_unavailable, read_from_second).await;
    check_read_and_write(
        "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{",
        read_unavailable,
        read_from_second,
    )
    .await;
    check_read_and_write(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        ["malformed", "in doubt"],
        ["malformed", "in doubt"],
    )
    .await;
    check_read_and_write(
        "HTTP/1.1 400 \r\ncontent-length: 0\r\n\r\n",
        ["rejected"; 2],
        ["rejected"; 2],
    )
    .await;
    check_read_and_write(
        "HTTP/1.1 302 \r\ncontent-length: 0\r\n\r\n",
        ["rejected", "in doubt"],
        ["rejected", "in doubt"],
    )
    .await;
}

/// Starts a server that sends an oversized response to one request, whether or not the client reads all of it.
async fn serve_oversized_response(status: &str, body: &str, tasks: &mut JoinSet<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let address = listener.local_addr().expect("bound");
    // Omit the content length, so that the client learns the length only by reading.
    let answer = format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\n\r\n{body}{}",
        " ".repeat(OVERSIZED_LEN)
    );
    tasks.spawn(async move {
        let (mut connection, _from) = listener.accept().await.expect("loopback works");
        let mut seen = Vec::new();
        while !is_complete_request(&seen) {
            connection.read_buf(&mut seen).await.expect("the client sends");
        }
        let _hung_up = connection.write_all(answer.as_bytes()).await;
    });
    address
}

#[tokio::test]
async fn response_length_is_bounded() {
    let mut tasks = JoinSet::new();
    let object = r#"{"version": 1, "nonce": 1, "writer": "ann", "written_at": 0, "value": "text"}"#;
    let address = serve_oversized_response("200 OK", object, &mut tasks).await;
    let read = Client::new(Options::new(vec![address])).document().await;
    assert_eq!(read.map_err(|error| error_kind(&error)), Err("malformed"));
    let address = serve_oversized_response("200 OK", object, &mut tasks).await;
    let write = DocumentWrite {
        base: Revision(0),
        text: "text".to_owned(),
        writer: "ann".to_owned(),
        nonce: Nonce(1),
    };
    let written = Client::new(Options::new(vec![address])).write(&write).await;
    assert_eq!(written.map_err(|error| error_kind(&error)), Err("in doubt"));
    let address = serve_oversized_response("400 Bad", "no", &mut tasks).await;
    let refused = Client::new(Options::new(vec![address])).document().await;
    let Err(Error::Rejected { text, .. }) = refused else {
        panic!("the read was not rejected");
    };
    assert!(text.starts_with("no") && text.len() < 10_000, "{} bytes", text.len());
}

#[tokio::test]
async fn early_end_of_a_watch_is_retried_after_a_delay() {
    let old = r#"{"version": 2, "nonce": 1, "writer": "ann", "written_at": 0, "value": "old"}"#;
    let old = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{old}", old.len());
    let ended = "HTTP/1.1 304 \r\ncontent-length: 0\r\n\r\n".to_owned();
    for answer in [ended, old] {
        let mut tasks = JoinSet::new();
        let (address, request_count) = serve_counted_response(answer, &mut tasks).await;
        let client = Client::new(Options::new(vec![address]));
        let news = client.watch(Revision(2), Duration::from_millis(700)).await;
        assert_eq!(news, Ok(None));
        // At the start, after the delay, and at the end.
        let request_count = request_count.load(Ordering::Relaxed);
        assert!((1..=3).contains(&request_count), "{request_count} calls");
    }
}

#[tokio::test]
async fn redirects_are_not_followed() {
    let platform = start_platform().await;
    let target = format!("http://{}{}", platform.address(), Key::document().path());
    let answer = format!("HTTP/1.1 307 \r\nlocation: {target}\r\ncontent-length: 0\r\n\r\n");
    check_read_and_write(&answer, ["rejected", "in doubt"], ["rejected", "in doubt"]).await;
    assert_eq!(platform.counts(), standin::platform::Counts::default());
}

#[tokio::test]
async fn client_without_addresses_is_unavailable() {
    let client = Client::new(Options::new(Vec::new()));
    let read = client.document().await.map_err(|error| error_kind(&error));
    assert_eq!(read, Err("unavailable"));
}

#[tokio::test]
async fn client_keeps_using_a_working_address() {
    let (first, second) = (start_platform().await, start_platform().await);
    let client = Client::new(Options::new(vec![first.address(), second.address()]));
    let down = standin::platform::Behaviour {
        down: true,
        ..Default::default()
    };
    for (going_down, serving) in [(&first, &second), (&second, &first)] {
        going_down.behave(down.clone()).await;
        serving.behave(standin::platform::Behaviour::default()).await;
        let before = serving.counts().lists;
        for _read in 0..3 {
            client.list().await.expect("one address works");
        }
        assert_eq!(serving.counts().lists, before + 3);
        going_down.behave(standin::platform::Behaviour::default()).await;
        client.list().await.expect("both addresses work");
        assert_eq!(
            serving.counts().lists,
            before + 4,
            "the client switched away from a working address"
        );
    }
}
