//! Handshakes between instances, including impostors and replays.

use futures_util::SinkExt;
use futures_util::StreamExt;
use jayquayd::sessions::handshake;
use jayquayd::sessions::handshake::Error;
use jayquayd::sessions::handshake::Hello;
use jayquayd::sessions::handshake::Identity;
use jayquayd::sessions::handshake::Keys;
use jayquayd::sessions::handshake::MAX_MESSAGE_LEN;
use jayquayd::sessions::handshake::Side;
use jayquayd::sessions::handshake::Transcript;
use token::Secret;
use tokio::io::DuplexStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::Role;
use units::Incarnation;

type Socket = WebSocketStream<DuplexStream>;

async fn connected_sockets() -> (Socket, Socket) {
    let (client, server) = tokio::io::duplex(64 * 1_024);
    let client = WebSocketStream::from_raw_socket(client, Role::Client, None).await;
    let server = WebSocketStream::from_raw_socket(server, Role::Server, None).await;
    (client, server)
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.parse().unwrap(),
        incarnation: Incarnation(1),
        zone: "zone-a".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
    }
}

/// Keys for secrets that are each given by one letter; the first is the current one.
fn keys(letters: &str) -> Keys {
    let mut secrets = letters
        .chars()
        .map(|letter| letter.to_string().repeat(32).parse().unwrap());
    let current: Secret = secrets.next().unwrap();
    let previous: Vec<Secret> = secrets.collect();
    Keys::new(&current, &previous)
}

/// Performs a handshake between an initiator and an acceptor, each given by name and secrets, and checks both results.
async fn check(initiator: (&str, &str), acceptor: (&str, &str), expected: (&str, &str)) {
    let (mut client, mut server) = connected_sockets().await;
    let client_own = identity(initiator.0);
    let server_own = identity(acceptor.0);
    let client_keys = keys(initiator.1);
    let server_keys = keys(acceptor.1);
    // The side that fails closes the connection, as the daemon does.
    let client = async move { handshake::initiate(&mut client, &client_own, &client_keys).await };
    let server = async move { handshake::accept(&mut server, &server_own, &server_keys).await };
    let (client, server) = tokio::join!(client, server);
    assert_eq!(
        (describe(client), describe(server)),
        (expected.0.to_owned(), expected.1.to_owned())
    );
}

fn describe(result: Result<Identity, Error>) -> String {
    match result {
        Ok(identity) => format!("met {}", identity.name),
        Err(error) => error.to_string(),
    }
}

#[tokio::test]
async fn both_sides_need_a_secret_in_common() {
    check(("one", "a"), ("two", "a"), ("met two", "met one")).await;
    check(("one", "b"), ("two", "a"), ("closed", "stranger")).await;
    check(("one", "ba"), ("two", "a"), ("met two", "met one")).await;
    check(("one", "a"), ("two", "ba"), ("met two", "met one")).await;
    check(("one", "ab"), ("two", "cb"), ("met two", "met one")).await;
    check(("one", "abcde"), ("two", "fghie"), ("met two", "met one")).await;
    check(("one", "ab"), ("two", "cd"), ("closed", "stranger")).await;
    check(("one", "a"), ("one", "a"), ("closed", "wrong_name")).await;
}

#[tokio::test]
async fn an_impostor_that_is_connected_to_is_refused() {
    let (mut client, mut server) = connected_sockets().await;
    let impostor = async move {
        let _hello = receive(&mut server).await;
        send(&mut server, &handshake::encode(&Hello::new(identity("two")))).await;
        let proof = receive(&mut server).await;
        // The impostor has no secret, and sends the initiator's own proof back.
        send(&mut server, &proof).await;
    };
    let own = identity("one");
    let keys = keys("a");
    let (result, ()) = tokio::join!(handshake::initiate(&mut client, &own, &keys), impostor);
    assert_eq!(result, Err(Error::NoCommonSecret));
}

#[tokio::test]
async fn a_replayed_proof_is_refused() {
    let own = identity("two");
    let keys = keys("a");
    let hello = handshake::encode(&Hello::new(identity("one")));
    let (mut client, mut server) = connected_sockets().await;
    let legitimate = async {
        send(&mut client, &hello).await;
        let other = receive(&mut client).await;
        let proof = handshake::encode(&Transcript::new(&hello, &other).proof(&keys, Side::Initiator));
        send(&mut client, &proof).await;
        proof
    };
    let (recorded, met) = tokio::join!(legitimate, handshake::accept(&mut server, &own, &keys));
    assert_eq!(met, Ok(identity("one")));

    let (mut client, mut server) = connected_sockets().await;
    let replay = async {
        send(&mut client, &hello).await;
        receive(&mut client).await;
        send(&mut client, &recorded).await;
    };
    let ((), result) = tokio::join!(replay, handshake::accept(&mut server, &own, &keys));
    assert_eq!(result, Err(Error::NoCommonSecret));
}

#[tokio::test]
async fn a_first_message_that_is_no_hello_is_refused() {
    let mut older = Hello::new(identity("one"));
    older.version = 0;
    let cases = [
        (vec![0; MAX_MESSAGE_LEN + 1], Error::Malformed),
        (vec![0xff; 40], Error::Malformed),
        (Vec::new(), Error::Malformed),
        (handshake::encode(&older), Error::Version),
    ];
    for (message, expected) in cases {
        let (mut client, mut server) = connected_sockets().await;
        send(&mut client, &message).await;
        let result = handshake::accept(&mut server, &identity("two"), &keys("a")).await;
        assert_eq!(result, Err(expected));
    }
}

async fn send(socket: &mut Socket, bytes: &[u8]) {
    socket.send(Message::binary(bytes.to_vec())).await.unwrap();
}

async fn receive(socket: &mut Socket) -> Vec<u8> {
    socket.next().await.unwrap().unwrap().into_data().into()
}
