//! Mutual authentication by a shared secret, in the first two messages of each side.
//!
//! Each side sends its identity and a fresh nonce, then a MAC over both of these messages. A MAC is bound to both
//! nonces, both names and incarnations, and the side that sends it, so it cannot be reused in another handshake. The
//! session that follows is authenticated but not encrypted.

use std::fmt;
use std::net::SocketAddr;

use blake3::Hash;
use futures_util::SinkExt;
use futures_util::StreamExt;
use node::Peer;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteArray;
use token::Secret;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use units::Incarnation;
use units::InstanceName;
use units::ZoneName;

/// Separates session keys from other keys derived from the same secret.
const KEY_CONTEXT: &str = "jayquay 2026-12-02 instance session";
/// Version of the protocol between instances.
const VERSION: u8 = 1;
/// Maximum length of a handshake message, in bytes.
pub const MAX_MESSAGE_LEN: usize = 1_024;
/// Maximum number of MACs in a proof: the settings hold one current and at most four previous secrets.
const MAX_MACS: usize = 5;

/// Identity of an instance, as sent in its first handshake message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name.
    pub name: InstanceName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address at which it accepts sessions from other instances.
    pub address: SocketAddr,
}

impl Identity {
    /// Name and incarnation of the instance.
    pub fn peer(&self) -> Peer {
        Peer {
            name: self.name.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// The first message of each side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version.
    pub version: u8,
    /// Identity of the sender.
    pub identity: Identity,
    /// Random value that is fresh for each handshake.
    pub nonce: ByteArray<32>,
}

impl Hello {
    /// Creates a first message with a fresh nonce.
    pub fn new(identity: Identity) -> Self {
        Self {
            version: VERSION,
            identity,
            nonce: ByteArray::new(rand::random()),
        }
    }
}

/// The second message of each side: one MAC for each secret of the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The MACs, starting with that of the current secret.
    pub macs: Vec<ByteArray<32>>,
}

/// Keys for creating and verifying proofs.
#[derive(Clone)]
pub struct Keys(Vec<[u8; 32]>);

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({} keys)", self.0.len())
    }
}

impl Keys {
    /// Derives the keys from the current secret and from the previous ones that are still accepted.
    pub fn new(current: &Secret, previous: &[Secret]) -> Self {
        let mut keys = vec![current.derive(KEY_CONTEXT)];
        keys.extend(previous.iter().map(|secret| secret.derive(KEY_CONTEXT)));
        Self(keys)
    }
}

/// A side of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Initiator,
    /// The side that accepted the connection.
    Acceptor,
}

/// The cause of a failed handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The peer's proof matches none of this instance's secrets.
    NoCommonSecret,
    /// The peer uses another protocol version.
    Version,
    /// The peer is not the expected instance, or claims this instance's own name.
    WrongName,
    /// A message is too long or cannot be decoded.
    Malformed,
    /// The connection was closed.
    Closed,
    /// The handshake exceeded its time limit.
    Timeout,
    /// The connection could not be established.
    Connect,
}

impl Error {
    /// The cause as a metric label and in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoCommonSecret => "stranger",
            Self::Version => "version",
            Self::WrongName => "wrong_name",
            Self::Malformed => "malformed",
            Self::Closed => "closed",
            Self::Timeout => "timeout",
            Self::Connect => "connect",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for Error {}

/// Performs the handshake as the side that opened the connection.
pub async fn initiate<S>(ws: &mut WebSocketStream<S>, own: &Identity, keys: &Keys) -> Result<Identity, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let first = encode(&Hello::new(own.clone()));
    send(ws, first.clone()).await?;
    let second = receive(ws).await?;
    let other = read_hello(&second, own)?;
    let transcript = Transcript::new(&first, &second);
    send(ws, encode(&transcript.proof(keys, Side::Initiator))).await?;
    let proof: Proof = decode(&receive(ws).await?)?;
    transcript.check(keys, Side::Acceptor, &proof)?;
    Ok(other)
}

/// Performs the handshake as the side that accepted the connection. Sends its proof only after verifying the peer's.
pub async fn accept<S>(ws: &mut WebSocketStream<S>, own: &Identity, keys: &Keys) -> Result<Identity, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let first = receive(ws).await?;
    let other = read_hello(&first, own)?;
    let second = encode(&Hello::new(own.clone()));
    send(ws, second.clone()).await?;
    let transcript = Transcript::new(&first, &second);
    let proof: Proof = decode(&receive(ws).await?)?;
    transcript.check(keys, Side::Initiator, &proof)?;
    send(ws, encode(&transcript.proof(keys, Side::Acceptor))).await?;
    Ok(other)
}

/// The first messages of both sides, over which the MACs are computed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transcript(Vec<u8>);

impl Transcript {
    /// Creates a transcript from the encoded first messages, each prefixed with its length.
    pub fn new(initiator: &[u8], acceptor: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(16 + initiator.len() + acceptor.len());
        for message in [initiator, acceptor] {
            bytes.extend_from_slice(&(message.len() as u64).to_be_bytes());
            bytes.extend_from_slice(message);
        }
        Self(bytes)
    }

    /// Creates the proof of `side`.
    pub fn proof(&self, keys: &Keys, side: Side) -> Proof {
        let macs = keys.0.iter().map(|key| ByteArray::new(*self.mac(key, side).as_bytes()));
        Proof { macs: macs.collect() }
    }

    fn check(&self, keys: &Keys, side: Side, proof: &Proof) -> Result<(), Error> {
        if proof.macs.len() > MAX_MACS {
            return Err(Error::Malformed);
        }
        for key in &keys.0 {
            let expected = self.mac(key, side);
            // `Hash` compares in constant time.
            if proof
                .macs
                .iter()
                .any(|mac| expected == Hash::from_bytes(mac.into_array()))
            {
                return Ok(());
            }
        }
        Err(Error::NoCommonSecret)
    }

    fn mac(&self, key: &[u8; 32], side: Side) -> Hash {
        let label: &[u8] = match side {
            Side::Initiator => b"initiator",
            Side::Acceptor => b"acceptor",
        };
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher.update(label);
        hasher.update(&self.0);
        hasher.finalize()
    }
}

fn read_hello(bytes: &[u8], own: &Identity) -> Result<Identity, Error> {
    let hello: Hello = decode(bytes)?;
    if hello.version != VERSION {
        return Err(Error::Version);
    }
    if hello.identity.name == own.name {
        return Err(Error::WrongName);
    }
    Ok(hello.identity)
}

/// Encodes a handshake message.
pub fn encode<T: Serialize>(item: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(item, &mut bytes)
        .expect("writing to a vector does not fail, and every message can be encoded as CBOR");
    bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    ciborium::from_reader(bytes).map_err(|_| Error::Malformed)
}

async fn send<S>(ws: &mut WebSocketStream<S>, bytes: Vec<u8>) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    ws.send(Message::binary(bytes)).await.map_err(|_| Error::Closed)
}

async fn receive<S>(ws: &mut WebSocketStream<S>) -> Result<Vec<u8>, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    match ws.next().await {
        Some(Ok(Message::Binary(bytes))) if bytes.len() <= MAX_MESSAGE_LEN => Ok(bytes.into()),
        Some(Ok(Message::Close(_)) | Err(_)) | None => Err(Error::Closed),
        Some(Ok(_)) => Err(Error::Malformed),
    }
}
