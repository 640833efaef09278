//! Sessions over loopback between the session tables of several instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use jayquayd::input::Input;
use jayquayd::input::InputQueues;
use jayquayd::input::InputSender;
use jayquayd::sessions;
use jayquayd::sessions::Context;
use jayquayd::sessions::MAX_HANDSHAKES;
use jayquayd::sessions::Sessions;
use jayquayd::sessions::handshake;
use jayquayd::sessions::handshake::Identity;
use jayquayd::sessions::handshake::Keys;
use jayquayd::timeline::Stamp;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use wire::Frame;

/// Longer than any step of a test takes unless it hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Opens a WebSocket on a connection to an instance, without the handshake between instances.
async fn open_websocket(tcp: TcpStream, address: SocketAddr) -> WebSocketStream<TcpStream> {
    let url = format!("ws://{address}/");
    let (ws, _) = tokio_tungstenite::client_async(url, tcp).await.unwrap();
    ws
}

struct Instance {
    name: InstanceName,
    address: SocketAddr,
    sessions: Sessions,
    queues: InputQueues,
    listening: JoinSet<()>,
}

impl Instance {
    async fn start(name: &str, incarnation: u64, secret: &str, capacity: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (input_sender, queues) = InputSender::new();
        let own = Identity {
            name: name.parse().unwrap(),
            incarnation: Incarnation(incarnation),
            zone: "zone-a".parse().unwrap(),
            address,
        };
        let context = Context {
            own,
            keys: Keys::new(&secret.repeat(32).parse().unwrap(), &[]),
            input_sender,
            handshake_history: Arc::default(),
        };
        let mut listening = JoinSet::new();
        listening.spawn(sessions::listen(listener, context.clone()));
        Self {
            name: name.parse().unwrap(),
            address,
            sessions: Sessions::new(context, capacity),
            queues,
            listening,
        }
    }

    fn send(&mut self, to: &Instance, number: u64) -> bool {
        let frame = Frame::Want(Some(Revision(number)));
        self.sessions.send(&to.name, to.address, Stamp(number), frame)
    }

    /// Describes the next received frame or loss.
    async fn next(&mut self) -> String {
        loop {
            let input = tokio::time::timeout(TEST_TIMEOUT, self.queues.control.recv()).await;
            match input.expect("an input arrives in time").unwrap() {
                Input::Frame(arrival) => {
                    let Frame::Want(Some(revision)) = arrival.frame else {
                        panic!("unexpected: {arrival:?}");
                    };
                    let peer = arrival.peer;
                    return format!(
                        "{} ({}) sent {revision} at {}",
                        peer.name, peer.incarnation, arrival.stamp.0
                    );
                }
                Input::Session(event) => {
                    if let Some(name) = self.sessions.handle_event(event) {
                        return format!("lost {name}");
                    }
                }
                other => panic!("unexpected: {other:?}"),
            }
        }
    }

    /// Like [`Self::next`], while `other` runs and must receive neither a frame nor a loss.
    async fn next_while_idle(&mut self, other: &mut Self) -> String {
        tokio::select! {
            next = self.next() => next,
            heard = other.next() => panic!("the other instance received: {heard}"),
        }
    }
}

#[tokio::test]
async fn frames_pass_both_ways_over_one_session() {
    let mut one = Instance::start("one", 1, "a", 8).await;
    let mut two = Instance::start("two", 2, "a", 8).await;
    assert!(one.send(&two, 10));
    assert!(one.send(&two, 11));
    assert_eq!(two.next().await, "one (1) sent 10 at 10");
    assert_eq!(two.next().await, "one (1) sent 11 at 11");
    assert!(two.send(&one, 20));
    assert_eq!(one.next().await, "two (2) sent 20 at 20");
    assert_eq!((one.sessions.established(), two.sessions.established()), (1, 1));
}

#[tokio::test]
async fn sessions_made_at_the_same_time_both_work() {
    let mut one = Instance::start("one", 1, "a", 8).await;
    let mut two = Instance::start("two", 2, "a", 8).await;
    for number in 0..20 {
        assert!(one.send(&two, number));
        assert!(two.send(&one, number));
    }
    for number in 0..20 {
        assert_eq!(two.next().await, format!("one (1) sent {number} at {number}"));
        assert_eq!(one.next().await, format!("two (2) sent {number} at {number}"));
    }
}

#[tokio::test]
async fn the_end_of_a_session_is_reported_and_a_new_one_is_made() {
    let mut one = Instance::start("one", 1, "a", 8).await;
    let mut two = Instance::start("two", 2, "a", 8).await;
    assert!(one.send(&two, 10));
    assert_eq!(two.next().await, "one (1) sent 10 at 10");
    two.listening.abort_all();
    assert_eq!(one.next().await, "lost two");
    let mut two = Instance::start("two", 3, "a", 8).await;
    assert!(one.send(&two, 11));
    assert_eq!(two.next().await, "one (1) sent 11 at 11");
}

#[tokio::test]
async fn each_failed_connection_reports_a_loss() {
    let mut one = Instance::start("one", 1, "a", 8).await;
    let mut rejected = Instance::start("two", 2, "b", 8).await;
    for _ in 0..3 {
        assert!(one.send(&rejected, 10));
        assert_eq!(one.next().await, "lost two");
    }
    // Another instance now listens at the known address.
    let three = Instance::start("three", 3, "a", 8).await;
    rejected.address = three.address;
    assert!(one.send(&rejected, 10));
    assert_eq!(one.next().await, "lost two");
    assert!(rejected.queues.control.is_empty());
}

#[tokio::test]
async fn sessions_are_limited() {
    let mut one = Instance::start("one", 1, "a", 1).await;
    let mut two = Instance::start("two", 2, "a", 8).await;
    let mut three = Instance::start("three", 3, "a", 8).await;
    assert!(one.send(&two, 10));
    assert_eq!(two.next().await, "one (1) sent 10 at 10");
    assert!(!one.send(&three, 11));
    // The instance that connects is disconnected and reports the loss.
    assert!(three.send(&one, 30));
    assert_eq!(three.next_while_idle(&mut one).await, "lost one");
    assert_eq!(one.sessions.established(), 1);
}

#[tokio::test]
async fn a_newer_incarnation_replaces_an_older_one_and_never_the_other_way() {
    let mut one = Instance::start("one", 1, "a", 8).await;
    let mut older = Instance::start("two", 2, "a", 8).await;
    let mut newer = Instance::start("two", 3, "a", 8).await;
    assert!(older.send(&one, 10));
    assert_eq!(one.next().await, "two (2) sent 10 at 10");
    assert!(newer.send(&one, 20));
    assert_eq!(one.next().await, "lost two");
    assert_eq!(one.next().await, "two (3) sent 20 at 20");
    assert_eq!(older.next().await, "lost one");
    assert!(older.send(&one, 11));
    assert_eq!(older.next_while_idle(&mut one).await, "lost one");
    assert!(one.send(&newer, 30));
    assert_eq!(newer.next().await, "one (1) sent 30 at 30");
}

#[tokio::test]
async fn a_session_with_a_frozen_instance_ends() {
    let mut one = Instance::start("one", 1, "a", 8).await;
    let tcp = TcpStream::connect(one.address).await.unwrap();
    let mut ws = open_websocket(tcp, one.address).await;
    let own = Identity {
        name: "two".parse().unwrap(),
        incarnation: Incarnation(2),
        zone: "zone-a".parse().unwrap(),
        address: one.address,
    };
    let keys = Keys::new(&"a".repeat(32).parse().unwrap(), &[]);
    handshake::initiate(&mut ws, &own, &keys).await.unwrap();
    let arrived = one.queues.control.recv().await;
    let Some(Input::Session(event)) = arrived else {
        panic!("unexpected: {arrived:?}");
    };
    assert_eq!(one.sessions.handle_event(event), None);
    assert_eq!(one.sessions.established(), 1);
    let frame = Frame::Want(Some(Revision(10)));
    assert!(one.sessions.send(&own.name, own.address, Stamp(10), frame));
    // From here on the other side neither reads nor answers, but keeps its connection open.
    tokio::time::pause();
    assert_eq!(one.next().await, "lost two");
    assert_eq!(one.sessions.established(), 0);
    drop(ws);
}

#[tokio::test]
async fn an_oversized_handshake_message_closes_the_connection() {
    let mut one = Instance::start("one", 1, "a", 8).await;
    let tcp = TcpStream::connect(one.address).await.unwrap();
    let mut ws = open_websocket(tcp, one.address).await;
    // Longer than a handshake message may be, but shorter than a frame may be.
    let frame = Message::binary(vec![0; 1_000_000]);
    // The other side may close the connection before everything is written.
    let _cut = ws.send(frame).await;
    let end = tokio::time::timeout(TEST_TIMEOUT, ws.next())
        .await
        .expect("the connection ends in time");
    assert!(!matches!(end, Some(Ok(Message::Binary(_)))), "{end:?}");
    assert!(one.queues.control.is_empty());
    assert_eq!(one.sessions.established(), 0);
    one.listening.abort_all();
}

#[tokio::test]
async fn silent_connections_are_bounded_and_do_not_block_instances() {
    let mut one = Instance::start("one", 1, "a", 8).await;
    let mut two = Instance::start("two", 2, "a", 8).await;
    let mut silent_connections = Vec::new();
    for _ in 0..MAX_HANDSHAKES + 10 {
        silent_connections.push(TcpStream::connect(one.address).await.unwrap());
    }
    // Connections over the limit are closed at once, the others when their handshake times out.
    for connection in &mut silent_connections {
        let mut buffer = [0; 16];
        let read = tokio::time::timeout(TEST_TIMEOUT, connection.read(&mut buffer)).await;
        let read = read.expect("the connection ends in time");
        assert_eq!(read.unwrap_or(0), 0);
    }
    assert!(two.send(&one, 10));
    assert_eq!(one.next().await, "two (2) sent 10 at 10");
    assert!(two.queues.control.recv().await.is_some());
}

#[tokio::test]
async fn silent_connections_of_one_host_leave_slots_for_other_hosts() {
    let one = Instance::start("one", 1, "a", 8).await;
    let mut silent_connections = Vec::new();
    for _ in 0..MAX_HANDSHAKES {
        silent_connections.push(TcpStream::connect(one.address).await.unwrap());
    }
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.2:0".parse().unwrap()).unwrap();
    let tcp = socket.connect(one.address).await.unwrap();
    let mut ws = open_websocket(tcp, one.address).await;
    let own = Identity {
        name: "two".parse().unwrap(),
        incarnation: Incarnation(2),
        zone: "zone-a".parse().unwrap(),
        address: "127.0.0.2:1".parse().unwrap(),
    };
    let keys = Keys::new(&"a".repeat(32).parse().unwrap(), &[]);
    let other = handshake::initiate(&mut ws, &own, &keys).await.unwrap();
    assert_eq!(other.name, one.name);
}
