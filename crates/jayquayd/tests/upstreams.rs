//! Calls to a test upstream whose response each case gives byte for byte.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use jayquayd::input::Input;
use jayquayd::input::InputSender;
use jayquayd::upstreams::CallClient;
use jayquayd::upstreams::Upstreams;
use node::Call;
use node::CallId;
use node::CallResult;
use node::Event;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use units::FlowId;
use units::Incarnation;
use units::RequestSeq;

/// Longer than any step of a test takes unless it hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const ECHO: &str = "x-jayquay-request: {request}\r\nx-jayquay-call: {call}\r\n";

fn call(address: SocketAddr, timeout: Duration) -> Call {
    Call {
        id: CallId(7),
        upstream: "north-1".parse().unwrap(),
        address,
        service: "availability".parse().unwrap(),
        kind: "hold".parse().unwrap(),
        owner: Incarnation(3),
        flow: FlowId(4),
        seq: RequestSeq(5),
        timeout,
        body: b"a room".to_vec(),
    }
}

fn call_client() -> CallClient {
    CallClient::new("entry-1".parse().unwrap(), Incarnation(9))
}

async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    while !text.ends_with("a room") {
        let mut buffer = [0; 1_024];
        let len = stream.read(&mut buffer).await.unwrap();
        assert_ne!(len, 0, "the request ended early: {text}");
        text.push_str(std::str::from_utf8(&buffer[..len]).unwrap());
    }
    text
}

fn header<'a>(request: &'a str, name: &str) -> &'a str {
    let mut lines = request.lines();
    let line = lines.find(|line| line.starts_with(name)).unwrap();
    &line[name.len() + 2..]
}

/// Makes a call to an upstream that responds with `template` and closes the connection, and checks the result.
async fn check(template: &str, expected: CallResult) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let template = template.replace("{echo}", ECHO);
    let name = template.clone();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let request = read_request(&mut stream).await;
        let answer = template
            .replace("{request}", header(&request, "x-jayquay-request"))
            .replace("{call}", header(&request, "x-jayquay-call"));
        stream.write_all(answer.as_bytes()).await.unwrap();
        request
    });
    let result = call_client().call(&call(address, TEST_TIMEOUT)).await;
    let request = server.await.unwrap();
    assert_eq!(result, expected, "{name}");
    assert!(request.starts_with("POST /run HTTP/1.1\r\n"), "{request}");
    assert_eq!(header(&request, "x-jayquay-request"), "3-4-5");
    assert_eq!(header(&request, "x-jayquay-call"), "entry-1-9-7");
    assert_eq!(header(&request, "x-jayquay-timeout-ms"), "20000");
}

#[tokio::test]
async fn responses_map_to_call_results() {
    let ok = "HTTP/1.1 200 OK\r\n{echo}content-length: 4\r\n\r\ndone";
    check(ok, CallResult::Answered(b"done".to_vec())).await;
    let chunked = "HTTP/1.1 200 OK\r\n{echo}transfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
    check(chunked, CallResult::Answered(b"done".to_vec())).await;
    let without_echo = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
    check(without_echo, CallResult::Mismatched).await;
    let other_call =
        "HTTP/1.1 200 OK\r\nx-jayquay-request: {request}\r\nx-jayquay-call: other\r\ncontent-length: 4\r\n\r\ndone";
    check(other_call, CallResult::Mismatched).await;
    let cut = "HTTP/1.1 200 OK\r\n{echo}content-length: 5\r\n\r\ndone";
    check(cut, CallResult::Mismatched).await;
    let cut_chunk = "HTTP/1.1 200 OK\r\n{echo}transfer-encoding: chunked\r\n\r\n4\r\ndone\r\n";
    check(cut_chunk, CallResult::Mismatched).await;
    let long = "HTTP/1.1 200 OK\r\n{echo}content-length: 9999999\r\n\r\ndone";
    check(long, CallResult::Mismatched).await;
    let shed = "HTTP/1.1 503 Shed\r\nx-jayquay-not-run: shed\r\ncontent-length: 0\r\n\r\n";
    check(shed, CallResult::Shed).await;
    let draining = "HTTP/1.1 503 Draining\r\n{echo}x-jayquay-not-run: draining\r\ncontent-length: 0\r\n\r\n";
    check(draining, CallResult::Draining).await;
    let shed_of_other_call =
        "HTTP/1.1 503 Shed\r\nx-jayquay-call: other\r\nx-jayquay-not-run: shed\r\ncontent-length: 0\r\n\r\n";
    check(shed_of_other_call, CallResult::Mismatched).await;
    let without_cause = "HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n";
    check(without_cause, CallResult::Failed).await;
    let error = "HTTP/1.1 500 Error\r\n{echo}x-jayquay-not-run: shed\r\ncontent-length: 0\r\n\r\n";
    check(error, CallResult::Failed).await;
    let redirect = "HTTP/1.1 307 Moved\r\n{echo}location: /elsewhere\r\ncontent-length: 0\r\n\r\n";
    check(redirect, CallResult::Failed).await;
    let nonsense = "nonsense\r\n\r\n";
    check(nonsense, CallResult::Failed).await;
    let nothing = "";
    check(nothing, CallResult::Failed).await;
}

#[tokio::test]
async fn only_a_failed_connection_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        // Closing the connection at once leaves open whether the request was sent.
        let (stream, _) = listener.accept().await.unwrap();
        drop(stream);
    });
    let call_client = call_client();
    let result = call_client.call(&call(address, TEST_TIMEOUT)).await;
    assert_eq!(result, CallResult::Failed);
    server.await.unwrap();
    let result = call_client.call(&call(address, TEST_TIMEOUT)).await;
    assert_eq!(result, CallResult::Unreachable);
}

#[tokio::test]
async fn no_call_uses_the_connection_of_an_earlier_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        let request = read_request(&mut first).await;
        let echo = ECHO
            .replace("{request}", header(&request, "x-jayquay-request"))
            .replace("{call}", header(&request, "x-jayquay-call"));
        let answer = format!("HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n{echo}content-length: 0\r\n\r\n");
        first.write_all(answer.as_bytes()).await.unwrap();
        // If the second request came on the first connection, this accept would never return.
        let (mut second, _) = listener.accept().await.unwrap();
        read_request(&mut second).await;
    });
    let call_client = call_client();
    let first = call_client.call(&call(address, TEST_TIMEOUT)).await;
    let second = call_client.call(&call(address, TEST_TIMEOUT)).await;
    assert_eq!((first, second), (CallResult::Answered(Vec::new()), CallResult::Failed));
    server.await.unwrap();
}

#[tokio::test]
async fn a_deadline_ends_a_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let result = call_client().call(&call(address, Duration::from_millis(100))).await;
    assert_eq!(result, CallResult::TimedOut);
    drop(listener);
}

#[tokio::test]
async fn a_cancelled_call_closes_its_connection_and_has_no_result() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (input_sender, mut queues) = InputSender::new();
    let mut upstreams = Upstreams::new("entry-1".parse().unwrap(), Incarnation(9), input_sender).unwrap();
    upstreams.call(call(address, TEST_TIMEOUT));
    let (mut stream, _) = listener.accept().await.unwrap();
    read_request(&mut stream).await;
    upstreams.cancel(CallId(7));
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection is still open");
    drop(upstreams);
    assert!(queues.control.recv().await.is_none());
}

#[tokio::test]
async fn a_poll_combines_health_and_load() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let health = r#"{"incarnation":4,"healthy":true,"draining":false,"age_ms":1500}"#;
        let load = r#"{"busy":1,"slots":2}"#;
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 1_024];
            let len = stream.read(&mut buffer).await.unwrap();
            let is_health = buffer[..len].starts_with(b"GET /health");
            let body = if is_health { health } else { load };
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    let (input_sender, mut queues) = InputSender::new();
    let mut upstreams = Upstreams::new("entry-1".parse().unwrap(), Incarnation(9), input_sender).unwrap();
    upstreams.poll("north-1".parse().unwrap(), address);
    let Some(Input::Event(Event::PollEnded(_, Ok(report)))) = queues.control.recv().await else {
        panic!("no report was received");
    };
    let seen = (
        report.incarnation,
        report.healthy,
        report.draining,
        report.busy.0,
        report.age,
    );
    assert_eq!(seen, (Incarnation(4), true, false, 1, Duration::from_millis(1_500)));
    server.await.unwrap();
}

/// A listener that accepts no connections, and the connections that fill its backlog, so that the system answers no
/// further ones.
async fn listener_with_full_backlog() -> (TcpListener, Vec<Pin<Box<impl Future>>>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let listener = socket.listen(1).unwrap();
    let mut connecting = Vec::new();
    let mut is_backlog_full = false;
    for _ in 0..8 {
        let mut stream = Box::pin(TcpStream::connect(address));
        let polled = tokio::time::timeout(Duration::from_millis(20), &mut stream).await;
        is_backlog_full = polled.is_err();
        connecting.push(stream);
    }
    assert!(is_backlog_full, "the backlog never filled up");
    (listener, connecting)
}

#[tokio::test]
async fn a_connection_that_takes_too_long_is_unreachable() {
    let (listener, _connecting) = listener_with_full_backlog().await;
    let address = listener.local_addr().unwrap();
    let result = call_client().call(&call(address, TEST_TIMEOUT)).await;
    assert_eq!(result, CallResult::Unreachable);
}

#[tokio::test]
async fn a_deadline_that_passes_while_connecting_leaves_nothing_in_doubt() {
    let (listener, _connecting) = listener_with_full_backlog().await;
    let address = listener.local_addr().unwrap();
    let result = call_client().call(&call(address, Duration::from_millis(100))).await;
    assert_eq!(result, CallResult::Unreachable);
}
