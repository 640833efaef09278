//! The task that owns the node: passes it events and ticks, and executes its actions.

use std::time::Duration;
use std::time::Instant;

use node::Action;
use node::Event;
use node::Node;
use node::Record;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use units::InstanceName;

use crate::callers::ReplySender;
use crate::clock::Clock;
use crate::feed::DesiredState;
use crate::gauges;
use crate::input::Datagram;
use crate::input::Input;
use crate::input::InputQueues;
use crate::input::ReceivedFrame;
use crate::metric;
use crate::session_event::SessionEvent;
use crate::sessions::Sessions;
use crate::timeline::HybridClock;
use crate::timeline::TimelineBuffer;
use crate::upstreams::Upstreams;

/// Maximum number of inputs or datagrams taken from a queue at once.
const BATCH_LEN: usize = 64;
/// Time allowed to the node, after the time limit of a planned stop, to report that the stop has ended. After that, the
/// engine ends without the report.
const STOP_GRACE: Duration = Duration::from_secs(2);
/// Time limit for sessions to send queued frames and end, at the end of a planned stop.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to the deadline while no planned stop is in progress. The `select!` branch for the deadline always sleeps, so
/// it needs a time that is never reached.
const NO_DEADLINE: Duration = Duration::from_hours(24 * 365);

/// The reason for which the engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// The node reported the end of the planned stop, at which it aborted this many requests that were still open. At
    /// the time limit of the stop, the node ends the stop itself.
    Stopped(u32),
    /// The node did not report the end of the planned stop within its time limit and a grace period, with this many
    /// requests still in progress.
    StopTimedOut(usize),
    /// The engine task panicked, or all senders of inputs were dropped. Also returned by [`Handle::ended`] once it has
    /// returned the actual reason.
    ///
    /// [`Handle::ended`]: crate::Handle::ended
    EngineFailed,
}

/// The components that execute the node's actions.
#[derive(Debug)]
pub struct Components {
    /// Sends replies to callers.
    pub reply_sender: ReplySender,
    /// Sends frames to other instances.
    pub sessions: Sessions,
    /// Executes calls to upstreams, and polls their health and load.
    pub upstreams: Upstreams,
    /// Requests to the synchronisation with the platform: whether to watch, and whether to mark the entry as leaving.
    pub desired: watch::Sender<DesiredState>,
    /// Records the timeline.
    pub timeline: TimelineBuffer,
}

/// State of the engine task.
#[derive(Debug)]
pub struct Engine {
    node: Node,
    clock: Clock,
    /// Stamps frames and records of the timeline.
    hybrid_clock: HybridClock,
    queues: InputQueues,
    components: Components,
    /// Time limit of a planned stop.
    stop_within: Duration,
    /// The time at which the engine ends without the node's report, set when a planned stop begins.
    stop_deadline: Option<tokio::time::Instant>,
    /// Instances to which frames were lost, reported to the node in the next batch.
    lost_peers: Vec<InstanceName>,
    actions: Vec<Action>,
    exit_reason: Option<ExitReason>,
    /// Number of requests that the node aborted at the end of a planned stop, whether waiting for a slot or being
    /// called.
    in_doubt: u32,
    unusable_packets: gauges::UnusablePacketLog,
}

impl Engine {
    /// Creates an engine for `node`.
    pub fn new(node: Node, clock: Clock, queues: InputQueues, components: Components, stop_within: Duration) -> Self {
        Self {
            node,
            clock,
            hybrid_clock: HybridClock::default(),
            queues,
            components,
            stop_within,
            stop_deadline: None,
            lost_peers: Vec::new(),
            actions: Vec::new(),
            exit_reason: None,
            in_doubt: 0,
            unusable_packets: gauges::UnusablePacketLog::default(),
        }
    }

    /// Runs until the node reports the end of a planned stop, `STOP_GRACE` has passed after the time limit of the
    /// stop, or all senders of inputs were dropped.
    pub async fn run(mut self) -> ExitReason {
        let mut inputs = Vec::with_capacity(BATCH_LEN);
        let mut datagrams = Vec::with_capacity(BATCH_LEN);
        let mut ticker = tokio::time::interval(node::MAX_TICK_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut gauge_ticker = tokio::time::interval(gauges::UPDATE_INTERVAL);
        gauge_ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let stop_deadline = self
                .stop_deadline
                .unwrap_or_else(|| tokio::time::Instant::now() + NO_DEADLINE);
            // `select!` polls the branches in random order, so no queue can starve another one or the ticks.
            tokio::select! {
                count = self.queues.control.recv_many(&mut inputs, BATCH_LEN) => {
                    if count == 0 {
                        return ExitReason::EngineFailed;
                    }
                }
                Some(datagram) = self.queues.datagrams.recv() => {
                    datagrams.push(datagram);
                    self.fill_batch(&mut datagrams);
                }
                _ = ticker.tick() => self.handle_event(Event::Tick),
                _ = gauge_ticker.tick() => self.update_gauges(),
                () = tokio::time::sleep_until(stop_deadline) => return ExitReason::StopTimedOut(self.node.status(self.clock.now()).requests),
            }
            self.handle_batch(&mut inputs, &mut datagrams);
            if let Some(exit_reason) = self.exit_reason {
                self.flush().await;
                return exit_reason;
            }
        }
    }

    fn update_gauges(&mut self) {
        let now = self.clock.now();
        let status = self.node.status(now);
        gauges::update(&status, now);
        self.unusable_packets.log_increase(&status);
    }

    fn fill_batch(&mut self, datagrams: &mut Vec<Datagram>) {
        while datagrams.len() < BATCH_LEN {
            let Ok(datagram) = self.queues.datagrams.try_recv() else {
                return;
            };
            datagrams.push(datagram);
        }
    }

    /// Reports lost peers to the node, then handles the inputs and datagrams. Also runs, usually without any, after
    /// each tick and gauge update, whose own time is not part of the recorded duration.
    fn handle_batch(&mut self, inputs: &mut Vec<Input>, datagrams: &mut Vec<Datagram>) {
        let started = Instant::now();
        for name in std::mem::take(&mut self.lost_peers) {
            self.handle_event(Event::SessionLost(name));
        }
        for input in inputs.drain(..) {
            self.handle_input(input);
        }
        for datagram in datagrams.drain(..) {
            self.handle_event(Event::Datagram(datagram.from, datagram.bytes));
        }
        metric::batch_seconds().record(started.elapsed());
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            // `complete` removes the call. The result of a cancelled call is dropped.
            Input::Event(Event::CallEnded(id, _)) if !self.components.upstreams.complete(id) => {}
            Input::Event(Event::Stop) => self.begin_stop(),
            Input::Event(event) => self.handle_event(event),
            Input::Frame(received) => self.handle_frame(received),
            Input::Session(event) => self.handle_session_event(event),
            Input::Status(reply) => {
                // The requester may have stopped waiting for the reply.
                let _unwanted = reply.send(self.node.status(self.clock.now()));
            }
            Input::Timeline(since, reply) => {
                let _unwanted = reply.send(self.components.timeline.page(since));
            }
        }
    }

    fn handle_frame(&mut self, received: ReceivedFrame) {
        if !self.hybrid_clock.observe(self.clock.now(), received.stamp) {
            metric::stamps_ahead().increment(1);
        }
        self.handle_event(Event::Frame(received.peer, received.frame));
    }

    fn handle_session_event(&mut self, event: SessionEvent) {
        if let Some(name) = self.components.sessions.handle_event(event) {
            self.handle_event(Event::SessionLost(name));
        }
    }

    fn begin_stop(&mut self) {
        if self.stop_deadline.is_some() {
            return;
        }
        log::info!("daemon: planned stop started");
        self.stop_deadline = Some(tokio::time::Instant::now() + self.stop_within + STOP_GRACE);
        self.components.desired.send_modify(|desired| desired.leaving = true);
        self.handle_event(Event::Stop);
    }

    fn handle_event(&mut self, event: Event) {
        metric::events().increment(1);
        let mut actions = std::mem::take(&mut self.actions);
        self.node.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Reply(to, reply) => self.components.reply_sender.send(to, &reply),
            Action::Send { to, address, frame } => {
                let stamp = self.hybrid_clock.tick(self.clock.now());
                if !self.components.sessions.send(&to, address, stamp, frame) && !self.lost_peers.contains(&to) {
                    self.lost_peers.push(to);
                }
            }
            Action::Call(call) => self.components.upstreams.call(call),
            Action::Cancel(id) => self.components.upstreams.cancel(id),
            Action::Poll(name, address) => self.components.upstreams.poll(name, address),
            Action::Watch(watching) => self
                .components
                .desired
                .send_modify(|desired| desired.watching = watching),
            Action::Record(record) => self.record_event(record),
            Action::Stopped => self.exit_reason = Some(ExitReason::Stopped(self.in_doubt)),
        }
    }

    fn record_event(&mut self, record: Record) {
        match &record {
            Record::Opened(..) => metric::opened().increment(1),
            Record::Answered(..) => metric::answered().increment(1),
            Record::InForce(revision) => {
                metric::revision().set(revision.0 as f64);
                log::info!("daemon: {record}");
            }
            Record::DocumentRejected(_) => log::warn!("daemon: {record}"),
            Record::Stopped(in_doubt) => self.in_doubt = *in_doubt,
            Record::Up(..) | Record::Leaving(..) | Record::Down(..) | Record::HandedOver(..) => {
                log::info!("daemon: {record}");
            }
            Record::UpstreamLeaving(..) | Record::Ejected(..) | Record::Restored(..) => log::info!("daemon: {record}"),
            Record::Accepted(..) | Record::Refused(..) | Record::Called(..) | Record::Ended(..) | Record::Stopping => {}
        }
        let stamp = self.hybrid_clock.tick(self.clock.now());
        self.components.timeline.push(stamp, record);
    }

    /// Releases all sessions, which then send their queued frames, and waits up to a time limit until all have reported
    /// their end. Returns early if all senders of inputs were dropped.
    async fn flush(&mut self) {
        let mut open_sessions = self.components.sessions.release_all();
        let all_ended = async {
            while !open_sessions.is_empty() {
                let Some(input) = self.queues.control.recv().await else {
                    return;
                };
                if let Input::Session(SessionEvent::Ended { id, .. }) = input {
                    open_sessions.remove(&id);
                }
            }
        };
        if tokio::time::timeout(FLUSH_TIMEOUT, all_ended).await.is_err() {
            // Counts the sessions that did not report their end in time, which may have frames queued.
            log::warn!(
                "daemon: {} sessions ended with frames still queued",
                open_sessions.len()
            );
        }
    }
}
