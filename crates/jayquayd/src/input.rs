//! The input queues of the engine.
//!
//! Datagrams from callers have a queue of their own, so that a flood of them neither delays heartbeats and call results
//! nor takes unbounded memory.

use std::net::SocketAddr;
use std::sync::Arc;

use node::Event;
use node::Peer;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wire::Frame;

use crate::session_event::SessionEvent;
use crate::timeline::Page;
use crate::timeline::Seq;
use crate::timeline::Stamp;

/// Capacity of the queue for inputs other than datagrams.
const CONTROL_QUEUE_LEN: usize = 4_096;
/// Maximum number of bytes of queued frames from other instances, over all sessions.
const MAX_FRAME_BYTES: usize = 32 * 1_024 * 1_024;
/// Capacity of the datagram queue.
const DATAGRAM_QUEUE_LEN: usize = 1_024;

/// A datagram from a caller.
#[derive(Debug)]
pub struct Datagram {
    /// Source address.
    pub from: SocketAddr,
    /// Contents.
    pub bytes: Vec<u8>,
}

/// An input of the engine other than a datagram.
#[derive(Debug)]
pub enum Input {
    /// An event for the node.
    Event(Event),
    /// A frame from another instance.
    Frame(ReceivedFrame),
    /// A change in the state of a session.
    Session(SessionEvent),
    /// Requests the status of the node.
    Status(oneshot::Sender<node::Status>),
    /// Requests the timeline entries after this sequence number.
    Timeline(Seq, oneshot::Sender<Page>),
}

/// A frame from another instance.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// The sending instance.
    pub peer: Peer,
    /// The sender's hybrid timestamp.
    pub stamp: Stamp,
    /// The frame.
    pub frame: Frame,
    /// Reserved bytes, released once the engine has handled the frame.
    pub permit: OwnedSemaphorePermit,
}

/// The engine has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

/// The sending side of the queues, used by the other components.
#[derive(Debug, Clone)]
pub struct InputSender {
    control: mpsc::Sender<Input>,
    datagrams: mpsc::Sender<Datagram>,
    frame_bytes: Arc<Semaphore>,
}

/// The receiving side of the queues, used by the engine.
#[derive(Debug)]
pub struct InputQueues {
    /// All inputs except datagrams.
    pub control: mpsc::Receiver<Input>,
    /// Datagrams from callers.
    pub datagrams: mpsc::Receiver<Datagram>,
}

impl InputSender {
    /// Creates the queues.
    pub fn new() -> (Self, InputQueues) {
        let (control, control_receiver) = mpsc::channel(CONTROL_QUEUE_LEN);
        let (datagrams, datagram_receiver) = mpsc::channel(DATAGRAM_QUEUE_LEN);
        let queues = InputQueues {
            control: control_receiver,
            datagrams: datagram_receiver,
        };
        let input_sender = Self {
            control,
            datagrams,
            frame_bytes: Arc::new(Semaphore::new(MAX_FRAME_BYTES)),
        };
        (input_sender, queues)
    }

    /// Sends an input, waiting while the queue is full.
    pub async fn send(&self, input: Input) -> Result<(), Closed> {
        self.control.send(input).await.map_err(|_| Closed)
    }

    /// Sends an event for the node, waiting while the queue is full.
    pub async fn send_event(&self, event: Event) -> Result<(), Closed> {
        self.send(Input::Event(event)).await
    }

    /// Reserves `len` bytes for a queued frame, waiting until they are available.
    pub async fn reserve_bytes(&self, len: usize) -> Result<OwnedSemaphorePermit, Closed> {
        let len = u32::try_from(len.min(MAX_FRAME_BYTES)).map_err(|_| Closed)?;
        let permit = Arc::clone(&self.frame_bytes).acquire_many_owned(len).await;
        permit.map_err(|_| Closed)
    }

    /// Queues a datagram unless the queue is full. Returns whether it was queued.
    pub fn try_send_datagram(&self, datagram: Datagram) -> bool {
        self.datagrams.try_send(datagram).is_ok()
    }

    /// Requests the status of the node. Returns `None` if the engine has ended.
    pub async fn status(&self) -> Option<node::Status> {
        let (reply_sender, reply) = oneshot::channel();
        self.send(Input::Status(reply_sender)).await.ok()?;
        reply.await.ok()
    }

    /// Requests a page of the timeline. Returns `None` if the engine has ended.
    pub async fn timeline(&self, since: Seq) -> Option<Page> {
        let (reply_sender, reply) = oneshot::channel();
        self.send(Input::Timeline(since, reply_sender)).await.ok()?;
        reply.await.ok()
    }
}
