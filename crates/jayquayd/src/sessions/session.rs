//! An authenticated session: sends and receives frames and detects an unresponsive peer.
//!
//! Each message holds the sender's stamp followed by one CBOR frame. A side that has sent a frame and receives nothing
//! sends a ping, and ends the session if that remains unanswered as well. Idle sessions cause no traffic.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::Sink;
use futures_util::SinkExt;
use futures_util::Stream;
use futures_util::StreamExt;
use node::Peer;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Bytes;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use wire::Frame;
use wire::MAX_FRAME_LEN;

use super::handshake::Side;
use crate::input::Input;
use crate::input::InputSender;
use crate::input::ReceivedFrame;
use crate::metric;
use crate::timeline::Stamp;

/// Maximum number of frames queued for one session.
pub(super) const QUEUE_LEN: usize = 1_024;
/// Maximum number of frames written before a flush.
const BATCH_LEN: usize = 64;
/// Time without any message from the peer, counted from the first unanswered frame, after which a ping is sent.
const PING_AFTER: Duration = Duration::from_secs(2);
/// Time without any message from the peer, counted from the first unanswered frame, after which the session ends.
const PEER_TIMEOUT: Duration = Duration::from_secs(6);
/// Time limit for one flush.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without frames after which the initiator closes a session.
///
/// Each member probes the others in turn, two per second, so with 600 members it returns to the same one after five
/// minutes. A session that ends before then costs a handshake for each probe.
const IDLE_TIMEOUT: Duration = Duration::from_mins(15);
/// Interval between checks for silence and idleness.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for the peer to confirm a close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Length of a stamp, in bytes.
const STAMP_LEN: usize = 8;

/// A frame queued for sending, with its stamp.
pub(super) type QueuedFrame = (Stamp, Frame);

/// The reason for which a session ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndReason {
    /// This side closed the session after it was idle.
    Idle,
    /// The peer closed the session after it was idle.
    ClosedByPeer,
    /// The connection was closed.
    Closed,
    /// The peer does not answer pings.
    Silent,
    /// The peer stopped reading: a flush exceeded its time limit.
    Stalled,
    /// This instance released the session or the engine has stopped.
    Replaced,
}

impl EndReason {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Idle | Self::ClosedByPeer => "idle",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Stalled => "stalled",
            Self::Replaced => "replaced",
        }
    }

    /// Whether the session ended for lack of use, which says nothing about the peer's health.
    pub(super) fn is_graceful(self) -> bool {
        matches!(self, Self::Idle | Self::ClosedByPeer)
    }
}

/// Times of the last sent and received messages, in milliseconds since the session began.
struct Activity {
    start: Instant,
    /// Time of the first frame sent since the peer was last heard from; zero if there is none.
    unanswered_since: AtomicU64,
    /// Time at which a frame was last sent or received.
    last_frame_at: AtomicU64,
}

impl Activity {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            unanswered_since: AtomicU64::new(0),
            last_frame_at: AtomicU64::new(0),
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis())
            .unwrap_or(u64::MAX)
            .max(1)
    }

    fn note_heard(&self) {
        self.unanswered_since.store(0, Ordering::Relaxed);
    }

    fn note_sent(&self) {
        let now = self.now();
        self.last_frame_at.store(now, Ordering::Relaxed);
        if self.unanswered_since.load(Ordering::Relaxed) == 0 {
            self.unanswered_since.store(now, Ordering::Relaxed);
        }
    }

    fn note_received(&self) {
        self.last_frame_at.store(self.now(), Ordering::Relaxed);
    }

    fn silent_for(&self) -> Duration {
        match self.unanswered_since.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            since => Duration::from_millis(self.now().saturating_sub(since)),
        }
    }

    fn idle_for(&self) -> Duration {
        Duration::from_millis(self.now().saturating_sub(self.last_frame_at.load(Ordering::Relaxed)))
    }
}

/// Runs a session until it ends. Received frames are passed to the engine; frames in `queue` are sent.
pub(super) async fn run<W>(
    ws: W,
    side: Side,
    peer: &Peer,
    queue: &mut mpsc::Receiver<QueuedFrame>,
    input_sender: &InputSender,
) -> EndReason
where
    W: Stream<Item = tungstenite::Result<Message>> + Sink<Message, Error = tungstenite::Error>,
{
    let (mut sink, mut stream) = ws.split();
    let activity = Activity::new();
    let reading = read(&mut stream, peer, input_sender, &activity);
    let writing = write(&mut sink, side, queue, &activity);
    tokio::pin!(reading);
    // Messages that have already arrived take precedence over an expired timer, for example after the process was
    // suspended.
    let reason = tokio::select! {
        biased;
        reason = &mut reading => reason,
        reason = writing => reason,
    };
    if reason == EndReason::Idle {
        // Still receives frames that the peer sent before it saw the close.
        let _late = tokio::time::timeout(CLOSE_TIMEOUT, reading).await;
    }
    reason
}

async fn read<R>(stream: &mut R, peer: &Peer, input_sender: &InputSender, activity: &Activity) -> EndReason
where
    R: Stream<Item = tungstenite::Result<Message>> + Unpin,
{
    loop {
        let Some(Ok(message)) = stream.next().await else {
            return EndReason::Closed;
        };
        activity.note_heard();
        let bytes = match message {
            Message::Binary(bytes) => bytes,
            Message::Close(Some(frame)) if frame.code == CloseCode::Normal => return EndReason::ClosedByPeer,
            Message::Close(_) => return EndReason::Closed,
            _ => continue,
        };
        activity.note_received();
        metric::frames_received().increment(1);
        metric::frame_bytes_received().increment(bytes.len() as u64);
        // Reserving bytes before decoding the frame also bounds the memory of queued frames.
        let Ok(permit) = input_sender.reserve_bytes(bytes.len()).await else {
            return EndReason::Replaced;
        };
        let Some((stamp, frame)) = decode(&bytes) else {
            metric::frames_unread().increment(1);
            continue;
        };
        let received = ReceivedFrame {
            peer: peer.clone(),
            stamp,
            frame,
            permit,
        };
        if input_sender.send(Input::Frame(received)).await.is_err() {
            return EndReason::Replaced;
        }
    }
}

async fn write<W>(sink: &mut W, side: Side, queue: &mut mpsc::Receiver<QueuedFrame>, activity: &Activity) -> EndReason
where
    W: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    let mut batch = Vec::with_capacity(BATCH_LEN);
    let mut check = tokio::time::interval(CHECK_INTERVAL);
    let mut has_pinged = false;
    loop {
        let count = tokio::select! {
            count = queue.recv_many(&mut batch, BATCH_LEN) => Some(count),
            _ = check.tick() => None,
        };
        let sent = match count {
            Some(0) => return EndReason::Replaced,
            Some(_) => {
                activity.note_sent();
                send_all(sink, &mut batch).await
            }
            None if activity.silent_for() > PEER_TIMEOUT => return EndReason::Silent,
            None if activity.silent_for() > PING_AFTER && !has_pinged => {
                has_pinged = true;
                flush_one(sink, Message::Ping(Bytes::new())).await
            }
            None if side == Side::Initiator && activity.idle_for() > IDLE_TIMEOUT => {
                let close = CloseFrame {
                    code: CloseCode::Normal,
                    reason: "idle".into(),
                };
                let _closing = flush_one(sink, Message::Close(Some(close))).await;
                return EndReason::Idle;
            }
            None => {
                has_pinged &= activity.silent_for() > PING_AFTER;
                Ok(())
            }
        };
        if let Err(reason) = sent {
            return reason;
        }
    }
}

async fn send_all<W>(sink: &mut W, batch: &mut Vec<QueuedFrame>) -> Result<(), EndReason>
where
    W: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    let sending = async {
        for (stamp, frame) in batch.drain(..) {
            let bytes = encode(stamp, &frame);
            if bytes.len() > STAMP_LEN + MAX_FRAME_LEN {
                // The peer would end the session on receiving it.
                metric::frames_too_long().increment(1);
                log::error!(
                    "sessions: dropped a frame of {} bytes, which is too long to send",
                    bytes.len()
                );
                continue;
            }
            metric::frames_sent().increment(1);
            metric::frame_bytes_sent().increment(bytes.len() as u64);
            sink.feed(Message::binary(bytes)).await?;
        }
        sink.flush().await
    };
    with_flush_timeout(sending).await
}

async fn flush_one<W>(sink: &mut W, message: Message) -> Result<(), EndReason>
where
    W: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    with_flush_timeout(sink.send(message)).await
}

async fn with_flush_timeout(sending: impl Future<Output = tungstenite::Result<()>>) -> Result<(), EndReason> {
    match tokio::time::timeout(FLUSH_TIMEOUT, sending).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(EndReason::Closed),
        Err(_) => Err(EndReason::Stalled),
    }
}

fn encode(stamp: Stamp, frame: &Frame) -> Vec<u8> {
    let mut bytes = stamp.0.to_be_bytes().to_vec();
    bytes.append(&mut wire::encode_frame(frame));
    bytes
}

fn decode(bytes: &[u8]) -> Option<(Stamp, Frame)> {
    let (stamp, frame) = bytes.split_first_chunk::<STAMP_LEN>()?;
    let frame = wire::decode_frame(frame).ok()?;
    Some((Stamp(u64::from_be_bytes(*stamp)), frame))
}

/// Counts and logs the end of a session. Returns whether frames may have been lost.
pub(super) fn record_end(peer: &Peer, reason: EndReason, queue: &mut mpsc::Receiver<QueuedFrame>) -> bool {
    metric::sessions_ended(reason.as_str()).increment(1);
    log::debug!("sessions: session with {} ended: {}", peer.name, reason.as_str());
    queue.close();
    let is_empty = queue.try_recv().is_err();
    !(reason.is_graceful() && is_empty)
}
