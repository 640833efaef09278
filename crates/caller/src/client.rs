//! A small UDP client around a [`Flow`].

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use units::FlowId;
use units::KindName;
use units::ServiceName;
use units::Time;
use wire::Reason;
use wire::Verdict;

use crate::Action;
use crate::CallId;
use crate::CallRequest;
use crate::Event;
use crate::Failure;
use crate::Flow;
use crate::FlowCounters;
use crate::Policy;

/// How many commands may wait for the task.
const COMMAND_QUEUE_LEN: usize = 64;

/// Why a client could not be opened.
#[derive(Debug)]
pub enum OpenError {
    /// There is no socket.
    Io(io::Error),
    /// The service refused, or nothing answered in time.
    Refused(Failure),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "no socket: {error}"),
            Self::Refused(failure) => write!(f, "no flow: {failure}"),
        }
    }
}

impl std::error::Error for OpenError {}

/// One flow of a caller, over a UDP socket of its own. Clones share the flow.
#[derive(Debug, Clone)]
pub struct Client {
    commands: mpsc::Sender<Command>,
    flow: FlowId,
}

#[derive(Debug)]
enum Command {
    Request(CallRequest, oneshot::Sender<Result<Vec<u8>, Failure>>),
    Counters(oneshot::Sender<FlowCounters>),
}

impl Client {
    /// Opens a flow to `service` at the `address` that its callers dial, through the fabric.
    pub async fn open(service: ServiceName, address: SocketAddr, fabric: SocketAddr) -> Result<Self, OpenError> {
        Self::open_with(service, address, fabric, Policy::default(), rand::random()).await
    }

    /// Opens a flow with other times and limits than the usual ones, and a seed for nonces and jitter.
    pub async fn open_with(
        service: ServiceName,
        address: SocketAddr,
        fabric: SocketAddr,
        policy: Policy,
        seed: u64,
    ) -> Result<Self, OpenError> {
        // The socket is not connected, since an instance answers from its own address.
        let local: SocketAddr = match fabric {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(local).await.map_err(OpenError::Io)?;
        let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_LEN);
        let (opened, answer) = oneshot::channel();
        let task = ClientTask {
            flow: Flow::new(service, address, policy, seed),
            socket,
            fabric,
            clock: Clock::start(),
            open_reply: Some(opened),
            pending: HashMap::new(),
            last_id: CallId(0),
        };
        tokio::spawn(task.run(inbox));
        let flow = answer
            .await
            .map_err(|_| OpenError::Refused(task_ended()))?
            .map_err(OpenError::Refused)?;
        Ok(Self { commands, flow })
    }

    /// The flow as it was opened, for logs and the time line.
    pub fn flow(&self) -> FlowId {
        self.flow
    }

    /// Asks for work that must not run twice. It is sent anew only when it surely has not run.
    pub async fn request(&self, kind: KindName, body: Vec<u8>, timeout: Duration) -> Result<Vec<u8>, Failure> {
        let request = CallRequest {
            kind,
            body,
            timeout,
            idempotent: false,
        };
        self.submit(request).await
    }

    /// Asks for work.
    pub async fn submit(&self, request: CallRequest) -> Result<Vec<u8>, Failure> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Request(request, reply);
        if self.commands.send(command).await.is_err() {
            return Err(Failure::from_caller(Verdict::NotRun, Reason::Limit));
        }
        answer.await.unwrap_or(Err(task_ended()))
    }

    /// What the flow has counted.
    pub async fn counters(&self) -> FlowCounters {
        let (reply, answer) = oneshot::channel();
        if self.commands.send(Command::Counters(reply)).await.is_err() {
            return FlowCounters::default();
        }
        answer.await.unwrap_or_default()
    }
}

/// The task ended before the request did.
fn task_ended() -> Failure {
    Failure::from_caller(Verdict::MayHaveRun, Reason::Deadline)
}

/// Microseconds since the Unix epoch that never run backwards.
#[derive(Debug, Clone, Copy)]
struct Clock {
    start: Instant,
    epoch: Time,
}

impl Clock {
    fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            start: Instant::now(),
            epoch: Time::default() + since,
        }
    }

    fn now(&self) -> Time {
        self.epoch + self.start.elapsed()
    }

    fn instant(&self, time: Time) -> Instant {
        self.start + time.since(self.epoch)
    }
}

/// Owns the flow and its socket.
struct ClientTask {
    flow: Flow,
    socket: UdpSocket,
    fabric: SocketAddr,
    clock: Clock,
    open_reply: Option<oneshot::Sender<Result<FlowId, Failure>>>,
    pending: HashMap<CallId, oneshot::Sender<Result<Vec<u8>, Failure>>>,
    last_id: CallId,
}

impl ClientTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<Command>) {
        // One byte more than a packet may have tells one that is too long.
        let mut buffer = [0; wire::MAX_PACKET_LEN + 1];
        self.handle_event(Event::Open).await;
        loop {
            let wake = self.flow.next_wake().map(|time| self.clock.instant(time));
            let event = tokio::select! {
                command = inbox.recv() => match command {
                    None => break,
                    Some(command) => self.handle_command(command),
                },
                received = self.socket.recv(&mut buffer) => match received {
                    Ok(len) => Some(Event::Datagram(buffer[..len].to_vec())),
                    Err(_) => None,
                },
                () = sleep_until(wake) => Some(Event::Tick),
            };
            if let Some(event) = event {
                self.handle_event(event).await;
            }
        }
        self.handle_event(Event::Close).await;
    }

    fn handle_command(&mut self, command: Command) -> Option<Event> {
        match command {
            Command::Request(request, reply) => {
                self.last_id = CallId(self.last_id.0 + 1);
                self.pending.insert(self.last_id, reply);
                Some(Event::Request(self.last_id, request))
            }
            Command::Counters(reply) => {
                // Whoever asked may have gone.
                let _ = reply.send(self.flow.counters());
                None
            }
        }
    }

    async fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.flow.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                // A datagram that cannot be sent counts as lost and is retransmitted.
                Action::Send(bytes) => drop(self.socket.send_to(&bytes, self.fabric).await),
                Action::Opened(flow) => self.reply_open(Ok(flow)),
                Action::OpenFailed(failure) => self.reply_open(Err(failure)),
                Action::Ended(id, result) => {
                    let Some(reply) = self.pending.remove(&id) else {
                        continue;
                    };
                    // Whoever asked may have gone.
                    let _ = reply.send(result);
                }
            }
        }
    }

    fn reply_open(&mut self, result: Result<FlowId, Failure>) {
        if let Some(opened) = self.open_reply.take() {
            // Whoever asked may have gone.
            let _ = opened.send(result);
        }
    }
}

async fn sleep_until(wake: Option<Instant>) {
    match wake {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
