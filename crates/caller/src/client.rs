//! A UDP client that drives a [`Flow`].

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

/// Capacity of the command channel to the client task.
const COMMAND_QUEUE_LEN: usize = 64;

/// The error of [`Client::open`].
#[derive(Debug)]
pub enum OpenError {
    /// The UDP socket could not be bound.
    Io(io::Error),
    /// The service refused the flow, or did not reply in time.
    Refused(Failure),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "cannot bind a UDP socket: {error}"),
            Self::Refused(failure) => write!(f, "cannot open a flow: {failure}"),
        }
    }
}

impl std::error::Error for OpenError {}

/// A handle to one flow with its own UDP socket. Clones share the flow.
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
    /// Opens a flow to `service`, whose public address is `address`, through the fabric.
    pub async fn open(service: ServiceName, address: SocketAddr, fabric: SocketAddr) -> Result<Self, OpenError> {
        Self::open_with(service, address, fabric, Policy::default(), rand::random()).await
    }

    /// Like [`Client::open`], with a custom policy and a seed for nonces and jitter.
    pub async fn open_with(
        service: ServiceName,
        address: SocketAddr,
        fabric: SocketAddr,
        policy: Policy,
        seed: u64,
    ) -> Result<Self, OpenError> {
        // The socket is not connected, because instances reply from their own addresses.
        let local: SocketAddr = match fabric {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(local).await.map_err(OpenError::Io)?;
        let (commands, command_receiver) = mpsc::channel(COMMAND_QUEUE_LEN);
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
        tokio::spawn(task.run(command_receiver));
        let flow = answer
            .await
            .map_err(|_| OpenError::Refused(task_ended()))?
            .map_err(OpenError::Refused)?;
        Ok(Self { commands, flow })
    }

    /// The ID of the flow as first opened, for logs and the time line.
    pub fn flow(&self) -> FlowId {
        self.flow
    }

    /// Sends a request that is not idempotent. It is retried only if it is known not to have run.
    pub async fn request(&self, kind: KindName, body: Vec<u8>, timeout: Duration) -> Result<Vec<u8>, Failure> {
        let request = CallRequest {
            kind,
            body,
            timeout,
            idempotent: false,
        };
        self.submit(request).await
    }

    /// Sends a request and waits for its answer.
    pub async fn submit(&self, request: CallRequest) -> Result<Vec<u8>, Failure> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Request(request, reply);
        if self.commands.send(command).await.is_err() {
            return Err(Failure::from_caller(Verdict::NotRun, Reason::Limit));
        }
        answer.await.unwrap_or(Err(task_ended()))
    }

    /// Returns the counters of the flow, all zero if the client task has ended.
    pub async fn counters(&self) -> FlowCounters {
        let (reply, answer) = oneshot::channel();
        if self.commands.send(Command::Counters(reply)).await.is_err() {
            return FlowCounters::default();
        }
        answer.await.unwrap_or_default()
    }
}

/// The failure to report when the client task ends before the request.
fn task_ended() -> Failure {
    Failure::from_caller(Verdict::MayHaveRun, Reason::Deadline)
}

/// Monotonic clock that reports microseconds since the Unix epoch.
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

/// The background task that owns the flow and its socket.
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
    async fn run(mut self, mut command_receiver: mpsc::Receiver<Command>) {
        // One byte more than the maximum packet length, so that longer datagrams are detected.
        let mut buffer = [0; wire::MAX_PACKET_LEN + 1];
        self.handle_event(Event::Open).await;
        loop {
            let wake = self.flow.next_wake().map(|time| self.clock.instant(time));
            let event = tokio::select! {
                command = command_receiver.recv() => match command {
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
                // The receiver may have been dropped.
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
                // A send error is treated as packet loss; the retransmission timer covers it.
                Action::Send(bytes) => drop(self.socket.send_to(&bytes, self.fabric).await),
                Action::Opened(flow) => self.reply_open(Ok(flow)),
                Action::OpenFailed(failure) => self.reply_open(Err(failure)),
                Action::Ended(id, result) => {
                    let Some(reply) = self.pending.remove(&id) else {
                        continue;
                    };
                    // The receiver may have been dropped.
                    let _ = reply.send(result);
                }
            }
        }
    }

    fn reply_open(&mut self, result: Result<FlowId, Failure>) {
        if let Some(opened) = self.open_reply.take() {
            // The receiver may have been dropped.
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
