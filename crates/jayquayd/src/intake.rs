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
const CONTROL_LEN: usize = 4_096;
/// How many bytes of frames from other instances may wait, over all sessions.
const FRAME_ROOM: usize = 32 * 1_024 * 1_024;
/// How many datagrams may wait.
const DATAGRAMS_LEN: usize = 1_024;

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
    Frame(Arrival),
    /// A session began or ended.
    Session(SessionEvent),
    /// Asks for the node's status.
    Status(oneshot::Sender<node::Status>),
    /// Asks for records of the time line after this number.
    Timeline(Seq, oneshot::Sender<Page>),
}

/// A frame from another instance.
#[derive(Debug)]
pub struct Arrival {
    /// The sender.
    pub peer: Peer,
    /// The sender's stamp.
    pub stamp: Stamp,
    /// The frame.
    pub frame: Frame,
    /// The room that it takes until the engine has handled it.
    pub room: OwnedSemaphorePermit,
}

/// The engine is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

/// Where the parts put what they have for the engine.
#[derive(Debug, Clone)]
pub struct Intake {
    control: mpsc::Sender<Input>,
    datagrams: mpsc::Sender<Datagram>,
    frame_room: Arc<Semaphore>,
}

/// The engine's ends of the queues.
#[derive(Debug)]
pub struct Queues {
    /// Everything but datagrams.
    pub control: mpsc::Receiver<Input>,
    /// What callers sent.
    pub datagrams: mpsc::Receiver<Datagram>,
}

impl Intake {
    /// Makes the queues.
    pub fn new() -> (Self, Queues) {
        let (control, control_end) = mpsc::channel(CONTROL_LEN);
        let (datagrams, datagrams_end) = mpsc::channel(DATAGRAMS_LEN);
        let queues = Queues {
            control: control_end,
            datagrams: datagrams_end,
        };
        let intake = Self {
            control,
            datagrams,
            frame_room: Arc::new(Semaphore::new(FRAME_ROOM)),
        };
        (intake, queues)
    }

    /// Waits for room, then puts an input.
    pub async fn put(&self, input: Input) -> Result<(), Closed> {
        self.control.send(input).await.map_err(|_| Closed)
    }

    /// Waits for room, then puts an event for the node.
    pub async fn event(&self, event: Event) -> Result<(), Closed> {
        self.put(Input::Event(event)).await
    }

    /// Waits until frames of so many bytes together may wait.
    pub async fn room(&self, len: usize) -> Result<OwnedSemaphorePermit, Closed> {
        let len = u32::try_from(len.min(FRAME_ROOM)).map_err(|_| Closed)?;
        let room = Arc::clone(&self.frame_room).acquire_many_owned(len).await;
        room.map_err(|_| Closed)
    }

    /// Puts a datagram if there is room, and tells whether there was.
    pub fn datagram(&self, datagram: Datagram) -> bool {
        self.datagrams.try_send(datagram).is_ok()
    }

    /// Asks the node for its status. There is none once the engine is gone.
    pub async fn status(&self) -> Option<node::Status> {
        let (ask, answer) = oneshot::channel();
        self.put(Input::Status(ask)).await.ok()?;
        answer.await.ok()
    }

    /// Asks for a page of the time line. There is none once the engine is gone.
    pub async fn timeline(&self, since: Seq) -> Option<Page> {
        let (ask, answer) = oneshot::channel();
        self.put(Input::Timeline(since, ask)).await.ok()?;
        answer.await.ok()
    }
}
