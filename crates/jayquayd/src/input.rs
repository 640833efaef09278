//! The queues into the engine.
//!
//! What callers send waits apart from all else, so that a flood of datagrams neither delays heartbeats and
//! results of calls nor costs unbounded memory.

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

/// How many inputs other than datagrams may wait.
const CONTROL_QUEUE_LEN: usize = 4_096;
/// How many bytes of frames from other instances may wait, over all sessions.
const MAX_FRAME_BYTES: usize = 32 * 1_024 * 1_024;
/// How many datagrams may wait.
const DATAGRAM_QUEUE_LEN: usize = 1_024;

/// A datagram from a caller.
#[derive(Debug)]
pub struct Datagram {
    /// Where it came from.
    pub from: SocketAddr,
    /// What it holds.
    pub bytes: Vec<u8>,
}

/// What the engine is told, apart from datagrams.
#[derive(Debug)]
pub enum Input {
    /// An event for the node.
    Event(Event),
    /// A frame from another instance.
    Frame(ReceivedFrame),
    /// A session began or ended.
    Session(SessionEvent),
    /// Asks for the node's status.
    Status(oneshot::Sender<node::Status>),
    /// Asks for records of the time line after this number.
    Timeline(Seq, oneshot::Sender<Page>),
}

/// A frame from another instance.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// The sender.
    pub peer: Peer,
    /// The sender's stamp.
    pub stamp: Stamp,
    /// The frame.
    pub frame: Frame,
    /// The room that it takes until the engine has handled it.
    pub permit: OwnedSemaphorePermit,
}

/// The engine is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

/// Where the parts put what they have for the engine.
#[derive(Debug, Clone)]
pub struct InputSender {
    control: mpsc::Sender<Input>,
    datagrams: mpsc::Sender<Datagram>,
    frame_bytes: Arc<Semaphore>,
}

/// The engine's ends of the queues.
#[derive(Debug)]
pub struct InputQueues {
    /// Everything but datagrams.
    pub control: mpsc::Receiver<Input>,
    /// What callers sent.
    pub datagrams: mpsc::Receiver<Datagram>,
}

impl InputSender {
    /// Makes the queues.
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

    /// Waits for room, then puts an input.
    pub async fn send(&self, input: Input) -> Result<(), Closed> {
        self.control.send(input).await.map_err(|_| Closed)
    }

    /// Waits for room, then puts an event for the node.
    pub async fn send_event(&self, event: Event) -> Result<(), Closed> {
        self.send(Input::Event(event)).await
    }

    /// Waits until frames of so many bytes together may wait.
    pub async fn reserve_bytes(&self, len: usize) -> Result<OwnedSemaphorePermit, Closed> {
        let len = u32::try_from(len.min(MAX_FRAME_BYTES)).map_err(|_| Closed)?;
        let permit = Arc::clone(&self.frame_bytes).acquire_many_owned(len).await;
        permit.map_err(|_| Closed)
    }

    /// Puts a datagram if there is room, and tells whether there was.
    pub fn try_send_datagram(&self, datagram: Datagram) -> bool {
        self.datagrams.try_send(datagram).is_ok()
    }

    /// Asks the node for its status. There is none once the engine is gone.
    pub async fn status(&self) -> Option<node::Status> {
        let (reply_sender, reply) = oneshot::channel();
        self.send(Input::Status(reply_sender)).await.ok()?;
        reply.await.ok()
    }

    /// Asks for a page of the time line. There is none once the engine is gone.
    pub async fn timeline(&self, since: Seq) -> Option<Page> {
        let (reply_sender, reply) = oneshot::channel();
        self.send(Input::Timeline(since, reply_sender)).await.ok()?;
        reply.await.ok()
    }
}
