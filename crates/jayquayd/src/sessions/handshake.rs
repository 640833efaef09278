//! The first two messages each way of a session: both sides prove that they hold a secret in common.
//!
//! Each side sends a fresh nonce with its identity, then a MAC over everything that both sides have said. A MAC is
//! bound to both nonces, both names and lives, and the side that sends it, so that it is of no use in any other
//! handshake. The session that follows is authenticated but not encrypted.

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

/// Separates the keys of sessions from others derived of the same secret.
const KEY_CONTEXT: &str = "jayquay 2026-12-02 instance session";
/// The version of what instances say to one another.
const VERSION: u8 = 1;
/// The longest handshake message, in bytes.
pub const MAX_MESSAGE_LEN: usize = 1_024;
/// How many MACs a proof may hold: the settings name a current secret and at most four others.
const MAX_MACS: usize = 5;

/// Who an instance is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for other instances.
    pub address: SocketAddr,
}

impl Identity {
    /// The life that this identity names.
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
    /// The version of the protocol.
    pub version: u8,
    /// Who sends it.
    pub identity: Identity,
    /// Never used before.
    pub nonce: ByteArray<32>,
}

impl Hello {
    /// A first message with a new nonce.
    pub fn new(identity: Identity) -> Self {
        Self {
            version: VERSION,
            identity,
            nonce: ByteArray::new(rand::random()),
        }
    }
}

/// The second message of each side: a MAC by each secret that the sender holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The MACs, the current secret's first.
    pub macs: Vec<ByteArray<32>>,
}

/// The keys that an instance proves and checks with.
#[derive(Clone)]
pub struct Keys(Vec<[u8; 32]>);

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({} keys)", self.0.len())
    }
}

impl Keys {
    /// Keys of the current secret and of those that are accepted too.
    pub fn new(current: &Secret, previous: &[Secret]) -> Self {
        let mut keys = vec![current.derive(KEY_CONTEXT)];
        keys.extend(previous.iter().map(|secret| secret.derive(KEY_CONTEXT)));
        Self(keys)
    }
}

/// Which side of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The one that connected.
    Initiator,
    /// The one that was connected to.
    Acceptor,
}

/// Why a handshake failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The other side holds none of this instance's secrets.
    NoCommonSecret,
    /// The other side speaks another version.
    Version,
    /// The other side is another instance than the one that was meant, or claims this instance's own name.
    WrongName,
    /// A message is too long or cannot be read.
    Malformed,
    /// The connection ended.
    Closed,
    /// It took too long.
    Timeout,
    /// No connection could be made.
    Connect,
}

impl Error {
    /// The cause as a metric label and in logs.
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

/// Proves this instance to the one it connected to, and has it prove itself.
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

/// Has the instance that connected prove itself, then proves this one to it.
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

/// What both sides have said so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transcript(Vec<u8>);

impl Transcript {
    /// The transcript of both first messages, as they were sent.
    pub fn new(initiator: &[u8], acceptor: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(16 + initiator.len() + acceptor.len());
        for message in [initiator, acceptor] {
            bytes.extend_from_slice(&(message.len() as u64).to_be_bytes());
            bytes.extend_from_slice(message);
        }
        Self(bytes)
    }

    /// This side's proof.
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
            // Comparing hashes takes constant time.
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

/// Writes a handshake message.
pub fn encode<T: Serialize>(item: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(item, &mut bytes).expect("a vector takes every write, and every message has a CBOR form");
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
